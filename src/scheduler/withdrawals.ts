import { createHash } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "../clock.ts";
import { assertNever, StoreError } from "../errors.ts";
import { STORE_KEYS } from "./ownership.ts";
import {
  MAXIMUM_OPERATIONS_PER_CHANGE,
  type RecordStore,
  type StoredItem,
} from "./ports.ts";
import { describeStoredJob } from "./workspaces/stored_workspace.ts";

/** Maximum number of withdrawals in one change; each is a condition and a put. */
const MAXIMUM_BATCH = MAXIMUM_OPERATIONS_PER_CHANGE / 2;
/** Pause between two changes, in ms; limits an entry to 40 per second however many callers cancel unknown jobs. */
const BATCH_PAUSE_MS = 25;
/** Number of withdrawals that an entry may store in quick succession: each stays in the store for minutes. */
const BUDGET_CAPACITY = 1_500;
/** Number of withdrawals by which the budget of an entry grows, per second. */
const BUDGET_PER_S = 5;

/** A job that a caller cancels before it is stored. */
export interface Withdrawal {
  readonly jobId: string;
  /** Workspace of the caller; empty for a public queue. */
  readonly workspace: string;
}

/** Outcome of a withdrawal. */
export type WithdrawalOutcome =
  /** The workspace's job isn't stored and never will be. */
  | "stored"
  /** The workspace's job is stored, so it has to be cancelled. */
  | "existing"
  /** Another workspace has a job with this ID. */
  | "foreign";

/** Stores withdrawals, many at a time. */
export interface Withdrawals {
  /**
   * Keeps a job from being stored: the write of a job and its withdrawal are
   * conditional on each other's absence, so that a write that is still on its way
   * fails. Rejects with a `StoreError`.
   */
  store(withdrawal: Withdrawal): Promise<WithdrawalOutcome>;
}

/** Returns the store key of a withdrawal. Workspaces have keys of their own, so that none can withdraw another one's job. */
export function withdrawalKey({ jobId, workspace }: Withdrawal): string {
  // Names of workspaces may be longer than a key.
  const suffix = workspace === ""
    ? ""
    : createHash("sha256").update(workspace).digest("hex").slice(0, 32);
  return `${STORE_KEYS.withdrawnPrefix}${jobId}/${suffix}`;
}

interface PendingWithdrawal extends Withdrawal {
  readonly key: string;
  readonly result: Promise<WithdrawalOutcome>;
  readonly resolve: (outcome: WithdrawalOutcome) => void;
  readonly reject: (error: unknown) => void;
}

function createPending(
  withdrawal: Withdrawal,
  key: string,
): PendingWithdrawal {
  let resolve: PendingWithdrawal["resolve"] = () => {};
  let reject: PendingWithdrawal["reject"] = () => {};
  const result = new Promise<WithdrawalOutcome>((onResolve, onReject) => {
    resolve = onResolve;
    reject = onReject;
  });
  return { ...withdrawal, key, result, resolve, reject };
}

/** Resolves the withdrawals of stored jobs; returns the others. */
function resolveStoredJobs(
  batch: readonly PendingWithdrawal[],
  items: readonly StoredItem[],
): PendingWithdrawal[] {
  const storedJobs = new Map(
    items.filter(({ revision }) => revision > 0).map((item) => [
      item.key,
      item,
    ]),
  );
  return batch.filter(({ jobId, workspace, resolve }) => {
    const job = storedJobs.get(STORE_KEYS.jobPrefix + jobId);
    if (job === undefined) return true;
    resolve(describeStoredJob(job, workspace));
    return false;
  });
}

/** Creates the writer of an entry's withdrawals; it has one change in flight at a time. */
export function createWithdrawals(
  { store }: { readonly store: Pick<RecordStore, "change"> },
): Withdrawals {
  /** Withdrawals that wait to be sent, by key. */
  const waiting = new Map<string, PendingWithdrawal>();
  let isSending = false;

  /** Takes withdrawals of different jobs, as a change has one condition for each. */
  function takeBatch(): PendingWithdrawal[] {
    const batch = new Map<string, PendingWithdrawal>();
    for (const pending of waiting.values()) {
      if (batch.size === MAXIMUM_BATCH) break;
      if (batch.has(pending.jobId)) continue;
      batch.set(pending.jobId, pending);
      waiting.delete(pending.key);
    }
    return [...batch.values()];
  }

  async function send(batch: readonly PendingWithdrawal[]): Promise<void> {
    for (let open = [...batch]; open.length > 0;) {
      const outcome = await store.change({
        conditions: open.map(({ jobId }) => ({
          key: STORE_KEYS.jobPrefix + jobId,
          revision: 0,
        })),
        puts: open.map(({ key, workspace }) => ({
          key,
          value: JSON.stringify({ workspace }),
        })),
      });
      switch (outcome.kind) {
        case "committed":
          for (const { resolve } of open) resolve("stored");
          return;
        case "conflict": {
          const rest = resolveStoredJobs(open, outcome.items);
          if (rest.length === open.length) {
            throw new StoreError(
              "unknown_outcome",
              "The store reports a conflict with none of the jobs",
            );
          }
          open = rest;
          break;
        }
        case "lease_ended":
          throw new StoreError("unknown_outcome", "The store names a lease");
        default:
          assertNever(outcome);
      }
    }
  }

  async function sendWaiting(): Promise<void> {
    isSending = true;
    while (waiting.size > 0) {
      const batch = takeBatch();
      try {
        await send(batch);
      } catch (error) {
        for (const { reject } of batch) reject(error);
        // Without a response of the store, each further batch would wait as long.
        for (const { reject } of waiting.values()) {
          reject(
            new StoreError("unavailable", "The store doesn't take withdrawals"),
          );
        }
        waiting.clear();
      }
      await delay(BATCH_PAUSE_MS);
    }
    isSending = false;
  }

  return {
    store(withdrawal) {
      const key = withdrawalKey(withdrawal);
      const pending = waiting.get(key) ?? createPending(withdrawal, key);
      waiting.set(key, pending);
      if (!isSending) void sendWaiting();
      return pending.result;
    },
  };
}

/** Limits how many withdrawals an entry stores for its callers. */
export interface WithdrawalBudget {
  /** Takes one withdrawal out of the budget; returns the time after which the caller should return, in ms, or 0 if there was one left. */
  take(): number;
}

/** Creates the budget of an entry, full at first. */
export function createWithdrawalBudget(
  { clock }: { readonly clock: Pick<Clock, "monotonicMs"> },
): WithdrawalBudget {
  let left = BUDGET_CAPACITY;
  let updatedAtMs = clock.monotonicMs();
  return {
    take() {
      const nowMs = clock.monotonicMs();
      left = Math.min(
        BUDGET_CAPACITY,
        left + (nowMs - updatedAtMs) * BUDGET_PER_S / 1_000,
      );
      updatedAtMs = nowMs;
      if (left < 1) return Math.ceil((1 - left) * 1_000 / BUDGET_PER_S);
      left--;
      return 0;
    },
  };
}
