import type { Command } from "commander";
import {
  type Decision,
  decisionLogKey,
  decisionLogSchema,
} from "../fleet/decision_log.ts";
import type { AppliedConfig } from "../config/schema.ts";
import { parseFleetRecord } from "../fleet/follower.ts";
import { fleetKey } from "../fleet/record.ts";
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
import { summarizeBudgets } from "./fleet_summary.ts";
import { listRegions, readApplied } from "./status.ts";

type Subject = "vm" | "pool" | "team" | "request";

interface Options extends PlatformOptions {
  readonly region?: string;
  readonly limit: number;
}

interface Explanation {
  readonly subject: Subject;
  readonly id: string;
  /** What the fleet record says now: the VM, or the budgets of the pool or team. */
  readonly current: readonly object[];
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

async function readCurrent(
  store: Store,
  applied: AppliedConfig,
  about: { subject: Subject; id: string; region: string },
): Promise<object[]> {
  const { subject, id, region } = about;
  const entry = await store.get(fleetKey(region));
  if (entry === undefined) return [];
  const record = parseFleetRecord(entry.value);
  const vm = record.vms[id];
  if (subject === "vm") return vm === undefined ? [] : [{ region, ...vm }];
  return summarizeBudgets(record, applied.config).filter((budget) =>
    subject === "pool" ? budget.pool === id : budget.team === id
  );
}

interface Found {
  readonly current: readonly object[];
  readonly decisions: readonly (Decision & { region: string })[];
}

/** Reads the fleet records and decision logs of the regions. */
async function readFleets(
  platform: OperatorPlatform,
  about: { subject: Subject; id: string; region?: string | undefined },
  unreadable: Unreadable[],
): Promise<Found> {
  const store = platform.store();
  const applied = await readOrNote(
    "configuration",
    unreadable,
    () => readApplied(store),
  );
  const regions = about.region === undefined
    ? listRegions(applied)
    : [about.region];
  const found = await Promise.all(regions.map(async (region) => ({
    current: applied === undefined ? [] : await readOrNote(
      `fleet record of ${region}`,
      unreadable,
      () => readCurrent(store, applied, { ...about, region }),
    ),
    decisions: await readOrNote(
      `decision log of ${region}`,
      unreadable,
      () => readDecisions(store, region),
    ),
  })));
  return {
    current: found.flatMap((item) => item.current ?? []),
    decisions: found.flatMap((item) => item.decisions ?? []),
  };
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

function formatFields(value: object): string[] {
  return Object.entries(value).map(([name, field]) =>
    `    ${name}: ${formatFound(field)}`
  );
}

function formatExplanation(found: Explanation): string[] {
  const { subject, id, current, decisions, entries, unreadable } = found;
  return [
    ...unreadable.map((part) => `unreadable: ${part.what}: ${part.reason}`),
    ...current.flatMap((item) => [
      `${subject} ${id} in the fleet record`,
      ...formatFields(item),
    ]),
    ...(subject === "request" ? [] : [
      `${decisions.length} recent decision(s) about ${subject} ${id}, newest first`,
    ]),
    ...decisions.flatMap(formatDecision),
    `${entries.length} record(s) about ${subject} ${id} in the entries' dumps`,
    ...entries.flatMap((match) => [
      `  ${match.entryId} ${match.path}`,
      ...formatFields(match.value as object),
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
  const about = { subject, id, region: options.region };
  const { current, decisions } = subject === "request"
    ? { current: [], decisions: [] }
    : await readFleets(platform, about, unreadable);
  const dumps = await readOrNote(
    "VM list",
    unreadable,
    () => readDumps(platform, { unreadable }),
  ) ?? [];
  const explanation: Explanation = {
    subject,
    id,
    current,
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
