import { action, type Operation } from "effection";

/** Lets other code wake a task that waits. */
export interface Notifier {
  notify(): void;
  /** Waits for a notification since the last wait, at most for the given time; returns whether there was one. */
  wait(timeoutMs: number): Operation<boolean>;
}

/** Creates a wake with no notification pending. */
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
