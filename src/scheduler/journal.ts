import { type Operation, sleep, until } from "effection";
import { messageOf, StoreError } from "../errors.ts";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { createNotifier } from "../notifier.ts";
import { encodeHead, parseHead, STORE_KEYS, type Tenure } from "./ownership.ts";
import { MAXIMUM_OPERATIONS_PER_CHANGE, type RecordStore } from "./ports.ts";
import { createRepeatedChanges } from "./repeated_change.ts";

/** Minimum pause between two flushes, in ms; limits them to 40 per second. */
const COMMIT_INTERVAL_MS = 25;
/** Pause after a failed commit, in ms. */
const RETRY_DELAY_MS = 120;
/** Maximum number of records in a commit, which also contains the head twice: as a condition and as a put. */
const RECORDS_PER_COMMIT = MAXIMUM_OPERATIONS_PER_CHANGE - 2;

/** A record to be stored with the next commit. */
export interface JournalRecord {
  readonly key: string;
  /** Encodes the record at the time of the commit; undefined deletes the key. */
  readonly encode: () => string | undefined;
  /** Called once the record is stored. */
  readonly onStored?: (() => void) | undefined;
}

/** Stores the owner's records in order; each commit succeeds only while the owner's tenure lasts. */
export interface Journal {
  /** Schedules a record; it replaces a pending one with the same key, but the callbacks of both run. */
  put(record: JournalRecord): void;
  /** Runs the callback once all records scheduled so far are stored. */
  afterFlush(callback: () => void): void;
  /** Returns the number of records that wait for the next flush. */
  readonly pending: () => number;
  /** Flushes scheduled records until it is halted. */
  run(): Operation<void>;
}

/** Dependencies of the journal. */
export interface JournalOptions {
  readonly store: RecordStore;
  readonly tenure: Tenure;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called when a commit shows that the tenure has ended. */
  readonly onLost: (reason: string) => void;
  /** Called after each commit that confirms the tenure. */
  readonly onResponse: () => void;
  /** Called after each failed commit. */
  readonly onFailure: () => void;
}

interface PendingRecord {
  encode: () => string | undefined;
  callbacks: (() => void)[];
}

/**
 * Creates the journal of one tenure. Each commit is conditional on the head's
 * revision and advances it, so that a commit whose response was lost can't be
 * executed after a newer one.
 */
export function createJournal(options: JournalOptions): Journal {
  const { tenure, log } = options;
  // The condition on the head lets the store execute only one of several attempts.
  const changes = createRepeatedChanges(options);
  const pending = new Map<string, PendingRecord>();
  const notifier = createNotifier();
  let flushCallbacks: (() => void)[] = [];
  let headRevision = tenure.headRevision;
  let commitNumber = 0;

  /** Removes all pending records and splits them into batches of at most `RECORDS_PER_COMMIT`. */
  function takeBatches(): [string, PendingRecord][][] {
    const records = [...pending];
    pending.clear();
    return Array.from(
      { length: Math.ceil(records.length / RECORDS_PER_COMMIT) },
      (_, index) =>
        records.slice(
          index * RECORDS_PER_COMMIT,
          (index + 1) * RECORDS_PER_COMMIT,
        ),
    );
  }

  /** Tries to store a batch as commit `number`; returns whether it is stored. If not, the same number must be retried. */
  function* commit(
    batch: readonly { key: string; value: string | undefined }[],
    number: number,
  ): Operation<boolean> {
    try {
      const outcome = yield* until(changes.send({
        conditions: [{ key: STORE_KEYS.head, revision: headRevision }],
        puts: [
          { key: STORE_KEYS.head, value: encodeHead(tenure.epoch, number) },
          ...batch.flatMap(({ key, value }) =>
            value === undefined ? [] : [{ key, value }]
          ),
        ],
        deletes: batch.flatMap(({ key, value }) =>
          value === undefined ? [key] : []
        ),
      }));
      switch (outcome.kind) {
        case "committed":
          headRevision = outcome.revision;
          options.onResponse();
          return true;
        case "conflict": {
          const item = outcome.items.find(({ key }) => key === STORE_KEYS.head);
          const head = item === undefined ? undefined : parseHead(item);
          if (
            item !== undefined && head?.epoch === tenure.epoch &&
            head.commit === number
          ) {
            // An earlier attempt whose response was lost has been executed.
            headRevision = item.revision;
            options.onResponse();
            return true;
          }
          options.onLost(
            `the journal's head belongs to epoch ${head?.epoch ?? "unknown"}`,
          );
          return false;
        }
        case "lease_ended":
          options.onLost("the lease of a commit has ended");
          return false;
      }
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      options.onFailure();
      const level = error.failure === "rejected" ? "error" : "debug";
      log[level]("commit failed; retrying", {
        failure: error.failure,
        reason: messageOf(error),
        records: batch.length,
      });
      return false;
    }
  }

  /** Stores all pending records, then runs their callbacks and those of `afterFlush`. */
  function* flush(): Operation<void> {
    const callbacks = flushCallbacks;
    flushCallbacks = [];
    // Records scheduled in the meantime wait for the next flush, which limits the rate of commits.
    for (const records of takeBatches()) {
      const batch = records.map(([key, { encode }]) => ({
        key,
        value: encode(),
      }));
      const number = ++commitNumber;
      while (!(yield* commit(batch, number))) yield* sleep(RETRY_DELAY_MS);
      for (const [, record] of records) {
        for (const callback of record.callbacks) callback();
      }
    }
    for (const callback of callbacks) callback();
  }

  return {
    put({ key, encode, onStored }) {
      const record = pending.get(key) ?? { encode, callbacks: [] };
      record.encode = encode;
      if (onStored !== undefined) record.callbacks.push(onStored);
      pending.set(key, record);
      notifier.notify();
    },
    afterFlush(callback) {
      flushCallbacks.push(callback);
      notifier.notify();
    },
    pending: () => pending.size,
    *run() {
      for (;;) {
        yield* notifier.wait(1_000);
        if (pending.size === 0 && flushCallbacks.length === 0) continue;
        yield* flush();
        yield* sleep(COMMIT_INTERVAL_MS);
      }
    },
  };
}
