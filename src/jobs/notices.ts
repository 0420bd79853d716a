import { z } from "zod";
import type { Clock } from "../clock.ts";
import { sizeSchema } from "./job.ts";

/** Time for which the ledger's entry keeps notices, in ms; an entry that is silent for longer misses some. */
const NOTICE_LIFETIME_MS = 10_000;
/** Notices that are kept at most. */
const MAXIMUM_NOTICES = 2_000;
/** Notices in one answer at most; the next answer brings the rest. */
const MAXIMUM_ANSWERED = 500;

const noticeSchema = z.discriminatedUnion("kind", [
  /** A run ended; all entries learn from it. */
  z.object({
    kind: z.literal("finished"),
    jobId: z.string(),
    vmId: z.string(),
    pool: z.string(),
    team: z.string(),
    jobClass: z.string(),
    succeeded: z.boolean(),
    use: z.object({
      cores: z.number(),
      memoryMb: z.number(),
      runTimeMs: z.number(),
    }).optional(),
    blame: z.object({
      kind: z.enum(["worker", "job", "neither", "undecided"]),
      reason: z.string(),
    }).optional(),
  }),
  /** Room is being made on a worker for an urgent job. */
  z.object({
    kind: z.literal("held"),
    vmId: z.string(),
    held: z.object({
      jobId: z.string(),
      team: z.string(),
      size: sizeSchema,
      freedBy: z.array(z.string()),
      freesQuota: z.boolean(),
    }),
  }),
  /** A task was assigned, which reports don't show yet. */
  z.object({
    kind: z.literal("started"),
    vmId: z.string(),
    taskId: z.string(),
  }),
  /** A worker confirmed the checkpoint of a preempted task. */
  z.object({
    kind: z.literal("checkpointed"),
    taskId: z.string(),
    /** Wall-clock time at which the command was sent, in ms. */
    atMs: z.number(),
  }),
]);

/** What one entry's dispatchers tell those of the others. They only inform: losing some costs time. */
export type Notice = z.infer<typeof noticeSchema>;

/** A run that ended. */
export type FinishedNotice = Extract<Notice, { kind: "finished" }>;

/** What an entry sends with a claim. */
export const noticesSentSchema = z.object({
  entryId: z.string(),
  /** Board and position of the last notices that the entry received. */
  boardId: z.string(),
  position: z.number().int(),
  notices: z.array(noticeSchema),
});

/** What an entry sends with a claim. */
export type NoticesSent = z.infer<typeof noticesSentSchema>;

/** What the others have told since. */
export const noticesReceivedSchema = noticesSentSchema.omit({ entryId: true });

/** What the others have told since. */
export type NoticesReceived = z.infer<typeof noticesReceivedSchema>;

interface RelayedNotice {
  readonly position: number;
  readonly atMs: number;
  readonly entryId: string;
  readonly notice: Notice;
}

/** Passes notices on between entries. */
export class NoticeRelay {
  #boardId: string;
  #clock: Clock;
  #position = 0;
  #relayed: RelayedNotice[] = [];

  /** Positions are compared only with those of the same board, so its id must be unique. */
  constructor(boardId: string, clock: Clock) {
    this.#boardId = boardId;
    this.#clock = clock;
  }

  /** Keeps an entry's notices and returns those of the others that it hasn't received. */
  exchange(sent: NoticesSent): NoticesReceived {
    const { entryId } = sent;
    const atMs = this.#clock.monotonicMs();
    for (const notice of sent.notices) {
      this.#relayed.push({ position: ++this.#position, atMs, entryId, notice });
    }
    const expired = this.#relayed.findIndex((relayed) =>
      atMs - relayed.atMs < NOTICE_LIFETIME_MS
    );
    const surplus = this.#relayed.length - MAXIMUM_NOTICES;
    this.#relayed.splice(
      0,
      Math.max(surplus, expired < 0 ? this.#relayed.length : expired),
    );
    const after = sent.boardId === this.#boardId ? sent.position : 0;
    const missing = this.#relayed.filter(({ position }) => position > after);
    const answered = missing.slice(0, MAXIMUM_ANSWERED);
    return {
      boardId: this.#boardId,
      position: answered.at(-1)?.position ?? this.#position,
      notices: answered.filter((relayed) => relayed.entryId !== entryId)
        .map(({ notice }) => notice),
    };
  }
}
