import type { Clock } from "../clock.ts";

/**
 * Measures elapsed time, as the maximum of the monotonic and the wall clock.
 * The monotonic clock doesn't count a suspension of the VM, and the wall clock may be
 * set back; a lease must count as expired as soon as either says so.
 */
export interface Stopwatch {
  restart(): void;
  /** Returns the time since the last restart, in ms. */
  elapsedMs(): number;
}

/** Creates a stopwatch that starts now. */
export function createStopwatch(clock: Clock): Stopwatch {
  let steadyMs = clock.monotonicMs();
  let wallMs = clock.wallMs();
  return {
    restart() {
      steadyMs = clock.monotonicMs();
      wallMs = clock.wallMs();
    },
    elapsedMs: () =>
      Math.max(clock.monotonicMs() - steadyMs, clock.wallMs() - wallMs),
  };
}
