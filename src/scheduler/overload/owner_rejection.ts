import type { Clock } from "../../clock.ts";
import type { Logger } from "../../logger.ts";
import type { Metric } from "../../metrics.ts";
import { criticalPathMs } from "../duration_estimates.ts";
import { computeObjectiveMs } from "../job_order.ts";
import { createJobState } from "../job_state.ts";
import type { JobSpec } from "../model.ts";
import { createSums } from "../placed_tasks.ts";
import type { QueueConfig, SchedulerConfig } from "../ports.ts";
import { resolveQueue } from "../resolve_queue.ts";
import type { Scheduler } from "../scheduler.ts";
import {
  createReturnSlotTable,
  type ReturnSlots,
} from "../workspaces/return_slots.ts";
import {
  measurePoolLoad,
  type PoolLoadSources,
  taskDemand,
} from "./pool_load.ts";
import {
  addScaled,
  findRejection,
  type PoolLoad,
  type Rejection,
  type SubmittedWork,
} from "./rejection.ts";

/** Minimum time for which a measured load is used, in ms, so that the cost doesn't grow with the number of submissions. */
const LOAD_VALID_MS = 100;
/** Time for which a load is used relative to the duration of its measurement, so that measurements take at most 5% of the owner's time. */
const MEASUREMENT_PAUSE_FACTOR = 20;

/** Dependencies of the owner's overload rejection. */
export interface OverloadRejectionOptions
  extends Pick<PoolLoadSources, "isVmEnding"> {
  readonly scheduler: PoolLoadSources["scheduler"] & Pick<Scheduler, "hasJob">;
  readonly clock: Clock;
  readonly log: Logger;
  readonly config: () => SchedulerConfig | undefined;
  /** Whether a service's pool needs more VMs than the fleet has. */
  readonly isScarce: (service: string) => boolean;
  /** VMs of the whole fleet, by ID. */
  readonly vms: () => PoolLoadSources["vms"];
}

/** Number of decisions about the submissions of a queue whose pool was short of VMs. */
export interface RejectionCounts {
  attainable: number;
  rejected: number;
}

/** Rejects jobs that can't finish in time. */
export interface OverloadRejection {
  /** Returns the time after which the caller should return, in ms; undefined if the job isn't rejected. */
  check(spec: JobSpec): number | undefined;
  /** Decisions of this tenure by queue. */
  readonly counts: ReadonlyMap<string, Readonly<RejectionCounts>>;
}

interface PoolState {
  load: PoolLoad;
  /** Monotonic time until which the load is used, in ms. */
  validUntilMs: number;
  readonly slots: ReturnSlots;
  /** Monotonic time of the latest slot, in ms. */
  lastSlotAtMs: number;
}

/** Describes a job for the decision. */
function describeWork(
  spec: JobSpec,
  queue: QueueConfig,
  { durationEstimates }: OverloadRejectionOptions["scheduler"],
): SubmittedWork {
  const job = createJobState(spec);
  const work = createSums();
  let largest = createSums();
  let largestMs = 0;
  for (const step of spec.steps) {
    const demand = taskDemand(step);
    const ms = durationEstimates.estimateMs(spec.queue, step.estimatedMs);
    addScaled(work, demand, step.taskCount * ms);
    if (largestMs === 0 || demand.cpuMillis > largest.cpuMillis) {
      largest = { ...demand };
      largestMs = ms;
    }
  }
  return {
    priority: queue.priority,
    objectiveMs: computeObjectiveMs(job, durationEstimates, queue),
    criticalPathMs: criticalPathMs(job, durationEstimates),
    work,
    largest,
    largestMs,
  };
}

/** Creates the overload rejection of one tenure. */
export function createOverloadRejection(
  options: OverloadRejectionOptions,
): OverloadRejection {
  const { scheduler, clock, log } = options;
  const table = createReturnSlotTable(() => clock.monotonicMs());
  const pools = new Map<string, PoolState>();
  const counts = new Map<string, RejectionCounts>();

  /** Whether the decision applies; only measured durations are certain enough to reject a job. */
  function isSubject(spec: JobSpec, service: string): boolean {
    return options.isScarce(service) && options.vms().size > 0 &&
      !scheduler.hasJob(spec.jobId) && spec.repeatCount === 0 &&
      !spec.steps.some(({ longRunning }) => longRunning) &&
      scheduler.durationEstimates.isMeasured(spec.queue);
  }

  function resolvePool(service: string): PoolState {
    const monotonicMs = clock.monotonicMs();
    const known = pools.get(service);
    if (known !== undefined && monotonicMs < known.validUntilMs) return known;
    const load = measurePoolLoad(service, {
      scheduler,
      config: options.config(),
      vms: options.vms(),
      isVmEnding: options.isVmEnding,
      wallMs: clock.wallMs(),
      monotonicMs,
    });
    const pool = known ??
      { load, validUntilMs: 0, slots: table.createSlots(), lastSlotAtMs: 0 };
    pool.load = load;
    const durationMs = clock.monotonicMs() - monotonicMs;
    pool.validUntilMs = monotonicMs +
      Math.max(LOAD_VALID_MS, durationMs * MEASUREMENT_PAUSE_FACTOR);
    pools.set(service, pool);
    return pool;
  }

  /** Assigns the next slot of the pool; a caller that returns too early keeps its slot. */
  function assignSlot(
    { jobId }: JobSpec,
    pool: PoolState,
    { clearsAfterMs, ownMs }: Rejection,
  ): number {
    pool.slots.removeExpired();
    const known = pool.slots.find(jobId);
    if (known !== undefined && !pool.slots.isDue(known)) {
      return pool.slots.retryAfterMs(known);
    }
    const delayMs = Math.max(
      clearsAfterMs,
      pool.lastSlotAtMs + ownMs - clock.monotonicMs(),
    );
    const slot = pool.slots.assign(jobId, delayMs);
    if (slot !== undefined) pool.lastSlotAtMs = slot.atMs;
    return pool.slots.retryAfterMs(slot);
  }

  return {
    counts,
    check(spec) {
      const queue = resolveQueue(options.config(), spec);
      if (!isSubject(spec, queue.service)) return undefined;
      const count = counts.get(spec.queue) ?? { attainable: 0, rejected: 0 };
      counts.set(spec.queue, count);
      const pool = resolvePool(queue.service);
      const work = describeWork(spec, queue, scheduler);
      const rejection = findRejection(pool.load, work, clock.wallMs());
      if (rejection === undefined) {
        count.attainable++;
        pool.slots.remove(spec.jobId);
        return undefined;
      }
      count.rejected++;
      const retryAfterMs = assignSlot(spec, pool, rejection);
      log.info("job rejected: it can't finish in time", {
        job: spec.jobId,
        queue: spec.queue,
        pool: queue.service,
        aheadCoreMs: Math.round(rejection.aheadCoreMs),
        objectiveMs: Math.round(work.objectiveMs),
        retryAfterMs,
      });
      return retryAfterMs;
    },
  };
}

/** Returns the metrics of the overload rejection. */
export function rejectionMetrics(
  counts: OverloadRejection["counts"],
): Metric[] {
  return [...counts].flatMap(([queue, decisions]) =>
    Object.entries(decisions).map(([decision, value]): Metric => ({
      kind: "counter",
      name: "cowslipferry_overload_submissions_total",
      help: "Decisions about submissions to pools short of VMs, in this tenure",
      labels: { queue, decision },
      value,
    }))
  );
}
