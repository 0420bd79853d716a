import { type Operation, sleep } from "effection";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";

/** Delay before a store with an older revision is reported, in ms; stale reads and rollouts in progress are over by then. */
const REPORT_AFTER_MS = 2_000;
/** Interval between checks for a change to log, in ms. */
const LOG_CHECK_INTERVAL_MS = 1_000;

/** A store that holds an older configuration than this entry, as after a restore from a backup. */
export interface StoreBehind {
  /** Revision in the store; 0 if it holds no configuration. */
  readonly storeRevision: number;
  /** Highest applied revision that this entry knows. */
  readonly knownRevision: number;
  /** Time since the store began to show an older revision, in ms. */
  readonly forMs: number;
}

/** Compares the revision in the store with the highest one that the entry knows. */
export interface StoreRevisionTracker {
  /** Records a response of the store; `revision` is undefined if its configuration is unreadable. */
  observe(revision: number | undefined): void;
  /** Records a response of the store that reports no change. */
  observeUnchanged(): void;
  /** Returns how far the store is behind; undefined while it isn't known to be. */
  getStoreBehind(): StoreBehind | undefined;
}

/** Creates the tracker; only responses of the store count, so an outage isn't mistaken for an old revision. */
export function createStoreRevisionTracker(
  knownRevision: () => number,
  clock: Clock,
): StoreRevisionTracker {
  let latestRevision: number | undefined;
  let behindSinceMs: number | undefined;

  function observeUnchanged(): void {
    const isBehind = latestRevision !== undefined &&
      latestRevision < knownRevision();
    behindSinceMs = isBehind ? behindSinceMs ?? clock.monotonicMs() : undefined;
  }

  return {
    observe(revision) {
      latestRevision = revision;
      observeUnchanged();
    },
    observeUnchanged,
    getStoreBehind() {
      if (latestRevision === undefined || behindSinceMs === undefined) {
        return undefined;
      }
      const forMs = Math.round(clock.monotonicMs() - behindSinceMs);
      if (forMs < REPORT_AFTER_MS) return undefined;
      return {
        storeRevision: latestRevision,
        knownRevision: knownRevision(),
        forMs,
      };
    },
  };
}

/** Task that logs when the store falls behind and when it catches up, until it is halted. */
export function* logStoreBehind(
  tracker: StoreRevisionTracker,
  log: Logger,
): Operation<void> {
  let reported = false;
  while (true) {
    const behind = tracker.getStoreBehind();
    if (behind !== undefined && !reported) {
      const { storeRevision, knownRevision } = behind;
      log.error(
        "store holds an older revision; configurations applied after it have no effect",
        { storeRevision, knownRevision },
      );
    } else if (behind === undefined && reported) {
      log.info("store no longer holds an older revision");
    }
    reported = behind !== undefined;
    yield* sleep(LOG_CHECK_INTERVAL_MS);
  }
}
