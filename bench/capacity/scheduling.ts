import { performance } from "node:perf_hooks";
import { createTrialWorkers } from "../../src/scheduler/crashes/trial_workers.ts";
import { createDemandForecast } from "../../src/scheduler/demand_forecast.ts";
import type { Clock } from "../../src/clock.ts";
import { silentLogger } from "../../src/logger.ts";
import type { Journal } from "../../src/scheduler/journal.ts";
import { type JobSpec, jobSpecSchema } from "../../src/scheduler/model.ts";
import { PlacedTasks } from "../../src/scheduler/placed_tasks.ts";
import { planPlacements } from "../../src/scheduler/placement_planner.ts";
import { createPoolBalancer } from "../../src/scheduler/pool_balancer.ts";
import type { SchedulerConfig, VmInfo } from "../../src/scheduler/ports.ts";
import {
  createScheduler,
  type Scheduler,
} from "../../src/scheduler/scheduler.ts";
import type { VmStates } from "../../src/scheduler/vm_states.ts";
import type { WorkerLink } from "../../src/scheduler/worker_link.ts";
import { tasksOnVm } from "../../src/scheduler/worker_table.ts";
import { createFairShare } from "../../src/scheduler/workspaces/fair_share.ts";
import { createWaitLog } from "../../src/scheduler/workspaces/wait_log.ts";
import type { ReportTable } from "../report.ts";

/** Numbers of workers that are measured. */
const WORKER_COUNTS = [100, 400, 1_400];
const SERVICES = ["quoting", "cutshop", "survey", "dispatch"];
/** Active jobs of eight tasks per worker, most of which run. */
const JOBS_PER_WORKER = 0.6;
const TASKS_PER_JOB = 8;
const ROUNDS = 60;
const WARM_UP_ROUNDS = 20;

/** Processor time of an owner's periodic decisions at one number of workers, in ms per round. */
export interface SchedulingCost {
  readonly workers: number;
  /** A round in which nothing can be placed. */
  readonly idleRoundMs: number;
  /** A round that places one job of eight tasks. */
  readonly placementRoundMs: number;
  /** A decision of the pool balancer. */
  readonly balanceMs: number;
}

const clock: Clock = {
  wallMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};

const CONFIG: SchedulerConfig = {
  version: 1,
  queues: SERVICES.map((service) => ({
    name: service,
    host: `${service}.example`,
    pathPrefix: "/",
    service,
    priority: 0,
    maximumAttempts: 3,
    stretch: 2,
    targetDurationMs: 500,
    needsAdvice: false,
  })),
  sparePools: [],
  services: SERVICES,
  maximumBodyBytes: 100_000,
};

/** Stores records at once, so that placed tasks count as started. */
const journal: Journal = {
  put: ({ onStored }) => onStored?.(),
  afterFlush: (callback) => callback(),
  pending: () => 0,
  run: () => {
    throw new Error("the benchmark's journal has no task");
  },
};

function createJob(number: number): JobSpec {
  const queue = SERVICES[number % SERVICES.length]!;
  return jobSpecSchema.parse({
    jobId: number.toString(16).padStart(16, "0"),
    queue,
    service: queue,
    maximumAttempts: 3,
    specification: "",
    steps: [{
      taskCount: TASKS_PER_JOB,
      cpuMillis: 4_500,
      memoryMb: 8_000,
      estimatedMs: 800,
    }],
    acceptedAtMs: clock.wallMs(),
  });
}

function addWorkers(scheduler: Scheduler, count: number): VmInfo[] {
  return Array.from({ length: count }, (_, index): VmInfo => {
    const registration = {
      workerId: `worker-${index}`,
      vmId: `vm-${index}`,
      service: SERVICES[index % SERVICES.length]!,
      address: "",
      dataCentre: "dc-1",
      state: "ready" as const,
      capacity: { cpuMillis: 32_000, memoryMb: 65_536, gpuCount: 0 },
      labels: [],
      rack: `rack-${Math.floor(index / 12)}`,
      bornAtMs: 1,
      remainingMs: undefined,
    };
    scheduler.workers.add({
      workerId: registration.workerId,
      bornAtMs: registration.bornAtMs,
      vmId: registration.vmId,
      link: {
        registration,
        hasResponded: true,
        silentMs: () => 0,
        start: () => Promise.resolve({ kind: "done" as const }),
        stop: () => Promise.resolve({ kind: "done" as const }),
      } as unknown as WorkerLink,
      registration,
      missingSinceMs: undefined,
      draining: false,
      tasks: new PlacedTasks(),
      joinedAtMs: 0,
      earlierLeasesEndMs: 0,
    });
    return {
      vmId: registration.vmId,
      pool: registration.service,
      state: "up",
      dataCentre: registration.dataCentre,
      rack: registration.rack,
      capacity: registration.capacity,
      workerId: registration.workerId,
    };
  });
}

