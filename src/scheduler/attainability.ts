import {
  comparePendingOccurrences,
  type PendingOccurrence,
} from "./job_order.ts";
import {
  createDeferralQueue,
  type PoolShares,
} from "./workspaces/fair_share.ts";

/** Share of a pool's capacity that placed tasks use under load; tasks don't pack exactly into a VM. */
const USABLE_SHARE = 0.85;
/** Mean time until a VM that is on its way into a pool runs tasks, in ms. */
const ARRIVAL_DELAY_MS = 1_000;

/** Share of a job's remaining duration by which its slowest tasks exceed the estimate. */
const SLOWEST_TASK_SHARE = 0.3;

/** Capacity of a service's pool, in VMs. */
export interface PoolCapacity {
  /** VMs that run tasks, less the part that long-running tasks occupy. */
  readonly vms: number;
  /** VMs that are on their way into the pool. */
  readonly arrivingVms: number;
  /** Remaining work of the tasks that run now, in VM-milliseconds. */
  readonly runningVmMs: number;
}

/** An occurrence with its remaining work. */
export interface PendingWork {
  readonly pending: PendingOccurrence;
  /** Remaining work in VM-milliseconds; the scarcest resource decides. */
  readonly remainingVmMs: number;
}

/** Returns the work that the pool can finish until a time, in VM-milliseconds. */
function capacityUntil(
  { vms, arrivingVms, runningVmMs }: PoolCapacity,
  timeLeftMs: number,
): number {
  const vmMs = vms * timeLeftMs +
    arrivingVms * Math.max(0, timeLeftMs - ARRIVAL_DELAY_MS);
  return vmMs * USABLE_SHARE - runningVmMs;
}

/**
 * Finds jobs to defer when not all jobs that are on time can stay so. Starting
 * them by their latest start would make nearly all of them a little late, as
 * each one delays the next. Jobs that run already are kept; of the others those
 * with the least time left are deferred, whatever their size. With `shares`,
 * excess jobs are deferred first, then those of the workspace furthest above its
 * share, and of its jobs those with the least time left.
 */
export function findUnattainable(
  works: readonly PendingWork[],
  capacity: PoolCapacity,
  wallMs: number,
  shares?: PoolShares,
): Set<PendingOccurrence> {
  const deferred = new Set<PendingOccurrence>();
  const candidates = works.filter(({ pending }) =>
    pending.timeliness === "on_time" && !pending.longRunning
  ).sort((a, b) => comparePendingOccurrences(a.pending, b.pending));
  /** Kept jobs that may be deferred. */
  let deferrable = createDeferralQueue<PendingWork>(shares);
  let keptVmMs = 0;
  let priority: number | undefined;
  let excess = false;
  for (const work of candidates) {
    const { pending } = work;
    if (pending.priority !== priority || pending.excess !== excess) {
      // Jobs with a higher priority keep their place, and so do jobs that aren't excess when excess ones follow.
      deferrable = createDeferralQueue(shares);
      ({ priority, excess } = pending);
    }
    keptVmMs += work.remainingVmMs;
    if (!pending.job.started) deferrable.add(work);
    const tailMs = SLOWEST_TASK_SHARE *
      (pending.deadlineMs - pending.latestStartMs);
    const attainable = capacityUntil(
      capacity,
      pending.deadlineMs - tailMs - wallMs,
    );
    while (keptVmMs > attainable) {
      const dropped = deferrable.take();
      if (dropped === undefined) break;
      keptVmMs -= dropped.remainingVmMs;
      deferred.add(dropped.pending);
    }
  }
  return deferred;
}
