import type { Clock } from "../clock.ts";
import { assertNever } from "../errors.ts";
import { decideLoopStep } from "./accept_drain.ts";
import { DeadlineQueue } from "./deadline_queue.ts";

/** Dependencies of the serving loop. */
export interface ServingLoopOptions<C, R> {
  /** Starts parsing the requests of an accepted connection. */
  readonly release: (connection: C) => void;
  /** Starts serving a parsed request, or refuses it if its deadline has passed; returns whether it was served. */
  readonly serve: (request: R) => boolean;
  /** Calls back after the I/O of the current event loop iteration, like `setImmediate`. */
  readonly afterIo: (callback: () => void) => void;
  readonly clock: Clock;
}

/** Time for which requests are served before the accept queue is drained again, in ms. */
export const SLICE_MS = 5;
/**
 * Minimum number of requests served in a slice, refused ones not counted. On a
 * busy machine the process is suspended for 30 to 100 ms within a slice; with a
 * limit on the time alone, such a slice served a single request.
 */
export const MINIMUM_SLICE_REQUESTS = 16;

/**
 * Holds accepted connections until the accept queue is empty, and serves parsed
 * requests by deadline in slices between the drains. Waits for no timer: without
 * a backlog, a connection is released after one more event loop iteration and a
 * request is served in the iteration that parses it.
 */
export class ServingLoop<C, R> {
  #options: ServingLoopOptions<C, R>;
  #held: C[] = [];
  #parsed = new DeadlineQueue<R>();
  #accepted = 0;
  #released = false;
  /** Start of the current drain, in monotonic ms; undefined outside of a drain. */
  #drainingSinceMs: number | undefined;
  #scheduled = false;

  constructor(options: ServingLoopOptions<C, R>) {
    this.#options = options;
  }

  /** Records an accepted connection; without a connection, one that needs no parsing. */
  recordAccept(connection?: C): void {
    this.#accepted++;
    if (connection !== undefined) this.#held.push(connection);
    this.#schedule();
  }

  /** Removes and returns the connections that aren't released yet. */
  takeHeld(): C[] {
    return this.#held.splice(0);
  }

  /** Queues a parsed request. Requests are served in the order of `deadlineAtMs`, in monotonic ms. */
  add(request: R, deadlineAtMs: number): void {
    this.#parsed.add(request, deadlineAtMs);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#scheduled) return;
    this.#scheduled = true;
    this.#options.afterIo(() => {
      this.#scheduled = false;
      this.#run();
    });
  }

  #run(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#drainingSinceMs ??= nowMs;
    const step = decideLoopStep({
      accepted: this.#accepted,
      held: this.#held.length,
      drainingForMs: nowMs - this.#drainingSinceMs,
      released: this.#released,
    });
    this.#accepted = 0;
    this.#released = step === "release";
    if (step !== "accept") this.#drainingSinceMs = undefined;
    switch (step) {
      case "accept":
        break;
      case "release":
        for (const held of this.#held.splice(0)) this.#options.release(held);
        break;
      case "serve":
        this.#serveSlice();
        break;
      default:
        assertNever(step);
    }
    if (step !== "serve" || this.#held.length > 0 || this.#parsed.size > 0) {
      this.#schedule();
    }
  }

  #serveSlice(): void {
    const { clock, serve } = this.#options;
    const endsAtMs = clock.monotonicMs() + SLICE_MS;
    let served = 0;
    for (
      let next = this.#parsed.take();
      next !== undefined;
      next = this.#parsed.take()
    ) {
      // Expired requests come first and are all refused, so that none waits for a later slice.
      if (serve(next)) served++;
      if (
        served >= MINIMUM_SLICE_REQUESTS && clock.monotonicMs() >= endsAtMs
      ) return;
    }
  }
}