function createVmStates(
  scheduler: Scheduler,
  vms: readonly VmInfo[],
): VmStates {
  const list = new Map(vms.map((vm) => [vm.vmId, vm]));
  return {
    list: () => list,
    orders: { active: new Map() },
    returning: new Map(),
    cordonedForMove: new Map(),
    cordonedForMaintenance: new Map(),
    listTasks: (vmId: string) => tasksOnVm(scheduler.workers, vmId),
    isOrderable: () => true,
    isCordoned: () => false,
    isUnavailable: () => false,
    countArriving: () => new Map(),
    trialWorkers: createTrialWorkers(),
    sendOrder() {},
  } as unknown as VmStates;
}

/** Returns the mean processor time of a round after the warm-up, in ms. */
function measureRounds(round: () => void): number {
  for (let index = 0; index < WARM_UP_ROUNDS; index++) round();
  const startedAtMs = performance.now();
  for (let index = 0; index < ROUNDS; index++) round();
  return (performance.now() - startedAtMs) / ROUNDS;
}

function measureScheduling(workers: number): SchedulingCost {
  const scheduler = createScheduler({
    journal,
    clock,
    log: silentLogger,
    config: () => CONFIG,
    mayOrder: () => true,
    isOrdered: () => false,
    onChange() {},
  });
  const vms = addWorkers(scheduler, workers);
  const planner = {
    scheduler,
    tickets: {
      find: () => undefined,
      allowedWorkers: () => new Set<string>(),
      forgetWorker() {},
    } as never,
    clock,
    log: silentLogger,
    isCordoned: () => false,
    isScarce: () => false,
    countArriving: () => new Map(),
    trialWorkers: createTrialWorkers(),
    fairShare: createFairShare({ nowMs: clock.monotonicMs }),
    waitLog: createWaitLog(silentLogger),
  };
  const plan = () => planPlacements(planner, CONFIG);
  let nextJob = 1;
  const accept = () => scheduler.accept(createJob(nextJob++));
  const jobs = Math.round(workers * JOBS_PER_WORKER);
  for (let index = 0; index < jobs; index++) accept();
  plan();
  const placementRoundMs = measureRounds(() => {
    const job = createJob(nextJob++);
    scheduler.accept(job);
    plan();
    // Frees the capacity for the next round.
    for (
      const task of scheduler.jobs.get(job.jobId)!.occurrences[0]!.steps[0]!
    ) {
      scheduler.workers.find(task.placement?.workerId ?? "", 1)?.tasks.delete(
        task,
      );
      task.phase = "done";
    }
  });
  const idleRoundMs = measureRounds(plan);
  const balancer = createPoolBalancer({
    vmStates: createVmStates(scheduler, vms),
    scheduler,
    forecast: createDemandForecast(() => clock.monotonicMs()),
    config: () => CONFIG,
    clock,
    log: silentLogger,
  });
  const balanceMs = measureRounds(() => balancer.balance());
  return { workers, idleRoundMs, placementRoundMs, balanceMs };
}

/** Measures the owner's periodic decisions at several numbers of workers. */
export function measureSchedulingCosts(): SchedulingCost[] {
  return WORKER_COUNTS.map(measureScheduling);
}

/** Formats the costs as a table. */
export function formatSchedulingCosts(
  costs: readonly SchedulingCost[],
): ReportTable {
  return {
    title: "owner's decisions by number of workers, ms per round",
    rows: [
      ["workers", "idle round", "placement of 8 tasks", "pool balance"],
      ...costs.map((cost) => Object.values(cost) as number[]),
    ],
  };
}
