import { type Operation, sleep, until } from "effection";
import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import { MAXIMUM_LIST_LAG_MS, resolveListedEnd } from "./listed_end.ts";
import type { Logger } from "../logger.ts";
import {
  describeInstanceEnd,
  type InstanceEnd,
} from "./crashes/instance_end.ts";
import type { TaskState } from "./job_state.ts";
import type { VmApi, VmInfo } from "./ports.ts";
import { tasksOnVm, type WorkerInstance } from "./worker_table.ts";
import type { Scheduler } from "./scheduler.ts";
import type { VmOrder, VmOrders } from "./vm_orders.ts";

/** Interval between reads of the VM list while orders, waves or silent workers depend on it, in ms. */
const ACTIVE_LIST_INTERVAL_MS = 400;
/** Interval between reads of the VM list otherwise, in ms. */
const IDLE_LIST_INTERVAL_MS = 2_500;
/** Interval between checks whether the VM list is due for a read, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Silence of a worker after which the VM list is checked for the state of its VM, in ms. */
const SILENCE_LIMIT_MS = 250;

/** A VM whose order was confirmed and that isn't back yet. */
export interface ReturningVm {
  /** Monotonic time of the confirmation, in ms. */
  readonly confirmedAtMs: number;
  /**
   * Worker instances on the VM when the order was sent. The confirmation doesn't
   * prove that they have ended, as the operation may have been carried out earlier.
   */
  readonly instances: readonly WorkerInstance[];
  /** Maintenance wave of the order; undefined for a move. */
  readonly wave: number | undefined;
  /** Pool that the VM returns to. */
  readonly pool: string;
}

/** VMs as listed by the platform, with the operations in progress on them. */
export interface VmStates {
  /** Returns the VMs in the latest VM list, by VM ID; empty until it has been read once. */
  list(): ReadonlyMap<string, VmInfo>;
  /**
   * Whether a VM that existed at the monotonic time `knownAtMs` has left: it is
   * missing from a list that was requested late enough to show it.
   */
  hasLeft(vmId: string, knownAtMs: number): boolean;
  readonly orders: VmOrders;
  /** VMs whose order was confirmed, until the VM list shows that they are back. */
  readonly returning: ReadonlyMap<string, ReturningVm>;
  /** VMs cordoned to change pools, with the monotonic time of the cordon in ms. */
  readonly cordonedForMove: Map<string, number>;
  /** VMs cordoned for maintenance, with the monotonic time of the cordon in ms. */
  readonly cordonedForMaintenance: Map<string, number>;
  /** Returns the tasks on all worker instances of the VM. */
  listTasks(vmId: string): TaskState[];
  /** Whether the VM is up and no operation is in progress on it. */
  isOrderable(vm: VmInfo): boolean;
  /** Whether the VM gets no new tasks: it is cordoned, or an operation is in progress on it. */
  isCordoned(vmId: string): boolean;
  /** Whether an operation in progress keeps the VM from running tasks. */
  isUnavailable(vmId: string): boolean;
  /** Whether the VM list may not show yet what an earlier owner has ordered for the VM. */
  hasEarlierOrder(vmId: string): boolean;
  /** Counts the VMs that are being moved into each pool or are returning to it. */
  countArriving(): Map<string, number>;
  sendOrder(vmId: string, order: VmOrder, onDone?: () => void): void;
  /** Reads the VM list periodically, at short intervals while `needsFrequentReads` returns true. */
  run(needsFrequentReads: () => boolean): Operation<void>;
}

/** Dependencies of the VM states. */
export interface VmStatesOptions {
  readonly fleet: VmApi;
  readonly orders: VmOrders;
  readonly scheduler: Scheduler;
  readonly clock: Clock;
  readonly log: Logger;
  readonly removeInstance: (instance: WorkerInstance, end: InstanceEnd) => void;
  readonly onFenced: () => void;
  readonly onChange: () => void;
}

