import { type Operation, sleep } from "effection";
import type { Clock } from "../clock.ts";

/** Interval of the timer whose delay is measured, in ms. */
const SAMPLE_INTERVAL_MS = 50;
/** Weight of the latest sample in the exponential moving average, which covers about half a second. */
const SAMPLE_WEIGHT = 0.1;
/** Mean lag above which an owner is too slow for its work, in ms. */
export const MEAN_LAG_LIMIT_MS = 60;
/** Time at the start of a tenure in which the lag is ignored, in ms, because loading the records and connecting to all workers causes a burst of work. */
export const WARM_UP_MS = 3_000;
/** Minimum time between two hand-overs because of the lag, in ms. */
const HANDOVER_INTERVAL_MS = 30_000;

/** Returns the mean event loop lag after a new sample, in ms; it measures a process's shortage of CPU time. */
export function updateMeanLag(meanMs: number, lagMs: number): number {
  return meanMs + (Math.max(0, lagMs) - meanMs) * SAMPLE_WEIGHT;
}

/**
 * Returns how long the lag is ignored at the start of a tenure, in ms. An owner
 * that is too slow soon after the last hand-over for that reason has too much
 * work rather than a slow VM, and yet another owner would be as slow.
 */
export function resolveWarmUpMs(sinceHandoverMs: number): number {
  return Math.max(WARM_UP_MS, HANDOVER_INTERVAL_MS - sinceHandoverMs);
}

/** Returns the mean event loop lag in ms once it exceeds the limit after the warm-up, so that another entry should take over. */
export function* waitForEventLoopLag(
  clock: Clock,
  warmUpMs: number,
): Operation<number> {
  const startedAtMs = clock.monotonicMs();
  let meanMs = 0;
  for (;;) {
    const beforeMs = clock.monotonicMs();
    yield* sleep(SAMPLE_INTERVAL_MS);
    const now = clock.monotonicMs();
    if (now - startedAtMs < warmUpMs) continue;
    meanMs = updateMeanLag(meanMs, now - beforeMs - SAMPLE_INTERVAL_MS);
    if (meanMs > MEAN_LAG_LIMIT_MS) return meanMs;
  }
}
