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
import { settleWithin } from "./settle_within.ts";
import { parseTaskId } from "./task_id.ts";
import type { WorkerReports } from "./worker_reports.ts";

/** Time within which a claim must be answered, in ms. */
const ANSWER_LIMIT_MS = 300;
/** Notices that wait for a claim at most. */
const MAXIMUM_WAITING = 500;

/** A shard's claim with its entry's notices. */
export const ledgerCallSchema = z.object({
  claim: quotaClaimSchema,
  notices: noticesSentSchema,
});

/** A shard's claim with its entry's notices. */
export type LedgerCall = z.infer<typeof ledgerCallSchema>;

/** What the ledger's entry answers. */
export const ledgerAnswerSchema = z.object({
  /** Absent while the ledger doesn't know all shards. */
  grants: quotaGrantsSchema.optional(),
  notices: noticesReceivedSchema,
});

/** What the ledger's entry answers. */
export type LedgerAnswer = z.infer<typeof ledgerAnswerSchema>;

/** What the link of one entry works with. */
export interface LedgerClientOptions {
  readonly entryId: string;
  readonly schedulerState: SchedulerState;
  readonly reports: WorkerReports;
  readonly clock: Clock;
  /** Calls the ledger's entry; resolves to undefined or rejects if there is none. */
  readonly send: (call: LedgerCall) => Promise<LedgerAnswer | undefined>;
}

/** Connects the dispatchers of one entry with the region's ledger. */
export class LedgerClient {
  #options: LedgerClientOptions;
  #waiting: Notice[] = [];
  #received = { boardId: "", position: 0 };

  constructor(options: LedgerClientOptions) {
    this.#options = options;
  }

  /** Tells the other entries with the next claim. */
  notify(notice: Notice): void {
    this.#waiting = [...this.#waiting, notice].slice(-MAXIMUM_WAITING);
  }

  /** Whether notices wait for a claim. */
  get hasNotices(): boolean {
    return this.#waiting.length > 0;
  }

  /** Makes a claim; resolves to undefined if nothing was granted or the ledger can't be reached. */
  async claim(claim: QuotaClaim): Promise<QuotaGrants | undefined> {
    const { entryId, send } = this.#options;
    const notices = this.#waiting;
    this.#waiting = [];
    const sent = { entryId, ...this.#received, notices };
    const answer = await settleWithin(
      send({ claim, notices: sent }).catch(() => undefined),
      ANSWER_LIMIT_MS,
    );
    if (answer === undefined) {
      this.#waiting = [...notices, ...this.#waiting].slice(-MAXIMUM_WAITING);
      return undefined;
    }
    this.#receive(answer.notices);
    return answer.grants;
  }

  #receive({ boardId, position, notices }: NoticesReceived): void {
    // Claims of two shards that were under way together bring the same notices.
    const { position: last } = this.#received;
    if (boardId === this.#received.boardId && position <= last) return;
    this.#received = { boardId, position };
    for (const notice of notices) this.#apply(notice);
  }

  #apply(notice: Notice): void {
    const { schedulerState, reports, clock } = this.#options;
    switch (notice.kind) {
      case "finished":
        return schedulerState.learn(notice, clock.wallMs());
      case "held":
        schedulerState.endHold(notice.held.jobId);
        return schedulerState.hold(notice.vmId, notice.held, clock.wallMs());
      case "started":
        // A checkpoint that this entry saw confirmed was before the start.
        reports.noteStart(notice.taskId);
        return schedulerState.noteStart(notice, clock.wallMs());
      case "checkpointed": {
        // The task's own shard gives its quota back without waiting for the lagging report.
        const { taskId, atMs } = notice;
        const shard = parseTaskId(taskId)?.shard ?? -1;
        // The sender chose the task from a lagging report and may have sent the command before the task was continued.
        const isCurrent = schedulerState.owned.has(shard) &&
          reports.lastStartMs(taskId) < atMs;
        if (isCurrent) reports.noteCheckpoint(taskId);
        return;
      }
      default:
        return assertNever(notice);
    }
  }
}
