import { type Operation, sleep, until } from "effection";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";

/** Pause between two attempts, in ms. */
const RETRY_DELAY_MS = 100;

/** Retries a read until it succeeds, so that a newly elected owner doesn't fail because the store is slow. */
export function* retryStoreRead<T>(
  read: () => Promise<T>,
  log: Logger,
): Operation<T> {
  for (;;) {
    try {
      return yield* until(read());
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.info("store read failed; retrying", {
        failure: error.failure,
        reason: messageOf(error),
      });
      yield* sleep(RETRY_DELAY_MS);
    }
  }
}
