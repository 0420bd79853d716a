import type { Clock } from "../clock.ts";

/** Interval of probes to a store that doesn't respond, in ms; other requests are refused at once. */
const PROBE_INTERVAL_MS = 250;

/** Circuit breaker for writes to the store. */
export interface StoreHealth {
  /** Whether the latest call failed. */
  isFailing(): boolean;
  /** Whether a write may be sent now; while the store is failing, one write per interval is allowed as a probe. */
  allowsRequest(): boolean;
  recordSuccess(): void;
  recordFailure(): void;
}

/**
 * Creates the circuit breaker. During an outage it prevents writes whose outcome
 * would remain unknown, so that callers learn at once that nothing was stored and
 * when to retry.
 */
export function createStoreHealth(clock: Clock): StoreHealth {
  let failing = false;
  let lastProbeAtMs = -Infinity;
  return {
    isFailing: () => failing,
    allowsRequest() {
      if (!failing) return true;
      if (clock.monotonicMs() - lastProbeAtMs < PROBE_INTERVAL_MS) return false;
      lastProbeAtMs = clock.monotonicMs();
      return true;
    },
    recordSuccess() {
      failing = false;
    },
    recordFailure() {
      if (!failing) lastProbeAtMs = clock.monotonicMs();
      failing = true;
    },
  };
}
