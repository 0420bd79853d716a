import { type Operation, sleep, until } from "effection";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";

/** Pause between two tries, in ms. */
const RETRY_DELAY_MS = 100;

/** Repeats a read until the store answers: an owner that has just been elected must not fail because the store is slow. */
export function* retryStoreRead<T>(
  read: () => Promise<T>,
  log: Logger,
): Operation<T> {
  for (;;) {
    try {
      return yield* until(read());
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.info("read of the store failed and is repeated", {
        failure: error.failure,
        reason: messageOf(error),
      });
      yield* sleep(RETRY_DELAY_MS);
    }
  }
}
