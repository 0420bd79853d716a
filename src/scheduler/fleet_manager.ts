import { type Operation, sleep, spawn, until } from "effection";
import { z } from "zod";
import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Elapsed } from "./clock_guard.ts";
import type { DemandForecast } from "./demand_forecast.ts";
import type { Journal } from "./journal.ts";
import { listOpenSteps, stepOf, type TaskState } from "./job_state.ts";
import { KEYS, type Tenure } from "./ownership.ts";
import type { Step } from "./model.ts";
import { reservedCpuMillis } from "./placement.ts";
import { type PlannedPool, type PlannedVm, planPools } from "./pool_plan.ts";
import type {
  PlatformRecords,
  RecordStore,
  Resources,
  SchedulerConfig,
  VmEntry,
  VmFleet,
  WaveRequest,
} from "./ports.ts";
import { livesOn, tasksOn, type WorkerLife } from "./roster.ts";
import type { Scheduler } from "./scheduler.ts";
import { createVmOrders, VM_ORDER_PREFIX } from "./vm_orders.ts";
import { planWave, type WaveVm } from "./wave_plan.ts";

/** Interval of decisions, in ms. */
const DECISION_INTERVAL_MS = 200;
/** Interval of reading the VM list while something depends on it, in ms. */
const ACTIVE_LIST_INTERVAL_MS = 400;
/** Interval of reading the VM list otherwise, in ms. */
const IDLE_LIST_INTERVAL_MS = 2_500;
/** Silence after which the VM list is asked whether a worker's VM is down, in ms. */
const SUSPICION_MS = 250;
/** The VM list shows an order, or a new life, at the latest after this time, in ms. */
const LIST_LAG_MS = 1_200;

const waveRecordSchema = z.object({
  /** When the wave was first seen, in ms since 1970. */
  seenAtMs: z.number(),
  done: z.array(z.string()),
  completed: z.boolean(),
});
type WaveRecord = z.infer<typeof waveRecordSchema>;

/** What the fleet manager works with. */
export interface FleetManagerOptions {
  readonly store: RecordStore;
  readonly records: PlatformRecords;
  readonly fleet: VmFleet;
  readonly tenure: Tenure;
  readonly entryId: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly scheduler: Scheduler;
  readonly journal: Journal;
  readonly contact: Elapsed;
  readonly forecast: DemandForecast;
  readonly config: () => SchedulerConfig | undefined;
  readonly waves: () => ReadonlyMap<number, WaveRequest>;
  readonly mayOrder: () => boolean;
  /** Time between orders of two owners for one VM, in ms. */
  readonly holderGapMs: number;
  readonly endLife: (life: WorkerLife, reason: string) => void;
  readonly onFenced: () => void;
  readonly onChange: () => void;
}

/** Moves VMs between pools, carries out maintenance waves and reads the VM list. */
export interface FleetManager {
  isCordoned(vmId: string): boolean;
  /** Whether VMs are about to register after a move or maintenance. */
  expectsWorkers(): boolean;
  run(): Operation<void>;
  describe(): unknown;
}

/** A VM after an answered order. */
interface ReturningVm {
  /** Monotonic time of the answer, in ms. */
  readonly sinceMs: number;
  /** Lives on the VM when the order was given; the answer doesn't prove that they are over, as the operation may have been done before. */
  readonly lives: readonly WorkerLife[];
  /** The wave of an order for maintenance. */
  readonly wave: number | undefined;
  /** Pool of the VM after the order. */
  readonly pool: string;
}

type MutableResources = { -readonly [Key in keyof Resources]: Resources[Key] };

function addResources(
  sum: MutableResources,
  step: Step,
  count: number,
): void {
  sum.cpuMillis += reservedCpuMillis(step) * count;
  sum.memoryMb += step.memoryMb * count;
  sum.gpuCount += step.gpuCount * count;
}

