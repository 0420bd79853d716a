import type { Command } from "commander";
import {
  type Decision,
  decisionLogKey,
  decisionLogSchema,
} from "../fleet/decision_log.ts";
import type { AppliedConfig } from "../config/schema.ts";
import { parseFleetRecord } from "../fleet/follower.ts";
import { fleetKey } from "../fleet/record.ts";
import { parseJobKey } from "../jobs/job_key.ts";
import { mergeDecisions } from "../jobs/job_decision_log.ts";
import { assertNever } from "../errors.ts";
import { formatValue, parseJson, parseWithSchema } from "../validation.ts";
import type { Store } from "../ports/store.ts";
import {
  addPlatformOptions,
  type OperatorPlatform,
  parseInteger,
  type PlatformOptions,
  printResult,
  type ReadFailure,
  readOrRecordFailure,
  requireStoreAndVmList,
  resolvePlatform,
  UsageError,
} from "./context.ts";
import { type DumpMatch, findInDump, readDumps } from "./entry_dumps.ts";
import {
  type EntryExplanations,
  readEntryExplanations,
  readStoredDecisions,
  readStoredJob,
  type RegionalJobDecision,
} from "./explain_jobs.ts";
import { summarizeBudgets } from "./fleet_summary.ts";
import { listRegions, readApplied } from "./status.ts";

type Subject = "vm" | "pool" | "team" | "request" | "job";

interface Options extends PlatformOptions {
  readonly region?: string;
  readonly limit: number;
}

type RegionalDecision = (Decision & { region: string }) | RegionalJobDecision;

interface Explanation {
  readonly subject: Subject;
  readonly id: string;
  /** Current records in the store: the VM, the budgets of the pool or team, or the job. */
  readonly current: readonly object[];
  /** Reasons why the job is waiting. */
  readonly waits: EntryExplanations["waits"];
  /** Newest first. */
  readonly decisions: readonly RegionalDecision[];
  /** Objects about the subject in the entries' dumps. */
  readonly entries: readonly DumpMatch[];
  readonly unreadable: readonly ReadFailure[];
}

/** Dump fields that identify each kind of subject. */
const DUMP_FIELDS: Record<Subject, readonly string[]> = {
  vm: ["vmId"],
  pool: ["pool", "poolName"],
  team: ["team"],
  request: ["requestId"],
  // Jobs are read from the entries by id, not searched for in the dumps.
  job: [],
};

function isAboutSubject(
  decision: Decision,
  subject: Subject,
  id: string,
): boolean {
  switch (subject) {
    case "vm":
      return decision.vmId === id;
    case "pool":
      return decision.pools.includes(id);
    case "team":
      return decision.teams.includes(id);
    case "request":
    case "job":
      return false;
    default:
      return assertNever(subject);
  }
}

async function readDecisions(store: Store, region: string) {
  const key = decisionLogKey(region);
  const stored = await store.get(key);
  if (stored === undefined) return [];
  const log = parseWithSchema(
    decisionLogSchema,
    parseJson(stored.value, key),
    key,
  );
  return log.decisions.map((decision) => ({ ...decision, region }));
}

async function readCurrent(
  store: Store,
  applied: AppliedConfig,
  target: { subject: Subject; id: string; region: string },
): Promise<object[]> {
  const { subject, id, region } = target;
  const stored = await store.get(fleetKey(region));
  if (stored === undefined) return [];
  const record = parseFleetRecord(stored.value);
  const vm = record.vms[id];
  if (subject === "vm") return vm === undefined ? [] : [{ region, ...vm }];
  return summarizeBudgets(record, applied.config).filter((budget) =>
    subject === "pool" ? budget.pool === id : budget.team === id
  );
}

/** What the fleet records and decision logs of the regions contain about a subject. */
interface FleetFindings {
  readonly current: readonly object[];
  readonly decisions: readonly (Decision & { region: string })[];
}

