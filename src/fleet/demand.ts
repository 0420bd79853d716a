import { z } from "zod";
import type { ResolvedConfig } from "../config/schema.ts";
import type { EntryDigest } from "../peers/messages.ts";

/** Number of buckets into which the demand history divides a day. */
export const BUCKETS_PER_DAY = 96;
/** Length of one bucket, in ms. */
const BUCKET_MS = 24 * 3_600_000 / BUCKETS_PER_DAY;
/** Weight of the newest day in the history, from 0 to 1. */
const HISTORY_SMOOTHING = 0.3;
/** Smoothing time if moves have no weight, in ms; longer than the surges that overflow absorbs. */
const MINIMUM_SMOOTHING_MS = 60_000;
/** Smoothing time that is added in proportion to the weight of moves, in ms. */
const ADDITIONAL_SMOOTHING_MS = 540_000;

const poolDemandSchema = z.object({
  /** Smoothed demand, in slots. */
  levelSlots: z.number(),
  /** Index of the bucket that is being observed, from 0 to 95. */
  bucket: z.number().int(),
  /** Highest smoothed demand in the observed bucket so far, in slots. */
  bucketPeakSlots: z.number(),
  /** Usual peak of each bucket, in slots; null until the bucket was observed. */
  history: z.array(z.number().nullable()),
});

/** Schema of the stored demand of the pools. */
export const demandStateSchema = z.object({
  schemaVersion: z.literal(1),
  /** Wall-clock time of the last observation, in ms. */
  observedAtMs: z.number(),
  pools: z.record(z.string(), poolDemandSchema),
  /** Share of the listed entries whose digests the last observation had. */
  coverage: z.number(),
});

/** Demand of the pools, kept between planning steps and across controllers. */
export type DemandState = z.infer<typeof demandStateSchema>;
type PoolDemand = z.infer<typeof poolDemandSchema>;

/** Store key of a region's demand history. */
export function demandKey(region: string): string {
  return `fleet-demand/${region}`;
}

/** Creates the state before any observation. */
export function createDemandState(): DemandState {
  return { schemaVersion: 1, observedAtMs: 0, pools: {}, coverage: 0 };
}

/** Share of the weight of moves in the sum of the weights, from 0 to 1. */
export function movesWeightShare(config: ResolvedConfig): number {
  const { bufferCost, moves } = config.weights;
  const sum = bufferCost + moves;
  return sum === 0 ? 0.5 : moves / sum;
}

/** Demand for each pool's own service over all entries of the region, in slots. */
export function sumDemand(
  config: ResolvedConfig,
  region: string,
  entries: readonly EntryDigest[],
): Map<string, number> {
  const byService = new Map<string, number>();
  for (const entry of entries) {
    if (entry.region !== region) continue;
    for (const [service, load] of Object.entries(entry.services)) {
      const sum = byService.get(service) ?? 0;
      byService.set(service, sum + load.demandSlots);
    }
  }
  const pools = config.pools.filter((pool) => pool.region === region);
  const vmsByService = new Map<string, number>();
  for (const { services: [ownService = ""], vms } of pools) {
    vmsByService.set(ownService, (vmsByService.get(ownService) ?? 0) + vms);
  }
  // Pools with the same own service share its demand in proportion to their size.
  return new Map(pools.map(({ name, services: [ownService = ""], vms }) => [
    name,
    (byService.get(ownService) ?? 0) * vms /
    Math.max(1, vmsByService.get(ownService) ?? 1),
  ]));
}

function bucketAt(atMs: number): number {
  return Math.floor(atMs / BUCKET_MS) % BUCKETS_PER_DAY;
}

function updatePoolDemand(
  previous: PoolDemand | undefined,
  slots: number,
  options: { smoothingFactor: number; bucket: number },
): PoolDemand {
  const { smoothingFactor, bucket } = options;
  if (previous === undefined) {
    const history = Array<number | null>(BUCKETS_PER_DAY).fill(null);
    return { levelSlots: slots, bucket, bucketPeakSlots: slots, history };
  }
  const levelSlots = previous.levelSlots +
    smoothingFactor * (slots - previous.levelSlots);
  if (previous.bucket === bucket) {
    const bucketPeakSlots = Math.max(previous.bucketPeakSlots, levelSlots);
    return { ...previous, levelSlots, bucketPeakSlots };
  }
  const history = [...previous.history];
  const usualPeak = history[previous.bucket] ?? previous.bucketPeakSlots;
  history[previous.bucket] = usualPeak +
    HISTORY_SMOOTHING * (previous.bucketPeakSlots - usualPeak);
  return { levelSlots, bucket, bucketPeakSlots: levelSlots, history };
}

/** Input of `observeDemand`. */
export interface DemandObservation {
  readonly config: ResolvedConfig;
  readonly region: string;
  readonly entries: readonly EntryDigest[];
  /** Number of entries that the VM list shows in the region. */
  readonly listedEntries: number;
  readonly nowMs: number;
}

/** Returns the state updated with the entries' digests. */
export function observeDemand(
  state: DemandState,
  observation: DemandObservation,
): DemandState {
  const { config, region, entries, listedEntries, nowMs } = observation;
  const reportingEntries =
    entries.filter((entry) => entry.region === region).length;
  const coverage = reportingEntries /
    Math.max(1, listedEntries, reportingEntries);
  if (reportingEntries === 0) return { ...state, coverage };
  const smoothingMs = MINIMUM_SMOOTHING_MS +
    ADDITIONAL_SMOOTHING_MS * movesWeightShare(config);
  const elapsedMs = Math.max(0, nowMs - state.observedAtMs);
  const options = {
    smoothingFactor: 1 - Math.exp(-elapsedMs / smoothingMs),
    bucket: bucketAt(nowMs),
  };
  const pools: Record<string, PoolDemand> = {};
  for (const [pool, slots] of sumDemand(config, region, entries)) {
    // Entries without a digest are assumed to have the mean demand of the others.
    pools[pool] = updatePoolDemand(
      state.pools[pool],
      slots / coverage,
      options,
    );
  }
  return { schemaVersion: 1, observedAtMs: nowMs, pools, coverage };
}

/**
 * Highest demand that is expected of a pool during a span, in slots; 0 if nothing is known.
 *
 * It is the lower of the usual demand and the current demand scaled by the usual growth: the peak of earlier days
 * alone would keep VMs idle on a quiet day.
 */
export function expectedPeakSlots(
  state: DemandState,
  pool: string,
  span: { fromMs: number; forMs: number },
): number {
  const poolDemand = state.pools[pool];
  if (poolDemand === undefined) return 0;
  const { history, levelSlots } = poolDemand;
  const usualNow = Math.max(1, history[bucketAt(span.fromMs)] ?? levelSlots);
  const buckets = Math.min(BUCKETS_PER_DAY - 1, span.forMs / BUCKET_MS);
  let peak = 0;
  for (let step = 0; step <= buckets; step++) {
    const usual = history[bucketAt(span.fromMs + step * BUCKET_MS)] ?? 0;
    peak = Math.max(peak, Math.min(usual, levelSlots * usual / usualNow));
  }
  return peak;
}
