import { type Operation, sleep } from "effection";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { createNotifier } from "../notifier.ts";
import { createCommitLane } from "./commit_lane.ts";
import { createLanedJournal } from "./laned_journal.ts";
import type { Tenure } from "./ownership.ts";
import type { RecordStore } from "./ports.ts";
import { createRepeatedChanges } from "./repeated_change.ts";

/** Minimum pause between two flushes, in ms; limits them to 40 per second. */
const COMMIT_INTERVAL_MS = 25;

/** A record to be stored with the next commit. */
export interface JournalRecord {
  readonly key: string;
  /** Encodes the record at the time of the commit; undefined deletes the key. */
  readonly encode: () => string | undefined;
  /** Called once the record is stored. */
  readonly onStored?: (() => void) | undefined;
  /**
   * Called with the reason instead of `onStored` if the store rejects the record
   * for good, for instance because it is too large. Callbacks that wait for all
   * records also wait for one of the same key that is scheduled here.
   */
  readonly onRejected?: ((reason: string) => void) | undefined;
  /** Whether an order waits for the record, so that a journal with several lanes stores it before others. */
  readonly urgent?: boolean | undefined;
  /** Whether `onStored` also waits for all records scheduled earlier. */
  readonly inOrder?: boolean | undefined;
  /** Key of a record scheduled earlier that must not be stored later than this one. */
  readonly after?: string | undefined;
}

/**
 * Stores the owner's records; each commit succeeds only while the owner's tenure
 * lasts. Records of one key are stored in order, and with one lane all records
 * are.
 */
export interface Journal {
  /** Schedules a record; it replaces a pending one with the same key, but the callbacks of both run. */
  put(record: JournalRecord): void;
  /** Runs the callback once all records scheduled so far are stored. */
  afterFlush(callback: () => void): void;
  /** Returns the number of records that wait to be sent. */
  readonly pending: () => number;
  /** Stores scheduled records until it is halted. */
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

/** Creates the journal of one tenure, with as many lanes as its election has provided. */
export function createJournal(options: JournalOptions): Journal {
  return options.tenure.lanes === 1
    ? createSequentialJournal(options)
    : createLanedJournal(options);
}

interface PendingRecord {
  encode: () => string | undefined;
  onRejected: ((reason: string) => void) | undefined;
  callbacks: (() => void)[];
}

/** Creates a journal that sends one commit at a time and stores all records in the order in which they were scheduled. */
function createSequentialJournal(options: JournalOptions): Journal {
  const lane = createCommitLane({
    ...options,
    lane: 0,
    changes: createRepeatedChanges(options),
  });
  const pending = new Map<string, PendingRecord>();
  const notifier = createNotifier();
  let flushCallbacks: (() => void)[] = [];

  /** Removes all pending records and splits them into batches for one commit each. */
  function takeBatches(): [string, PendingRecord][][] {
    const records = [...pending];
    pending.clear();
    return Array.from(
      { length: Math.ceil(records.length / lane.capacity) },
      (_, index) =>
        records.slice(index * lane.capacity, (index + 1) * lane.capacity),
    );
  }

  /** Stores all pending records, then runs their callbacks and those of `afterFlush`. */
  function* flush(): Operation<void> {
    const callbacks = flushCallbacks;
    flushCallbacks = [];
    let replaced = false;
    // Records scheduled in the meantime wait for the next flush, which limits the rate of commits.
    for (const records of takeBatches()) {
      const rejected = yield* lane.commit(
        records.map(([key, { encode }]) => ({ key, encode })),
      );
      for (const [key, record] of records) {
        const rejection = rejected.find((other) => other.key === key);
        if (rejection === undefined) {
          for (const callback of record.callbacks) callback();
        } else {
          record.onRejected?.(rejection.reason);
          replaced ||= pending.has(key);
        }
      }
    }
    if (replaced) flushCallbacks = [...callbacks, ...flushCallbacks];
    else for (const callback of callbacks) callback();
  }

  return {
    put({ key, encode, onStored, onRejected }) {
      const record: PendingRecord = pending.get(key) ??
        { encode, onRejected, callbacks: [] };
      record.encode = encode;
      record.onRejected = onRejected ?? record.onRejected;
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