/** Reads the fleet records and decision logs of the regions. */
async function readFleets(
  platform: OperatorPlatform,
  target: { subject: Subject; id: string; region?: string | undefined },
  unreadable: ReadFailure[],
): Promise<FleetFindings> {
  const store = platform.store();
  const applied = await readOrRecordFailure(
    "configuration",
    unreadable,
    () => readApplied(store),
  );
  const regions = target.region === undefined
    ? listRegions(applied)
    : [target.region];
  const found = await Promise.all(regions.map(async (region) => ({
    current: applied === undefined ? [] : await readOrRecordFailure(
      `fleet record of ${region}`,
      unreadable,
      () => readCurrent(store, applied, { ...target, region }),
    ),
    decisions: await readOrRecordFailure(
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

function formatDecision(decision: RegionalDecision): string[] {
  const at = new Date(decision.atMs).toISOString();
  const vm = decision.vmId === undefined ? "" : ` ${decision.vmId}`;
  const source = "fleetRevision" in decision
    ? `fleet revision ${decision.fleetRevision}`
    : decision.jobId === undefined
    ? "jobs"
    : `job ${decision.jobId}`;
  return [
    `${at} ${decision.region} ${source}: ${decision.kind}${vm}: ${decision.summary}`,
    ...formatReasons(decision),
  ];
}

function formatReasons(
  { facts, rejected }: Pick<Decision, "facts" | "rejected">,
): string[] {
  return [
    ...Object.entries(facts).map(([name, value]) => `  ${name}: ${value}`),
    ...rejected.map((item) => `  rejected ${item.option}: ${item.reason}`),
  ];
}

function formatFields(value: object): string[] {
  return Object.entries(value).map(([name, field]) =>
    `    ${name}: ${formatValue(field)}`
  );
}

function formatExplanation(found: Explanation): string[] {
  const { subject, id, current, waits, decisions, entries, unreadable } = found;
  const location = subject === "job" ? "its shard" : "the fleet record";
  return [
    ...unreadable.map((failure) =>
      `unreadable: ${failure.what}: ${failure.reason}`
    ),
    ...current.flatMap((item) => [
      `${subject} ${id} in ${location}`,
      ...formatFields(item),
    ]),
    ...waits.flatMap((wait) => [
      `waiting since ${new Date(wait.sinceMs).toISOString()}: ${wait.reason} ` +
      `(dispatcher of ${wait.entryId})`,
      ...formatReasons(wait),
    ]),
    ...(subject === "request" ? [] : [
      `${decisions.length} recent decision(s) about ${subject} ${id}, newest first`,
    ]),
    ...decisions.flatMap(formatDecision),
    ...(subject === "job" ? [] : [
      `${entries.length} record(s) about ${subject} ${id} in the entries' dumps`,
    ]),
    ...entries.flatMap((match) => [
      `  ${match.entryId} ${match.path}`,
      ...formatFields(match.value as object),
    ]),
  ];
}

async function readJobFindings(
  platform: OperatorPlatform,
  target: { subject: "vm" | "job"; id: string; region?: string | undefined },
  unreadable: ReadFailure[],
): Promise<Pick<Explanation, "current" | "waits" | "decisions">> {
  const { subject, id, region } = target;
  const jobSubject = subject === "job" ? { jobId: id } : { vmId: id };
  const store = platform.store();
  const applied = region !== undefined ? undefined : await readOrRecordFailure(
    "configuration",
    unreadable,
    () => readApplied(store),
  );
  const regions = region === undefined ? listRegions(applied) : [region];
  const [fromEntries, ...stored] = await Promise.all([
    readOrRecordFailure(
      "VM list",
      unreadable,
      () => readEntryExplanations(platform, jobSubject, { region, unreadable }),
    ),
    ...regions.map(async (name) => ({
      current: subject === "vm" ? [] : await readOrRecordFailure(
        `job shard of ${name}`,
        unreadable,
        () => readStoredJob(store, name, id),
      ),
      decisions: await readOrRecordFailure(
        `job decisions of ${name}`,
        unreadable,
        () => readStoredDecisions(store, name, jobSubject),
      ),
    })),
  ]);
  return {
    current: stored.flatMap(({ current }) => current ?? []),
    waits: fromEntries?.waits ?? [],
    decisions: mergeDecisions([
      ...fromEntries?.decisions ?? [],
      ...stored.flatMap(({ decisions }) => decisions ?? []),
    ]),
  };
}

async function readDumpMatches(
  platform: OperatorPlatform,
  target: { subject: Subject; id: string },
  unreadable: ReadFailure[],
): Promise<DumpMatch[]> {
  const { subject, id } = target;
  if (subject === "job") return [];
  const dumps = await readOrRecordFailure(
    "VM list",
    unreadable,
    () => readDumps(platform, { unreadable }),
  );
  return (dumps ?? []).flatMap((dump) =>
    findInDump(dump, DUMP_FIELDS[subject], id)
  );
}

async function runExplain(
  subject: Subject,
  id: string,
  options: Options,
): Promise<void> {
  if (subject === "job" && parseJobKey(id) === undefined) {
    throw new UsageError(`'${id}' is not a valid job id`);
  }
  const platform = await resolvePlatform(options);
  requireStoreAndVmList(platform);
  const unreadable: ReadFailure[] = [];
  const target = { subject, id, region: options.region };
  const fleet = subject === "request" || subject === "job"
    ? { current: [], decisions: [] }
    : await readFleets(platform, target, unreadable);
  const jobs = subject === "vm" || subject === "job"
    ? await readJobFindings(platform, { ...target, subject }, unreadable)
    : { current: [], waits: [], decisions: [] };
  const decisions: RegionalDecision[] = [
    ...fleet.decisions.filter((decision) =>
      isAboutSubject(decision, subject, id)
    ),
    ...jobs.decisions,
  ];
  const revisionOf = (decision: RegionalDecision) =>
    "fleetRevision" in decision ? decision.fleetRevision : 0;
  const explanation: Explanation = {
    subject,
    id,
    current: [...fleet.current, ...jobs.current],
    waits: jobs.waits,
    decisions: decisions
      .sort((a, b) => b.atMs - a.atMs || revisionOf(b) - revisionOf(a))
      .slice(0, options.limit),
    entries: await readDumpMatches(platform, target, unreadable),
    unreadable,
  };
  printResult(options, explanation, formatExplanation(explanation));
}

/** Adds the `explain` command with a subcommand for each kind of subject. */
export function addExplainCommand(program: Command): void {
  const explain = program.command("explain")
    .description(
      "show why the system acted on a VM, pool, team, request or job",
    );
  const subjects: readonly Subject[] = [
    "vm",
    "pool",
    "team",
    "request",
    "job",
  ];
  for (const subject of subjects) {
    addPlatformOptions(
      explain.command(subject)
        .description(`explain the recent decisions about a ${subject}`)
        .argument("<id>", `the ${subject}'s id or name`),
    )
      .option("--region <region>", "show only the decisions of this region")
      .option(
        "--limit <number>",
        "maximum number of decisions to show",
        parseInteger(1),
        20,
      )
      .action((id: string, options: Options) =>
        runExplain(subject, id, options)
      );
  }
}
