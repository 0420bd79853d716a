import type { Clock } from "../clock.ts";

/** Interval at which a store that doesn't answer is tried again, in ms; requests in between are refused at once. */
const PROBE_INTERVAL_MS = 250;

/** What an entry knows of the store from its latest calls. */
export interface StoreHealth {
  /** Whether the latest call had no answer. */
  isFailing(): boolean;
  /** Whether a write may be sent now; while the store fails, one in each interval finds out whether it is back. */
  allowsRequest(): boolean;
  recordSuccess(): void;
  recordFailure(): void;
}

/**
 * Creates the record of the store's health. In an outage it keeps requests from
 * being sent whose outcome would stay unknown, so that their callers learn at
 * once that nothing was stored and when to come back.
 */
export function createStoreHealth(clock: Clock): StoreHealth {
  let failing = false;
  let probedAtMs = -Infinity;
  return {
    isFailing: () => failing,
    allowsRequest() {
      if (!failing) return true;
      if (clock.monotonicMs() - probedAtMs < PROBE_INTERVAL_MS) return false;
      probedAtMs = clock.monotonicMs();
      return true;
    },
    recordSuccess() {
      failing = false;
    },
    recordFailure() {
      if (!failing) probedAtMs = clock.monotonicMs();
      failing = true;
    },
  };
}
