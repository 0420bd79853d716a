/** One structured log line. */
export interface LogLine {
  /** Time of the line, in ms since 1970. */
  readonly time: number;
  readonly process: string;
  readonly msg: string;
  readonly [field: string]: unknown;
}

/** Log lines of one request or job, from all processes. */
export interface RequestTimeline {
  /** IDs of the jobs that the request submitted or named. */
  readonly jobs: readonly string[];
  readonly lines: readonly LogLine[];
  /** Descriptions of expected log lines that were not found. */
  readonly missing: readonly string[];
}

/** Fields that describe the origin of a line; they are not repeated after its message. */
const ORIGIN_FIELDS = new Set(["level", "time", "process", "msg"]);

/** Parses log lines; skips text before the JSON of a line, such as the timestamp of a log collector. */
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
      // Other programs may write to the same stream; lines that aren't JSON are skipped.
    }
  }
  return lines;
}

function mentionsAny(line: LogLine, ids: ReadonlySet<string>): boolean {
  if (typeof line.request === "string" && ids.has(line.request)) return true;
  if (typeof line.job === "string" && ids.has(line.job)) return true;
  if (typeof line.task === "string" && ids.has(jobOfTask(line.task))) {
    return true;
  }
  // The runs that were lost with one worker share a line.
  return Array.isArray(line.runs) &&
    line.runs.some((run) => typeof run === "string" && ids.has(jobOfTask(run)));
}

/** Returns the job ID at the start of a task ID or of the description of a run. */
function jobOfTask(text: string): string {
  return text.split(".")[0]!;
}

function listMissingLines(lines: readonly LogLine[], jobs: readonly string[]) {
  const missing: string[] = [];
  if (lines.length === 0) {
    return ["no log line has this ID; are the logs of all entries given?"];
  }
  for (const job of jobs) {
    const jobLines = lines.filter((line) => mentionsAny(line, new Set([job])));
    const has = (text: string) =>
      jobLines.some(({ msg }) => msg.includes(text));
    if (!has("job accepted") && !has("known already")) {
      missing.push(
        `${job}: its acceptance (in the log of the accepting entry)`,
      );
    }
    if (has("job accepted") && !has("tasks placed")) {
      missing.push(
        `${job}: any placement (in the log of the owner, or still waiting)`,
      );
    }
    if (!has("final status") && !has("job cancelled")) {
      missing.push(
        `${job}: its end (in the log of a later owner, or still running)`,
      );
    }
  }
  return missing;
}

/** Collects the lines of all processes that belong to a request or job, ordered by time. */
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
  const requestLines = lines.filter((line) => mentionsAny(line, ids))
    .sort((a, b) => a.time - b.time);
  const workers = new Set(
    requestLines.flatMap(({ worker }) =>
      typeof worker === "string" ? [worker] : []
    ),
  );
  const first = requestLines[0]?.time ?? 0;
  const last = requestLines.at(-1)?.time ?? 0;
  // Events of the involved workers and changes of the owner during this time help to find the cause.
  const contextLines = lines.filter((line) =>
    line.time >= first && line.time <= last && !requestLines.includes(line) &&
    ((typeof line.worker === "string" && workers.has(line.worker) &&
      line.task === undefined) ||
      line.msg.startsWith("owner: owner "))
  );
  return {
    jobs: [...jobs],
    lines: [...requestLines, ...contextLines].sort((a, b) => a.time - b.time),
    missing: listMissingLines(requestLines, [...jobs]),
  };
}

/** Formats a timeline as text: time since its first line, process, message and fields. */
export function formatTimeline(timeline: RequestTimeline): string {
  const start = timeline.lines[0]?.time ?? 0;
  const rows = timeline.lines.map((line) => {
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
    ...timeline.missing.map((line) => `missing: ${line}`),
    "",
  ].join("\n");
}
