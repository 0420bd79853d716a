import { type Operation, sleep, until } from "effection";
import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { TaskState } from "./job_state.ts";
import type { VmApi, VmInfo } from "./ports.ts";
import {
  instancesOnVm,
  tasksOnVm,
  type WorkerInstance,
} from "./worker_table.ts";
import type { Scheduler } from "./scheduler.ts";
import type { VmOrder, VmOrders } from "./vm_orders.ts";

/** Interval of reading the VM list while something depends on it, in ms. */
const ACTIVE_LIST_INTERVAL_MS = 400;
/** Interval of reading the VM list otherwise, in ms. */
const IDLE_LIST_INTERVAL_MS = 2_500;
/** Interval of checks whether the list must be read, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Silence after which the VM list is asked whether a worker's VM is down, in ms. */
const SILENCE_LIMIT_MS = 250;
/** The VM list shows an order, or a new life, at the latest after this time, in ms. */
const MAXIMUM_LIST_LAG_MS = 1_200;

/** A VM after an answered order. */
export interface ReturningVm {
  /** Monotonic time of the answer, in ms. */
  readonly answeredAtMs: number;
  /** Lives on the VM when the order was given; the answer doesn't prove that they are over, as the operation may have been done before. */
  readonly instances: readonly WorkerInstance[];
  /** The wave of an order for maintenance. */
  readonly wave: number | undefined;
  /** Pool of the VM after the order. */
  readonly pool: string;
}

/** VMs as the platform lists them, and what is under way with each. */
export interface VmStates {
  list(): ReadonlyMap<string, VmInfo>;
  readonly orders: VmOrders;
  /** VMs whose order was answered, until the list shows that they are back. */
  readonly returning: ReadonlyMap<string, ReturningVm>;
  /** VMs that get no new tasks because they are to change pools, with the monotonic time since when, in ms. */
  readonly cordonedForMove: Map<string, number>;
  /** VMs that get no new tasks because they are to be maintained, with the monotonic time since when, in ms. */
  readonly cordonedForMaintenance: Map<string, number>;
  tasksOf(vmId: string): TaskState[];
  /** Whether the VM is up and nothing is under way with it. */
  isOrderable(vm: VmInfo): boolean;
  isCordoned(vmId: string): boolean;
  /** Whether anything under way keeps the VM from working. */
  isUnavailable(vmId: string): boolean;
  sendOrder(vmId: string, order: VmOrder, onDone?: () => void): void;
  /** Reads the list from time to time; `needsFrequentReads` asks for short intervals. */
  run(needsFrequentReads: () => boolean): Operation<void>;
}

/** What the states work with. */
export interface VmStatesOptions {
  readonly fleet: VmApi;
  readonly orders: VmOrders;
  readonly scheduler: Scheduler;
  readonly clock: Clock;
  readonly log: Logger;
  readonly removeInstance: (instance: WorkerInstance, reason: string) => void;
  readonly onFenced: () => void;
  readonly onChange: () => void;
}

