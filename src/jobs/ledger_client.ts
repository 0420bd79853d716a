import { z } from "zod";
import type { Clock } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import {
  type Notice,
  type NoticesReceived,
  noticesReceivedSchema,
  noticesSentSchema,
} from "./notices.ts";
import {
  type QuotaClaim,
  quotaClaimSchema,
  type QuotaGrants,
  quotaGrantsSchema,
} from "./quota_ledger.ts";
import { withTimeout } from "./with_timeout.ts";
import { parseTaskId } from "./task_id.ts";
import type { WorkerReports } from "./worker_reports.ts";

/** Timeout of a claim, in ms. */
const ANSWER_TIMEOUT_MS = 300;
/** Maximum number of notices waiting for the next claim. */
const MAXIMUM_PENDING = 500;

/**
 * Schema of a call to the quota ledger: a shard's claim with the notices of its
 * entry.
 */
export const ledgerCallSchema = z.object({
  claim: quotaClaimSchema,
  notices: noticesSentSchema,
});

/** Call to the quota ledger: a shard's claim with the notices of its entry. */
export type LedgerCall = z.infer<typeof ledgerCallSchema>;

/** Schema of the quota ledger's answer. */
export const ledgerAnswerSchema = z.object({
  /** Absent until the ledger knows the claims of all shards. */
  grants: quotaGrantsSchema.optional(),
  notices: noticesReceivedSchema,
});

/** Answer of the quota ledger. */
export type LedgerAnswer = z.infer<typeof ledgerAnswerSchema>;

/** Options of the ledger client. */
export interface LedgerClientOptions {
  readonly entryId: string;
  readonly schedulerState: SchedulerState;
  readonly reports: WorkerReports;
  readonly clock: Clock;
  /**
   * Calls the entry that runs the ledger. Resolves to undefined or rejects if
   * there is none.
   */
  readonly send: (call: LedgerCall) => Promise<LedgerAnswer | undefined>;
}

/**
 * Client of the region's quota ledger, shared by the dispatchers of one entry.
 * It also exchanges notices with the other entries.
 */
export class LedgerClient {
  #options: LedgerClientOptions;
  #pending: Notice[] = [];
  /** Relay and position of the last notices that were received. */
  #received = { boardId: "", position: 0 };

  constructor(options: LedgerClientOptions) {
    this.#options = options;
  }

  /** Queues a notice that is sent to the other entries with the next claim. */
  notify(notice: Notice): void {
    this.#pending = [...this.#pending, notice].slice(-MAXIMUM_PENDING);
  }

  /** Whether notices are waiting for the next claim. */
  get hasNotices(): boolean {
    return this.#pending.length > 0;
  }

  /**
   * Sends a claim with the pending notices. Resolves to undefined if the ledger
   * can't be reached or doesn't grant quota yet.
   */
  async claim(claim: QuotaClaim): Promise<QuotaGrants | undefined> {
    const { entryId, send } = this.#options;
    const notices = this.#pending;
    this.#pending = [];
    const sent = { entryId, ...this.#received, notices };
    const answer = await withTimeout(
      send({ claim, notices: sent }).catch(() => undefined),
      ANSWER_TIMEOUT_MS,
    );
    if (answer === undefined) {
      this.#pending = [...notices, ...this.#pending].slice(-MAXIMUM_PENDING);
      return undefined;
    }
    this.#receive(answer.notices);
    return answer.grants;
  }

  #receive({ boardId, position, notices }: NoticesReceived): void {
    // Concurrent claims of two shards return the same notices.
    const { position: last } = this.#received;
    if (boardId === this.#received.boardId && position <= last) return;
    this.#received = { boardId, position };
    for (const notice of notices) this.#apply(notice);
  }

  #apply(notice: Notice): void {
    const { schedulerState, reports, clock } = this.#options;
    switch (notice.kind) {
      case "finished":
        return schedulerState.recordFinishedRun(notice, clock.wallMs());
      case "held":
        schedulerState.removeHold(notice.held.jobId);
        return schedulerState.addHold(notice.vmId, notice.held, clock.wallMs());
      case "started":
        // A checkpoint that was confirmed to this entry happened before this
        // start.
        reports.recordStart(notice.taskId);
        return schedulerState.recordRemoteStart(notice, clock.wallMs());
      case "checkpointed": {
        // The shard of the task releases its quota without waiting for the
        // lagging report.
        const { taskId, atMs } = notice;
        const shard = parseTaskId(taskId)?.shard ?? -1;
        // The sender chose the task from a lagging report and may have sent the
        // checkpoint command before the task was resumed.
        const isCurrent = schedulerState.jobsByShard.has(shard) &&
          reports.lastStartMs(taskId) < atMs;
        if (isCurrent) reports.recordCheckpoint(taskId);
        return;
      }
      default:
        return assertNever(notice);
    }
  }
}
