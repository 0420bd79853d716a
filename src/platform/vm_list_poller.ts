import { type Operation, sleep, until, useAbortSignal } from "effection";
import type { Clock } from "../clock.ts";
import { VM_LIST_POLL_INTERVAL_MS } from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { MutableObservable } from "../observable.ts";
import type { Vm, VmList } from "./vm_list.ts";

/** The latest copy of the VM list. */
export interface VmListSnapshot {
  readonly vms: readonly Vm[];
  /** Monotonic time of the answer, in ms. */
  readonly readAtMs: number;
}

/** What the poller works with. */
export interface VmListPollerOptions {
  readonly vmList: VmList;
  readonly snapshot: MutableObservable<VmListSnapshot | undefined>;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called after each answer of the VM list. */
  readonly onContact?: () => void;
}

/** Task that polls the VM list until it is halted. */
export function* runVmListPoller(
  options: VmListPollerOptions,
): Operation<void> {
  const { vmList, snapshot, clock, log, onContact } = options;
  const signal = yield* useAbortSignal();
  let reachable = true;
  while (true) {
    try {
      const vms = yield* until(vmList.list(signal));
      onContact?.();
      snapshot.set({ vms, readAtMs: clock.monotonicMs() });
      if (!reachable) log.info("VM list is reachable again");
      reachable = true;
    } catch (error) {
      if (reachable) {
        log.warn("VM list is unreachable", { reason: messageOf(error) });
      }
      reachable = false;
    }
    yield* sleep(VM_LIST_POLL_INTERVAL_MS);
  }
}
