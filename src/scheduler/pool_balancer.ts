import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import type { DemandForecast } from "./demand_forecast.ts";
import { createPendingOccurrence } from "./job_order.ts";
import { getStep, hasWaitingTasks, listRunnableSteps } from "./job_state.ts";
import {
  addDemand,
  createSums,
  meanCapacity,
  toVmEquivalents,
} from "./placed_tasks.ts";
import { type PlannedPool, type PlannedVm, planPools } from "./pool_plan.ts";
import type { Resources, SchedulerConfig } from "./ports.ts";
import { resolveQueue } from "./resolve_queue.ts";
import type { Scheduler } from "./scheduler.ts";
import type { VmStates } from "./vm_states.ts";

/** Moves VMs between pools to follow demand. */
export interface PoolBalancer {
  /** Plans the pools once and sends the resulting orders. */
  balance(): void;
  /** Number of VMs that each pool needed in the latest plan. */
  targets(): Readonly<Record<string, number>>;
  /** Whether a pool's tasks needed more VMs than the fleet had in the latest plan. */
  isScarce(pool: string): boolean;
}

/** Creates the pool balancer for one tenure. */
export function createPoolBalancer(options: {
  readonly vmStates: VmStates;
  readonly scheduler: Scheduler;
  readonly forecast: DemandForecast;
  readonly config: () => SchedulerConfig | undefined;
  readonly clock: Clock;
  readonly log: Logger;
}): PoolBalancer {
  const { vmStates, scheduler, clock, log } = options;
  const lastBusyAtMs = new Map<string, number>();
  let lastTargets: Readonly<Record<string, number>> = {};
  let scarcePools: readonly string[] = [];
  let surgeSeen = false;

  /** Mean capacity of the pool's workers that have responded, as they report it; if there are none, of its VMs, or of all VMs. */
  function typicalCapacity(pool: string): Resources | undefined {
    const vms = [...vmStates.list().values()];
    const reported = [...scheduler.workers.instances.values()].flatMap(
      ({ registration, link }) =>
        registration?.service === pool && link?.hasResponded
          ? registration.capacity
          : [],
    );
    return meanCapacity(reported) ??
      meanCapacity(
        vms.filter((vm) => vm.pool === pool).map(({ capacity }) => capacity),
      ) ?? meanCapacity(vms.map(({ capacity }) => capacity));
  }

  /** Measures the demand of a service's pool, in VMs. */
  function measureDemand(
    service: string,
    config: SchedulerConfig,
  ): Pick<
    PlannedPool,
    "usedVms" | "waitingVms" | "lateVms" | "longestWaitMs" | "expectedVms"
  > {
    const capacity = typicalCapacity(service);
    if (capacity === undefined) {
      return {
        usedVms: 0,
        waitingVms: 0,
        lateVms: 0,
        longestWaitMs: 0,
        expectedVms: 0,
      };
    }
    const used = createSums();
    const waiting = createSums();
    const late = createSums();
    const wallMs = clock.wallMs();
    let longestWaitMs = 0;
    for (
      const { registration, tasks } of scheduler.workers.instances.values()
    ) {
      if (registration?.service !== service) continue;
      used.cpuMillis += tasks.reserved.cpuMillis;
      used.memoryMb += tasks.reserved.memoryMb;
      used.gpuCount += tasks.reserved.gpuCount;
    }
    for (const job of scheduler.jobs.values()) {
      if (job.status !== "active") continue;
      const queue = resolveQueue(config, job.spec);
      if (queue.service !== service) continue;
      for (const occurrence of job.occurrences) {
        if (!hasWaitingTasks(job, occurrence)) continue;
        for (const tasks of listRunnableSteps(job, occurrence)) {
          const waitingTasks = tasks.filter(({ phase }) => phase === "waiting");
          if (waitingTasks.length > 0) {
            const { timeliness, longRunning } = createPendingOccurrence(
              job,
              occurrence,
              {
                wallMs,
                durationEstimates: scheduler.durationEstimates,
                queue,
              },
            );
            addDemand(
              longRunning || timeliness === "on_time" ? waiting : late,
              getStep(waitingTasks[0]!),
              waitingTasks.length,
            );
          }
          for (const task of waitingTasks) {
            task.waitingSinceMs ??= clock.monotonicMs();
            longestWaitMs = Math.max(
              longestWaitMs,
              clock.monotonicMs() - task.waitingSinceMs,
            );
          }
        }
      }
    }
    return {
      usedVms: toVmEquivalents(used, capacity),
      waitingVms: toVmEquivalents(waiting, capacity),
      lateVms: toVmEquivalents(late, capacity),
      longestWaitMs,
      expectedVms: options.forecast.forecastCores(service) * 1_000 /
        Math.max(1, capacity.cpuMillis),
    };
  }

  function describeVms(nowMs: number): PlannedVm[] {
    const plannedVms: PlannedVm[] = [];
    for (const vm of vmStates.list().values()) {
      if (vm.state !== "up" || vmStates.isUnavailable(vm.vmId)) {
        // The idle time of a returning VM starts when it is back.
        lastBusyAtMs.set(vm.vmId, nowMs);
        continue;
      }
      const instances = scheduler.workers.listByVm(vm.vmId);
      let taskCount = 0;
      let longRunningTasks = 0;
      for (const { tasks } of instances) {
        taskCount += tasks.size;
        longRunningTasks += tasks.longRunningCount;
      }
      if (taskCount > 0 || !lastBusyAtMs.has(vm.vmId)) {
        lastBusyAtMs.set(vm.vmId, nowMs);
      }
      plannedVms.push({
        vmId: vm.vmId,
        pool: vm.pool,
        taskCount,
        longRunningTasks,
        idleMs: nowMs - (lastBusyAtMs.get(vm.vmId) ?? nowMs),
        cordoned: vmStates.cordonedForMove.has(vm.vmId),
        movable: vmStates.isOrderable(vm) &&
          !vmStates.cordonedForMaintenance.has(vm.vmId) &&
          instances.every((instance) =>
            instance.registration?.state !== "draining"
          ),
      });
    }
    return plannedVms;
  }

  function balance(): void {
    const config = options.config();
    if (config === undefined || vmStates.list().size === 0) return;
    const nowMs = clock.monotonicMs();
    const arriving = vmStates.countArriving();
    const pools = config.services.map((name) => ({
      name,
      spare: config.sparePools.includes(name),
      ...measureDemand(name, config),
      arriving: arriving.get(name) ?? 0,
    }));
    const plan = planPools(pools, describeVms(nowMs), { surgeSeen });
    surgeSeen ||= plan.surging;
    lastTargets = plan.targets;
    scarcePools = plan.scarcePools;
    for (const vmId of plan.cordons) vmStates.cordonedForMove.set(vmId, nowMs);
    for (const vmId of plan.uncordons) vmStates.cordonedForMove.delete(vmId);
    for (const { vmId, from, to } of plan.moves) {
      vmStates.cordonedForMove.set(vmId, nowMs);
      log.info("VM changes its pool", {
        vm: vmId,
        from,
        to,
        targets: plan.targets,
        demand: pools.find(({ name }) => name === to),
      });
      vmStates.sendOrder(vmId, { kind: "move", pool: to });
    }
  }

  return {
    balance,
    targets: () => lastTargets,
    isScarce: (pool) => scarcePools.includes(pool),
  };
}
