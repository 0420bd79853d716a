/** Length of the window in which arrivals are counted, in ms. */
const WINDOW_MS = 1_000;
/** How far ahead demand is forecast, in ms: a VM that changes pools is back after 1.5 s; sending the order and registering its worker take the rest. */
const LEAD_TIME_MS = 2_200;
/** Multiple of the standard deviation of the difference of two counts below which the difference is treated as noise, not as a trend. */
const NOISE_FACTOR = 0.6;
/** Growth factor from one window to the next at or below which a rise isn't extrapolated, as its peak is near. */
const PEAK_GROWTH = 1.2;
/** Growth beyond `PEAK_GROWTH` from which a rise is extrapolated in full; a steep surge is still far from its peak. */
const STEEP_GROWTH = 1.5;
/** Standard deviations by which the actual growth may exceed the observed one, which matters for small counts. */
const GROWTH_UNCERTAINTY = 1;
/** Weight of the latest job in the moving average of work per job. */
const SMOOTHING_FACTOR = 0.08;

/** Forecasts the CPU work that arrives for each service. */
export interface DemandForecast {
  /** Records a job that arrived `ageMs` ago, with its work in core-milliseconds. */
  record(service: string, work: number, ageMs?: number): void;
  /** Returns the arrival rate of work, in cores, expected for the time when a VM ordered now becomes available. */
  forecastCores(service: string): number;
}

interface Arrivals {
  /** Arrival times of the last two windows, in ms. */
  times: number[];
  /** Moving average of work per job, in core-milliseconds. */
  meanWork: number;
}

/**
 * Extrapolates the number of arrivals per window to the end of the lead time,
 * from the counts of the last two windows. Only the part of their difference
 * that exceeds noise counts as a trend. A rise that slows down is near the peak
 * of its surge, so only part of its trend is extrapolated.
 */
export function extrapolateTrend(previous: number, current: number): number {
  const change = current - previous;
  const noise = NOISE_FACTOR * Math.sqrt(current + previous);
  const trend = Math.sign(change) *
    Math.max(0, Math.abs(change) - noise);
  const extrapolated = trend > 0
    ? trend * continuingShare(previous, current)
    : trend;
  return Math.max(0, current + extrapolated * (0.5 + LEAD_TIME_MS / WINDOW_MS));
}

/** Returns the share of a rising trend that is expected to continue, 0 to 1. */
function continuingShare(previous: number, current: number): number {
  const growth = (current + GROWTH_UNCERTAINTY * Math.sqrt(current)) /
    Math.max(1, previous - GROWTH_UNCERTAINTY * Math.sqrt(previous));
  return Math.min(1, Math.max(0, (growth - PEAK_GROWTH) / STEEP_GROWTH));
}

/** Creates a forecast for demand that surges and falls within seconds; `nowMs` is a monotonic clock. */
export function createDemandForecast(nowMs: () => number): DemandForecast {
  const services = new Map<string, Arrivals>();

  return {
    record(service, work, ageMs = 0) {
      // Jobs with only long-running or best-effort tasks have no finite work.
      if (work <= 0) return;
      const arrivals = services.get(service) ?? { times: [], meanWork: work };
      services.set(service, arrivals);
      arrivals.meanWork += (work - arrivals.meanWork) * SMOOTHING_FACTOR;
      arrivals.times.push(nowMs() - ageMs);
    },
    forecastCores(service) {
      const arrivals = services.get(service);
      if (arrivals === undefined) return 0;
      const timeMs = nowMs();
      arrivals.times = arrivals.times.filter((time) =>
        time > timeMs - 2 * WINDOW_MS
      );
      const current = arrivals.times.filter((time) => time > timeMs - WINDOW_MS)
        .length;
      const previous = arrivals.times.length - current;
      return extrapolateTrend(previous, current) * arrivals.meanWork /
        WINDOW_MS;
    },
  };
}
