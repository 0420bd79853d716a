import { performance } from "node:perf_hooks";

/** Time source; tests replace it with a fake. */
export interface Clock {
  /** Wall-clock time in milliseconds since the epoch. */
  wallMs(): number;
  /** Monotonic time in milliseconds; keeps advancing while the process is paused. */
  monotonicMs(): number;
}

/** Clock backed by `Date.now` and `performance.now`. */
export const systemClock: Clock = {
  wallMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};
