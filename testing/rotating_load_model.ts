import {
  createDemandForecast,
  type DemandForecast,
} from "../src/scheduler/demand_forecast.ts";
import {
  type PlannedPool,
  type PlannedVm,
  planPools,
} from "../src/scheduler/pool_plan.ts";

/** Time step of the simulation, in ms. */
const STEP_MS = 50;
/** Interval between planning decisions, in ms. */
const PLANNING_INTERVAL_MS = 200;
/** Time from ordering a move to the first task on the moved VM, in ms. */
const MOVE_DURATION_MS = 1_900;

/** A service and its load. */
export interface SimulatedService {
  readonly name: string;
  /** Mean job rate over a full cycle of peaks. */
  readonly jobsPerSecond: number;
  /** Number of cores that a running job occupies. */
  readonly jobCores: number;
  /** Run time of a job, in ms. */
  readonly jobMs: number;
  /** Initial number of VMs in the service's pool. */
  readonly vms: number;
}

/** Policy that assigns VMs to pools: no moves, lending at a utilization threshold, or the scheduler's pool plan. */
export type AllocationPolicy = "fixed" | "threshold" | "plan";

/** Results of a simulation. */
export interface SimulationResult {
  /** Number of jobs that arrived. */
  readonly jobs: number;
  /** Number of jobs that waited longer for capacity than `maximumWaitMs`. */
  readonly late: number;
  readonly meanWaitMs: number;
  /** Total time of VMs in pools other than the spare pool, in seconds. */
  readonly vmSeconds: number;
  /** Number of VMs moved between pools. */
  readonly moves: number;
}

interface Job {
  readonly service: SimulatedService;
  readonly arrivedMs: number;
  endsMs: number;
  vm: ModelVm | undefined;
}

interface ModelVm {
  readonly id: string;
  pool: string;
  readonly cores: number;
  usedCores: number;
  jobs: number;
  cordoned: boolean;
  movingUntilMs: number;
  idleSinceMs: number;
}

/** Returns the arrival rate of a service in jobs per second: up to five times the mean in a peak, otherwise a twentieth of the mean. */
function rateAt(
  services: readonly SimulatedService[],
  index: number,
  timeMs: number,
  peakIntervalMs: number,
): number {
  const cycleMs = peakIntervalMs * services.length;
  const phaseMs = ((timeMs - index * peakIntervalMs) % cycleMs + cycleMs) %
    cycleMs;
  const meanPerSecond = services[index]!.jobsPerSecond;
  // A peak lasts for 1.2 peak intervals, so that consecutive peaks overlap.
  if (phaseMs >= peakIntervalMs * 1.2) return meanPerSecond * 0.05;
  return meanPerSecond * 5 *
    Math.sin(Math.PI * phaseMs / (peakIntervalMs * 1.2)) ** 2;
}

