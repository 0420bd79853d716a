/** One line of a process's log. */
export interface LogLine {
  readonly time: number;
  readonly process: string;
  readonly msg: string;
  readonly [field: string]: unknown;
}

/** What the logs tell of one request. */
export interface RequestTimeline {
  /** Jobs that the request concerned. */
  readonly jobs: readonly string[];
  readonly lines: readonly LogLine[];
  /** What should be in the logs and is not. */
  readonly missing: readonly string[];
}

/** Fields that say where a line comes from, not what was decided. */
const ORIGIN_FIELDS = new Set(["level", "time", "process", "msg"]);

/** Reads log lines; text before the JSON of a line, such as a collector's time, is passed over. */
export function parseLogLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const row of text.split("\n")) {
    const start = row.indexOf("{");
    if (start < 0) continue;
    try {
      const line = JSON.parse(row.slice(start));
      if (typeof line.time === "number" && typeof line.msg === "string") {
        lines.push(line);
      }
    } catch {
      // Other programs write to the same stream; their lines aren't ours to explain.
    }
  }
  return lines;
}

function mentionsAny(line: LogLine, ids: ReadonlySet<string>): boolean {
  if (typeof line.request === "string" && ids.has(line.request)) return true;
  if (typeof line.job === "string" && ids.has(line.job)) return true;
  return typeof line.task === "string" && ids.has(line.task.split(".")[0]!);
}

function listMissingLines(lines: readonly LogLine[], jobs: readonly string[]) {
  const missing: string[] = [];
  if (lines.length === 0) {
    return ["no line names this id; are the logs of every entry given?"];
  }
  for (const job of jobs) {
    const own = lines.filter((line) => mentionsAny(line, new Set([job])));
    const has = (text: string) => own.some(({ msg }) => msg.includes(text));
    if (!has("job accepted") && !has("known already")) {
      missing.push(`${job}: the acceptance (log of the accepting entry)`);
    }
    if (has("job accepted") && !has("tasks placed")) {
      missing.push(
        `${job}: any placement (log of the owner, or still waiting)`,
      );
    }
    if (!has("final status") && !has("job cancelled")) {
      missing.push(`${job}: its end (log of a later owner, or still running)`);
    }
  }
  return missing;
}

/** Joins the lines of all processes that concern a request or job, in the order of time. */
export function explainRequest(
  id: string,
  lines: readonly LogLine[],
): RequestTimeline {
  const jobs = new Set<string>();
  for (const line of lines) {
    if (line.request !== id && line.job !== id) continue;
    if (typeof line.job === "string") jobs.add(line.job);
  }
  const ids = new Set([id, ...jobs]);
  const own = lines.filter((line) => mentionsAny(line, ids))
    .sort((a, b) => a.time - b.time);
  const workers = new Set(
    own.flatMap(({ worker }) => typeof worker === "string" ? [worker] : []),
  );
  const first = own[0]?.time ?? 0;
  const last = own.at(-1)?.time ?? 0;
  // What happened to the workers and the owner meanwhile is part of the cause.
  const around = lines.filter((line) =>
    line.time >= first && line.time <= last && !own.includes(line) &&
    ((typeof line.worker === "string" && workers.has(line.worker) &&
      line.task === undefined) ||
      line.msg.startsWith("owner: owner "))
  );
  return {
    jobs: [...jobs],
    lines: [...own, ...around].sort((a, b) => a.time - b.time),
    missing: listMissingLines(own, [...jobs]),
  };
}

/** Formats a story for people: time since its first line, process, what was decided and why. */
export function formatTimeline(story: RequestTimeline): string {
  const start = story.lines[0]?.time ?? 0;
  const rows = story.lines.map((line) => {
    const fields = Object.entries(line)
      .filter(([name]) => !ORIGIN_FIELDS.has(name))
      .map(([name, value]) =>
        `${name}=${typeof value === "object" ? JSON.stringify(value) : value}`
      );
    const ms = String(line.time - start).padStart(7);
    return `${ms} ms  ${line.process}  ${line.msg}  ${fields.join(" ")}`;
  });
  return [
    ...rows,
    ...story.missing.map((what) => `missing: ${what}`),
    "",
  ].join("\n");
}
