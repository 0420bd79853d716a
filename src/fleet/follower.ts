import type { Operation } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { MutableObservable } from "../observable.ts";
import type { Store } from "../ports/store.ts";
import { runValueFollower } from "../ports/value_follower.ts";
import { parseJson, parseWithSchema } from "../validation.ts";
import { fleetKey, type FleetRecord, fleetRecordSchema } from "./record.ts";

/** Parses a fleet record; throws a `ValidationError`, also for an unknown schema version. */
export function parseFleetRecord(text: string): FleetRecord {
  return parseWithSchema(
    fleetRecordSchema,
    parseJson(text, "fleet record"),
    "fleet record",
  );
}

/** Replaces the current record if the candidate is newer; returns whether it is. */
export function setFleetRecordIfNewer(
  current: MutableObservable<FleetRecord | undefined>,
  candidate: FleetRecord,
): boolean {
  if (candidate.revision <= (current.get()?.revision ?? -1)) return false;
  current.set(candidate);
  return true;
}

/** Options of `runFleetFollower`. */
export interface FleetFollowerOptions {
  readonly store: Store;
  readonly region: string;
  readonly current: MutableObservable<FleetRecord | undefined>;
  /** Set to the revision of the stored record, which is lower than that of `current` after the store was restored. */
  readonly storedRevision: MutableObservable<number | undefined>;
  readonly log: Logger;
  /** Called after each response from the store. */
  readonly onContact?: () => void;
}

/** Task that follows a region's fleet record in the store until it is halted. */
export function runFleetFollower(
  options: FleetFollowerOptions,
): Operation<void> {
  const { store, region, current, storedRevision, log, onContact } = options;
  return runValueFollower({
    store,
    key: fleetKey(region),
    log,
    onContact,
    onValue(entry) {
      try {
        const record = parseFleetRecord(entry.value);
        storedRevision.set(record.revision);
        setFleetRecordIfNewer(current, record);
      } catch (error) {
        log.error("stored fleet record is unreadable", {
          reason: messageOf(error),
        });
      }
    },
  });
}