/** Room in VMs: the resource that runs out first decides. */
function shareOf(sum: Resources, capacity: Resources): number {
  return Math.max(
    sum.cpuMillis / Math.max(1, capacity.cpuMillis),
    sum.memoryMb / Math.max(1, capacity.memoryMb),
    capacity.gpuCount > 0 ? sum.gpuCount / capacity.gpuCount : 0,
  );
}

/** Creates the fleet manager of one tenure. */
export function createFleetManager(options: FleetManagerOptions): FleetManager {
  const { scheduler, clock, log, journal, records } = options;
  const orders = createVmOrders({
    ...options,
    holder: options.entryId,
    fence: options.tenure.epoch,
  });
  let vms = new Map<string, VmEntry>();
  let listedAtMs = -Infinity;
  /** VMs that get no new tasks, with the monotonic time since when, in ms. */
  const leaving = new Map<string, number>();
  const emptying = new Map<string, number>();
  /** VMs whose order was answered, until the list shows that they are back. */
  const returning = new Map<string, ReturningVm>();
  const lastBusyMs = new Map<string, number>();
  const waveRecords = new Map<number, WaveRecord>();
  let lastTargets: Readonly<Record<string, number>> = {};

  const tasksOf = (vmId: string) =>
    tasksOn(scheduler.roster.lives.values(), vmId);

  /** The platform's list proves that a silent worker's life is over. */
  function checkSilentLives(
    list: ReadonlyMap<string, VmEntry>,
    askedAtMs: number,
  ): void {
    for (const life of [...scheduler.roster.lives.values()]) {
      const silentMs = life.link?.silentMs() ?? Infinity;
      if (
        life.vmId === "" || (silentMs < SUSPICION_MS && life.link?.confirmed)
      ) continue;
      if (life.link !== undefined && !life.link.confirmed && silentMs === 0) {
        continue;
      }
      // The list may be older than a life that has just joined.
      if (askedAtMs - life.joinedAtMs < LIST_LAG_MS) continue;
      const vm = list.get(life.vmId);
      const reason = vm === undefined
        ? "its VM is listed no more"
        : vm.state === "down"
        ? "its VM is down"
        : vm.workerId !== undefined && vm.workerId !== life.workerId
        ? "its VM runs another worker"
        : undefined;
      if (reason === undefined) continue;
      log.info("VM list shows that a worker is gone", {
        worker: life.workerId,
        vm: life.vmId,
        reason,
        listAgeMs: Math.round(clock.monotonicMs() - askedAtMs),
      });
      options.endLife(life, reason);
    }
  }

  function* readList(): Operation<void> {
    const askedAtMs = clock.monotonicMs();
    try {
      const list = yield* until(options.fleet.list());
      vms = new Map(list.map((vm) => [vm.vmId, vm]));
      listedAtMs = askedAtMs;
    } catch (error) {
      log.warn("VM list can't be read", { reason: messageOf(error) });
      return;
    }
    checkSilentLives(vms, askedAtMs);
    for (const [vmId, order] of returning) {
      const vm = vms.get(vmId);
      for (const life of order.lives) {
        if (vm?.state === "up" && vm.workerId === life.workerId) continue;
        if (scheduler.roster.find(life.workerId, life.bornAtMs) !== life) {
          continue;
        }
        options.endLife(life, "its VM was taken down by an order");
      }
      if (askedAtMs - order.sinceMs < LIST_LAG_MS) continue;
      if (vm === undefined || vm.state === "up" || vm.state === "down") {
        returning.delete(vmId);
        emptying.delete(vmId);
        leaving.delete(vmId);
      }
    }
  }

  function needsList(): boolean {
    if (orders.active.size > 0 || returning.size > 0) return true;
    for (const wave of waveRecords.values()) if (!wave.completed) return true;
    for (const life of scheduler.roster.lives.values()) {
      if (
        life.tasks.size > 0 &&
        (life.link?.silentMs() ?? Infinity) > SUSPICION_MS
      ) return true;
    }
    return false;
  }

  function* listLoop(): Operation<void> {
    for (;;) {
      const waitMs = needsList()
        ? ACTIVE_LIST_INTERVAL_MS
        : IDLE_LIST_INTERVAL_MS;
      if (clock.monotonicMs() - listedAtMs >= waitMs) yield* readList();
      yield* sleep(100);
    }
  }

  function order(
    vmId: string,
    what: { kind: "move"; pool: string } | { kind: "maintain"; wave: number },
    onDone?: () => void,
  ): void {
    const lives = livesOn(scheduler.roster.lives.values(), vmId);
    const before = vms.get(vmId);
    orders.send(vmId, what, (end) => {
      if (end === "fenced") return options.onFenced();
      if (end === "refused") {
        leaving.delete(vmId);
        emptying.delete(vmId);
        return;
      }
      returning.set(vmId, {
        sinceMs: clock.monotonicMs(),
        lives,
        wave: what.kind === "maintain" ? what.wave : undefined,
        pool: what.kind === "move" ? what.pool : before?.pool ?? "",
      });
      // The list tells at once whether the worker is gone.
      listedAtMs = -Infinity;
      onDone?.();
      options.onChange();
    });
  }

  function isOrderable(vm: VmEntry): boolean {
    return vm.state === "up" && orders.isFree(vm.vmId) &&
      !returning.has(vm.vmId);
  }

  // --- Maintenance waves ---

  /** Tasks of a step with a budget that are away or about to be. */
  function countAway(task: TaskState): number {
    const tasks = task.job.occurrences[task.occurrence]!.steps[task.stepIndex]!;
    return tasks.filter((other) => {
      const { placement } = other;
      if (placement === undefined || placement.order !== "running") return true;
      return placement.percent < 100 || placement.stopReason !== undefined ||
        orders.active.has(placement.vmId) || returning.has(placement.vmId);
    }).length;
  }

  function budgetsHold(tasks: readonly TaskState[]): boolean {
    const ending = new Map<string, number>();
    for (const task of tasks) {
      const { mayMiss } = stepOf(task);
      const { placement } = task;
      if (mayMiss === undefined || placement === undefined) continue;
      if (placement.order !== "running") return false;
      // The last report may be older than the task's return to work, so that its own state doesn't count.
      const others = countAway(task) - (placement.percent < 100 ? 1 : 0);
      const key = `${task.job.spec.jobId}.${task.stepIndex}`;
      ending.set(key, (ending.get(key) ?? 0) + 1);
      if (others + ending.get(key)! > mayMiss) return false;
    }
    return true;
  }

  /** Moves long-running tasks that share a step off a VM one by one, as far as the budget allows. */
  function thinOut(tasks: readonly TaskState[]): void {
    for (const task of tasks) {
      const { mayMiss } = stepOf(task);
      if (mayMiss === undefined || task.placement?.stopReason !== undefined) {
        continue;
      }
      const siblings = tasks.filter((other) =>
        other.job === task.job && other.stepIndex === task.stepIndex
      ).length;
      if (siblings > mayMiss && mayMiss > 0 && countAway(task) < mayMiss) {
        scheduler.stop(task, "its VM is to be maintained");
        return;
      }
    }
  }

  function describeWaveVm(vm: VmEntry, nowMs: number): WaveVm {
    const tasks = tasksOf(vm.vmId);
    const since = emptying.get(vm.vmId);
    return {
      vmId: vm.vmId,
      orderable: isOrderable(vm),
      cordoned: since !== undefined,
      cordonedMs: since === undefined ? 0 : nowMs - since,
      batchTasks: tasks.filter((task) => !stepOf(task).longRunning).length,
      budgetsHold: budgetsHold(tasks),
    };
  }

  function saveWave(wave: number, record: WaveRecord): void {
    journal.put({
      key: KEYS.wavePrefix + wave,
      encode: () => JSON.stringify(record),
    });
    const status = records.waveStatus(
      wave,
      record.completed ? "completed" : "running",
    );
    journal.put({ key: status.key, encode: () => status.value });
  }

  function runWave(request: WaveRequest): void {
    const { wave } = request;
    let record = waveRecords.get(wave);
    if (record === undefined) {
      record = { seenAtMs: clock.wallMs(), done: [], completed: false };
      waveRecords.set(wave, record);
      log.info("maintenance wave started", {
        wave,
        vms: request.vmIds.length,
        maximumDown: request.maximumDown,
        deadlineMs: request.deadlineMs,
      });
      saveWave(wave, record);
    }
    if (record.completed || vms.size === 0) return;
    const nowMs = clock.monotonicMs();
    const open = request.vmIds.filter((vmId) => !record.done.includes(vmId));
    const present = open.flatMap((vmId) => vms.get(vmId) ?? []);
    if (present.length === 0 && !open.some((vmId) => orders.active.has(vmId))) {
      record.completed = true;
      log.info("maintenance wave completed", {
        wave,
        done: record.done.length,
      });
      saveWave(wave, record);
      return;
    }
    const down =
      request.vmIds.filter((vmId) =>
        orders.active.get(vmId)?.kind === "maintain" ||
        returning.get(vmId)?.wave !== undefined ||
        vms.get(vmId)?.state === "maintenance"
      ).length;
    const described = present.map((vm) => describeWaveVm(vm, nowMs));
    const step = planWave(described, {
      down,
      maximumDown: request.maximumDown,
      timeLeftMs: record.seenAtMs + request.deadlineMs - clock.wallMs(),
    });
    for (const vmId of step.cordon) {
      emptying.set(vmId, nowMs);
      log.info("VM gets no new tasks before its maintenance", {
        vm: vmId,
        wave,
      });
    }
    for (const vm of described) {
      if (!vm.cordoned || vm.budgetsHold || vm.batchTasks > 0) continue;
      thinOut(tasksOf(vm.vmId));
    }
    for (const vmId of step.maintain) {
      // Orders of this round count towards the budgets of the next ones.
      if (!budgetsHold(tasksOf(vmId))) continue;
      emptying.set(vmId, emptying.get(vmId) ?? nowMs);
      order(vmId, { kind: "maintain", wave }, () => {
        record.done.push(vmId);
        saveWave(wave, record);
      });
    }
  }

  // --- Pools ---

  /** Room of the usual VM of a pool, or of any VM while the pool has none. */
  function usualCapacity(pool: string): Resources | undefined {
    let any: Resources | undefined;
    for (const vm of vms.values()) {
      if (vm.pool === pool) return vm.capacity;
      any ??= vm.capacity;
    }
    return any;
  }

  /** What a pool needs, in VMs. */
  function demandOf(
    service: string,
    config: SchedulerConfig,
  ): Pick<
    PlannedPool,
    "usedVms" | "waitingVms" | "longestWaitMs" | "expectedVms"
  > {
    const capacity = usualCapacity(service);
    if (capacity === undefined) {
      return { usedVms: 0, waitingVms: 0, longestWaitMs: 0, expectedVms: 0 };
    }
    const used = { cpuMillis: 0, memoryMb: 0, gpuCount: 0 };
    const waiting = { cpuMillis: 0, memoryMb: 0, gpuCount: 0 };
    let longestWaitMs = 0;
    for (const life of scheduler.roster.lives.values()) {
      if (life.entry?.service !== service) continue;
      for (const task of life.tasks) addResources(used, stepOf(task), 1);
    }
    for (const job of scheduler.jobs.values()) {
      if (job.status !== "active") continue;
      const queue = config.queues.find(({ name }) => name === job.spec.queue);
      if ((queue?.service ?? job.spec.service) !== service) continue;
      for (const occurrence of job.occurrences) {
        for (const tasks of listOpenSteps(job, occurrence)) {
          const open = tasks.filter(({ phase }) => phase === "waiting");
          if (open.length > 0) {
            addResources(waiting, stepOf(open[0]!), open.length);
          }
          for (const task of open) {
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
      usedVms: shareOf(used, capacity),
      waitingVms: shareOf(waiting, capacity),
      longestWaitMs,
      expectedVms: options.forecast.expectCores(service) * 1_000 /
        Math.max(1, capacity.cpuMillis),
    };
  }

  function describeVms(nowMs: number): PlannedVm[] {
    const planned: PlannedVm[] = [];
    for (const vm of vms.values()) {
      if (
        vm.state !== "up" || returning.has(vm.vmId) ||
        orders.active.has(vm.vmId)
      ) continue;
      const lives = livesOn(scheduler.roster.lives.values(), vm.vmId);
      const tasks = tasksOf(vm.vmId);
      if (tasks.length > 0 || !lastBusyMs.has(vm.vmId)) {
        lastBusyMs.set(vm.vmId, nowMs);
      }
      planned.push({
        vmId: vm.vmId,
        pool: vm.pool,
        tasks: tasks.length,
        lastingTasks: tasks.filter((task) => stepOf(task).longRunning).length,
        idleMs: nowMs - (lastBusyMs.get(vm.vmId) ?? nowMs),
        leaving: leaving.has(vm.vmId),
        movable: isOrderable(vm) && !emptying.has(vm.vmId) &&
          lives.every((life) => life.entry?.state !== "draining"),
      });
    }
    return planned;
  }

  function balancePools(): void {
    const config = options.config();
    if (config === undefined || vms.size === 0) return;
    const nowMs = clock.monotonicMs();
    const arriving = new Map<string, number>();
    for (const { pool } of returning.values()) {
      arriving.set(pool, (arriving.get(pool) ?? 0) + 1);
    }
    for (const [vmId, active] of orders.active) {
      const pool = active.kind === "move"
        ? active.pool
        : vms.get(vmId)?.pool ?? "";
      arriving.set(pool, (arriving.get(pool) ?? 0) + 1);
    }
    const pools = config.services.map((name) => ({
      name,
      spare: config.sparePools.includes(name),
      ...demandOf(name, config),
      arriving: arriving.get(name) ?? 0,
    }));
    const plan = planPools(pools, describeVms(nowMs));
    lastTargets = plan.targets;
    for (const vmId of plan.cordons) leaving.set(vmId, nowMs);
    for (const vmId of plan.releases) leaving.delete(vmId);
    for (const { vmId, from, to } of plan.moves) {
      leaving.set(vmId, nowMs);
      log.info("VM changes its pool", {
        vm: vmId,
        from,
        to,
        targets: plan.targets,
        demand: pools.find(({ name }) => name === to),
      });
      order(vmId, { kind: "move", pool: to });
    }
  }

  function* loadRecords(): Operation<void> {
    const waves = yield* until(options.store.list(KEYS.wavePrefix));
    for (const { key, value } of waves.items) {
      const parsed = waveRecordSchema.safeParse(JSON.parse(value));
      if (parsed.success) {
        waveRecords.set(Number(key.slice(KEYS.wavePrefix.length)), parsed.data);
      } else log.error("stored wave can't be read and is set aside", { key });
    }
    const earlier = yield* until(options.store.list(VM_ORDER_PREFIX));
    for (const { key, value } of earlier.items) {
      const parsed = z.object({ atMs: z.number() }).safeParse(
        JSON.parse(value),
      );
      if (parsed.success) {
        orders.noteEarlier(key.slice(VM_ORDER_PREFIX.length), parsed.data.atMs);
      }
    }
  }

  return {
    isCordoned: (vmId) =>
      leaving.has(vmId) || emptying.has(vmId) || orders.active.has(vmId) ||
      returning.has(vmId),
    expectsWorkers: () => orders.active.size > 0 || returning.size > 0,
    *run() {
      yield* loadRecords();
      yield* spawn(() => listLoop());
      for (;;) {
        if (options.mayOrder() && options.contact.ms() < options.holderGapMs) {
          for (const request of options.waves().values()) runWave(request);
          balancePools();
        }
        yield* sleep(DECISION_INTERVAL_MS);
      }
    },
    describe: () => ({
      targets: lastTargets,
      orders: Object.fromEntries(orders.active),
      returning: [...returning.keys()],
      leaving: [...leaving.keys()],
      waves: Object.fromEntries(waveRecords),
    }),
  };
}