/** Simulates pools of VMs whose services have load peaks one after the other. */
export function simulateRotatingPeaks(options: {
  readonly services: readonly SimulatedService[];
  readonly spareVms: number;
  readonly vmCores: number;
  readonly peakIntervalMs: number;
  readonly durationMs: number;
  readonly maximumWaitMs: number;
  readonly policy: AllocationPolicy;
  /** Part of each peak interval in which no job arrives; its jobs arrive right afterwards. */
  readonly pause?: { readonly afterMs: number; readonly forMs: number };
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}): SimulationResult {
  const { services, policy, random } = options;
  let nowMs = 0;
  const forecast: DemandForecast = createDemandForecast(() => nowMs);
  const vms: ModelVm[] = [];
  let surgeSeen = false;
  const addVms = (pool: string, count: number) => {
    for (let index = 0; index < count; index++) {
      vms.push({
        id: `${pool}-${index}`,
        pool,
        cores: options.vmCores,
        usedCores: 0,
        jobs: 0,
        cordoned: false,
        movingUntilMs: 0,
        idleSinceMs: 0,
      });
    }
  };
  for (const service of services) addVms(service.name, service.vms);
  addVms("spare", options.spareVms);
  let waiting: Job[] = [];
  let running: Job[] = [];
  const result = { jobs: 0, late: 0, waitMs: 0, vmMs: 0, moves: 0 };
  /** Number of jobs of each service that arrive after the pause. */
  const deferredArrivals = services.map(() => 0);

  function move(id: string, to: string): void {
    const vm = vms.find((candidate) => candidate.id === id)!;
    vm.pool = to;
    vm.cordoned = false;
    vm.movingUntilMs = nowMs + MOVE_DURATION_MS;
    vm.idleSinceMs = vm.movingUntilMs;
    result.moves++;
  }

  const isOnTime = (job: Job) => nowMs - job.arrivedMs <= options.maximumWaitMs;

  function plan(): void {
    const pools: PlannedPool[] = [
      ...services.map(({ name }): PlannedPool => {
        const waitingJobs = waiting.filter((job) => job.service.name === name);
        const cores = (jobs: readonly Job[]) =>
          jobs.reduce((sum, job) => sum + job.service.jobCores, 0);
        return {
          name,
          spare: false,
          usedVms: cores(running.filter((job) => job.service.name === name)) /
            options.vmCores,
          waitingVms: cores(waitingJobs.filter(isOnTime)) / options.vmCores,
          lateVms: cores(waitingJobs.filter((job) => !isOnTime(job))) /
            options.vmCores,
          longestWaitMs: Math.max(
            0,
            ...waitingJobs.map((job) => nowMs - job.arrivedMs),
          ),
          expectedVms: forecast.forecastCores(name) / options.vmCores,
          arriving: vms.filter((vm) =>
            vm.pool === name && vm.movingUntilMs > nowMs
          ).length,
        };
      }),
      {
        name: "spare",
        spare: true,
        usedVms: 0,
        waitingVms: 0,
        lateVms: 0,
        longestWaitMs: 0,
        expectedVms: 0,
        arriving: 0,
      },
    ];
    const plannedVms = vms.filter((vm) => vm.movingUntilMs <= nowMs).map((
      vm,
    ): PlannedVm => ({
      vmId: vm.id,
      pool: vm.pool,
      taskCount: vm.jobs,
      longRunningTasks: 0,
      idleMs: nowMs - vm.idleSinceMs,
      cordoned: vm.cordoned,
      movable: true,
    }));
    const planned = planPools(pools, plannedVms, { surgeSeen });
    surgeSeen ||= planned.surging;
    for (const { vmId, to } of planned.moves) move(vmId, to);
    for (const vm of vms) {
      if (planned.cordons.includes(vm.id)) vm.cordoned = true;
      if (planned.uncordons.includes(vm.id)) vm.cordoned = false;
    }
  }

  /** Baseline policy: lends one idle VM of a pool with more than two VMs to each pool that uses at least 80 % of its cores. */
  function lendByThreshold(): void {
    for (const { name } of services) {
      const poolVms = vms.filter((vm) => vm.pool === name);
      const usedCores = poolVms.reduce((sum, vm) => sum + vm.usedCores, 0);
      if (usedCores < poolVms.length * options.vmCores * 0.8) continue;
      const idle = vms.find((vm) =>
        vm.pool !== name && vm.jobs === 0 && vm.movingUntilMs <= nowMs &&
        vms.filter((other) => other.pool === vm.pool).length > 2
      );
      if (idle !== undefined) move(idle.id, name);
    }
  }

  function startJobs(): void {
    waiting = waiting.filter((job) => {
      const vm = vms.filter((candidate) =>
        candidate.pool === job.service.name && !candidate.cordoned &&
        candidate.movingUntilMs <= nowMs &&
        candidate.cores - candidate.usedCores >= job.service.jobCores
      ).sort((a, b) =>
        b.usedCores - a.usedCores
      )[0];
      if (vm === undefined) return true;
      vm.usedCores += job.service.jobCores;
      vm.jobs++;
      job.vm = vm;
      job.endsMs = nowMs + job.service.jobMs;
      const waitMs = nowMs - job.arrivedMs;
      result.waitMs += waitMs;
      if (waitMs > options.maximumWaitMs) result.late++;
      running.push(job);
      return false;
    });
  }

  for (; nowMs < options.durationMs; nowMs += STEP_MS) {
    running = running.filter((job) => {
      if (job.endsMs > nowMs) return true;
      job.vm!.usedCores -= job.service.jobCores;
      job.vm!.jobs--;
      if (job.vm!.jobs === 0) job.vm!.idleSinceMs = nowMs;
      return false;
    });
    const phaseMs = nowMs % options.peakIntervalMs;
    const { pause } = options;
    const paused = pause !== undefined && phaseMs >= pause.afterMs &&
      phaseMs < pause.afterMs + pause.forMs;
    services.forEach((service, index) => {
      const expected = rateAt(services, index, nowMs, options.peakIntervalMs) *
        STEP_MS / 1_000;
      let arrivals = Math.floor(expected);
      if (random() < expected - arrivals) arrivals++;
      deferredArrivals[index]! += arrivals;
      if (paused) return;
      for (; deferredArrivals[index]! > 0; deferredArrivals[index]!--) {
        result.jobs++;
        forecast.record(service.name, service.jobCores * service.jobMs);
        waiting.push({ service, arrivedMs: nowMs, endsMs: 0, vm: undefined });
      }
    });
    startJobs();
    if (nowMs % PLANNING_INTERVAL_MS === 0) {
      if (policy === "plan") plan();
      else if (policy === "threshold") lendByThreshold();
    }
    result.vmMs += vms.filter((vm) => vm.pool !== "spare").length * STEP_MS;
  }
  // Jobs that are still waiting at the end count as late.
  result.late += waiting.length;
  return {
    jobs: result.jobs,
    late: result.late,
    meanWaitMs: result.waitMs / Math.max(1, result.jobs),
    vmSeconds: result.vmMs / 1_000,
    moves: result.moves,
  };
}
