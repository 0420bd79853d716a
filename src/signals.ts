import process from "node:process";
import { type Operation, resource } from "effection";
import { createNotifier } from "./notifier.ts";

/** Signals that ask the process to stop. */
export interface StopSignals {
  /** Waits for the next signal. */
  next(): Operation<void>;
}

/** Maximum delay of a Node.js timer, in ms. */
const MAXIMUM_TIMER_MS = 2 ** 31 - 1;

/** Creates stop signals that are sent by calling `send`; signals that nobody waits for are queued. */
export function createStopSignals(): StopSignals & { send(): void } {
  const notifier = createNotifier();
  let pending = 0;
  return {
    send() {
      pending++;
      notifier.notify();
    },
    *next() {
      while (pending === 0) yield* notifier.wait(MAXIMUM_TIMER_MS);
      pending--;
    },
  };
}

/** Calls `onReload` on SIGHUP, the request to reload the settings, for the lifetime of the current scope. */
export function useReloadSignal(onReload: () => void): Operation<void> {
  return resource(function* (provide) {
    process.on("SIGHUP", onReload);
    try {
      yield* provide();
    } finally {
      process.off("SIGHUP", onReload);
    }
  });
}

/** Receives SIGTERM and SIGINT for the lifetime of the current scope. */
export function useProcessSignals(): Operation<StopSignals> {
  return resource(function* (provide) {
    const signals = createStopSignals();
    process.on("SIGTERM", signals.send);
    process.on("SIGINT", signals.send);
    try {
      yield* provide(signals);
    } finally {
      process.off("SIGTERM", signals.send);
      process.off("SIGINT", signals.send);
    }
  });
}
