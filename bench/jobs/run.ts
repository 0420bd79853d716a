import process from "node:process";
import { issueJobKey, SHARD_COUNT } from "../../src/jobs/job_key.ts";
import { submitJob } from "../../src/jobs/submission.ts";
import { JobSimulation } from "../../testing/job_simulation.ts";
import { createRandom } from "../../testing/random.ts";
import { createCountingStore } from "./counting_store.ts";
import { FirstFitScheduler } from "./first_fit.ts";
import { QuotaUsageSampler, type QuotaUsageSummary } from "./quota_usage.ts";
import type { JobsDeployment, PlannedJob } from "./workload.ts";

/** Simulated time between scheduler steps, in ms. */
const STEP_MS = 500;
/** Time after the last arrival at which a run ends even if jobs are unfinished, in ms. */
export const DEFAULT_TAIL_MS = 1_800_000;
const REPORT_LAG_MS = 2_000;
/** Share of the workers that fail every task. */
const FAILING_WORKER_SHARE = 0.1;

/** Strategy by which jobs are placed on workers. */
export type PlacementStrategy = "first fit" | "learned";

/** Results of one run of the jobs benchmark. */
export interface JobsRunResult {
  readonly jobs: number;
  /** Time from arrival to first start of each job that started, in ms. */
  readonly waitsMs: readonly number[];
  /** Wait of each urgent job, in ms. A job that has neither started nor ended counts with the time since its arrival. */
  readonly urgentWaitsMs: readonly number[];
  /** Number of feasible jobs that succeeded. */
  readonly succeeded: number;
  /** Number of jobs that fit a worker and don't always fail. */
  readonly feasible: number;
  /** Number of jobs that reached a final status. */
  readonly ended: number;
  /** Time from arrival to end of each job that fits no worker, in ms; `Infinity` for jobs that haven't ended. */
  readonly unplaceableEndMs: readonly number[];
  /** Number of task starts. */
  readonly runs: number;
  /** Number of task starts minus number of jobs that succeeded. */
  readonly wastedRuns: number;
  /** Core time of unsuccessful runs, as a share of the core time of all runs. */
  readonly wastedCoreShare: number;
  /** Core time of successful runs during the arrivals, as a share of the teams' core quotas over that time. */
  readonly usefulCoreShare: number;
  readonly quotaUsage: QuotaUsageSummary;
  /** Number of unsuccessful runs by cause. */
  readonly wastedRunsByCause: ReadonlyMap<string, number>;
  readonly storeWrites: number;
  readonly leaseCalls: number;
  /** Bytes per second of the quota ledger's requests and responses during the arrivals, over all entries and without HTTP headers. */
  readonly ledgerBytesPerSecond: number;
  readonly ledgerCallsPerSecond: number;
  /** CPU time of each dispatcher step, in ms; steps of idle shards included. */
  readonly stepCpuMs: readonly number[];
}

interface Scheduler {
  submit(job: PlannedJob): Promise<string> | string;
  step(): Promise<void>;
  getEndMs(jobId: string): number | undefined;
}

function createLearnedScheduler(
  simulation: JobSimulation,
  endMsByJob: Map<string, number>,
  { entries, stepCpuMs }: { entries: number; stepCpuMs: number[] },
): Scheduler {
  const shards = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);
  const shardsByEntry = Array.from(
    { length: entries },
    (_, entry) => shards.filter((shard) => shard % entries === entry),
  );
  const dispatchersByShard = new Map(
    shardsByEntry.flatMap((ownShards, entry) => {
      const created = simulation.createEntryDispatchers(
        `entry-${entry}`,
        ownShards,
      );
      return ownShards.map((shard, index) => [shard, created[index]!] as const);
    }),
  );
  const dispatchers = [...dispatchersByShard.values()];
  return {
    submit({ spec }) {
      const key = issueJobKey(simulation.nowMs);
      dispatchersByShard.get(key.shard)!.writer.change(
        (draft) => submitJob(draft, key, spec),
        { deadlineMs: 2_000, jobId: key.key },
      );
      return key.key;
    },
    async step() {
      for (const dispatcher of dispatchers) {
        const before = process.cpuUsage();
        // In production, submissions are flushed more often than steps run.
        await dispatcher.writer.flush();
        await dispatcher.step();
        const { user, system } = process.cpuUsage(before);
        stepCpuMs.push((user + system) / 1_000);
        for (const { id, state } of dispatcher.jobs?.values() ?? []) {
          if (state.kind === "ended" && !endMsByJob.has(id)) {
            endMsByJob.set(id, simulation.nowMs);
          }
        }
      }
    },
    getEndMs: (jobId) => endMsByJob.get(jobId),
  };
}

