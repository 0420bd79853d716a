import { performance } from "node:perf_hooks";

/** Delay of a timer above which the process counts as stalled, in ms. */
const STALL_THRESHOLD_MS = 20;

/** A timeout for the response of another process. */
export interface ResponseTimeout {
  /** Starts the time limit again. */
  refresh(): void;
  clear(): void;
}

/**
 * Calls back once nothing was received within the time limit. A stalled process
 * runs expired timers before it reads its sockets, so that every call in
 * progress would time out although its response has arrived. The sockets are
 * therefore read once more, and a stall extends the limit once by its length.
 */
export function startResponseTimeout(
  timeoutMs: number,
  onTimeout: () => void,
): ResponseTimeout {
  let timer: NodeJS.Timeout | undefined;
  let immediate: NodeJS.Immediate | undefined;

  function start(limitMs: number, extendable: boolean): void {
    const dueAtMs = performance.now() + limitMs;
    timer = setTimeout(() => {
      const lateMs = performance.now() - dueAtMs;
      immediate = setImmediate(() => {
        if (extendable && lateMs > STALL_THRESHOLD_MS) {
          start(Math.min(lateMs, limitMs), false);
        } else onTimeout();
      });
    }, limitMs);
  }

  function clear(): void {
    clearTimeout(timer);
    clearImmediate(immediate);
  }

  start(timeoutMs, true);
  return {
    refresh() {
      clear();
      start(timeoutMs, true);
    },
    clear,
  };
}