/** Creates the states of all VMs for one tenure. */
export function createVmStates(options: VmStatesOptions): VmStates {
  const { orders, scheduler, clock, log } = options;
  let vms: ReadonlyMap<string, VmInfo> = new Map();
  let listedAtMs = -Infinity;
  const cordonedForMove = new Map<string, number>();
  const cordonedForMaintenance = new Map<string, number>();
  const returning = new Map<string, ReturningVm>();

  /** The platform's list proves that a silent worker's life is over. */
  function checkSilentInstances(
    list: ReadonlyMap<string, VmInfo>,
    askedAtMs: number,
  ): void {
    for (const instance of [...scheduler.workers.instances.values()]) {
      const silentMs = instance.link?.silentMs() ?? Infinity;
      if (
        instance.vmId === "" ||
        (silentMs < SILENCE_LIMIT_MS && instance.link?.hasAnswered)
      ) continue;
      if (
        instance.link !== undefined && !instance.link.hasAnswered &&
        silentMs === 0
      ) {
        continue;
      }
      // The list may be older than a life that has just joined.
      if (askedAtMs - instance.joinedAtMs < MAXIMUM_LIST_LAG_MS) continue;
      const vm = list.get(instance.vmId);
      const reason = vm === undefined
        ? "its VM is listed no more"
        : vm.state === "down"
        ? "its VM is down"
        : vm.workerId !== undefined && vm.workerId !== instance.workerId
        ? "its VM runs another worker"
        : undefined;
      if (reason === undefined) continue;
      log.info("VM list shows that a worker is gone", {
        worker: instance.workerId,
        vm: instance.vmId,
        reason,
        listAgeMs: Math.round(clock.monotonicMs() - askedAtMs),
      });
      options.removeInstance(instance, reason);
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
    checkSilentInstances(vms, askedAtMs);
    for (const [vmId, returningVm] of returning) {
      const vm = vms.get(vmId);
      for (const instance of returningVm.instances) {
        if (vm?.state === "up" && vm.workerId === instance.workerId) continue;
        if (
          scheduler.workers.find(instance.workerId, instance.bornAtMs) !==
            instance
        ) {
          continue;
        }
        options.removeInstance(instance, "its VM was taken down by an order");
      }
      if (askedAtMs - returningVm.answeredAtMs < MAXIMUM_LIST_LAG_MS) continue;
      if (vm === undefined || vm.state === "up" || vm.state === "down") {
        returning.delete(vmId);
        cordonedForMaintenance.delete(vmId);
        cordonedForMove.delete(vmId);
      }
    }
  }

  function needsList(): boolean {
    if (orders.active.size > 0 || returning.size > 0) return true;
    for (const instance of scheduler.workers.instances.values()) {
      if (
        instance.tasks.size > 0 &&
        (instance.link?.silentMs() ?? Infinity) > SILENCE_LIMIT_MS
      ) return true;
    }
    return false;
  }

  function sendOrder(
    vmId: string,
    vmOrder: VmOrder,
    onDone?: () => void,
  ): void {
    const instances = instancesOnVm(scheduler.workers.instances.values(), vmId);
    const listedVm = vms.get(vmId);
    orders.send(vmId, vmOrder, (result) => {
      if (result === "fenced") return options.onFenced();
      if (result === "refused") {
        cordonedForMove.delete(vmId);
        cordonedForMaintenance.delete(vmId);
        return;
      }
      returning.set(vmId, {
        answeredAtMs: clock.monotonicMs(),
        instances,
        wave: vmOrder.kind === "maintain" ? vmOrder.wave : undefined,
        pool: vmOrder.kind === "move" ? vmOrder.pool : listedVm?.pool ?? "",
      });
      // The list tells at once whether the worker is gone.
      listedAtMs = -Infinity;
      onDone?.();
      options.onChange();
    });
  }

  function isOrderable(vm: VmInfo): boolean {
    return vm.state === "up" && orders.isFree(vm.vmId) &&
      !returning.has(vm.vmId);
  }

  return {
    list: () => vms,
    orders,
    returning,
    cordonedForMove,
    cordonedForMaintenance,
    tasksOf: (vmId) => tasksOnVm(scheduler.workers.instances.values(), vmId),
    isOrderable,
    isCordoned: (vmId) =>
      cordonedForMove.has(vmId) || cordonedForMaintenance.has(vmId) ||
      orders.active.has(vmId) ||
      returning.has(vmId),
    isUnavailable: (vmId) => orders.active.has(vmId) || returning.has(vmId),
    sendOrder,
    *run(needsFrequentReads) {
      for (;;) {
        const waitMs = needsFrequentReads() || needsList()
          ? ACTIVE_LIST_INTERVAL_MS
          : IDLE_LIST_INTERVAL_MS;
        if (clock.monotonicMs() - listedAtMs >= waitMs) yield* readList();
        yield* sleep(CHECK_INTERVAL_MS);
      }
    },
  };
}
