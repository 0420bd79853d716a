import { type Operation, spawn } from "effection";
import { CONFIG_KEY } from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { MutableObservable } from "../observable.ts";
import type { Store } from "../ports/store.ts";
import { runValueFollower } from "../ports/value_follower.ts";
import { parseJson, parseWithSchema } from "../validation.ts";
import { type AppliedConfig, appliedConfigSchema } from "./schema.ts";
import { logStoreBehind, type StoreRevisionTracker } from "./store_revision.ts";

const SOURCE = "stored configuration";

/** Parses the stored configuration; throws a `ValidationError`. */
export function parseAppliedConfig(text: string): AppliedConfig {
  return parseWithSchema(
    appliedConfigSchema,
    parseJson(text, SOURCE),
    SOURCE,
  );
}

/** Replaces the current configuration if the candidate is newer; returns whether it is. */
export function setConfigIfNewer(
  current: MutableObservable<AppliedConfig | undefined>,
  candidate: AppliedConfig,
): boolean {
  const revision = current.get()?.revision ?? 0;
  if (candidate.revision <= revision) return false;
  current.set(candidate);
  return true;
}

/** Options of `runConfigFollower`. */
export interface ConfigFollowerOptions {
  readonly store: Store;
  readonly current: MutableObservable<AppliedConfig | undefined>;
  /** Receives the revision that each response of the store shows. */
  readonly revisionTracker: StoreRevisionTracker;
  readonly log: Logger;
  /** Called after each response from the store. */
  readonly onContact?: () => void;
}

/** Task that follows the applied configuration in the store until it is halted. */
export function* runConfigFollower(
  options: ConfigFollowerOptions,
): Operation<void> {
  const { store, current, revisionTracker, log, onContact } = options;
  yield* spawn(() => logStoreBehind(revisionTracker, log));
  yield* runValueFollower({
    store,
    key: CONFIG_KEY,
    log,
    onContact,
    onAbsent: () => revisionTracker.observe(0),
    onUnchanged: () => revisionTracker.observeUnchanged(),
    onValue(entry) {
      let candidate: AppliedConfig;
      try {
        candidate = parseAppliedConfig(entry.value);
      } catch (error) {
        log.error("stored configuration is unreadable", {
          reason: messageOf(error),
        });
        revisionTracker.observe(undefined);
        return;
      }
      if (setConfigIfNewer(current, candidate)) {
        log.info(`configuration revision ${candidate.revision} in force`);
      } else if (candidate.revision < (current.get()?.revision ?? 0)) {
        log.warn("ignored an older revision from the store", {
          revision: candidate.revision,
        });
      }
      revisionTracker.observe(candidate.revision);
    },
  });
}
