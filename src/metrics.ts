import { build, type Histogram } from "hdr-histogram-js";

/** Summary of recorded durations. */
export interface MetricSummary {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly count: number;
  /** Sum of the durations, in ms. */
  readonly sum: number;
  /** Durations in ms by quantile. */
  readonly quantiles: Readonly<Record<string, number>>;
}

/** A sample of a metric, or the summary of one. */
export type Metric =
  | ({ readonly kind: "summary"; readonly help: string } & MetricSummary)
  | {
    readonly kind: "counter" | "gauge";
    readonly name: string;
    readonly help: string;
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
  };

const QUANTILES = ["0.5", "0.9", "0.99", "0.999"];
const MICROSECONDS_PER_MS = 1_000;
/** Upper limit of the histogram's range, in microseconds. */
const MAXIMUM_MICROSECONDS = 600_000_000;

/** Records the durations of one kind of event. */
export interface DurationMetric {
  record(durationMs: number): void;
  /** Returns the summary of all durations recorded so far. */
  read(): MetricSummary;
}

/** Creates a duration metric; its quantiles count durations above 10 minutes as 10 minutes. */
export function createDurationMetric(
  name: string,
  labels: Readonly<Record<string, string>> = {},
): DurationMetric {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
    useWebAssembly: false,
  });
  let sum = 0;
  return {
    record(durationMs) {
      const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS);
      histogram.recordValue(
        Math.min(Math.max(microseconds, 0), MAXIMUM_MICROSECONDS),
      );
      sum += durationMs;
    },
    read: () => ({
      name,
      labels,
      count: histogram.totalCount,
      sum,
      quantiles: Object.fromEntries(
        QUANTILES.map((quantile) => [
          quantile,
          histogram.getValueAtPercentile(Number(quantile) * 100) /
          MICROSECONDS_PER_MS,
        ]),
      ),
    }),
  };
}

function escapeLabel(value: string): string {
  return value.replaceAll("\\", "\\\\").replaceAll('"', '\\"')
    .replaceAll("\n", "\\n");
}

function formatSample(
  name: string,
  labels: Readonly<Record<string, string>>,
  value: number,
): string {
  const pairs = Object.entries(labels).map(([label, text]) =>
    `${label}="${escapeLabel(text)}"`
  );
  return `${name}${pairs.length === 0 ? "" : `{${pairs.join(",")}}`} ${value}`;
}

function formatMetric(metric: Metric): string[] {
  if (metric.kind !== "summary") {
    return [formatSample(metric.name, metric.labels, metric.value)];
  }
  const { name, labels } = metric;
  return [
    ...Object.entries(metric.quantiles).map(([quantile, value]) =>
      formatSample(name, { ...labels, quantile }, value)
    ),
    formatSample(`${name}_sum`, labels, metric.sum),
    formatSample(`${name}_count`, labels, metric.count),
  ];
}

/** Formats metrics in the Prometheus text format. */
export function formatPrometheus(metrics: readonly Metric[]): string {
  const families = new Map<string, Metric[]>();
  for (const metric of metrics) {
    families.set(metric.name, [...families.get(metric.name) ?? [], metric]);
  }
  const lines = [...families].flatMap(([name, family]) => [
    `# HELP ${name} ${family[0]?.help}`,
    `# TYPE ${name} ${family[0]?.kind}`,
    ...family.flatMap(formatMetric),
  ]);
  return `${lines.join("\n")}\n`;
}
