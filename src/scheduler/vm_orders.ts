import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import type { Journal } from "./journal.ts";
import type { VmApi, VmOrderOutcome } from "./ports.ts";
import { createStopwatch, type Stopwatch } from "./stopwatch.ts";

/** Delay before an order without a conclusive response is sent again, in ms. */
const RETRY_DELAY_MS = 300;
/** Maximum age of the stored record when its order is sent, in ms: by then another entry may have become the owner. */
const RECORD_VALIDITY_MS = 700;

/** An operation ordered for a VM. */
export type VmOrder =
  | { readonly kind: "move"; readonly pool: string }
  | { readonly kind: "maintain"; readonly wave: number };

/** Result of an order; `refused` means that nothing was done. */
export type VmOrderResult = "done" | "refused" | "fenced";

/** Sends orders for VMs, each after storing a record of it, and repeats those without a response. */
export interface VmOrders {
  /** Orders in progress, by VM ID. */
  readonly active: ReadonlyMap<string, VmOrder>;
  /** Whether an order may be sent for the VM: none is in progress, and the last one of an earlier owner is old enough. */
  isFree(vmId: string): boolean;
  /** Records an order of an earlier owner, sent at the given wall clock time. */
  recordEarlierOrder(vmId: string, atWallMs: number): void;
  /** Sends an order for a VM and calls back once its result is certain. */
  send(
    vmId: string,
    order: VmOrder,
    onResult: (result: VmOrderResult) => void,
  ): void;
}

/** Key prefix of stored VM order records. */
export const VM_ORDER_PREFIX = "fleet/order/";

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
}): VmOrders {
  const { fleet, journal, holder, fence, clock, log } = options;
  const active = new Map<string, VmOrder>();
  const freeAtMs = new Map<string, number>();

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
  function storeIntent(
    vmId: string,
    order: VmOrder,
    onResult: (result: VmOrderResult) => void,
  ): void {
    journal.put({
      key: VM_ORDER_PREFIX + vmId,
      encode: () =>
        JSON.stringify({ ...order, epoch: fence, atMs: clock.wallMs() }),
      onStored: () =>
        void deliver(vmId, order, onResult, createStopwatch(clock)),
    });
  }

  async function deliver(
    vmId: string,
    order: VmOrder,
    onResult: (result: VmOrderResult) => void,
    recordAge: Stopwatch,
  ): Promise<void> {
    for (;;) {
      if (recordAge.elapsedMs() > RECORD_VALIDITY_MS) {
        return storeIntent(vmId, order, onResult);
      }
      if (!options.mayOrder()) return;
      const outcome = await callPlatform(vmId, order);
      log.info("VM ordered", {
        vm: vmId,
        ...order,
        fence,
        outcome: outcome.kind,
        ...(outcome.kind === "refused" ? { reason: outcome.reason } : {}),
      });
      switch (outcome.kind) {
        case "done":
          active.delete(vmId);
          return onResult("done");
        case "refused":
          active.delete(vmId);
          return onResult(outcome.reason === "fenced" ? "fenced" : "refused");
        case "unavailable":
        case "unknown":
          // Orders are idempotent: if the first one was carried out, its repetition has no effect.
          await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
      }
    }
  }

  return {
    active,
    isFree: (vmId) =>
      !active.has(vmId) && (freeAtMs.get(vmId) ?? 0) <= clock.monotonicMs(),
    recordEarlierOrder(vmId, atWallMs) {
      const ageMs = Math.max(0, clock.wallMs() - atWallMs);
      freeAtMs.set(
        vmId,
        clock.monotonicMs() + Math.max(0, options.holderGapMs - ageMs),
      );
    },
    send(vmId, order, onResult) {
      active.set(vmId, order);
      storeIntent(vmId, order, onResult);
    },
  };
}
