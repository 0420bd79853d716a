import type { Histogram } from "hdr-histogram-js";
import { createDurationHistogram, recordDuration } from "./service_times.ts";

/** One summary of durations, as plain data. */
export interface MetricSummary {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly count: number;
  /** Sum of the durations, in ms. */
  readonly sum: number;
  /** Durations in ms by quantile. */
  readonly quantiles: Readonly<Record<string, number>>;
}

const NAME = "cowslipferry_request_duration_ms";
const QUANTILES = ["0.5", "0.9", "0.99", "0.999"];

interface Series {
  readonly labels: Readonly<Record<string, string>>;
  readonly histogram: Histogram;
  sumMs: number;
}

/** Latency histograms by service and outcome. */
export class RequestMetrics {
  #series = new Map<string, Series>();

  /** Records a finished request; the service must be a configured one, so that series stay few. */
  record(service: string, outcome: string, durationMs: number): void {
    const id = `${service}/${outcome}`;
    let series = this.#series.get(id);
    if (series === undefined) {
      series = {
        labels: { service, outcome },
        histogram: createDurationHistogram(),
        sumMs: 0,
      };
      this.#series.set(id, series);
    }
    recordDuration(series.histogram, durationMs);
    series.sumMs += durationMs;
  }

  list(): MetricSummary[] {
    return [...this.#series.values()].map((
      { labels, histogram, sumMs },
    ) => ({
      name: NAME,
      labels,
      count: histogram.totalCount,
      sum: sumMs,
      quantiles: Object.fromEntries(
        QUANTILES.map((quantile) => [
          quantile,
          histogram.getValueAtPercentile(Number(quantile) * 100) / 1_000,
        ]),
      ),
    }));
  }
}
