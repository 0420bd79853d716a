import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "../clock.ts";

/**
 * Maximum time for which a request waits for its shard's next dispatcher, in
 * ms. Shorter than the deadlines of changes and forwarded calls, which include
 * this time.
 */
const MAXIMUM_WAIT_MS = 1_500;
/** Part of the caller's deadline that is left for the answer, in ms. */
const ANSWER_RESERVE_MS = 500;

/** Limits the time for which one request waits while its shard is handed over. */
export class HandoverWait {
  #clock: Clock;
  #startedAtMs: number;
  #endAtMs: number;

  /** The caller's deadline is in monotonic ms; undefined if it set none. */
  constructor(clock: Clock, deadlineAtMs: number | undefined) {
    this.#clock = clock;
    this.#startedAtMs = clock.monotonicMs();
    this.#endAtMs = Math.min(
      this.#startedAtMs + MAXIMUM_WAIT_MS,
      (deadlineAtMs ?? Infinity) - ANSWER_RESERVE_MS,
    );
  }

  /** Whether the request has to be answered now. */
  get isOver(): boolean {
    return this.#clock.monotonicMs() >= this.#endAtMs;
  }

  /** Returns what the time since the start leaves of a limit, in whole ms. */
  leftOf(limitMs: number): number {
    const spentMs = this.#clock.monotonicMs() - this.#startedAtMs;
    return Math.ceil(limitMs - Math.min(spentMs, MAXIMUM_WAIT_MS));
  }

  /** Checks the condition after each interval until it holds or the time is over. */
  async until(condition: () => boolean, intervalMs: number): Promise<void> {
    do await delay(intervalMs); while (!condition() && !this.isOver);
  }
}
