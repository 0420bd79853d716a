import { type Operation, sleep } from "effection";
import type { Clock } from "../clock.ts";

/** Interval of the timer whose lateness is measured, in ms. */
const SAMPLE_INTERVAL_MS = 50;
/** Weight of the latest sample in the mean; the mean covers about half a second. */
const SAMPLE_WEIGHT = 0.1;
/** Mean lateness from which an owner is too slow for its work, in ms. */
export const MEAN_LAG_LIMIT_MS = 60;
/** Time of a tenure before its lag is judged, in ms; loading the records and meeting all workers takes a burst of work. */
const WARM_UP_MS = 3_000;

/** Mean lateness of timers, which shows a process that lacks processor time. */
export function updateMeanLag(meanMs: number, latenessMs: number): number {
  return meanMs + (Math.max(0, latenessMs) - meanMs) * SAMPLE_WEIGHT;
}

/** Calls back once if timers are late on average for long enough that another entry should take over. */
export function* watchEventLoopLag(
  clock: Clock,
  onLimitExceeded: (meanLagMs: number) => void,
): Operation<void> {
  const startedAtMs = clock.monotonicMs();
  let meanMs = 0;
  for (;;) {
    const beforeMs = clock.monotonicMs();
    yield* sleep(SAMPLE_INTERVAL_MS);
    const now = clock.monotonicMs();
    meanMs = updateMeanLag(meanMs, now - beforeMs - SAMPLE_INTERVAL_MS);
    if (meanMs > MEAN_LAG_LIMIT_MS && now - startedAtMs > WARM_UP_MS) {
      onLimitExceeded(meanMs);
      return;
    }
  }
}
