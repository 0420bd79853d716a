import { performance } from "node:perf_hooks";

const CHECK_INTERVAL_MS = 10;

/** Starts to count the time for which this process itself is held up; returns the sum up to now, in ms. */
export function createEventLoopLagMeter(): () => number {
  let lagMs = 0;
  let checkedAtMs = performance.now();
  setInterval(() => {
    const nowMs = performance.now();
    lagMs += Math.max(0, nowMs - checkedAtMs - CHECK_INTERVAL_MS);
    checkedAtMs = nowMs;
  }, CHECK_INTERVAL_MS).unref();
  return () => lagMs;
}
