import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Journal } from "./journal.ts";
import type { VmApi, VmOrderOutcome } from "./ports.ts";
import { createStopwatch, type Stopwatch } from "./stopwatch.ts";

/** Delay before an order without a conclusive response is sent again, in ms. */
const RETRY_DELAY_MS = 300;
/** Delay before an order is sent again to a VM that is busy, in ms: operations take 1.5 s and more, and calls are limited. */
const BUSY_RETRY_DELAY_MS = 1_000;
/** Time after an order without an answer in which it may still be executed, in ms; platforms have taken up to 12 s. */
const LATE_ORDER_LIMIT_MS = 12_500;
/** Maximum age of the stored record when its order is sent, in ms: by then another entry may have become the owner, which waits that much longer. */
const RECORD_VALIDITY_MS = 700;

/** An operation ordered for a VM. */
export type VmOrder =
  | { readonly kind: "move"; readonly pool: string }
  | { readonly kind: "maintain"; readonly wave: number };

/** Result of an order; `refused` means that nothing was or will be done. */
export type VmOrderResult = "done" | "refused" | "fenced";

/** Sends orders for VMs, each after storing a record of it, and repeats those without a response. */
export interface VmOrders {
  /** Orders in progress, by VM ID. */
  readonly active: ReadonlyMap<string, VmOrder>;
  /** Whether an order may be sent for the VM: none is in progress, and the last one of an earlier owner is old enough. */
  isFree(vmId: string): boolean;
  /** Whether an order sent to the VM since `bornAtMs`, in ms since 1970, may have ended what ran there. */
  mayHaveEnded(vmId: string, bornAtMs: number): boolean;
  /** Records an order of an earlier owner; `wave` is that of a maintenance. */
  recordEarlierOrder(
    vmId: string,
    order: {
      /** Wall clock time of its record, in ms since 1970. */
      readonly atMs: number;
      readonly wave?: number | undefined;
    },
  ): void;
  /** Returns the wave of a maintenance that an earlier owner has ordered and that may still be carried out; undefined once this owner has ordered the VM. */
  earlierMaintenance(vmId: string): number | undefined;
  /** Sends an order for a VM and calls back once its result is certain. */
  send(
    vmId: string,
    order: VmOrder,
    onResult: (result: VmOrderResult) => void,
  ): void;
}

/** Key prefix of stored VM order records. */
export const VM_ORDER_PREFIX = "fleet/order/";

/** An order on its way, with what its attempts so far have shown. */
interface Delivery {
  readonly vmId: string;
  readonly order: VmOrder;
  readonly onResult: (result: VmOrderResult) => void;
  /** Monotonic time until which an attempt without an answer may still be executed, in ms. */
  mayBeExecutedUntilMs: number;
}

/** Returns the certain result of an order after its latest attempt; undefined if it has to be sent again. */
function resolveResult(
  outcome: VmOrderOutcome,
  mayBeExecuted: boolean,
): VmOrderResult | undefined {
  switch (outcome.kind) {
    case "done":
      return "done";
    case "unavailable":
    case "unknown":
      return undefined;
    case "refused":
      return resolveRefusal(outcome.reason, mayBeExecuted);
    default:
      return assertNever(outcome);
  }
}

function resolveRefusal(
  reason: Extract<VmOrderOutcome, { kind: "refused" }>["reason"],
  mayBeExecuted: boolean,
): VmOrderResult | undefined {
  switch (reason) {
    case "fenced":
      return "fenced";
    case "invalid":
    case "wrong_wave":
      // Earlier attempts name the same VM, pool and wave.
      return "refused";
    case "busy":
      return mayBeExecuted ? undefined : "refused";
    default:
      return assertNever(reason);
  }
}

