import { findUnattainable, type PoolCapacity } from "./attainability.ts";
import type { DurationEstimates } from "./duration_estimates.ts";
import type { PendingOccurrence } from "./job_order.ts";
import {
  addDemand,
  createSums,
  meanCapacity,
  toVmEquivalents,
  toVmShare,
} from "./placed_tasks.ts";
import type { Resources } from "./ports.ts";
import type { WorkerInstance } from "./worker_table.ts";
import type { PoolShares } from "./workspaces/fair_share.ts";

/** Measures the capacity of a pool's usable workers in VMs of the typical capacity. */
export function measureCapacity(
  workers: readonly WorkerInstance[],
  { vmCapacity, meanDurationMs, arrivingVms }: {
    readonly vmCapacity: Resources;
    readonly meanDurationMs: number;
    readonly arrivingVms: number;
  },
): PoolCapacity {
  let vms = 0;
  let busyVms = 0;
  for (const { tasks, registration } of workers) {
    if (registration === undefined) continue;
    const size = toVmShare(registration.capacity, vmCapacity);
    const reserved = toVmEquivalents(tasks.reserved, vmCapacity);
    const longRunning = toVmEquivalents(tasks.reservedLongRunning, vmCapacity);
    // A worker whose capacity has shrunk may hold more than it has; that takes nothing from the others.
    const room = Math.max(0, size - longRunning);
    const busy = reserved - longRunning;
    vms += room;
    busyVms += tasks.exceed(registration.capacity)
      ? Math.min(busy, room)
      : busy;
  }
  // On average, half of a running task's work is left.
  return { vms, arrivingVms, runningVmMs: busyVms * meanDurationMs / 2 };
}

/** Computes the work of an occurrence's tasks that aren't placed, in VM-milliseconds. */
function computeWaitingVmMs(
  { job, occurrence }: PendingOccurrence,
  durationEstimates: DurationEstimates,
  capacity: Resources,
): number {
  let vmMs = 0;
  for (const [index, tasks] of occurrence.steps.entries()) {
    const step = job.spec.steps[index]!;
    const waiting = tasks.filter(({ phase }) => phase === "waiting").length;
    if (waiting === 0) continue;
    const demand = createSums();
    addDemand(demand, step, waiting);
    vmMs += toVmEquivalents(demand, capacity) *
      durationEstimates.estimateMs(job.spec.queue, step.estimatedMs);
  }
  return vmMs;
}

/** Marks the occurrences that have to be deferred because the pool can't finish all of them on time. */
export function deferUnattainable(
  occurrences: readonly PendingOccurrence[],
  { workers, arrivingVms, durationEstimates, wallMs, shares }: {
    /** Usable workers of the pool. */
    readonly workers: readonly WorkerInstance[];
    readonly arrivingVms: number;
    readonly durationEstimates: DurationEstimates;
    readonly wallMs: number;
    /** Undefined in a deployment without workspaces. */
    readonly shares?: PoolShares | undefined;
  },
): PendingOccurrence[] {
  const [first] = occurrences;
  const vmCapacity = meanCapacity(
    workers.flatMap(({ registration }) => registration?.capacity ?? []),
  );
  if (first === undefined || vmCapacity === undefined) return [...occurrences];
  const deferred = findUnattainable(
    occurrences.map((pending) => ({
      pending,
      remainingVmMs: computeWaitingVmMs(pending, durationEstimates, vmCapacity),
    })),
    measureCapacity(workers, {
      vmCapacity,
      meanDurationMs: durationEstimates.estimateMs(first.job.spec.queue, 0),
      arrivingVms,
    }),
    wallMs,
    shares,
  );
  return occurrences.map((pending) =>
    deferred.has(pending) ? { ...pending, timeliness: "deferred" } : pending
  );
}
