import { type Operation, sleep, until } from "effection";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { createWake } from "../wake.ts";
import { encodeHead, parseHead, STORE_KEYS, type Tenure } from "./ownership.ts";
import { MAXIMUM_OPERATIONS_PER_CHANGE, type RecordStore } from "./ports.ts";

/** Shortest time between two commits, in ms; bounds the calls to 40 a second. */
const COMMIT_INTERVAL_MS = 25;
/** Pause after a failed commit, in ms. */
const RETRY_DELAY_MS = 120;
/** The head is in each commit twice, as a condition and as a put. */
const RECORDS_PER_COMMIT = MAXIMUM_OPERATIONS_PER_CHANGE - 2;

/** One record to be stored with the next commit. */
export interface JournalRecord {
  readonly key: string;
  /** Encodes the record when the commit is made; undefined deletes the key. */
  readonly encode: () => string | undefined;
  /** Called once the record is stored. */
  readonly onStored?: (() => void) | undefined;
}

/** Stores records of the owner in order; each commit proves that its tenure still holds. */
export interface Journal {
  /** Schedules a record; a later one for the same key replaces it, and both callbacks run. */
  put(entry: JournalRecord): void;
  /** Runs the callback once everything scheduled so far is stored. */
  afterFlush(callback: () => void): void;
  readonly pending: () => number;
  run(): Operation<void>;
}

/** What the journal works with. */
export interface JournalOptions {
  readonly store: RecordStore;
  readonly tenure: Tenure;
  readonly log: Logger;
  /** Called when a commit shows that another entry has taken over. */
  readonly onLost: (reason: string) => void;
  /** Called after each answer of the store that proves the tenure. */
  readonly onContact: () => void;
  /** Called after each commit that failed. */
  readonly onFailure: () => void;
}

interface PendingEntry {
  encode: () => string | undefined;
  callbacks: (() => void)[];
}

/**
 * Creates the journal of one tenure. Each commit is conditional on the head's
 * revision and advances it, so that a commit whose answer was lost can't be
 * carried out after a newer one.
 */
export function createJournal(options: JournalOptions): Journal {
  const { store, tenure, log } = options;
  const pending = new Map<string, PendingEntry>();
  const wake = createWake();
  let flushCallbacks: (() => void)[] = [];
  let headRevision = tenure.headRevision;
  let commitNumber = 0;

  function takeBatches(): [string, PendingEntry][][] {
    const all = [...pending];
    pending.clear();
    return Array.from(
      { length: Math.ceil(all.length / RECORDS_PER_COMMIT) },
      (_, index) =>
        all.slice(index * RECORDS_PER_COMMIT, (index + 1) * RECORDS_PER_COMMIT),
    );
  }

  /** Returns whether the batch is stored; false means that it must be tried again. */
  function* commit(
    batch: readonly { key: string; value: string | undefined }[],
    number: number,
  ): Operation<boolean> {
    try {
      const outcome = yield* until(store.change({
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
          options.onContact();
          return true;
        case "conflict": {
          const item = outcome.items.find(({ key }) => key === STORE_KEYS.head);
          const head = item === undefined ? undefined : parseHead(item);
          if (
            item !== undefined && head?.epoch === tenure.epoch &&
            head.commit === number
          ) {
            // An earlier try whose answer was lost has taken effect.
            headRevision = item.revision;
            options.onContact();
            return true;
          }
          options.onLost(
            `the journal's head belongs to epoch ${head?.epoch ?? "unknown"}`,
          );
          return false;
        }
        case "lease_ended":
          options.onLost("a commit named a lease that has ended");
          return false;
      }
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      options.onFailure();
      const level = error.failure === "rejected" ? "error" : "debug";
      log[level]("commit failed and will be repeated", {
        failure: error.failure,
        reason: messageOf(error),
        records: batch.length,
      });
      return false;
    }
  }

  function* flush(): Operation<void> {
    const callbacks = flushCallbacks;
    flushCallbacks = [];
    // Records scheduled meanwhile wait for the next flush, which bounds the rate of commits.
    for (const entries of takeBatches()) {
      const batch = entries.map(([key, { encode }]) => ({
        key,
        value: encode(),
      }));
      const number = ++commitNumber;
      while (!(yield* commit(batch, number))) yield* sleep(RETRY_DELAY_MS);
      for (const [, entry] of entries) {
        for (const callback of entry.callbacks) callback();
      }
    }
    for (const callback of callbacks) callback();
  }

  return {
    put({ key, encode, onStored }) {
      const entry = pending.get(key) ?? { encode, callbacks: [] };
      entry.encode = encode;
      if (onStored !== undefined) entry.callbacks.push(onStored);
      pending.set(key, entry);
      wake.notify();
    },
    afterFlush(callback) {
      flushCallbacks.push(callback);
      wake.notify();
    },
    pending: () => pending.size,
    *run() {
      for (;;) {
        yield* wake.wait(1_000);
        if (pending.size === 0 && flushCallbacks.length === 0) continue;
        yield* flush();
        yield* sleep(COMMIT_INTERVAL_MS);
      }
    },
  };
}
