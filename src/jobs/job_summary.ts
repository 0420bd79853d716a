import type { Job, Size } from "./job.ts";
import type { JobDecision } from "./job_decision_log.ts";
import { type JobsWorld, listStandings, viewWorkers } from "./jobs_world.ts";
import type { Quota } from "./placement.ts";
import type { ClassProfile } from "./profiles.ts";
import type { Quarantined } from "./quarantine.ts";
import { addSize, ZERO_SIZE } from "./size.ts";
import type { Standing } from "./worker_view.ts";

/** Learned profiles that a dump shows; the classes with the most runs come first. */
const SHOWN_PROFILES = 50;
/** Decisions that a dump shows; `explain` asks for the others. */
const SHOWN_DECISIONS = 20;

/** One shard as its dispatcher sees it. */
export interface ShardSummary {
  readonly shard: number;
  /** Whether this entry holds the shard's lease and has read it. */
  readonly active: boolean;
  readonly jobsByState: Readonly<Record<string, number>>;
}

/** Jobs of one pool in the shards of this entry. */
export interface PoolSummary {
  readonly pool: string;
  readonly queued: number;
  /** Assigned and running jobs. */
  readonly running: number;
  readonly checkpointed: number;
  /** Urgent jobs that wait. */
  readonly urgentQueued: number;
  /** Longest wait of an urgent job that has not started, in ms. */
  readonly urgentWaitMs: number;
}

/** Jobs of one entry, as shown in its dump. Tasks and quota use include what workers report of other entries' jobs. */
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
  readonly quarantined: readonly (Quarantined & {
    readonly vmId: string;
    readonly standing: Standing;
  })[];
  readonly profiles: {
    /** Classes that are known, shown or not. */
    readonly classes: number;
    readonly largest: readonly ClassProfile[];
  };
  readonly recentDecisions: readonly JobDecision[];
}

/** One shard that this entry runs; `jobs` is undefined while another entry holds the lease. */
export interface RunShard {
  readonly shard: number;
  readonly jobs: ReadonlyMap<string, Job> | undefined;
}

function summarizeShard({ shard, jobs }: RunShard): ShardSummary {
  const jobsByState: Record<string, number> = {};
  for (const { state: { kind } } of jobs?.values() ?? []) {
    jobsByState[kind] = (jobsByState[kind] ?? 0) + 1;
  }
  return { shard, active: jobs !== undefined, jobsByState };
}

function summarizePools(
  shards: readonly RunShard[],
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
      const sum = pools.get(pool) ?? {
        pool,
        queued: 0,
        running: 0,
        checkpointed: 0,
        urgentQueued: 0,
        urgentWaitMs: 0,
      };
      pools.set(pool, sum);
      if (state.kind === "queued") sum.queued++;
      else if (state.kind === "checkpointed") sum.checkpointed++;
      else sum.running++;
      if (state.kind !== "queued" || spec.priority !== "urgent") continue;
      sum.urgentQueued++;
      if (attempts > 0) continue;
      sum.urgentWaitMs = Math.max(sum.urgentWaitMs, nowMs - submittedAtMs);
    }
  }
  return [...pools.values()].sort((a, b) => a.pool < b.pool ? -1 : 1);
}

function summarizeWorkers(world: JobsWorld, shards: readonly RunShard[]) {
  const jobs = shards.flatMap((shard) => [...shard.jobs?.values() ?? []]);
  const tasks = viewWorkers(world, jobs);
  const use = new Map<string, Size>();
  for (const { identity } of tasks.flatMap((worker) => worker.tasks)) {
    const known = use.get(identity.team) ?? ZERO_SIZE;
    use.set(identity.team, addSize(known, identity.size));
  }
  const limited = world.config.teams.filter(({ name, quota }) =>
    use.has(name) || Object.values(quota).some((value) => value !== undefined)
  );
  return {
    workers: tasks.filter((worker) => worker.tasks.length > 0)
      .map(({ vmId, tasks }) => ({ vmId, runningTasks: tasks.length })),
    quotas: limited.map(({ name, quota }) => ({
      team: name,
      used: use.get(name) ?? ZERO_SIZE,
      quota: quota as Quota,
    })),
  };
}

/** Summarizes the jobs of one entry for its dump. */
export function summarizeJobs(
  world: JobsWorld,
  shards: readonly RunShard[],
): JobsSummary {
  const { schedulerState, nowMs } = world;
  const standings = listStandings(world);
  return {
    shards: shards.map(summarizeShard),
    pools: summarizePools(shards, nowMs),
    ...summarizeWorkers(world, shards),
    quarantined: [...schedulerState.quarantined].map(([vmId, quarantined]) => ({
      vmId,
      ...quarantined,
      standing: standings.get(vmId) ?? "normal",
    })),
    profiles: {
      classes: schedulerState.profiles.size,
      largest: schedulerState.profiles.largest(SHOWN_PROFILES),
    },
    recentDecisions: schedulerState.decisionLog.recent(SHOWN_DECISIONS),
  };
}
