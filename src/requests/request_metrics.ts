import {
  createDurationMetric,
  type DurationMetric,
  type MetricSummary,
} from "../metrics.ts";

const NAME = "cowslipferry_request_duration_ms";

/** Request duration histograms by service and outcome. */
export class RequestMetrics {
  #series = new Map<string, DurationMetric>();

  /** Records a finished request; the service must be configured, which bounds the number of series. */
  record(service: string, outcome: string, durationMs: number): void {
    const id = `${service}/${outcome}`;
    let series = this.#series.get(id);
    if (series === undefined) {
      series = createDurationMetric(NAME, { service, outcome });
      this.#series.set(id, series);
    }
    series.record(durationMs);
  }

  list(): MetricSummary[] {
    return [...this.#series.values()].map((series) => series.read());
  }
}
