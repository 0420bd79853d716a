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
  let monotonicStartMs = clock.monotonicMs();
  let wallStartMs = clock.wallMs();
  return {
    restart() {
      monotonicStartMs = clock.monotonicMs();
      wallStartMs = clock.wallMs();
    },
    elapsedMs: () =>
      Math.max(
        clock.monotonicMs() - monotonicStartMs,
        clock.wallMs() - wallStartMs,
      ),
  };
}
