import { type Operation, sleep } from "effection";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";

/** Time after which a store that shows an older revision is reported, in ms; a stale read or a roll-out under way is over by then. */
const REPORT_AFTER_MS = 2_000;
/** Time between two checks for a change to log, in ms. */
const LOG_CHECK_INTERVAL_MS = 1_000;

/** A store that holds an older configuration than this entry, as after a restore from a backup. */
export interface StoreBehind {
  /** Revision that the store shows; 0 when it holds no configuration. */
  readonly storeRevision: number;
  /** Highest revision that this entry knows to have been applied. */
  readonly knownRevision: number;
  /** Time for which the store has shown an older revision, in ms. */
  readonly forMs: number;
}

/** Compares the revision that the store shows with the highest one that the entry knows. */
export interface StoreRevisionTracker {
  /** Notes an answer of the store; `revision` is undefined when its configuration is unreadable. */
  observe(revision: number | undefined): void;
  /** Notes an answer of the store that shows no change. */
  observeUnchanged(): void;
  /** Undefined while the store is not known to be behind. */
  getStoreBehind(): StoreBehind | undefined;
}

/** Creates the comparison; only answers of the store count, so an outage is not taken for an old revision. */
export function createStoreRevisionTracker(
  knownRevision: () => number,
  clock: Clock,
): StoreRevisionTracker {
  let storeRevision: number | undefined;
  let behindSinceMs: number | undefined;

  function observeUnchanged(): void {
    const isBehind = storeRevision !== undefined &&
      storeRevision < knownRevision();
    behindSinceMs = isBehind ? behindSinceMs ?? clock.monotonicMs() : undefined;
  }

  return {
    observe(revision) {
      storeRevision = revision;
      observeUnchanged();
    },
    observeUnchanged,
    getStoreBehind() {
      if (storeRevision === undefined || behindSinceMs === undefined) {
        return undefined;
      }
      const forMs = Math.round(clock.monotonicMs() - behindSinceMs);
      if (forMs < REPORT_AFTER_MS) return undefined;
      return { storeRevision, knownRevision: knownRevision(), forMs };
    },
  };
}

/** Task that logs when the store falls behind and when it has caught up, until it is halted. */
export function* logStoreBehind(
  store: StoreRevisionTracker,
  log: Logger,
): Operation<void> {
  let reported = false;
  while (true) {
    const behind = store.getStoreBehind();
    if (behind !== undefined && !reported) {
      const { storeRevision, knownRevision } = behind;
      log.error(
        "store holds an older revision; applies count from it and have no effect",
        { storeRevision, knownRevision },
      );
    } else if (behind === undefined && reported) {
      log.info("store no longer holds an older revision");
    }
    reported = behind !== undefined;
    yield* sleep(LOG_CHECK_INTERVAL_MS);
  }
}