/** Runs the jobs of one deployment on fake workers, a tenth of which fail every task. */
export async function runJobs(
  deployment: JobsDeployment,
  planned: readonly PlannedJob[],
  options: {
    readonly placement: PlacementStrategy;
    readonly seed: number;
    readonly tailMs: number;
    /** Number of entries that share the shards in learned placement. */
    readonly entries: number;
  },
): Promise<JobsRunResult> {
  const store = createCountingStore();
  const simulation = new JobSimulation({
    store,
    workerCount: 0,
    vms: deployment.vms,
    config: deployment.config,
    region: deployment.region,
    reportLagMs: REPORT_LAG_MS,
  });
  const random = createRandom(options.seed);
  const workers = [...simulation.workers.values()];
  const failingCount = Math.round(FAILING_WORKER_SHARE * workers.length);
  while (workers.filter((worker) => worker.failsTasks).length < failingCount) {
    workers[random.nextInteger(workers.length)]!.failsTasks = true;
  }
  const firstFit = new FirstFitScheduler(simulation, store, deployment.config);
  const stepCpuMs: number[] = [];
  const scheduler: Scheduler = options.placement === "learned"
    ? createLearnedScheduler(simulation, new Map(), {
      entries: options.entries,
      stepCpuMs,
    })
    : {
      submit: ({ spec }) => firstFit.submit(spec),
      step: () => firstFit.step(),
      getEndMs: (jobId) => firstFit.endedAtMs.get(jobId),
    };
  const quotaSampler = new QuotaUsageSampler(
    simulation,
    deployment.config,
    options.entries,
  );
  simulation.tick(STEP_MS);
  await scheduler.step();

  const startMs = simulation.nowMs;
  const ids = new Map<PlannedJob, string>();
  const lastArrivalMs = planned.at(-1)?.arrivalMs ?? 0;
  let next = 0;
  let usefulCoreShare = 0;
  let ledger = { bytes: 0, calls: 0, seconds: 1 };
  while (simulation.nowMs - startMs < lastArrivalMs + options.tailMs) {
    simulation.tick(STEP_MS);
    const nowMs = simulation.nowMs - startMs;
    for (; (planned[next]?.arrivalMs ?? Infinity) <= nowMs; next++) {
      const job = planned[next]!;
      ids.set(job, await scheduler.submit(job));
    }
    await scheduler.step();
    quotaSampler.sample();
    if (next < planned.length) {
      usefulCoreShare = computeUsefulCoreShare(simulation, deployment, nowMs);
      ledger = { ...simulation.ledgerTraffic, seconds: nowMs / 1_000 };
    } else if (planned.every((job) => scheduler.getEndMs(ids.get(job)!))) break;
  }
  return summarizeRun({
    simulation,
    planned,
    ids,
    scheduler,
    startMs,
    usefulCoreShare,
    quotaUsage: quotaSampler.summarize(),
    store,
    stepCpuMs,
    ledger,
  });
}

function computeUsefulCoreShare(
  simulation: JobSimulation,
  { config }: JobsDeployment,
  elapsedMs: number,
): number {
  const cores = config.teams.reduce(
    (sum, { quota }) => sum + (quota.cores ?? 0),
    0,
  );
  const { usedCoreMs, wastedCoreMs } = simulation.statistics;
  return (usedCoreMs - wastedCoreMs) / (cores * elapsedMs);
}

function summarizeRun(input: {
  simulation: JobSimulation;
  planned: readonly PlannedJob[];
  ids: ReadonlyMap<PlannedJob, string>;
  scheduler: Scheduler;
  startMs: number;
  usefulCoreShare: number;
  quotaUsage: QuotaUsageSummary;
  store: { writes: number; leaseCalls: number };
  stepCpuMs: readonly number[];
  ledger: { bytes: number; calls: number; seconds: number };
}): JobsRunResult {
  const {
    simulation,
    planned,
    ids,
    scheduler,
    startMs,
    store,
    ledger,
  } = input;
  const { starts, successes, firstStartMs, usedCoreMs, wastedCoreMs } =
    simulation.statistics;
  const computeWait = (job: PlannedJob) => {
    const atMs = firstStartMs.get(ids.get(job)!);
    return atMs === undefined ? [] : [atMs - startMs - job.arrivalMs];
  };
  const normal = planned.filter(({ behaviour }) => behaviour === "normal");
  const unplaceable = planned.filter(({ behaviour }) =>
    behaviour === "fits_nowhere"
  );
  const runs = [...starts.values()].reduce((a, b) => a + b, 0);
  return {
    jobs: planned.length,
    waitsMs: normal.flatMap(computeWait),
    urgentWaitsMs: normal.filter(({ spec }) => spec.priority === "urgent")
      .flatMap((job) => {
        const waitsMs = computeWait(job);
        const isUnstarted = waitsMs.length === 0 &&
          scheduler.getEndMs(ids.get(job)!) === undefined;
        return isUnstarted
          ? [simulation.nowMs - startMs - job.arrivalMs]
          : waitsMs;
      }),
    succeeded: normal.filter((job) => successes.has(ids.get(job)!)).length,
    feasible: normal.length,
    ended: planned.filter((job) => scheduler.getEndMs(ids.get(job)!)).length,
    unplaceableEndMs: unplaceable.map((job) => {
      const endMs = scheduler.getEndMs(ids.get(job)!);
      return endMs === undefined ? Infinity : endMs - startMs - job.arrivalMs;
    }),
    runs,
    wastedRuns: runs - successes.size,
    wastedCoreShare: wastedCoreMs / Math.max(1, usedCoreMs),
    usefulCoreShare: input.usefulCoreShare,
    quotaUsage: input.quotaUsage,
    wastedRunsByCause: simulation.statistics.wastedBy,
    storeWrites: store.writes,
    leaseCalls: store.leaseCalls,
    ledgerBytesPerSecond: ledger.bytes / ledger.seconds,
    ledgerCallsPerSecond: ledger.calls / ledger.seconds,
    stepCpuMs: input.stepCpuMs,
  };
}
