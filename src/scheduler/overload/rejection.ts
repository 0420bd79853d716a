import { LATE_LIMIT_FACTOR } from "../job_order.ts";
import type { ResourceSums } from "../placed_tasks.ts";
import type { Resources } from "../ports.ts";

/** Time from the decision to lend a VM until it runs tasks, in ms; a change of pools takes 1.5 s. */
const MOVE_DURATION_MS = 1_500;
/** Share of the estimated work ahead that counts as certain; durations of single tasks deviate from their estimate by up to 30%. */
const CERTAIN_SHARE = 0.7;

const RESOURCES = ["cpuMillis", "memoryMb", "gpuCount"] as const;

/** Waiting tasks of one priority that are alike in size and duration. */
export interface WaitingGroup {
  /** 0 is the highest. */
  readonly priority: number;
  /** Whether the tasks belong to on-time jobs that have started, which deferral keeps. */
  readonly kept: boolean;
  /** Sum of what the tasks need. */
  readonly demand: Resources;
  /** Largest demand of a single task, by resource. */
  readonly largest: Resources;
  /** Shortest estimated duration of a task, in ms. */
  readonly shortestMs: number;
  /** Sum of demand times duration, in resource-milliseconds. */
  readonly work: Resources;
  /** Latest start of the kept jobs with the most time left, in ms since 1970. */
  readonly latestStartMs: number;
}

/** Load and capacity of a pool at one time. */
export interface PoolLoad {
  /** Time of the measurement, in ms since 1970. */
  readonly wallMs: number;
  /** Capacity of the pool's VMs, less what long-running tasks hold. */
  readonly capacity: Resources;
  /** Capacity of VMs that the pool doesn't have but could get. */
  readonly lendable: Resources;
  /** Demand of running tasks, by their estimated remaining time. */
  readonly running: readonly {
    readonly remainingMs: number;
    readonly demand: Resources;
  }[];
  readonly waiting: readonly WaitingGroup[];
}

/** A submitted job, of which no task has started. */
export interface SubmittedWork {
  readonly priority: number;
  readonly objectiveMs: number;
  /** Estimated duration of its critical path, in ms. */
  readonly criticalPathMs: number;
  /** Sum of demand times duration of its tasks, in resource-milliseconds. */
  readonly work: Resources;
  /** Demand of one task of its largest step. */
  readonly largest: Resources;
  /** Estimated duration of a task of its largest step, in ms. */
  readonly largestMs: number;
}

/** A job that can't finish in time: what is ahead of it, and when it could return. */
export interface Rejection {
  /** CPU work ahead of the job, in core-milliseconds. */
  readonly aheadCoreMs: number;
  /** Time until the work ahead is done, in ms; infinite if the pool can't get any capacity. */
  readonly clearsAfterMs: number;
  /** Time that the whole pool takes for the job, in ms. */
  readonly ownMs: number;
}

/** Adds `amounts` times `factor` to sums. */
export function addScaled(
  sums: ResourceSums,
  amounts: Resources,
  factor: number,
): void {
  for (const resource of RESOURCES) {
    sums[resource] += amounts[resource] * factor;
  }
}

const fitsInto = (demand: Resources, room: Resources) =>
  RESOURCES.every((resource) => demand[resource] <= room[resource]);

/** Returns the work that the pool can do until `elapsedMs` after the measurement if every VM is used completely. */
function capacityUntil(
  { capacity, lendable }: PoolLoad,
  resource: keyof Resources,
  elapsedMs: number,
): number {
  return capacity[resource] * elapsedMs +
    lendable[resource] * Math.max(0, elapsedMs - MOVE_DURATION_MS);
}

/** Returns the time in which the pool does some work, in ms. */
function timeFor(
  { capacity, lendable }: PoolLoad,
  resource: keyof Resources,
  work: number,
): number {
  if (work <= capacity[resource] * MOVE_DURATION_MS) {
    return work === 0 ? 0 : work / capacity[resource];
  }
  const all = capacity[resource] + lendable[resource];
  return all === 0
    ? Infinity
    : (work + lendable[resource] * MOVE_DURATION_MS) / all;
}

/**
 * Decides whether a job certainly can't finish within three times its
 * objective, even if nothing else arrives, every VM that may be lent is lent,
 * and tasks pack exactly. Returns undefined if it may finish.
 *
 * Ahead of the job are the running tasks and those that get room before the
 * tasks of its largest step: waiting tasks of a higher priority, and those of
 * started jobs of its own priority until their latest start. Tasks larger than
 * its own aren't ahead, because its tasks use the room that is too small for
 * them; neither are jobs of its priority that haven't started, because deferral
 * puts the job with the most time left first. The job's tasks start when those
 * ahead have started, so each of those counts for the time of one of its tasks
 * at most.
 */
export function findRejection(
  load: PoolLoad,
  job: SubmittedWork,
  wallMs: number,
): Rejection | undefined {
  const leftMs = LATE_LIMIT_FACTOR * job.objectiveMs;
  const elapsedMs = wallMs - load.wallMs;
  const latestStartMs = wallMs + job.objectiveMs - job.criticalPathMs;
  const isAhead = (group: WaitingGroup) =>
    fitsInto(group.largest, job.largest) &&
    (group.priority < job.priority ||
      (group.priority === job.priority && group.kept &&
        group.latestStartMs <= latestStartMs));
  const ahead = load.waiting.filter(isAhead);
  let isRejection = false;
  let clearsAfterMs = 0;
  let ownMs = 0;
  let aheadCoreMs = 0;
  for (const resource of RESOURCES) {
    if (job.largest[resource] === 0) continue;
    let certain = 0;
    let kept = 0;
    let expected = 0;
    for (const { remainingMs, demand } of load.running) {
      certain += demand[resource] * Math.min(remainingMs, elapsedMs + leftMs);
      expected += demand[resource] * remainingMs;
    }
    for (const group of ahead) {
      const part = group.demand[resource] *
        Math.min(group.shortestMs, job.largestMs);
      if (group.priority < job.priority) certain += part;
      else kept += part;
      expected += group.work[resource];
    }
    certain += Math.min(
      kept,
      capacityUntil(load, resource, latestStartMs - load.wallMs),
    );
    isRejection ||= (certain + job.work[resource]) * CERTAIN_SHARE >
      capacityUntil(load, resource, elapsedMs + leftMs);
    clearsAfterMs = Math.max(
      clearsAfterMs,
      timeFor(load, resource, expected) - elapsedMs,
    );
    ownMs = Math.max(
      ownMs,
      job.work[resource] / (load.capacity[resource] + load.lendable[resource]),
    );
    if (resource === "cpuMillis") aheadCoreMs = expected / 1_000;
  }
  return isRejection ? { aheadCoreMs, clearsAfterMs, ownMs } : undefined;
}
