import { Buffer } from "node:buffer";
import { type Operation, sleep, until } from "effection";
import { assertNever, messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import {
  encodeHead,
  headKey,
  parseHead,
  STORE_KEYS,
  type Tenure,
} from "./ownership.ts";
import {
  type ChangeOutcome,
  MAXIMUM_OPERATIONS_PER_CHANGE,
  type StoreChange,
} from "./ports.ts";
import type { RepeatedChanges } from "./repeated_change.ts";

/** Pause after a failed commit, in ms. */
const RETRY_DELAY_MS = 120;

/** Maximum size of the values in one commit, in bytes, unless a single value is larger: a small VM sends 256 KB in 0.2 s. */
const MAXIMUM_COMMIT_BYTES = 262_144;

/** A record to be stored; `encode` is called right before its commit is sent and returns undefined to delete the key. */
export interface LaneRecord {
  readonly key: string;
  readonly encode: () => string | undefined;
}

/** A record as a commit stores it; `value` is undefined if the key is deleted. */
interface EncodedRecord {
  readonly key: string;
  readonly value: string | undefined;
}

/** A record that the store rejects although it accepts others. */
export interface RejectedRecord {
  readonly key: string;
  readonly reason: string;
}

/** Stores commits one after the other; each succeeds only while the owner's tenure lasts. */
export interface CommitLane {
  /** Maximum number of records in a commit. */
  readonly capacity: number;
  /**
   * Stores records, in one change unless they are large or the store rejects them
   * together; retries until each is stored or rejected by itself, or until it is
   * halted. Returns the rejected ones.
   */
  commit(records: readonly LaneRecord[]): Operation<RejectedRecord[]>;
}

/** Result of one attempt to store a change. */
type AttemptResult =
  | { readonly kind: "stored" }
  /** The store refuses this change, however often it is sent. */
  | { readonly kind: "rejected"; readonly reason: string }
  | { readonly kind: "retry" };

/** Dependencies of a commit lane. */
export interface CommitLaneOptions {
  /** Number of the lane, from 0 to `tenure.lanes - 1`. */
  readonly lane: number;
  readonly tenure: Tenure;
  readonly changes: RepeatedChanges;
  readonly log: Logger;
  /** Called when a commit shows that the tenure has ended. */
  readonly onLost: (reason: string) => void;
  /** Called after each commit that confirms the tenure. */
  readonly onResponse: () => void;
  /** Called after each failed commit. */
  readonly onFailure: () => void;
}

/**
 * Creates one lane of a tenure's journal. Each commit is conditional on the
 * revision of the lane's head and advances it, so that a commit whose response was
 * lost can't be executed after a newer one of the lane, nor after the election of
 * another owner, which changes the heads of its lanes. An owner with one lane
 * changes only the first head and the owner's key, so that the further lanes are
 * conditional on that key as well.
 */
export function createCommitLane(options: CommitLaneOptions): CommitLane {
  const { lane, tenure, log } = options;
  const key = headKey(lane);
  const ownerConditions = lane === 0
    ? []
    : [{ key: STORE_KEYS.owner, revision: tenure.headRevision }];
  let headRevision = tenure.headRevision;
  let commitNumber = 0;

  function describeLoss(
    { items }: Extract<ChangeOutcome, { kind: "conflict" }>,
  ): string {
    const head = items.find((item) => item.key === key);
    if (head !== undefined && head.revision === headRevision) {
      return "the owner's key was deleted or replaced";
    }
    const epoch = head === undefined ? undefined : parseHead(head)?.epoch;
    const name = lane === 0
      ? "the journal's head"
      : `the head of the journal's lane ${lane}`;
    return `${name} belongs to epoch ${epoch ?? "unknown"}`;
  }

  /** Tries to store a change as the lane's commit `commitNumber`; unless it is stored or rejected, the same change must be retried. */
  function* attempt(
    change: StoreChange,
    records: number,
  ): Operation<AttemptResult> {
    try {
      const outcome = yield* until(options.changes.send(change));
      switch (outcome.kind) {
        case "committed":
          headRevision = outcome.revision;
          options.onResponse();
          return { kind: "stored" };
        case "conflict": {
          const item = outcome.items.find((item) => item.key === key);
          const head = item === undefined ? undefined : parseHead(item);
          if (
            item !== undefined && head?.epoch === tenure.epoch &&
            head.commit === commitNumber
          ) {
            // An earlier attempt whose response was lost has been executed.
            headRevision = item.revision;
            options.onResponse();
            return { kind: "stored" };
          }
          options.onLost(describeLoss(outcome));
          return { kind: "retry" };
        }
        case "lease_ended":
          options.onLost("the lease of a commit has ended");
          return { kind: "retry" };
        default:
          return assertNever(outcome);
      }
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      const { failure } = error;
      const reason = messageOf(error);
      log.debug("commit failed", { failure, reason, lane, records });
      if (failure === "rejected") return { kind: "rejected", reason };
      options.onFailure();
      return { kind: "retry" };
    }
  }

  /** Sends records in one change until it is stored or rejected; returns the reason of a rejection. */
  function* send(
    records: readonly EncodedRecord[],
  ): Operation<string | undefined> {
    commitNumber++;
    const change: StoreChange = {
      conditions: [{ key, revision: headRevision }, ...ownerConditions],
      puts: [
        { key, value: encodeHead(tenure.epoch, commitNumber) },
        ...records.flatMap(({ key, value }) =>
          value === undefined ? [] : [{ key, value }]
        ),
      ],
      deletes: records.flatMap(({ key, value }) =>
        value === undefined ? [key] : []
      ),
    };
    for (;;) {
      const result = yield* attempt(change, records.length);
      switch (result.kind) {
        case "stored":
          return undefined;
        case "rejected":
          return result.reason;
        case "retry":
          yield* sleep(RETRY_DELAY_MS);
          break;
        default:
          assertNever(result);
      }
    }
  }

  /** Stores a record that was rejected alone; returns it if the store rejects it while it accepts a commit without records. */
  function* sendSuspect(
    record: EncodedRecord,
  ): Operation<RejectedRecord[]> {
    for (;;) {
      const acceptsOthers = (yield* send([])) === undefined;
      const reason = yield* send([record]);
      if (reason === undefined) return [];
      if (acceptsOthers) return [{ key: record.key, reason }];
      options.onFailure();
      log.error("the store rejects every commit; retrying", { reason, lane });
      yield* sleep(RETRY_DELAY_MS);
    }
  }

  /** Sends records in one change; if it is rejected, finds those that are rejected by themselves and stores the others. */
  function* sendIsolating(
    records: readonly EncodedRecord[],
  ): Operation<RejectedRecord[]> {
    if ((yield* send(records)) === undefined) return [];
    const [first] = records;
    if (first === undefined) return [];
    if (records.length === 1) return yield* sendSuspect(first);
    const middle = Math.ceil(records.length / 2);
    return [
      ...(yield* sendIsolating(records.slice(0, middle))),
      ...(yield* sendIsolating(records.slice(middle))),
    ];
  }

  return {
    // The head counts twice, as a condition and as a put.
    capacity: MAXIMUM_OPERATIONS_PER_CHANGE - 2 - ownerConditions.length,
    *commit(records) {
      const rejected: RejectedRecord[] = [];
      let chunk: EncodedRecord[] = [];
      let chunkBytes = 0;
      for (const { key, encode } of records) {
        const value = encode();
        const bytes = Buffer.byteLength(value ?? "");
        if (chunk.length > 0 && chunkBytes + bytes > MAXIMUM_COMMIT_BYTES) {
          rejected.push(...(yield* sendIsolating(chunk)));
          chunk = [];
          chunkBytes = 0;
        }
        chunk.push({ key, value });
        chunkBytes += bytes;
      }
      rejected.push(...(yield* sendIsolating(chunk)));
      for (const { key, reason } of rejected) {
        log.error("the store rejects a record", { key, reason, lane });
      }
      return rejected;
    },
  };
}
