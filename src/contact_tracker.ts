import type { Clock } from "./clock.ts";
import { ISOLATION_LIMIT_MS } from "./constants.ts";

/** A system whose responses show that this entry is not isolated. */
export type ContactSource = "store" | "peer" | "vm_list";

/** Tracks when each source last responded. */
export interface ContactTracker {
  recordContact(source: ContactSource): void;
  /** Whether no source has responded within the isolation limit. */
  isIsolated(): boolean;
  /** Monotonic time of the last response of each source, in ms. */
  lastContactMs(): Readonly<Record<ContactSource, number>>;
}

/** Creates a tracker in which every source counts as reached at the time of the call. */
export function createContactTracker(clock: Clock): ContactTracker {
  const startedAtMs = clock.monotonicMs();
  const lastResponseMs = {
    store: startedAtMs,
    peer: startedAtMs,
    vm_list: startedAtMs,
  };
  return {
    recordContact(source) {
      lastResponseMs[source] = clock.monotonicMs();
    },
    isIsolated: () =>
      clock.monotonicMs() - Math.max(...Object.values(lastResponseMs)) >
        ISOLATION_LIMIT_MS,
    lastContactMs: () => ({ ...lastResponseMs }),
  };
}
