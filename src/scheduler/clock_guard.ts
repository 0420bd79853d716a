import type { Clock } from "../clock.ts";

/**
 * Time since a moment, as the larger of what the steady and the wall clock say.
 * The steady clock doesn't count a suspension of the VM, the wall clock may be
 * set back; a lease must be taken as over when either says so.
 */
export interface Elapsed {
  restart(): void;
  /** Milliseconds since the last restart. */
  ms(): number;
}

/** Creates a measure of elapsed time that starts now. */
export function createElapsed(clock: Clock): Elapsed {
  let steadyMs = clock.monotonicMs();
  let wallMs = clock.wallMs();
  return {
    restart() {
      steadyMs = clock.monotonicMs();
      wallMs = clock.wallMs();
    },
    ms: () => Math.max(clock.monotonicMs() - steadyMs, clock.wallMs() - wallMs),
  };
}
