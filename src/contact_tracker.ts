import type { Clock } from "./clock.ts";
import { ISOLATION_LIMIT_MS } from "./constants.ts";

/** A system whose answers show that this entry isn't cut off. */
export type ContactSource = "store" | "peer" | "vm_list";

/** Remembers when each source last answered. */
export interface ContactTracker {
  recordContact(source: ContactSource): void;
  /** Whether no source has answered for the isolation limit. */
  isIsolated(): boolean;
  /** Monotonic time of the last answer of each source, in ms. */
  lastContactMs(): Readonly<Record<ContactSource, number>>;
}

/** Creates a tracker that counts each source as reached now. */
export function createContactTracker(clock: Clock): ContactTracker {
  const startedAtMs = clock.monotonicMs();
  const lastAnswerMs = {
    store: startedAtMs,
    peer: startedAtMs,
    vm_list: startedAtMs,
  };
  return {
    recordContact(source) {
      lastAnswerMs[source] = clock.monotonicMs();
    },
    isIsolated: () =>
      clock.monotonicMs() - Math.max(...Object.values(lastAnswerMs)) >
        ISOLATION_LIMIT_MS,
    lastContactMs: () => ({ ...lastAnswerMs }),
  };
}
