/** Length of one bucket of arrivals, in ms. */
const BUCKET_MS = 250;
/** Arrivals of this span make the present rate, in ms. */
const WINDOW_MS = 1_000;
/** How far ahead demand is forecast, in ms: a VM that changes pools is back after 1.5 s, and has to be ordered and registered. */
const LEAD_MS = 2_200;
/** A forecast is at most this many times the present rate; within a VM's lead time a turn grows fourfold. */
const MAXIMUM_GROWTH = 4;
/** Share of the chance difference of two counts (its standard deviation) that is not taken for a trend. */
const CHANCE_SHARE = 0.3;
/** Weight of the latest job in the mean work of a service's jobs. */
const LATEST_WEIGHT = 0.08;

/** Forecast of the processor work that arrives for each service. */
export interface DemandForecast {
  /** Notes the work of a job, in core-milliseconds. */
  record(service: string, work: number): void;
  /** Work per time that is expected to arrive when a VM ordered now would be there, in cores. */
  expectCores(service: string): number;
}

interface Arrivals {
  /** Jobs by bucket number. */
  readonly buckets: Map<number, number>;
  /** Mean work of a job, in core-milliseconds. */
  meanWork: number;
}

/**
 * Arrivals that the lead time's end will see in one window, from the counts of
 * the last two. Only the part of their difference that chance doesn't explain
 * counts as a trend.
 */
export function extendTrend(before: number, now: number): number {
  const difference = now - before;
  const chance = CHANCE_SHARE * Math.sqrt(now + before);
  const trend = Math.sign(difference) *
    Math.max(0, Math.abs(difference) - chance);
  const ahead = now + trend * (0.5 + LEAD_MS / WINDOW_MS);
  return Math.max(0, Math.min(ahead, now * MAXIMUM_GROWTH));
}

/** Creates the forecast for demand that comes by turns, rising and falling within seconds; `nowMs` is a monotonic clock. */
export function createDemandForecast(nowMs: () => number): DemandForecast {
  const services = new Map<string, Arrivals>();

  function count(
    buckets: ReadonlyMap<number, number>,
    from: number,
    to: number,
  ): number {
    let total = 0;
    for (let bucket = from; bucket < to; bucket++) {
      total += buckets.get(bucket) ?? 0;
    }
    return total;
  }

  return {
    record(service, work) {
      // Jobs of long-running tasks bring no work that ends.
      if (work <= 0) return;
      const bucket = Math.floor(nowMs() / BUCKET_MS);
      const arrivals = services.get(service) ??
        { buckets: new Map(), meanWork: work };
      services.set(service, arrivals);
      arrivals.meanWork += (work - arrivals.meanWork) * LATEST_WEIGHT;
      arrivals.buckets.set(bucket, (arrivals.buckets.get(bucket) ?? 0) + 1);
      for (const old of arrivals.buckets.keys()) {
        if (old < bucket - 4 * WINDOW_MS / BUCKET_MS) {
          arrivals.buckets.delete(old);
        }
      }
    },
    expectCores(service) {
      const arrivals = services.get(service);
      if (arrivals === undefined) return 0;
      const end = Math.floor(nowMs() / BUCKET_MS) + 1;
      const length = WINDOW_MS / BUCKET_MS;
      const now = count(arrivals.buckets, end - length, end);
      const before = count(arrivals.buckets, end - 2 * length, end - length);
      return extendTrend(before, now) * arrivals.meanWork / WINDOW_MS;
    },
  };
}
