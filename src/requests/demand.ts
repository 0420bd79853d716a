/** Time over which a steady rate of arrivals is smoothed, in ms. */
const LONG_TIME_CONSTANT_MS = 500;
/** Time over which a changing rate is smoothed, in ms. */
const SHORT_TIME_CONSTANT_MS = 150;
/** Factor between the two rates from which on the quick one counts. */
const CHANGE_FACTOR = 2;
/** Time in which waiting requests should be worked off, in ms. */
const DRAIN_TARGET_MS = 250;

/** Rate of arrivals, smoothed over a longer and a shorter time. */
export interface ArrivalRate {
  readonly longTermPerMs: number;
  readonly shortTermPerMs: number;
  readonly updatedAtMs: number;
}

/** Returns the rate of a service that has had no request yet. */
export function createArrivalRate(nowMs: number): ArrivalRate {
  return { longTermPerMs: 0, shortTermPerMs: 0, updatedAtMs: nowMs };
}

function decay(rate: ArrivalRate, nowMs: number): ArrivalRate {
  const elapsedMs = nowMs - rate.updatedAtMs;
  return {
    longTermPerMs: rate.longTermPerMs *
      Math.exp(-elapsedMs / LONG_TIME_CONSTANT_MS),
    shortTermPerMs: rate.shortTermPerMs *
      Math.exp(-elapsedMs / SHORT_TIME_CONSTANT_MS),
    updatedAtMs: nowMs,
  };
}

/** Returns the rate after one more arrival. */
export function addArrival(rate: ArrivalRate, nowMs: number): ArrivalRate {
  const { longTermPerMs, shortTermPerMs } = decay(rate, nowMs);
  return {
    longTermPerMs: longTermPerMs + 1 / LONG_TIME_CONSTANT_MS,
    shortTermPerMs: shortTermPerMs + 1 / SHORT_TIME_CONSTANT_MS,
    updatedAtMs: nowMs,
  };
}

/** Returns the steady rate, or the quick one while the two are far apart. */
function currentPerMs(rate: ArrivalRate, nowMs: number): number {
  const { longTermPerMs, shortTermPerMs } = decay(rate, nowMs);
  const changing = shortTermPerMs > longTermPerMs * CHANGE_FACTOR ||
    shortTermPerMs < longTermPerMs / CHANGE_FACTOR;
  return changing ? shortTermPerMs : longTermPerMs;
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
  const offeredSlots = currentPerMs(input.rate, input.nowMs) *
    input.meanServiceMs;
  return Math.max(offeredSlots, input.inFlight) +
    input.waiting * input.meanServiceMs / DRAIN_TARGET_MS;
}
