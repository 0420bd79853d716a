import { performance } from "node:perf_hooks";

/** Source of time, replaced by a fake in tests. */
export interface Clock {
  /** Wall-clock time in milliseconds since the epoch. */
  wallMs(): number;
  /** Monotonic time in milliseconds; it goes on while the process is frozen. */
  monotonicMs(): number;
}

/** The system's clock. */
export const systemClock: Clock = {
  wallMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};
