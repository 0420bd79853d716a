/** Arrivals of this span make the present rate, in ms. */
const WINDOW_MS = 1_000;
/** How far ahead demand is forecast, in ms: a VM that changes pools is back after 1.5 s, and has to be ordered and registered. */
const LEAD_TIME_MS = 2_200;
/** Share of the chance difference of two counts (its standard deviation) that is not taken for a trend. */
const NOISE_SHARE = 0.6;
/** Growth of the arrivals from one window to the next below which they count as having reached their peak. */
const PEAK_GROWTH = 1.2;
/** Growth beyond that from which the trend is extended in full; a turn that rises steeply is still far from its peak. */
const STEEP_GROWTH = 1.5;
/** Standard deviations by which the growth of small counts may be larger than it looks. */
const GROWTH_UNCERTAINTY = 1;
/** Weight of the latest job in the mean work of a service's jobs. */
const SMOOTHING_FACTOR = 0.08;

/** Forecast of the processor work that arrives for each service. */
export interface DemandForecast {
  /** Notes the work of a job, in core-milliseconds, that arrived `ageMs` ago. */
  record(service: string, work: number, ageMs?: number): void;
  /** Work per time that is expected to arrive when a VM ordered now would be there, in cores. */
  forecastCores(service: string): number;
}

interface Arrivals {
  /** Arrival times of the last two windows, in ms. */
  times: number[];
  /** Mean work of a job, in core-milliseconds. */
  meanWork: number;
}

/**
 * Arrivals that the lead time's end will see in one window, from the counts of
 * the last two. Only the part of their difference that chance doesn't explain
 * counts as a trend. A rise that slows down is near the peak of its turn, so
 * that only part of its trend is extended.
 */
export function extrapolateTrend(previous: number, current: number): number {
  const change = current - previous;
  const noise = NOISE_SHARE * Math.sqrt(current + previous);
  const trend = Math.sign(change) *
    Math.max(0, Math.abs(change) - noise);
  const extrapolated = trend > 0
    ? trend * continuingShare(previous, current)
    : trend;
  return Math.max(0, current + extrapolated * (0.5 + LEAD_TIME_MS / WINDOW_MS));
}

/** Share of a rise that is expected to go on, 0 to 1. */
function continuingShare(previous: number, current: number): number {
  const growth = (current + GROWTH_UNCERTAINTY * Math.sqrt(current)) /
    Math.max(1, previous - GROWTH_UNCERTAINTY * Math.sqrt(previous));
  return Math.min(1, Math.max(0, (growth - PEAK_GROWTH) / STEEP_GROWTH));
}

/** Creates the forecast for demand that comes by turns, rising and falling within seconds; `nowMs` is a monotonic clock. */
export function createDemandForecast(nowMs: () => number): DemandForecast {
  const services = new Map<string, Arrivals>();

  return {
    record(service, work, ageMs = 0) {
      // Jobs of long-running tasks bring no work that ends.
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
