import {
  createLatencyHistogram,
  type LatencySummary,
} from "../testing/latency.ts";

/** Load of one service from one process. */
export interface LoadSpec {
  readonly service: string;
  /** `host:port` of entries, or of backend servers for the direct comparison. */
  readonly addresses: readonly string[];
  /** Whether the addresses are backend servers, which send no outcome header. */
  readonly direct: boolean;
  readonly load:
    | {
      readonly kind: "open";
      /** Arrivals per second in each segment. */
      readonly ratesPerSecond: readonly number[];
    }
    /** Each connection sends its next request after a response; one segment. */
    | { readonly kind: "closed"; readonly connections: number };
  readonly segmentMs: number;
  readonly deadlineMs: number;
  readonly seed: number;
}

/** How the requests of one segment ended. */
export interface SegmentCounts {
  sent: number;
  /** Complete, own answers within the deadline. */
  answered: number;
  /** Answers and refusals after the deadline. */
  late: number;
  /** `not_run` within the deadline. */
  refused: number;
  /** `outcome_unknown`, no response, or no valid outcome. */
  lost: number;
  /** Answers that don't name the request. */
  mismatched: number;
}

/** What a load process prints at its end. */
export interface LoadResult {
  readonly service: string;
  readonly segments: readonly SegmentCounts[];
  /** Latency of answers, from the scheduled arrival, as an encoded histogram. */
  readonly latency: string;
  /** Time that refused requests waited for their refusal, as an encoded histogram. */
  readonly refusalLatency: string;
  /** Reasons of refusals and losses. */
  readonly reasons: Record<string, number>;
  /** Share of time in which the load process was busy, from 0 to 1; near 1 the load process limits the figures. */
  readonly busyShare: number;
}

/** Returns percentiles over several encoded histograms. */
export function summarize(encoded: readonly string[]): LatencySummary {
  const latencies = createLatencyHistogram();
  for (const item of encoded) latencies.merge(item);
  return latencies.summary();
}

/** Adds up the counts of segments. */
export function sumSegments(
  segments: readonly SegmentCounts[],
): SegmentCounts {
  const total = emptySegment();
  for (const segment of segments) {
    for (const key of Object.keys(total) as (keyof SegmentCounts)[]) {
      total[key] += segment[key];
    }
  }
  return total;
}

/** Counts of a segment without requests. */
export function emptySegment(): SegmentCounts {
  return {
    sent: 0,
    answered: 0,
    late: 0,
    refused: 0,
    lost: 0,
    mismatched: 0,
  };
}
