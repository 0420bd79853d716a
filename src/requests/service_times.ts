import { build, type Histogram } from "hdr-histogram-js";
import type { Clock } from "../clock.ts";

/** Duration of a histogram's window, in ms. */
const WINDOW_MS = 5_000;
/** Minimum interval between two computations of the estimates, in ms. */
const REFRESH_MS = 100;
/** Estimates for a service without responses so far, in ms. */
const INITIAL_MEAN_MS = 10;
const INITIAL_SLOW_MS = 50;
/** Percentile of the service time that is reported as slow. */
const SLOW_PERCENTILE = 99;
const MAXIMUM_VALUE_US = 600_000_000;

/** Creates a histogram of durations in microseconds. */
function createDurationHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_VALUE_US,
    numberOfSignificantValueDigits: 2,
  });
}

/** Records a duration in ms, clamped to the histogram's range. */
function recordDuration(histogram: Histogram, durationMs: number): void {
  histogram.recordValue(
    Math.min(MAXIMUM_VALUE_US, Math.max(1, Math.round(durationMs * 1_000))),
  );
}

/** Service times of one service's recent requests, in two rotating histograms. */
export class ServiceTimes {
  #clock: Clock;
  #current = createDurationHistogram();
  #previous = createDurationHistogram();
  /** Whether durations were recorded since the estimates were computed. */
  #outdated = false;
  #windowStartMs: number;
  #refreshedAtMs = -Infinity;
  #estimates = { meanMs: INITIAL_MEAN_MS, slowMs: INITIAL_SLOW_MS };

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#windowStartMs = clock.monotonicMs();
  }

  /** Records the service time of one request, in ms. */
  record(durationMs: number): void {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#windowStartMs > WINDOW_MS) {
      [this.#previous, this.#current] = [this.#current, this.#previous];
      this.#current.reset();
      this.#windowStartMs = nowMs;
    }
    recordDuration(this.#current, durationMs);
    this.#outdated = true;
  }

  /** Returns the mean and the slow service time, in ms; the last known ones when there are no recent requests. */
  estimates(): { readonly meanMs: number; readonly slowMs: number } {
    if (!this.#outdated) return this.#estimates;
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#refreshedAtMs < REFRESH_MS) return this.#estimates;
    this.#refreshedAtMs = nowMs;
    this.#outdated = false;
    const merged = createDurationHistogram();
    merged.add(this.#previous);
    merged.add(this.#current);
    this.#estimates = {
      meanMs: merged.mean / 1_000,
      slowMs: merged.getValueAtPercentile(SLOW_PERCENTILE) / 1_000,
    };
    return this.#estimates;
  }
}
