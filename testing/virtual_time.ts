import type { Clock } from "../src/clock.ts";

/** A pending timer. */
interface Timer {
  readonly dueAtMs: number;
  readonly callback: () => void;
}

/** Time that advances only when the test says so; replaces the global timers until it is closed. */
export interface VirtualTime {
  readonly clock: Clock;
  /** Returns the time since the creation, in ms. */
  nowMs(): number;
  /** Calls the callback once after a delay, in ms. */
  after(delayMs: number, callback: () => void): void;
  /** Runs all timers that are due within a time, in ms, each followed by what it resolves. */
  advance(durationMs: number): Promise<void>;
  /** Restores the global timers. */
  close(): void;
}

/** Wall-clock time at the creation, in ms since 1970. */
const START_MS = 1_000_000;

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Creates a virtual time and replaces `setTimeout` and `clearTimeout`. */
export function createVirtualTime(): VirtualTime {
  const realTimers = {
    setTimeout: globalThis.setTimeout,
    clearTimeout: globalThis.clearTimeout,
  };
  const timers = new Map<number, Timer>();
  let nowMs = 0;
  let nextId = 1;

  function add(callback: () => void, delayMs = 0): number {
    const id = nextId++;
    timers.set(id, { dueAtMs: nowMs + Math.max(0, delayMs), callback });
    return id;
  }

  function findNext(): [number, Timer] | undefined {
    let next: [number, Timer] | undefined;
    for (const item of timers) {
      if (next === undefined || item[1].dueAtMs < next[1].dueAtMs) next = item;
    }
    return next;
  }

  Object.assign(globalThis, {
    setTimeout: add,
    clearTimeout: (id: number) => void timers.delete(id),
  });
  return {
    clock: { monotonicMs: () => nowMs, wallMs: () => START_MS + nowMs },
    nowMs: () => nowMs,
    after: (delayMs, callback) => void add(callback, delayMs),
    async advance(durationMs) {
      const endMs = nowMs + durationMs;
      await settle();
      for (
        let next = findNext();
        next !== undefined && next[1].dueAtMs <= endMs;
        next = findNext()
      ) {
        const [id, { dueAtMs, callback }] = next;
        timers.delete(id);
        nowMs = Math.max(nowMs, dueAtMs);
        callback();
        await settle();
      }
      nowMs = endMs;
    },
    close: () => void Object.assign(globalThis, realTimers),
  };
}
