import type { Clock } from "../clock.ts";
import {
  createDurationMetric,
  type DurationMetric,
  type Metric,
} from "../metrics.ts";

/** Counts and durations of callers' requests to one entry. */
export interface RequestStats {
  record(operation: string, outcome: string, durationMs: number): void;
  /** Records that the owner has responded. */
  recordOwnerContact(): void;
  /** Returns the time since the owner last responded, in ms. */
  ownerContactAgeMs(): number;
  metrics(): Metric[];
}

/** Creates the request statistics of an entry. */
export function createRequestStats(clock: Clock): RequestStats {
  const counts = new Map<
    string,
    { operation: string; outcome: string; value: number }
  >();
  const durations = new Map<string, DurationMetric>();
  let ownerContactMs = -Infinity;
  return {
    record(operation, outcome, durationMs) {
      const key = `${operation} ${outcome}`;
      const count = counts.get(key) ?? { operation, outcome, value: 0 };
      count.value++;
      counts.set(key, count);
      let duration = durations.get(operation);
      if (duration === undefined) {
        duration = createDurationMetric("cowslipferry_request_duration_ms", {
          operation,
        });
        durations.set(operation, duration);
      }
      duration.record(durationMs);
    },
    recordOwnerContact() {
      ownerContactMs = clock.monotonicMs();
    },
    ownerContactAgeMs: () => clock.monotonicMs() - ownerContactMs,
    metrics: () => [
      ...[...counts.values()].map(({ operation, outcome, value }): Metric => ({
        kind: "counter",
        name: "cowslipferry_requests_total",
        help: "Callers' requests by operation and outcome",
        labels: { operation, outcome },
        value,
      })),
      ...[...durations.values()].map((duration): Metric => ({
        kind: "summary",
        help: "Time from a whole request to its response, in ms",
        ...duration.read(),
      })),
    ],
  };
}