/** Creates the sender of orders for VMs. */
export function createVmOrders(options: {
  readonly fleet: VmApi;
  readonly journal: Journal;
  readonly holder: string;
  readonly fence: number;
  readonly clock: Clock;
  readonly log: Logger;
  readonly mayOrder: () => boolean;
  /** Minimum time between the orders of two holders for one VM, in ms. */
  readonly holderGapMs: number;
  /** Whether the disruption budgets of the tasks on the VM allow an order. */
  readonly mayTakeDown: (vmId: string) => boolean;
}): VmOrders {
  const { fleet, journal, holder, fence, clock, log } = options;
  const active = new Map<string, VmOrder>();
  const freeAtMs = new Map<string, number>();
  /** Maintenances that earlier owners have ordered, and the monotonic times until which they may be carried out, in ms, by VM ID. */
  const earlierMaintenances = new Map<
    string,
    { readonly wave: number; readonly endMs: number }
  >();
  /** Wall clock time of the latest order for each VM, in ms since 1970; refused orders are removed. */
  const orderedAtMs = new Map<string, number>();

  function callPlatform(vmId: string, order: VmOrder): Promise<VmOrderOutcome> {
    switch (order.kind) {
      case "move":
        return fleet.move({ holder, fence, vmId, pool: order.pool });
      case "maintain":
        return fleet.startMaintenance({
          holder,
          fence,
          vmId,
          wave: order.wave,
        });
    }
  }

  /** Stores the order before sending it; a successful commit proves that this entry is still the owner. */
  function storeIntent(delivery: Delivery): void {
    const { vmId, order } = delivery;
    const recordAge = createStopwatch(clock);
    journal.put({
      key: VM_ORDER_PREFIX + vmId,
      urgent: true,
      // The order ends the VM's worker, and with it the list of ended runs that aren't stored yet.
      inOrder: true,
      encode() {
        recordAge.restart();
        return JSON.stringify({ ...order, epoch: fence, atMs: clock.wallMs() });
      },
      onStored: () => void deliver(delivery, recordAge),
    });
  }

  async function deliver(
    delivery: Delivery,
    recordAge: Stopwatch,
  ): Promise<void> {
    const { vmId, order } = delivery;
    for (;;) {
      if (recordAge.elapsedMs() > RECORD_VALIDITY_MS) {
        return storeIntent(delivery);
      }
      if (!options.mayOrder()) return;
      // Tasks may have been lost while the record was being stored. An attempt without an answer is
      // repeated in any case, as only a response shows whether the VM is taken down.
      const isSent = delivery.mayBeExecutedUntilMs > -Infinity;
      if (!isSent && !options.mayTakeDown(vmId)) {
        log.info("VM order withdrawn", {
          vm: vmId,
          ...order,
          reason: "disruption budget",
        });
        active.delete(vmId);
        return delivery.onResult("refused");
      }
      orderedAtMs.set(vmId, clock.wallMs());
      const outcome = await callPlatform(vmId, order);
      log.info("VM ordered", {
        vm: vmId,
        ...order,
        fence,
        outcome: outcome.kind,
        ...(outcome.kind === "refused" ? { reason: outcome.reason } : {}),
      });
      if (outcome.kind === "unknown") {
        delivery.mayBeExecutedUntilMs = clock.monotonicMs() +
          LATE_ORDER_LIMIT_MS;
      }
      const result = resolveResult(
        outcome,
        clock.monotonicMs() < delivery.mayBeExecutedUntilMs,
      );
      if (result !== undefined) {
        if (result === "refused") orderedAtMs.delete(vmId);
        active.delete(vmId);
        return delivery.onResult(result);
      }
      // Orders are idempotent: if an earlier one was carried out, its repetition has no effect.
      await delay(
        outcome.kind === "refused" ? BUSY_RETRY_DELAY_MS : RETRY_DELAY_MS,
      );
    }
  }

  return {
    active,
    isFree: (vmId) =>
      !active.has(vmId) && (freeAtMs.get(vmId) ?? 0) <= clock.monotonicMs(),
    mayHaveEnded(vmId, bornAtMs) {
      const sentAtMs = orderedAtMs.get(vmId);
      return sentAtMs !== undefined && sentAtMs > bornAtMs &&
        clock.wallMs() - sentAtMs < LATE_ORDER_LIMIT_MS;
    },
    recordEarlierOrder(vmId, { atMs, wave }) {
      orderedAtMs.set(vmId, atMs);
      const ageMs = Math.max(0, clock.wallMs() - atMs);
      if (wave !== undefined) {
        earlierMaintenances.set(vmId, {
          wave,
          endMs: clock.monotonicMs() + LATE_ORDER_LIMIT_MS +
            RECORD_VALIDITY_MS - ageMs,
        });
      }
      freeAtMs.set(
        vmId,
        clock.monotonicMs() +
          Math.max(0, options.holderGapMs + RECORD_VALIDITY_MS - ageMs),
      );
    },
    earlierMaintenance(vmId) {
      const earlier = earlierMaintenances.get(vmId);
      return earlier !== undefined && earlier.endMs > clock.monotonicMs()
        ? earlier.wave
        : undefined;
    },
    send(vmId, order, onResult) {
      earlierMaintenances.delete(vmId);
      active.set(vmId, order);
      storeIntent({ vmId, order, onResult, mayBeExecutedUntilMs: -Infinity });
    },
  };
}
