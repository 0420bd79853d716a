import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from "hdr-histogram-js";

const MICROSECONDS_PER_MS = 1_000;
/** Highest latency that a histogram can record, in ms. */
const MAXIMUM_LATENCY_MS = 600_000;

/** Number, percentiles and maximum of the recorded latencies. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly maximumMs: number;
}

/** A latency histogram with a resolution of 1 µs and three significant digits. */
export interface LatencyHistogram {
  record(latencyMs: number): void;
  summary(): LatencySummary;
  /** Serializes the histogram, to merge it in another process. */
  encode(): string;
  /** Merges an encoded histogram into this one. */
  merge(encoded: string): void;
}

/** Creates an empty latency histogram. */
export function createLatencyHistogram(): LatencyHistogram {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_LATENCY_MS * MICROSECONDS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });
  const percentileMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    record(latencyMs) {
      const microseconds = Math.round(latencyMs * MICROSECONDS_PER_MS);
      histogram.recordValue(Math.max(1, microseconds));
    },
    encode: () => encodeIntoCompressedBase64(histogram),
    merge: (encoded) => histogram.add(decodeFromCompressedBase64(encoded)),
    summary: () => ({
      count: histogram.totalCount,
      p50Ms: percentileMs(50),
      p90Ms: percentileMs(90),
      p99Ms: percentileMs(99),
      maximumMs: histogram.maxValue / MICROSECONDS_PER_MS,
    }),
  };
}

/** Formats rows as a table; the first column is left-aligned, all others are right-aligned. */
export function formatTable(
  rows: readonly (readonly (string | number)[])[],
): string {
  const text = rows.map((row) =>
    row.map((cell) => typeof cell === "number" ? formatNumber(cell) : cell)
  );
  const widths = (text[0] ?? []).map((_, column) =>
    Math.max(...text.map((row) => row[column]?.length ?? 0))
  );
  return text.map((row) =>
    row.map((cell, column) =>
      column === 0
        ? cell.padEnd(widths[0] ?? 0)
        : cell.padStart(widths[column] ?? 0)
    ).join("  ")
  ).join("\n");
}

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(2);
}
