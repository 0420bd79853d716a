import { type Operation, sleep, until, useAbortSignal } from "effection";
import type { Clock } from "../clock.ts";
import {
  VM_LIST_IDLE_POLL_INTERVAL_MS,
  VM_LIST_POLL_INTERVAL_MS,
} from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { MutableObservable } from "../observable.ts";
import type { Vm, VmList } from "./vm_list.ts";

/** Latest copy of the VM list. */
export interface VmListSnapshot {
  readonly vms: readonly Vm[];
  /** Monotonic time at which the response arrived, in ms. */
  readonly readAtMs: number;
}

/** Options of `runVmListPoller`. */
export interface VmListPollerOptions {
  readonly vmList: VmList;
  readonly snapshot: MutableObservable<VmListSnapshot | undefined>;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called after each successful poll. */
  readonly onContact?: () => void;
}

/** Time without a change after which the list is polled less often, in ms. Changes mostly come in bursts. */
const IDLE_THRESHOLD_MS = 30_000;

/** Returns the time until the next poll, in ms. */
export function decidePollIntervalMs(
  input: { readonly reachable: boolean; readonly unchangedMs: number },
): number {
  return input.reachable && input.unchangedMs >= IDLE_THRESHOLD_MS
    ? VM_LIST_IDLE_POLL_INTERVAL_MS
    : VM_LIST_POLL_INTERVAL_MS;
}

/** Task that polls the VM list until it is halted. */
export function* runVmListPoller(
  options: VmListPollerOptions,
): Operation<void> {
  const { vmList, snapshot, clock, log, onContact } = options;
  const signal = yield* useAbortSignal();
  let reachable = true;
  let previousVms: readonly Vm[] | undefined;
  let changedAtMs = clock.monotonicMs();
  while (true) {
    try {
      const vms = yield* until(vmList.list(signal));
      onContact?.();
      const readAtMs = clock.monotonicMs();
      // The client returns the same array for an unchanged list, unless the server sends no entity tags.
      if (vms !== previousVms) changedAtMs = readAtMs;
      previousVms = vms;
      snapshot.set({ vms, readAtMs });
      if (!reachable) log.info("VM list is reachable again");
      reachable = true;
    } catch (error) {
      if (reachable) {
        log.warn("VM list is unreachable", { reason: messageOf(error) });
      }
      reachable = false;
    }
    const unchangedMs = clock.monotonicMs() - changedAtMs;
    yield* sleep(decidePollIntervalMs({ reachable, unchangedMs }));
  }
}
