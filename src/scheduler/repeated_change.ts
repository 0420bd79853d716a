import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "../clock.ts";
import type { ChangeOutcome, RecordStore, StoreChange } from "./ports.ts";

/** Minimum time after which a change without a response is sent again, in ms. */
const MINIMUM_REPEAT_DELAY_MS = 60;
/** Ratio of that time to the store's usual response time. */
const REPEAT_DELAY_FACTOR = 5;
/** Weight of the latest response in the moving average of the response time. */
const SMOOTHING_FACTOR = 0.3;

/** Sends changes to the store, and once more if a response takes far longer than usual. */
export interface RepeatedChanges {
  /**
   * Sends a change of which the store executes at most one of several attempts.
   * Returns the first outcome; rejects with the error of the first attempt if all
   * fail.
   */
  send(change: StoreChange): Promise<ChangeOutcome>;
}

/** Creates the sender of changes; it learns the store's response time. */
export function createRepeatedChanges(options: {
  readonly store: Pick<RecordStore, "change">;
  readonly clock: Clock;
}): RepeatedChanges {
  const { store, clock } = options;
  let responseMs = 0;

  async function attempt(change: StoreChange): Promise<ChangeOutcome> {
    const startedAtMs = clock.monotonicMs();
    const outcome = await store.change(change);
    responseMs += (clock.monotonicMs() - startedAtMs - responseMs) *
      SMOOTHING_FACTOR;
    return outcome;
  }

  return {
    async send(change) {
      const first = attempt(change);
      const settled = await Promise.race([
        first.then(() => true, () => true),
        delay(
          Math.max(MINIMUM_REPEAT_DELAY_MS, responseMs * REPEAT_DELAY_FACTOR),
          false,
        ),
      ]);
      if (settled) return await first;
      try {
        return await Promise.any([first, attempt(change)]);
      } catch {
        return await first;
      }
    },
  };
}
