import { action, type Operation } from "effection";

/** Wakes the task that waits; a notification sent before the wait is not lost. */
export interface Notifier {
  notify(): void;
  /** Waits until there is a notification after the last wait; returns false on timeout. */
  wait(timeoutMs: number): Operation<boolean>;
}

/** Creates a notifier without a pending notification. */
export function createNotifier(): Notifier {
  let pending = false;
  let resolveWait: (() => void) | undefined;
  return {
    notify() {
      pending = true;
      resolveWait?.();
    },
    *wait(timeoutMs) {
      if (!pending) {
        yield* action<void>((resolve) => {
          const timer = setTimeout(resolve, timeoutMs);
          resolveWait = resolve;
          return () => {
            clearTimeout(timer);
            resolveWait = undefined;
          };
        });
      }
      const notified = pending;
      pending = false;
      return notified;
    },
  };
}
