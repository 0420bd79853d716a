/** Time over which arrivals are smoothed, in ms. */
const SMOOTHING_MS = 500;
/** Time in which waiting requests should be worked off, in ms. */
const DRAIN_TARGET_MS = 250;

/** Smoothed rate of arrivals. */
export interface ArrivalRate {
  readonly perMs: number;
  readonly updatedAtMs: number;
}

function decay(rate: ArrivalRate, nowMs: number): number {
  return rate.perMs * Math.exp((rate.updatedAtMs - nowMs) / SMOOTHING_MS);
}

/** Returns the rate after one more arrival. */
export function addArrival(rate: ArrivalRate, nowMs: number): ArrivalRate {
  return {
    perMs: decay(rate, nowMs) + 1 / SMOOTHING_MS,
    updatedAtMs: nowMs,
  };
}

/** What the demand for a service is estimated from. */
export interface DemandInput {
  readonly rate: ArrivalRate;
  readonly nowMs: number;
  readonly meanServiceMs: number;
  readonly inFlight: number;
  readonly waiting: number;
}

/** Returns the slots that an entry's callers ask for: arrivals times service time, and what waits. */
export function estimateDemandSlots(input: DemandInput): number {
  const offered = decay(input.rate, input.nowMs) * input.meanServiceMs;
  return Math.max(offered, input.inFlight) +
    input.waiting * input.meanServiceMs / DRAIN_TARGET_MS;
}
