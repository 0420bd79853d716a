import type { DurationEstimates } from "../duration_estimates.ts";
import { createPendingOccurrence } from "../job_order.ts";
import {
  getStep,
  hasWaitingTasks,
  listRunnableSteps,
  type TaskState,
} from "../job_state.ts";
import type { Step } from "../model.ts";
import { addDemand, createSums, type ResourceSums } from "../placed_tasks.ts";
import type { Resources, SchedulerConfig, VmInfo } from "../ports.ts";
import { resolveQueue } from "../resolve_queue.ts";
import type { Scheduler } from "../scheduler.ts";
import type { WorkerInstance } from "../worker_table.ts";
import { createQuotaCheck, type QuotaCheck } from "../workspaces/quota.ts";
import { sumUsage } from "../workspaces/usage.ts";
import { addScaled, type PoolLoad, type WaitingGroup } from "./rejection.ts";

/** Remaining times of running tasks are rounded down to a multiple of this, in ms. */
const REMAINING_STEP_MS = 250;

/** Facts from which the load of a pool is measured. */
export interface PoolLoadSources {
  readonly scheduler: Pick<
    Scheduler,
    "jobs" | "workers" | "durationEstimates"
  >;
  readonly config: SchedulerConfig | undefined;
  /** VMs of the whole fleet, by ID. */
  readonly vms: ReadonlyMap<string, VmInfo>;
  /** Whether an operation is in progress on a VM, so that it may join the pool at any time. */
  readonly isVmEnding: (vmId: string) => boolean;
  readonly wallMs: number;
  readonly monotonicMs: number;
}

type MutableGroup =
  & { -readonly [Key in keyof WaitingGroup]: WaitingGroup[Key] }
  & Record<"demand" | "largest" | "work", ResourceSums>;

/** Returns the larger amount of each resource. */
function maximumOf(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    gpuCount: Math.max(a.gpuCount, b.gpuCount),
  };
}

/** Returns what one task of a step reserves. */
export function taskDemand(step: Step): Resources {
  const demand = createSums();
  addDemand(demand, step, 1);
  return demand;
}

/** Adds a worker's capacity, of which long-running tasks hold a part. */
function addCapacity(
  sums: ResourceSums,
  capacity: Resources,
  instances: readonly WorkerInstance[],
): void {
  const room = { ...capacity };
  for (const { tasks } of instances) {
    addScaled(room, tasks.reservedLongRunning, -1);
  }
  addScaled(sums, maximumOf(room, createSums()), 1);
}

/** Measures the capacity that the pool has, and what it could get from the fleet. */
function measureCapacity(
  service: string,
  { scheduler: { workers }, vms, isVmEnding }: PoolLoadSources,
): Pick<PoolLoad, "capacity" | "lendable"> {
  const capacity = createSums();
  const lendable = createSums();
  for (const vm of vms.values()) {
    const instances = workers.listByVm(vm.vmId);
    const own = instances.find(({ registration }) =>
      registration?.service === service
    );
    if (own !== undefined) {
      // A capacity that has shrunk may grow again.
      const largest = maximumOf(own.registration!.capacity, vm.capacity);
      addCapacity(capacity, largest, instances);
    } else if (
      vm.pool === service || vm.state !== "up" || isVmEnding(vm.vmId)
    ) {
      addScaled(capacity, vm.capacity, 1);
    } else if (
      instances.every(({ tasks }) => tasks.longRunningCount === 0)
    ) addScaled(lendable, vm.capacity, 1);
  }
  for (const instance of workers.instances.values()) {
    const { registration, vmId } = instance;
    if (registration?.service === service && !vms.has(vmId)) {
      addCapacity(capacity, registration.capacity, [instance]);
    }
  }
  return { capacity, lendable };
}

/** Estimates the remaining time of a running task, in ms; 0 if it may end at any time. */
function estimateRemainingMs(
  task: TaskState,
  durations: DurationEstimates,
  monotonicMs: number,
): number {
  const { placement, job } = task;
  const step = getStep(task);
  if (
    placement === undefined || placement.stopReason !== undefined ||
    placement.inherited || step.longRunning ||
    !durations.isMeasured(job.spec.queue)
  ) return 0;
  return Math.max(
    0,
    durations.estimateMs(job.spec.queue, step.estimatedMs) -
      (monotonicMs - placement.placedAtMs),
  );
}

