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

/** A record as a commit stores it; `value` is undefined if the key is deleted. */
export interface EncodedRecord {
  readonly key: string;
  readonly value: string | undefined;
}

/** Stores commits one after the other; each succeeds only while the owner's tenure lasts. */
export interface CommitLane {
  /** Maximum number of records in a commit. */
  readonly capacity: number;
  /** Stores records in one change; retries until it succeeds or is halted. */
  commit(records: readonly EncodedRecord[]): Operation<void>;
}

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

  /** Tries to store a change as the lane's commit `commitNumber`; returns whether it is stored. If not, the same change must be retried. */
  function* attempt(change: StoreChange, records: number): Operation<boolean> {
    try {
      const outcome = yield* until(options.changes.send(change));
      switch (outcome.kind) {
        case "committed":
          headRevision = outcome.revision;
          options.onResponse();
          return true;
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
            return true;
          }
          options.onLost(describeLoss(outcome));
          return false;
        }
        case "lease_ended":
          options.onLost("the lease of a commit has ended");
          return false;
        default:
          return assertNever(outcome);
      }
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      options.onFailure();
      const level = error.failure === "rejected" ? "error" : "debug";
      log[level]("commit failed; retrying", {
        failure: error.failure,
        reason: messageOf(error),
        lane,
        records,
      });
      return false;
    }
  }

  return {
    // The head counts twice, as a condition and as a put.
    capacity: MAXIMUM_OPERATIONS_PER_CHANGE - 2 - ownerConditions.length,
    *commit(records) {
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
      while (!(yield* attempt(change, records.length))) {
        yield* sleep(RETRY_DELAY_MS);
      }
    },
  };
}
