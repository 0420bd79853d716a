/** Time over which a steady rate of arrivals is smoothed, in ms. */
const STEADY_SMOOTHING_MS = 500;
/** Time over which a changing rate is smoothed, in ms. */
const QUICK_SMOOTHING_MS = 150;
/** Factor between the two rates from which on the quick one counts. */
const CHANGE_FACTOR = 2;
/** Time in which waiting requests should be worked off, in ms. */
const DRAIN_TARGET_MS = 250;

/** Rate of arrivals, smoothed over a longer and a shorter time. */
export interface ArrivalRate {
  readonly steadyPerMs: number;
  readonly quickPerMs: number;
  readonly updatedAtMs: number;
}

/** Returns the rate of a service that has had no request yet. */
export function createArrivalRate(nowMs: number): ArrivalRate {
  return { steadyPerMs: 0, quickPerMs: 0, updatedAtMs: nowMs };
}

function decay(rate: ArrivalRate, nowMs: number): ArrivalRate {
  const elapsedMs = nowMs - rate.updatedAtMs;
  return {
    steadyPerMs: rate.steadyPerMs * Math.exp(-elapsedMs / STEADY_SMOOTHING_MS),
    quickPerMs: rate.quickPerMs * Math.exp(-elapsedMs / QUICK_SMOOTHING_MS),
    updatedAtMs: nowMs,
  };
}

/** Returns the rate after one more arrival. */
export function addArrival(rate: ArrivalRate, nowMs: number): ArrivalRate {
  const { steadyPerMs, quickPerMs } = decay(rate, nowMs);
  return {
    steadyPerMs: steadyPerMs + 1 / STEADY_SMOOTHING_MS,
    quickPerMs: quickPerMs + 1 / QUICK_SMOOTHING_MS,
    updatedAtMs: nowMs,
  };
}

/** Returns the steady rate, or the quick one while the two are far apart. */
function currentPerMs(rate: ArrivalRate, nowMs: number): number {
  const { steadyPerMs, quickPerMs } = decay(rate, nowMs);
  const changing = quickPerMs > steadyPerMs * CHANGE_FACTOR ||
    quickPerMs < steadyPerMs / CHANGE_FACTOR;
  return changing ? quickPerMs : steadyPerMs;
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
  const offered = currentPerMs(input.rate, input.nowMs) * input.meanServiceMs;
  return Math.max(offered, input.inFlight) +
    input.waiting * input.meanServiceMs / DRAIN_TARGET_MS;
}
