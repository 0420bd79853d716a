import type { Command } from "commander";
import {
  type Decision,
  decisionLogKey,
  decisionLogSchema,
} from "../fleet/decision_log.ts";
import { formatFound, parseJson, parseWithSchema } from "../validation.ts";
import type { Store } from "../platform/store.ts";
import {
  addPlatformOptions,
  type OperatorPlatform,
  parseInteger,
  type PlatformOptions,
  printResult,
  readOrNote,
  requireBoth,
  resolvePlatform,
  type Unreadable,
} from "./context.ts";
import { type DumpMatch, findInDump, readDumps } from "./entry_dumps.ts";
import { listRegions, readApplied } from "./status.ts";

type Subject = "vm" | "pool" | "team" | "request";

interface Options extends PlatformOptions {
  readonly region?: string;
  readonly limit: number;
}

interface Explanation {
  readonly subject: Subject;
  readonly id: string;
  /** Newest first. */
  readonly decisions: readonly (Decision & { region: string })[];
  /** What the entries hold about the subject. */
  readonly entries: readonly DumpMatch[];
  readonly unreadable: readonly Unreadable[];
}

/** Fields of a dump that name each subject. */
const DUMP_FIELDS: Record<Subject, readonly string[]> = {
  vm: ["vmId"],
  pool: ["pool", "poolName"],
  team: ["team"],
  request: ["requestId"],
};

function concerns(decision: Decision, subject: Subject, id: string): boolean {
  switch (subject) {
    case "vm":
      return decision.vmId === id;
    case "pool":
      return decision.pools.includes(id);
    case "team":
      return decision.teams.includes(id);
    case "request":
      return false;
  }
}

async function readDecisions(store: Store, region: string) {
  const key = decisionLogKey(region);
  const entry = await store.get(key);
  if (entry === undefined) return [];
  const log = parseWithSchema(
    decisionLogSchema,
    parseJson(entry.value, key),
    key,
  );
  return log.decisions.map((decision) => ({ ...decision, region }));
}

async function listDecisions(
  platform: OperatorPlatform,
  options: Options,
  unreadable: Unreadable[],
) {
  const store = platform.store();
  const regions = options.region !== undefined
    ? [options.region]
    : await readOrNote(
      "configuration",
      unreadable,
      async () => listRegions(await readApplied(store)),
    ) ?? [];
  const logs = await Promise.all(
    regions.map((region) =>
      readOrNote(
        `decision log of ${region}`,
        unreadable,
        () => readDecisions(store, region),
      )
    ),
  );
  return logs.flatMap((log) => log ?? []);
}

function formatDecision(decision: Decision & { region: string }): string[] {
  const at = new Date(decision.atMs).toISOString();
  const vm = decision.vmId === undefined ? "" : ` ${decision.vmId}`;
  return [
    `${at} ${decision.region} fleet revision ${decision.fleetRevision}: ${decision.kind}${vm}: ${decision.summary}`,
    ...Object.entries(decision.facts).map(([name, value]) =>
      `  ${name}: ${value}`
    ),
    ...decision.rejected.map((item) =>
      `  rejected ${item.option}: ${item.reason}`
    ),
  ];
}

function formatExplanation(found: Explanation): string[] {
  const { subject, id, decisions, entries, unreadable } = found;
  return [
    ...unreadable.map((part) => `unreadable: ${part.what}: ${part.reason}`),
    ...(subject === "request" ? [] : [
      `${decisions.length} recent decision(s) about ${subject} ${id}, newest first`,
    ]),
    ...decisions.flatMap(formatDecision),
    `${entries.length} record(s) about ${subject} ${id} in the entries' dumps`,
    ...entries.flatMap((match) => [
      `  ${match.entryId} ${match.path}`,
      ...Object.entries(match.value as object).map(([name, value]) =>
        `    ${name}: ${formatFound(value)}`
      ),
    ]),
  ];
}

async function runExplain(
  subject: Subject,
  id: string,
  options: Options,
): Promise<void> {
  const platform = await resolvePlatform(options);
  requireBoth(platform);
  const unreadable: Unreadable[] = [];
  const decisions = subject === "request"
    ? []
    : await listDecisions(platform, options, unreadable);
  const dumps = await readOrNote(
    "VM list",
    unreadable,
    () => readDumps(platform, { unreadable }),
  ) ?? [];
  const explanation: Explanation = {
    subject,
    id,
    decisions: decisions
      .filter((decision) => concerns(decision, subject, id))
      .sort((a, b) => b.atMs - a.atMs || b.fleetRevision - a.fleetRevision)
      .slice(0, options.limit),
    entries: dumps.flatMap((dump) =>
      findInDump(dump, DUMP_FIELDS[subject], id)
    ),
    unreadable,
  };
  printResult(options, explanation, formatExplanation(explanation));
}

/** Adds the `explain` command with one subcommand for each subject. */
export function addExplainCommand(program: Command): void {
  const explain = program.command("explain")
    .description("show why the system acted on a VM, pool, team or request");
  const subjects: readonly Subject[] = ["vm", "pool", "team", "request"];
  for (const subject of subjects) {
    addPlatformOptions(
      explain.command(subject)
        .description(`explain the recent decisions about a ${subject}`)
        .argument("<id>", `the ${subject}'s id or name`),
    )
      .option("--region <region>", "read the decisions of this region only")
      .option(
        "--limit <number>",
        "largest number of decisions to show",
        parseInteger(1),
        20,
      )
      .action((id: string, options: Options) =>
        runExplain(subject, id, options)
      );
  }
}
