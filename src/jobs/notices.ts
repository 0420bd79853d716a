import { z } from "zod";
import type { Clock } from "../clock.ts";
import { sizeSchema } from "./job.ts";

/**
 * Time for which notices are kept, in ms. An entry that makes no claim for
 * longer misses some.
 */
const NOTICE_LIFETIME_MS = 10_000;
/** Maximum number of notices that are kept. */
const MAXIMUM_NOTICES = 2_000;
/**
 * Maximum number of notices in one answer; the rest follows in the next answer.
 */
const MAXIMUM_ANSWERED = 500;

const noticeSchema = z.discriminatedUnion("kind", [
  /** A run finished; all entries update their profiles and quarantines. */
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
  /** Capacity on a worker is being freed and held for an urgent job. */
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
  /** A task was assigned; reports don't list it yet. */
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

/**
 * Message from the dispatchers of one entry to those of the others. Notices are
 * only hints: losing some costs time, not correctness.
 */
export type Notice = z.infer<typeof noticeSchema>;

/** Notice of a run that finished. */
export type FinishedNotice = Extract<Notice, { kind: "finished" }>;

/** Schema of the notices that an entry sends with a claim. */
export const noticesSentSchema = z.object({
  entryId: z.string(),
  /** Id of the relay that last sent notices to the entry. */
  boardId: z.string(),
  /** Position of the last notice that the entry received from the relay. */
  position: z.number().int(),
  notices: z.array(noticeSchema),
});

/** Notices that an entry sends with a claim. */
export type NoticesSent = z.infer<typeof noticesSentSchema>;

/** Schema of the notices that an entry receives with the answer. */
export const noticesReceivedSchema = noticesSentSchema.omit({ entryId: true });

/** Notices that the other entries have sent since the entry's last position. */
export type NoticesReceived = z.infer<typeof noticesReceivedSchema>;

interface RelayedNotice {
  readonly position: number;
  readonly atMs: number;
  readonly entryId: string;
  readonly notice: Notice;
}

/** Relays notices between entries. Runs on the entry of the quota ledger. */
export class NoticeRelay {
  #boardId: string;
  #clock: Clock;
  #position = 0;
  #relayed: RelayedNotice[] = [];

  /**
   * The id of the relay must be unique, because positions of different relays aren't
   * comparable.
   */
  constructor(boardId: string, clock: Clock) {
    this.#boardId = boardId;
    this.#clock = clock;
  }

  /**
   * Stores an entry's notices and returns those of other entries that it hasn't
   * received yet.
   */
  exchange(sent: NoticesSent): NoticesReceived {
    const { entryId } = sent;
    const atMs = this.#clock.monotonicMs();
    for (const notice of sent.notices) {
      this.#relayed.push({ position: ++this.#position, atMs, entryId, notice });
    }
    const firstFresh = this.#relayed.findIndex((relayed) =>
      atMs - relayed.atMs < NOTICE_LIFETIME_MS
    );
    const surplus = this.#relayed.length - MAXIMUM_NOTICES;
    this.#relayed.splice(
      0,
      Math.max(surplus, firstFresh < 0 ? this.#relayed.length : firstFresh),
    );
    const lastPosition = sent.boardId === this.#boardId ? sent.position : 0;
    const missing = this.#relayed.filter(({ position }) =>
      position > lastPosition
    );
    const answered = missing.slice(0, MAXIMUM_ANSWERED);
    return {
      boardId: this.#boardId,
      position: answered.at(-1)?.position ?? this.#position,
      notices: answered.filter((relayed) => relayed.entryId !== entryId)
        .map(({ notice }) => notice),
    };
  }
}
