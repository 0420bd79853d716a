import process from "node:process";
import { issueJobKey, SHARD_COUNT } from "../../src/jobs/job_key.ts";
import { submitJob } from "../../src/jobs/submission.ts";
import { JobSimulation } from "../../testing/job_simulation.ts";
import { createRandom } from "../../testing/random.ts";
import { createCountingStore } from "./counting_store.ts";
import { FirstFit } from "./first_fit.ts";
import { QuotaUse, type QuotaUseFigures } from "./quota_use.ts";
import type { JobsDeployment, PlannedJob } from "./workload.ts";

const STEP_MS = 500;
/** Time after the last arrival until a run ends with jobs left over, in ms. */
export const DEFAULT_TAIL_MS = 1_800_000;
const REPORT_LAG_MS = 2_000;
const FAILING_SHARE = 0.1;

/** How jobs are placed. */
export type Placement = "first fit" | "learned";

/** What one run found. */
export interface JobsRun {
  readonly jobs: number;
  /** Time from arrival to first start of each job that started, in ms. */
  readonly waitsMs: readonly number[];
  /** The same of urgent jobs; one that neither started nor ended counts with its age. */
  readonly urgentWaitsMs: readonly number[];
  readonly succeeded: number;
  /** Jobs that could have succeeded. */
  readonly possible: number;
  readonly ended: number;
  /** Time from arrival to the end of the jobs that fit no worker, in ms; Infinity for those left over. */
  readonly hopelessEndMs: readonly number[];
  readonly runs: number;
  readonly wastedRuns: number;
  readonly wastedCoreShare: number;
  /** Cores that did useful work during the arrivals, as a share of what the quotas allow. */
  readonly usefulShare: number;
  readonly quotaUse: QuotaUseFigures;
  /** Runs that ended without success, by cause. */
  readonly wastedBy: ReadonlyMap<string, number>;
  readonly storeWrites: number;
  readonly leaseCalls: number;
  /** Bytes of the ledger's calls and answers, without HTTP headers, during the arrivals; for all entries. */
  readonly ledgerBytesPerSecond: number;
  readonly ledgerCallsPerSecond: number;
  /** Processor time of each dispatcher's step, in ms; those of idle shards included. */
  readonly stepCpuMs: readonly number[];
}

interface Scheduler {
  submit(job: PlannedJob): Promise<string> | string;
  step(): Promise<void>;
  endOf(jobId: string): number | undefined;
}

function createLearned(
  fake: JobSimulation,
  endsMs: Map<string, number>,
  { entries, stepCpuMs }: { entries: number; stepCpuMs: number[] },
): Scheduler {
  const shards = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);
  const owned = Array.from(
    { length: entries },
    (_, entry) => shards.filter((shard) => shard % entries === entry),
  );
  const byShard = new Map(owned.flatMap((own, entry) => {
    const created = fake.createEntryDispatchers(`entry-${entry}`, own);
    return own.map((shard, index) => [shard, created[index]!] as const);
  }));
  const dispatchers = [...byShard.values()];
  return {
    submit({ spec }) {
      const key = issueJobKey(fake.nowMs);
      byShard.get(key.shard)!.writer.change(
        (draft) => submitJob(draft, key, spec),
        { deadlineMs: 2_000, jobId: key.key },
      );
      return key.key;
    },
    async step() {
      for (const dispatcher of dispatchers) {
        const before = process.cpuUsage();
        // The service writes submits at a shorter interval than its steps.
        await dispatcher.writer.flush();
        await dispatcher.step();
        const { user, system } = process.cpuUsage(before);
        stepCpuMs.push((user + system) / 1_000);
        for (const { id, state } of dispatcher.jobs?.values() ?? []) {
          if (state.kind === "ended" && !endsMs.has(id)) {
            endsMs.set(id, fake.nowMs);
          }
        }
      }
    },
    endOf: (jobId) => endsMs.get(jobId),
  };
}

