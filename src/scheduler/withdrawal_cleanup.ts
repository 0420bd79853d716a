import { type Operation, sleep, until } from "effection";
import type { Clock } from "../clock.ts";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Journal } from "./journal.ts";
import { STORE_KEYS } from "./ownership.ts";
import type { RecordStore } from "./ports.ts";

/** Dependencies and settings of the cleanup. */
export interface WithdrawalCleanupOptions {
  readonly store: Pick<RecordStore, "list">;
  readonly journal: Pick<Journal, "put">;
  readonly clock: Pick<Clock, "monotonicMs">;
  readonly log: Logger;
  /** Time for which a withdrawal is kept at least, in ms; longer than any write of the job may take. */
  readonly keepMs: number;
  /** Interval of the checks, in ms. */
  readonly intervalMs: number;
}

/**
 * Deletes withdrawals that are older than `keepMs`. Their age follows from the
 * store revision at an earlier check, as clocks of entries may differ; a new owner
 * counts from its first check.
 */
export function* removeOldWithdrawals(
  { store, journal, clock, log, keepMs, intervalMs }: WithdrawalCleanupOptions,
): Operation<void> {
  /** Earlier checks, oldest first. */
  let checks: { readonly revision: number; readonly atMs: number }[] = [];
  for (;;) {
    yield* sleep(intervalMs);
    try {
      const { items, revision } = yield* until(
        store.list(STORE_KEYS.withdrawnPrefix),
      );
      const nowMs = clock.monotonicMs();
      const oldRevision = checks.findLast(({ atMs }) => nowMs - atMs >= keepMs)
        ?.revision ?? 0;
      const oldItems = items.filter((item) => item.revision <= oldRevision);
      for (const { key } of oldItems) {
        journal.put({ key, encode: () => undefined });
      }
      if (oldItems.length > 0) {
        log.info("withdrawals of jobs removed", { removed: oldItems.length });
      }
      checks = [
        ...checks.filter((check) => check.revision >= oldRevision),
        { revision, atMs: nowMs },
      ];
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.debug("withdrawals of jobs can't be listed", {
        reason: messageOf(error),
      });
    }
  }
}