/** Creates the VM states for one tenure. */
export function createVmStates(options: VmStatesOptions): VmStates {
  const { orders, scheduler, clock, log } = options;
  let vms: ReadonlyMap<string, VmInfo> = new Map();
  /** Monotonic time at which `vms` was requested, in ms. */
  let vmsRequestedAtMs = -Infinity;
  /** The same, or `-Infinity` to force the next read. */
  let listedAtMs = -Infinity;
  const cordonedForMove = new Map<string, number>();
  const cordonedForMaintenance = new Map<string, number>();
  const returning = new Map<string, ReturningVm>();

  /** Removes silent worker instances that have ended according to the VM list. */
  function checkSilentInstances(
    list: ReadonlyMap<string, VmInfo>,
    askedAtMs: number,
  ): void {
    for (const instance of [...scheduler.workers.instances.values()]) {
      const silentMs = instance.link?.silentMs() ?? Infinity;
      if (
        instance.vmId === "" ||
        (silentMs < SILENCE_LIMIT_MS && instance.link?.hasResponded)
      ) continue;
      if (
        instance.link !== undefined && !instance.link.hasResponded &&
        silentMs === 0
      ) {
        continue;
      }
      // The list may predate an instance that has just registered.
      if (askedAtMs - instance.joinedAtMs < MAXIMUM_LIST_LAG_MS) continue;
      const vm = list.get(instance.vmId);
      const end = resolveListedEnd(vm, instance.workerId);
      if (end === undefined) continue;
      // That the VM is down now says nothing about the worker's next process.
      if (
        end === "vm_down" && askedAtMs < (instance.heldUntilMs ?? -Infinity)
      ) {
        continue;
      }
      log.info("worker instance ended according to the VM list", {
        worker: instance.workerId,
        vm: instance.vmId,
        reason: describeInstanceEnd(end),
        listAgeMs: Math.round(clock.monotonicMs() - askedAtMs),
      });
      options.removeInstance(instance, end);
    }
  }

  function* readList(): Operation<void> {
    const askedAtMs = clock.monotonicMs();
    try {
      const list = yield* until(options.fleet.list());
      vms = new Map(list.map((vm) => [vm.vmId, vm]));
      listedAtMs = askedAtMs;
      vmsRequestedAtMs = askedAtMs;
    } catch (error) {
      log.warn("failed to read the VM list", { reason: messageOf(error) });
      return;
    }
    checkSilentInstances(vms, askedAtMs);
    scheduler.crashes.settleByVms(vms);
    scheduler.lateStarts.settleByVms(vms, askedAtMs);
    for (const [vmId, returningVm] of returning) {
      // An older list may show an earlier operation on the VM, after which its worker has started.
      if (askedAtMs < returningVm.confirmedAtMs) continue;
      const vm = vms.get(vmId);
      for (const instance of returningVm.instances) {
        if (vm?.state === "up" && vm.workerId === instance.workerId) continue;
        if (
          scheduler.workers.find(instance.workerId, instance.bornAtMs) !==
            instance
        ) {
          continue;
        }
        options.removeInstance(instance, "vm_ordered");
      }
      if (askedAtMs - returningVm.confirmedAtMs < MAXIMUM_LIST_LAG_MS) continue;
      if (vm === undefined || vm.state === "up" || vm.state === "down") {
        returning.delete(vmId);
        cordonedForMaintenance.delete(vmId);
        cordonedForMove.delete(vmId);
      }
    }
  }

  function needsFreshList(): boolean {
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
    const instances = scheduler.workers.listByVm(vmId);
    const listedVm = vms.get(vmId);
    orders.send(vmId, vmOrder, (result) => {
      if (result === "fenced") return options.onFenced();
      if (result === "refused") {
        cordonedForMove.delete(vmId);
        cordonedForMaintenance.delete(vmId);
        return;
      }
      returning.set(vmId, {
        confirmedAtMs: clock.monotonicMs(),
        instances,
        wave: vmOrder.kind === "maintain" ? vmOrder.wave : undefined,
        pool: vmOrder.kind === "move" ? vmOrder.pool : listedVm?.pool ?? "",
      });
      // Force a read, as the list shows at once whether the worker instance has ended.
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
    hasLeft: (vmId, knownAtMs) =>
      !vms.has(vmId) && vmsRequestedAtMs - knownAtMs >= MAXIMUM_LIST_LAG_MS,
    orders,
    returning,
    cordonedForMove,
    cordonedForMaintenance,
    listTasks: (vmId) => tasksOnVm(scheduler.workers, vmId),
    isOrderable,
    isCordoned: (vmId) =>
      cordonedForMove.has(vmId) || cordonedForMaintenance.has(vmId) ||
      orders.active.has(vmId) ||
      returning.has(vmId),
    isUnavailable: (vmId) => orders.active.has(vmId) || returning.has(vmId),
    hasEarlierOrder: (vmId) => !orders.active.has(vmId) && !orders.isFree(vmId),
    countArriving() {
      const counts = new Map<string, number>();
      const count = (pool: string) =>
        counts.set(pool, (counts.get(pool) ?? 0) + 1);
      for (const { pool } of returning.values()) count(pool);
      for (const [vmId, order] of orders.active) {
        count(order.kind === "move" ? order.pool : vms.get(vmId)?.pool ?? "");
      }
      return counts;
    },
    sendOrder,
    *run(needsFrequentReads) {
      for (;;) {
        const waitMs = needsFrequentReads() || needsFreshList()
          ? ACTIVE_LIST_INTERVAL_MS
          : IDLE_LIST_INTERVAL_MS;
        if (clock.monotonicMs() - listedAtMs >= waitMs) yield* readList();
        yield* sleep(CHECK_INTERVAL_MS);
      }
    },
  };
}
