/** Time constant of the smoothed rate while arrivals are steady, in ms. */
const LONG_TIME_CONSTANT_MS = 500;
/** Time constant of the smoothed rate while arrivals are changing, in ms. */
const SHORT_TIME_CONSTANT_MS = 150;
/** Ratio between the two rates above which the short-term rate is used. */
const CHANGE_FACTOR = 2;
/** Time within which queued requests should be served, in ms. */
const DRAIN_TARGET_MS = 250;

/** Arrival rate in requests per ms, smoothed exponentially with a long and a short time constant. */
export interface ArrivalRate {
  readonly longTermPerMs: number;
  readonly shortTermPerMs: number;
  /** Monotonic time up to which the rates have decayed, in ms. */
  readonly updatedAtMs: number;
}

/** Returns the arrival rate of a service without requests so far. */
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

/** Returns the arrival rate after one more request. */
export function addArrival(rate: ArrivalRate, nowMs: number): ArrivalRate {
  const { longTermPerMs, shortTermPerMs } = decay(rate, nowMs);
  return {
    longTermPerMs: longTermPerMs + 1 / LONG_TIME_CONSTANT_MS,
    shortTermPerMs: shortTermPerMs + 1 / SHORT_TIME_CONSTANT_MS,
    updatedAtMs: nowMs,
  };
}

/** Returns the long-term rate, or the short-term one while the two differ by more than `CHANGE_FACTOR`. */
function currentPerMs(rate: ArrivalRate, nowMs: number): number {
  const { longTermPerMs, shortTermPerMs } = decay(rate, nowMs);
  const changing = shortTermPerMs > longTermPerMs * CHANGE_FACTOR ||
    shortTermPerMs < longTermPerMs / CHANGE_FACTOR;
  return changing ? shortTermPerMs : longTermPerMs;
}

/** Inputs of the demand estimate for one service. */
export interface DemandInput {
  readonly rate: ArrivalRate;
  readonly nowMs: number;
  readonly meanServiceMs: number;
  readonly inFlight: number;
  /** Number of queued requests. */
  readonly waiting: number;
}

/** Estimates the slots that an entry's callers need: the arrival rate times the service time, plus the slots that serve the queued requests in time. */
export function estimateDemandSlots(input: DemandInput): number {
  const offeredSlots = currentPerMs(input.rate, input.nowMs) *
    input.meanServiceMs;
  return Math.max(offeredSlots, input.inFlight) +
    input.waiting * input.meanServiceMs / DRAIN_TARGET_MS;
}