function measureRunning(
  service: string,
  { scheduler, monotonicMs }: PoolLoadSources,
): PoolLoad["running"] {
  const byRemainingMs = new Map<number, ResourceSums>();
  for (const { registration, tasks } of scheduler.workers.instances.values()) {
    if (registration?.service !== service) continue;
    for (const task of tasks) {
      const remainingMs = REMAINING_STEP_MS * Math.floor(
        estimateRemainingMs(task, scheduler.durationEstimates, monotonicMs) /
          REMAINING_STEP_MS,
      );
      if (remainingMs === 0) continue;
      const sums = byRemainingMs.get(remainingMs) ?? createSums();
      byRemainingMs.set(remainingMs, sums);
      addDemand(sums, getStep(task), 1);
    }
  }
  return [...byRemainingMs].map(([remainingMs, demand]) => ({
    remainingMs,
    demand,
  }));
}

/** Whether a task gets the first room that is large enough for it; others may be overtaken by jobs of a lower priority. */
function takesAnyRoom(task: TaskState, monotonicMs: number): boolean {
  return task.phase === "waiting" && task.losses.length === 0 &&
    task.avoidedWorkerId === undefined && task.notBeforeMs <= monotonicMs;
}

/** Whether tasks of a step run on any worker with room, one by one. */
function isUnconstrained(step: Step): boolean {
  return !step.longRunning && !step.gang && !step.fills &&
    step.requiredLabel === "" && step.maxPerWorker === 0;
}

/** Collects waiting tasks in groups, the number of which doesn't grow with the number of jobs. */
function createGroups() {
  const groups = new Map<string, MutableGroup>();
  return {
    groups,
    /** `keptUntilMs` is the latest start of an on-time job that has started. */
    add(
      { priority, keptUntilMs }: {
        readonly priority: number;
        readonly keptUntilMs: number | undefined;
      },
      step: Step,
      count: number,
      ms: number,
    ) {
      const kept = keptUntilMs !== undefined;
      const demand = taskDemand(step);
      const key = [
        priority,
        kept,
        ...[demand.cpuMillis, demand.memoryMb, demand.gpuCount, ms].map((
          value,
        ) => Math.floor(Math.log2(value + 1))),
      ].join();
      let group = groups.get(key);
      if (group === undefined) {
        group = {
          priority,
          kept,
          demand: createSums(),
          largest: createSums(),
          shortestMs: Infinity,
          work: createSums(),
          latestStartMs: -Infinity,
        };
        groups.set(key, group);
      }
      addScaled(group.demand, demand, count);
      addScaled(group.work, demand, count * ms);
      Object.assign(group.largest, maximumOf(group.largest, demand));
      group.shortestMs = Math.min(group.shortestMs, ms);
      group.latestStartMs = Math.max(
        group.latestStartMs,
        keptUntilMs ?? -Infinity,
      );
    },
  };
}

function createQuota(
  { scheduler, config, wallMs }: PoolLoadSources,
): QuotaCheck {
  return createQuotaCheck(
    sumUsage(scheduler.workers.instances.values()),
    config?.workspaces ?? [],
    wallMs,
  );
}

/** Groups the waiting tasks that start as soon as there is room; those that wait for something else are left out. */
function measureWaiting(
  service: string,
  sources: PoolLoadSources,
): WaitingGroup[] {
  const { scheduler, config, wallMs, monotonicMs } = sources;
  const { durationEstimates } = scheduler;
  const quota = createQuota(sources);
  const { groups, add } = createGroups();
  for (const job of scheduler.jobs.values()) {
    const queue = resolveQueue(config, job.spec);
    if (
      job.status !== "active" || queue.service !== service ||
      queue.needsAdvice || !durationEstimates.isMeasured(queue.name)
    ) continue;
    for (const occurrence of job.occurrences) {
      if (!hasWaitingTasks(job, occurrence)) continue;
      const pending = job.started && !job.spec.excess
        ? createPendingOccurrence(job, occurrence, {
          wallMs,
          durationEstimates,
          queue,
        })
        : undefined;
      const position = {
        priority: queue.priority,
        keptUntilMs: pending?.timeliness === "on_time"
          ? pending.latestStartMs
          : undefined,
      };
      for (const tasks of listRunnableSteps(job, occurrence)) {
        const step = getStep(tasks[0]!);
        if (!isUnconstrained(step)) continue;
        let count = 0;
        for (const task of tasks) {
          if (takesAnyRoom(task, monotonicMs)) count++;
        }
        if (count === 0 || !quota.allows(job.spec, step, count)) continue;
        quota.reserve(job.spec, step, count);
        const ms = durationEstimates.estimateMs(queue.name, step.estimatedMs);
        add(position, step, count, ms);
      }
    }
  }
  return [...groups.values()];
}

/** Measures the load of a service's pool; optimistic wherever something isn't known. */
export function measurePoolLoad(
  service: string,
  sources: PoolLoadSources,
): PoolLoad {
  return {
    wallMs: sources.wallMs,
    ...measureCapacity(service, sources),
    running: measureRunning(service, sources),
    waiting: measureWaiting(service, sources),
  };
}
