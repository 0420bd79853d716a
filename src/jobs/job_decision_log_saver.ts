import { type Operation, sleep, until } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Store } from "../ports/store.ts";
import { parseJson, parseWithSchema } from "../validation.ts";
import type { JobDecisionLog } from "./job_decision_log.ts";
import {
  type JobDecision,
  jobDecisionLogKey,
  jobDecisionLogSchema,
  MAXIMUM_STORED_DECISIONS,
} from "./job_decision_log.ts";

/**
 * Time between two writes, in ms. Decisions are informational only, so losing
 * those of the last interval when an entry crashes is acceptable.
 */
const SAVE_INTERVAL_MS = 30_000;

/** Options of the decision log saver. */
export interface JobDecisionLogSaverOptions {
  readonly store: Store;
  readonly region: string;
  readonly decisionLog: JobDecisionLog;
  /** Returns the shards that this entry owns. */
  readonly ownedShards: () => readonly number[];
  readonly log: Logger;
}

/**
 * Reads a stored decision log; returns an empty one if there is none. Rejects
 * with a `StoreError` or a `ValidationError`.
 */
export async function readJobDecisionLog(
  store: Store,
  region: string,
  shard: number,
): Promise<{ decisions: readonly JobDecision[]; version: number }> {
  const key = jobDecisionLogKey(region, shard);
  const entry = await store.get(key);
  if (entry === undefined) return { decisions: [], version: 0 };
  const data = parseJson(entry.value, key);
  const { decisions } = parseWithSchema(jobDecisionLogSchema, data, key);
  return { decisions, version: entry.version };
}

/** Writes one entry's decisions to the store in batches. */
export class JobDecisionLogSaver {
  #options: JobDecisionLogSaverOptions;
  #stored: {
    readonly shard: number;
    readonly decisions: readonly JobDecision[];
    readonly version: number;
  } | undefined;
  #pending: readonly JobDecision[] = [];

  constructor(options: JobDecisionLogSaverOptions) {
    this.#options = options;
  }

  /**
   * Writes the decisions that haven't been stored yet. If the write fails, they
   * are kept for the next call. Never rejects.
   */
  async save(): Promise<void> {
    const { store, region, decisionLog, ownedShards, log } = this.#options;
    this.#pending = [...this.#pending, ...decisionLog.takeUnsaved()]
      .slice(-MAXIMUM_STORED_DECISIONS);
    const [shard] = [...ownedShards()].sort((a, b) => a - b);
    if (this.#pending.length === 0 || shard === undefined) return;
    try {
      if (this.#stored?.shard !== shard) {
        this.#stored = {
          shard,
          ...await readJobDecisionLog(store, region, shard),
        };
      }
      const decisions = [...this.#stored.decisions, ...this.#pending]
        .slice(-MAXIMUM_STORED_DECISIONS);
      const result = await store.compareAndSwap({
        key: jobDecisionLogKey(region, shard),
        expectedVersion: this.#stored.version,
        value: JSON.stringify({ decisions }),
      });
      // Another entry has written to the key, so it is read again next time.
      if (result.kind === "conflict") this.#stored = undefined;
      else {
        this.#stored = { shard, decisions, version: result.version };
        this.#pending = [];
      }
    } catch (error) {
      this.#stored = undefined;
      log.debug("could not save job decisions; will retry", {
        reason: messageOf(error),
      });
    }
  }
}

/** Saves an entry's decisions periodically until it is halted. */
export function* runJobDecisionLogSaver(
  saver: JobDecisionLogSaver,
): Operation<void> {
  while (true) {
    yield* sleep(SAVE_INTERVAL_MS);
    yield* until(saver.save());
  }
}
