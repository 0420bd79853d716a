import type { Clock } from "../clock.ts";

/**
 * Time since a moment, as the larger of what the steady and the wall clock say.
 * The steady clock doesn't count a suspension of the VM, the wall clock may be
 * set back; a lease must be taken as over when either says so.
 */
export interface Stopwatch {
  restart(): void;
  /** Milliseconds since the last restart. */
  elapsedMs(): number;
}

/** Creates a measure of elapsed time that starts now. */
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
