import {
  createLatencyHistogram,
  type LatencySummary,
} from "../testing/latency.ts";

/** Load that one process generates for one service. */
export interface LoadSpec {
  readonly service: string;
  /** `host:port` of entries, or of backend servers for a direct measurement. */
  readonly addresses: readonly string[];
  /** Whether the addresses are those of backend servers, which send no outcome header. */
  readonly direct: boolean;
  readonly load:
    | {
      readonly kind: "open";
      /** Arrivals per second in each segment. */
      readonly ratesPerSecond: readonly number[];
    }
    /** Closed loop: each connection sends its next request after a response. Has a single segment. */
    | { readonly kind: "closed"; readonly connections: number };
  /** Duration of each segment, in ms. */
  readonly segmentMs: number;
  /** Deadline of each request, in ms. */
  readonly deadlineMs: number;
  readonly seed: number;
}

/** Numbers of requests of one segment, by result. */
export interface SegmentCounts {
  sent: number;
  /** Complete answers to the right request within the deadline. */
  answered: number;
  /** Answers and refusals after the deadline. */
  late: number;
  /** `not_run` within the deadline. */
  refused: number;
  /** `outcome_unknown`, no response, or no valid outcome. */
  lost: number;
  /** Answers that don't belong to the request. */
  mismatched: number;
}

/** Result that a load process prints when it ends. */
export interface LoadResult {
  readonly service: string;
  readonly segments: readonly SegmentCounts[];
  /** Encoded histogram of the latency of answers in ms, measured from the scheduled arrival. */
  readonly latency: string;
  /** Encoded histogram of the latency of refusals in ms, measured from the scheduled arrival. */
  readonly refusalLatency: string;
  /** Numbers of refused and lost requests by reason. */
  readonly reasons: Record<string, number>;
  /** Event loop utilisation of the load process, from 0 to 1. Near 1, the load process limits the results. */
  readonly busyShare: number;
}

/** Merges encoded histograms and returns the percentiles of all values, in ms. */
export function summarize(encoded: readonly string[]): LatencySummary {
  const latencies = createLatencyHistogram();
  for (const item of encoded) latencies.merge(item);
  return latencies.summary();
}

/** Sums the counts of several segments. */
export function sumSegments(
  segments: readonly SegmentCounts[],
): SegmentCounts {
  const total = createEmptySegment();
  for (const segment of segments) {
    for (const key of Object.keys(total) as (keyof SegmentCounts)[]) {
      total[key] += segment[key];
    }
  }
  return total;
}

/** Creates the counts of a segment without requests. */
export function createEmptySegment(): SegmentCounts {
  return {
    sent: 0,
    answered: 0,
    late: 0,
    refused: 0,
    lost: 0,
    mismatched: 0,
  };
}
