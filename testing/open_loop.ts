import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "./random.ts";

/** Options for an open-loop load, whose arrivals don't depend on responses. */
export interface OpenLoopOptions {
  /** Returns the arrival rate per second at a time since the start. */
  readonly rateAt: (elapsedMs: number) => number;
  readonly durationMs: number;
  readonly random: Random;
  /**
   * Sends one request. Latency must be measured from the monotonic `scheduledAtMs`,
   * so that it includes delays of a busy sender.
   */
  readonly send: (index: number, scheduledAtMs: number) => Promise<void>;
}

/** Maximum gap between requests that is polled instead of slept, in ms; timers have a resolution of 1 ms. */
const LONGEST_POLLED_GAP_MS = 2;

/** Sends requests at exponentially distributed intervals; resolves with their number once all have ended. */
export async function runOpenLoop(options: OpenLoopOptions): Promise<number> {
  const { rateAt, durationMs, random, send } = options;
  const startedAtMs = performance.now();
  const pending = new Set<Promise<void>>();
  let index = 0;
  let nextMs = random.exponential(1_000 / rateAt(0));
  while (nextMs < durationMs) {
    while (nextMs < durationMs && nextMs <= performance.now() - startedAtMs) {
      const sent: Promise<void> = send(index++, startedAtMs + nextMs).finally(
        () => pending.delete(sent),
      );
      pending.add(sent);
      nextMs += random.exponential(1_000 / Math.max(0.001, rateAt(nextMs)));
    }
    const gapMs = nextMs - (performance.now() - startedAtMs);
    if (gapMs > LONGEST_POLLED_GAP_MS) await delay(gapMs - 1);
    else await new Promise((resolve) => setImmediate(resolve));
  }
  await Promise.all(pending);
  return index;
}
