/** Length of one bucket of arrivals, in ms. */
const BUCKET_MS = 250;
/** Arrivals of this span make the present rate, in ms; single large jobs must not look like a surge. */
const WINDOW_MS = 1_500;
/** How far ahead demand is forecast, in ms: a VM that changes pools is back after 1.5 s, and has to be ordered and registered. */
const LEAD_MS = 2_200;
/** A forecast is at most this many times the present rate. */
const MAXIMUM_GROWTH = 2.2;

/** Forecast of the processor work that arrives for each service. */
export interface DemandForecast {
  /** Notes the work of a job, in core-milliseconds. */
  record(service: string, work: number): void;
  /** Work per time that is expected to arrive when a VM ordered now would be there, in cores. */
  expectCores(service: string): number;
}

interface Arrivals {
  /** Work by bucket number. */
  readonly buckets: Map<number, number>;
}

/** Extends the trend between two equal windows to the lead time; `before` and `now` are rates in cores. */
export function extendTrend(before: number, now: number): number {
  const slopePerMs = (now - before) / WINDOW_MS;
  const ahead = now + slopePerMs * (WINDOW_MS / 2 + LEAD_MS);
  return Math.max(0, Math.min(ahead, now * MAXIMUM_GROWTH));
}

/** Creates the forecast for demand that comes by turns, rising and falling within seconds; `nowMs` is a monotonic clock. */
export function createDemandForecast(nowMs: () => number): DemandForecast {
  const services = new Map<string, Arrivals>();

  function sum(buckets: Map<number, number>, from: number, to: number): number {
    let total = 0;
    for (let bucket = from; bucket < to; bucket++) {
      total += buckets.get(bucket) ?? 0;
    }
    return total;
  }

  return {
    record(service, work) {
      const bucket = Math.floor(nowMs() / BUCKET_MS);
      const arrivals = services.get(service) ?? { buckets: new Map() };
      services.set(service, arrivals);
      arrivals.buckets.set(
        bucket,
        (arrivals.buckets.get(bucket) ?? 0) + work,
      );
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
      const now = sum(arrivals.buckets, end - length, end) / WINDOW_MS;
      const before = sum(arrivals.buckets, end - 2 * length, end - length) /
        WINDOW_MS;
      return extendTrend(before, now);
    },
  };
}
