import { performance } from "node:perf_hooks";

const CHECK_INTERVAL_MS = 10;

/** Starts measuring the event loop lag of this process; the returned function gives the total lag so far, in ms. */
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
