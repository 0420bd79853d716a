import type { Job, Size } from "./job.ts";
import type { JobDecision } from "./job_decision_log.ts";
import {
  listWorkerStandings,
  type SchedulingContext,
  viewWorkers,
} from "./scheduling_context.ts";
import type { Quota } from "./placement.ts";
import type { ClassProfile } from "./profiles.ts";
import type { QuarantineState } from "./quarantine.ts";
import { addSize, ZERO_SIZE } from "./size.ts";
import type { WorkerStanding } from "./worker_view.ts";

/**
 * Maximum number of usage profiles in a dump; the classes with the most runs
 * come first.
 */
const SHOWN_PROFILES = 50;
/** Number of recent decisions in a dump; `explain` shows the others. */
const SHOWN_DECISIONS = 20;

/** Summary of one shard. */
export interface ShardSummary {
  readonly shard: number;
  /** Whether this entry holds the shard's lease and has loaded the shard. */
  readonly active: boolean;
  readonly jobsByState: Readonly<Record<string, number>>;
}

/** Summary of one pool's jobs in the shards of this entry. */
export interface PoolSummary {
  readonly pool: string;
  readonly queued: number;
  /** Number of assigned and running jobs. */
  readonly running: number;
  readonly checkpointed: number;
  /** Number of queued urgent jobs. */
  readonly urgentQueued: number;
  /** Longest wait among urgent jobs that have never started, in ms. */
  readonly urgentWaitMs: number;
}

/**
 * Job section of an entry's dump. Tasks and quota usage include the jobs of
 * other entries that workers report.
 */
export interface JobsSummary {
  readonly shards: readonly ShardSummary[];
  readonly pools: readonly PoolSummary[];
  readonly workers: readonly {
    readonly vmId: string;
    readonly runningTasks: number;
  }[];
  readonly quotas: readonly {
    readonly team: string;
    readonly used: Size;
    readonly quota: Quota;
  }[];
  readonly quarantined: readonly (QuarantineState & {
    readonly vmId: string;
    readonly standing: WorkerStanding;
  })[];
  readonly profiles: {
    /** Number of known classes, including those not listed. */
    readonly classes: number;
    readonly largest: readonly ClassProfile[];
  };
  readonly recentDecisions: readonly JobDecision[];
}

/**
 * Jobs of one shard assigned to this entry; `jobs` is undefined while another
 * entry still holds the lease.
 */
export interface ShardJobs {
  readonly shard: number;
  readonly jobs: ReadonlyMap<string, Job> | undefined;
}

function summarizeShard({ shard, jobs }: ShardJobs): ShardSummary {
  const jobsByState: Record<string, number> = {};
  for (const { state: { kind } } of jobs?.values() ?? []) {
    jobsByState[kind] = (jobsByState[kind] ?? 0) + 1;
  }
  return { shard, active: jobs !== undefined, jobsByState };
}

function summarizePools(
  shards: readonly ShardJobs[],
  nowMs: number,
): PoolSummary[] {
  const pools = new Map<
    string,
    { -readonly [Field in keyof PoolSummary]: PoolSummary[Field] }
  >();
  for (const { jobs } of shards) {
    for (
      const { spec, state, submittedAtMs, attempts } of jobs?.values() ?? []
    ) {
      if (state.kind === "ended") continue;
      const { pool } = spec;
      const summary = pools.get(pool) ?? {
        pool,
        queued: 0,
        running: 0,
        checkpointed: 0,
        urgentQueued: 0,
        urgentWaitMs: 0,
      };
      pools.set(pool, summary);
      if (state.kind === "queued") summary.queued++;
      else if (state.kind === "checkpointed") summary.checkpointed++;
      else summary.running++;
      if (state.kind !== "queued" || spec.priority !== "urgent") continue;
      summary.urgentQueued++;
      if (attempts > 0) continue;
      summary.urgentWaitMs = Math.max(
        summary.urgentWaitMs,
        nowMs - submittedAtMs,
      );
    }
  }
  return [...pools.values()].sort((a, b) => a.pool < b.pool ? -1 : 1);
}

function summarizeWorkers(
  context: SchedulingContext,
  shards: readonly ShardJobs[],
) {
  const jobs = shards.flatMap((shard) => [...shard.jobs?.values() ?? []]);
  const workerViews = viewWorkers(context, jobs);
  const usedByTeam = new Map<string, Size>();
  for (const { identity } of workerViews.flatMap((worker) => worker.tasks)) {
    const teamUse = usedByTeam.get(identity.team) ?? ZERO_SIZE;
    usedByTeam.set(identity.team, addSize(teamUse, identity.size));
  }
  const listedTeams = context.config.teams.filter(({ name, quota }) =>
    usedByTeam.has(name) ||
    Object.values(quota).some((value) => value !== undefined)
  );
  return {
    workers: workerViews.filter((worker) => worker.tasks.length > 0)
      .map(({ vmId, tasks }) => ({ vmId, runningTasks: tasks.length })),
    quotas: listedTeams.map(({ name, quota }) => ({
      team: name,
      used: usedByTeam.get(name) ?? ZERO_SIZE,
      quota: quota as Quota,
    })),
  };
}

/** Builds the job section of an entry's dump. */
export function summarizeJobs(
  context: SchedulingContext,
  shards: readonly ShardJobs[],
): JobsSummary {
  const { schedulerState, nowMs } = context;
  const standings = listWorkerStandings(context);
  return {
    shards: shards.map(summarizeShard),
    pools: summarizePools(shards, nowMs),
    ...summarizeWorkers(context, shards),
    quarantined: [...schedulerState.quarantines].map(([vmId, quarantined]) => ({
      vmId,
      ...quarantined,
      standing: standings.get(vmId) ?? "normal",
    })),
    profiles: {
      classes: schedulerState.profiles.size,
      largest: schedulerState.profiles.listMostUsed(SHOWN_PROFILES),
    },
    recentDecisions: schedulerState.decisionLog.recent(SHOWN_DECISIONS),
  };
}
