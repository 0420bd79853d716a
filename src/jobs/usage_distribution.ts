import { Int32Histogram } from "hdr-histogram-js";

/**
 * Distribution of the peak usage of one resource. Unlike those of a plain
 * histogram, its percentiles are recorded values and aren't rounded up: two
 * tasks that use half of a worker each must fit that worker.
 */
export class UsageDistribution {
  /** Counts integers, with two significant digits; it grows with its values. */
  #histogram = new Int32Histogram(1, 2, 2);
  #unitsPerWhole: number;
  /** Highest recorded usage by the lowest value of its bucket. */
  #highestByBucket = new Map<number, number>();

  /** `unitsPerWhole` is the resolution, as the histogram counts integers. */
  constructor(unitsPerWhole: number) {
    this.#unitsPerWhole = unitsPerWhole;
    this.#histogram.autoResize = true;
  }

  /** Adds the peak usage of a run, in whole cores or MB. */
  record(usage: number): void {
    const value = Math.ceil(usage * this.#unitsPerWhole);
    this.#histogram.recordValue(value);
    const bucket = this.#histogram.lowestEquivalentValue(value);
    const highest = this.#highestByBucket.get(bucket) ?? 0;
    this.#highestByBucket.set(bucket, Math.max(highest, usage));
  }

  /**
   * Returns usage that at least `percentile` percent of the runs didn't exceed;
   * 0 without runs.
   */
  atPercentile(percentile: number): number {
    const value = this.#histogram.getValueAtPercentile(percentile);
    const bucket = this.#histogram.lowestEquivalentValue(value);
    return this.#highestByBucket.get(bucket) ?? 0;
  }
}
