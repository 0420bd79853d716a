import { type Operation, sleep, until, useAbortSignal } from "effection";
import { STORE_WATCH_WAIT_MS } from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Store, VersionedValue } from "./store.ts";

/** Delay after a failed watch, in ms. */
const RETRY_DELAY_MS = 250;
/** Longest delay after failed watches in a row, in ms. */
const MAXIMUM_RETRY_DELAY_MS = 2_000;

/** What a follower of one store key works with. */
export interface ValueFollowerOptions {
  readonly store: Store;
  readonly key: string;
  readonly log: Logger;
  /** Called for each new version of the value; a thrown error is logged. */
  readonly onValue: (entry: VersionedValue) => void;
  /** Called when the key doesn't exist, or no longer. */
  readonly onAbsent?: () => void;
  /** Called after an answer that shows no new version. */
  readonly onUnchanged?: () => void;
  /** Called after each answer of the store. */
  readonly onContact?: () => void;
}

/** Task that follows one key of the store by long polls until it is halted. */
export function* runValueFollower(
  options: ValueFollowerOptions,
): Operation<void> {
  const { store, key, log, onValue, onContact } = options;
  const signal = yield* useAbortSignal();
  let afterVersion = -1;
  let failures = 0;
  while (true) {
    try {
      const entry = yield* until(
        store.watch(key, { afterVersion, waitMs: STORE_WATCH_WAIT_MS, signal }),
      );
      if (failures > 0) log.info("store is reachable again", { key });
      failures = 0;
      onContact?.();
      if (entry === undefined || entry.version === afterVersion) {
        options.onUnchanged?.();
        continue;
      }
      afterVersion = entry.version;
      if (entry.version > 0) onValue(entry);
      else options.onAbsent?.();
    } catch (error) {
      if (failures === 0) {
        log.warn("watch failed", { key, reason: messageOf(error) });
      }
      const delayMs = Math.min(
        RETRY_DELAY_MS * 2 ** failures,
        MAXIMUM_RETRY_DELAY_MS,
      );
      failures++;
      yield* sleep(delayMs);
    }
  }
}