/** Runs one deployment's jobs against fake workers of which a tenth fails every task. */
export async function runJobs(
  deployment: JobsDeployment,
  planned: readonly PlannedJob[],
  options: {
    readonly placement: Placement;
    readonly seed: number;
    readonly tailMs: number;
    /** Entries among which learned placement divides the shards. */
    readonly entries: number;
  },
): Promise<JobsRun> {
  const store = createCountingStore();
  const fake = new JobSimulation({
    store,
    workerCount: 0,
    vms: deployment.vms,
    config: deployment.config,
    region: deployment.region,
    reportLagMs: REPORT_LAG_MS,
  });
  const random = createRandom(options.seed);
  const workers = [...fake.workers.values()];
  const failing = Math.round(FAILING_SHARE * workers.length);
  while (workers.filter((worker) => worker.failsTasks).length < failing) {
    workers[random.nextInteger(workers.length)]!.failsTasks = true;
  }
  const firstFit = new FirstFit(fake, store, deployment.config);
  const stepCpuMs: number[] = [];
  const scheduler: Scheduler = options.placement === "learned"
    ? createLearned(fake, new Map(), {
      entries: options.entries,
      stepCpuMs,
    })
    : {
      submit: ({ spec }) => firstFit.submit(spec),
      step: () => firstFit.step(),
      endOf: (jobId) => firstFit.ended.get(jobId),
    };
  const quotaUse = new QuotaUse(fake, deployment.config, options.entries);
  fake.tick(STEP_MS);
  await scheduler.step();

  const startMs = fake.nowMs;
  const ids = new Map<PlannedJob, string>();
  const lastMs = planned.at(-1)?.arrivalMs ?? 0;
  let next = 0;
  let usefulShare = 0;
  let ledger = { bytes: 0, calls: 0, seconds: 1 };
  while (fake.nowMs - startMs < lastMs + options.tailMs) {
    fake.tick(STEP_MS);
    const nowMs = fake.nowMs - startMs;
    for (; (planned[next]?.arrivalMs ?? Infinity) <= nowMs; next++) {
      const job = planned[next]!;
      ids.set(job, await scheduler.submit(job));
    }
    await scheduler.step();
    quotaUse.sample();
    if (next < planned.length) {
      usefulShare = usefulOf(fake, deployment, nowMs);
      ledger = { ...fake.ledgerTraffic, seconds: nowMs / 1_000 };
    } else if (planned.every((job) => scheduler.endOf(ids.get(job)!))) break;
  }
  return summarise({
    fake,
    planned,
    ids,
    scheduler,
    startMs,
    usefulShare,
    quotaUse: quotaUse.figures(),
    store,
    stepCpuMs,
    ledger,
  });
}

function usefulOf(
  fake: JobSimulation,
  { config }: JobsDeployment,
  elapsedMs: number,
): number {
  const cores = config.teams.reduce(
    (sum, { quota }) => sum + (quota.cores ?? 0),
    0,
  );
  const { usedCoreMs, wastedCoreMs } = fake.statistics;
  return (usedCoreMs - wastedCoreMs) / (cores * elapsedMs);
}

function summarise(input: {
  fake: JobSimulation;
  planned: readonly PlannedJob[];
  ids: ReadonlyMap<PlannedJob, string>;
  scheduler: Scheduler;
  startMs: number;
  usefulShare: number;
  quotaUse: QuotaUseFigures;
  store: { writes: number; leaseCalls: number };
  stepCpuMs: readonly number[];
  ledger: { bytes: number; calls: number; seconds: number };
}): JobsRun {
  const { fake, planned, ids, scheduler, startMs, store, ledger } = input;
  const { starts, successes, firstStartMs, usedCoreMs, wastedCoreMs } =
    fake.statistics;
  const waitOf = (job: PlannedJob) => {
    const atMs = firstStartMs.get(ids.get(job)!);
    return atMs === undefined ? [] : [atMs - startMs - job.arrivalMs];
  };
  const normal = planned.filter(({ nature }) => nature === "normal");
  const hopeless = planned.filter(({ nature }) => nature === "fits_nowhere");
  const runs = [...starts.values()].reduce((a, b) => a + b, 0);
  return {
    jobs: planned.length,
    waitsMs: normal.flatMap(waitOf),
    urgentWaitsMs: normal.filter(({ spec }) => spec.priority === "urgent")
      .flatMap((job) => {
        const waitsMs = waitOf(job);
        const open = waitsMs.length === 0 &&
          scheduler.endOf(ids.get(job)!) === undefined;
        return open ? [fake.nowMs - startMs - job.arrivalMs] : waitsMs;
      }),
    succeeded: normal.filter((job) => successes.has(ids.get(job)!)).length,
    possible: normal.length,
    ended: planned.filter((job) => scheduler.endOf(ids.get(job)!)).length,
    hopelessEndMs: hopeless.map((job) => {
      const endMs = scheduler.endOf(ids.get(job)!);
      return endMs === undefined ? Infinity : endMs - startMs - job.arrivalMs;
    }),
    runs,
    wastedRuns: runs - successes.size,
    wastedCoreShare: wastedCoreMs / Math.max(1, usedCoreMs),
    usefulShare: input.usefulShare,
    quotaUse: input.quotaUse,
    wastedBy: fake.statistics.wastedBy,
    storeWrites: store.writes,
    leaseCalls: store.leaseCalls,
    ledgerBytesPerSecond: ledger.bytes / ledger.seconds,
    ledgerCallsPerSecond: ledger.calls / ledger.seconds,
    stepCpuMs: input.stepCpuMs,
  };
}
