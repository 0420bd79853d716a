import { type Operation, sleep, until, useAbortSignal } from "effection";
import { STORE_WATCH_WAIT_MS } from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Store, VersionedValue } from "./store.ts";

/** Delay after the first failed watch; doubles with each further failure in a row, in ms. */
const FIRST_RETRY_DELAY_MS = 250;
/** Maximum delay after a failed watch, in ms. */
const MAXIMUM_RETRY_DELAY_MS = 2_000;

/** Options of `runValueFollower`. */
export interface ValueFollowerOptions {
  readonly store: Store;
  readonly key: string;
  readonly log: Logger;
  /** Called for each new version of the value; a thrown error is logged. */
  readonly onValue: (latest: VersionedValue) => void;
  /** Called when the key doesn't exist or was deleted. */
  readonly onAbsent?: () => void;
  /** Called after a response that shows no new version. */
  readonly onUnchanged?: () => void;
  /** Called after each response from the store. */
  readonly onContact?: () => void;
}

/** Task that follows the value of one store key by long polling until it is halted. */
export function* runValueFollower(
  options: ValueFollowerOptions,
): Operation<void> {
  const { store, key, log, onValue, onContact } = options;
  const signal = yield* useAbortSignal();
  let afterVersion = -1;
  let failuresInRow = 0;
  while (true) {
    try {
      const latest = yield* until(
        store.watch(key, { afterVersion, waitMs: STORE_WATCH_WAIT_MS, signal }),
      );
      if (failuresInRow > 0) log.info("store is reachable again", { key });
      failuresInRow = 0;
      onContact?.();
      if (latest === undefined || latest.version === afterVersion) {
        options.onUnchanged?.();
        continue;
      }
      afterVersion = latest.version;
      if (latest.version > 0) onValue(latest);
      else options.onAbsent?.();
    } catch (error) {
      if (failuresInRow === 0) {
        log.warn("store watch failed", { key, reason: messageOf(error) });
      }
      const delayMs = Math.min(
        FIRST_RETRY_DELAY_MS * 2 ** failuresInRow,
        MAXIMUM_RETRY_DELAY_MS,
      );
      failuresInRow++;
      yield* sleep(delayMs);
    }
  }
}
