import type { Clock } from "../clock.ts";

/** Time that the turns of one event loop iteration may take, in ms. */
const SLICE_MS = 5;

/**
 * Gives connections with pending input turns, one after the other, in slices
 * between which other events are handled. Without it, a few connections that send
 * many requests ahead would occupy the event loop for seconds.
 */
export class TurnQueue {
  #clock: Clock;
  /** Work that waits for its turn, in the order of its arrival. */
  #waiting = new Set<() => void>();
  #isScheduled = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Runs the callback in a later event loop iteration; it has at most one turn pending. */
  add(takeTurn: () => void): void {
    this.#waiting.add(takeTurn);
    this.#schedule();
  }

  remove(takeTurn: () => void): void {
    this.#waiting.delete(takeTurn);
  }

  #schedule(): void {
    if (this.#isScheduled || this.#waiting.size === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#runSlice();
      this.#schedule();
    });
  }

  #runSlice(): void {
    const endsAtMs = this.#clock.monotonicMs() + SLICE_MS;
    // A turn may add itself again; it then waits for the next slice.
    for (const takeTurn of [...this.#waiting]) {
      this.#waiting.delete(takeTurn);
      takeTurn();
      if (this.#clock.monotonicMs() >= endsAtMs) return;
    }
  }
}
