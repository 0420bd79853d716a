import { z } from "zod";
import { decisionSchema } from "../fleet/decision_log.ts";

const KINDS = [
  "placed",
  "continued",
  "made_room",
  "preempted",
  "relieved",
  "retried",
  "ended",
  "quarantined",
  "released",
] as const;

/** Schema of a decision about a job or a worker, as shown by `explain`. */
export const jobDecisionSchema = decisionSchema.pick({
  atMs: true,
  vmId: true,
  summary: true,
  facts: true,
  rejected: true,
}).extend({
  kind: z.enum(KINDS),
  jobId: z.string().optional(),
  pool: z.string().optional(),
  team: z.string().optional(),
});

/** A decision about a job or a worker, with its reasons. */
export type JobDecision = z.infer<typeof jobDecisionSchema>;

/** Job or worker whose decisions are looked up. */
export type JobSubject =
  | { readonly jobId: string }
  | { readonly vmId: string };

const jobWaitSchema = jobDecisionSchema.pick({ facts: true, rejected: true })
  .extend({
    jobId: z.string(),
    reason: z.string(),
    /**
     * Wall-clock time since which the job has waited for this reason, in ms.
     */
    sinceMs: z.number(),
  });

/** Why a job waits, according to the last step of its dispatcher. */
export type JobWait = z.infer<typeof jobWaitSchema>;

/** Schema of an entry's response to `explain`. */
export const jobExplanationSchema = z.object({
  wait: jobWaitSchema.optional(),
  /** Newest first. */
  decisions: z.array(jobDecisionSchema),
});

/** What an entry knows about a job or a worker. */
export type JobExplanation = z.infer<typeof jobExplanationSchema>;

/** Schema of the stored log of recent decisions, oldest first. */
export const jobDecisionLogSchema = z.object({
  decisions: z.array(jobDecisionSchema),
});

/**
 * Returns the store key of a decision log. An entry writes to the log of the
 * lowest shard that it owns: this bounds the number of keys and takes one write
 * per entry.
 */
export function jobDecisionLogKey(region: string, shard: number): string {
  return `jobs-log/${region}/${shard}`;
}

/**
 * Maximum number of placements kept in memory. They are limited separately,
 * because they are more frequent than other decisions and would evict them.
 */
export const MAXIMUM_PLACEMENTS = 2_000;
/** Maximum number of other decisions kept in memory. */
export const MAXIMUM_OTHER_DECISIONS = 1_000;
/** Maximum number of decisions stored under each key; about 100 KB. */
export const MAXIMUM_STORED_DECISIONS = 200;

function isPlacement({ kind }: JobDecision): boolean {
  return kind === "placed" || kind === "continued";
}

function decisionKey({ atMs, kind, jobId, vmId }: JobDecision): string {
  return `${atMs}/${kind}/${jobId ?? ""}/${vmId ?? ""}`;
}

/** Returns the decisions newest first, without duplicates. */
export function mergeDecisions<T extends JobDecision>(
  decisions: readonly T[],
): T[] {
  const unique = new Map(decisions.map((item) => [decisionKey(item), item]));
  return [...unique.values()].sort((a, b) => b.atMs - a.atMs);
}

/** In-memory log of the recent decisions of one entry's dispatchers. */
export class JobDecisionLog {
  #placements: JobDecision[] = [];
  #others: JobDecision[] = [];
  #unsaved: JobDecision[] = [];

  add(decision: JobDecision): void {
    if (isPlacement(decision)) {
      this.#placements.push(decision);
      this.#placements = trim(this.#placements, MAXIMUM_PLACEMENTS);
      return;
    }
    this.#others.push(decision);
    this.#others = trim(this.#others, MAXIMUM_OTHER_DECISIONS);
    this.#unsaved.push(decision);
    this.#unsaved = trim(this.#unsaved, MAXIMUM_OTHER_DECISIONS);
  }

  /** Returns the decisions about a job or a worker, newest first. */
  about(subject: JobSubject): JobDecision[] {
    const matches = (decision: JobDecision) =>
      "jobId" in subject
        ? decision.jobId === subject.jobId
        : decision.vmId === subject.vmId;
    return mergeDecisions([
      ...this.#placements.filter(matches),
      ...this.#others.filter(matches),
    ]);
  }

  /** Returns the last decisions other than placements, oldest first. */
  recent(count: number): readonly JobDecision[] {
    return this.#others.slice(-count);
  }

  /**
   * Returns the decisions that haven't been stored yet and clears them.
   * Placements aren't stored, because the shard's job records already show
   * them.
   */
  takeUnsaved(): readonly JobDecision[] {
    return this.#unsaved.splice(0);
  }
}

/**
 * Drops the oldest items. Waits until there are twice as many as allowed, so
 * that the array is rarely copied.
 */
function trim<T>(items: T[], kept: number): T[] {
  return items.length > 2 * kept ? items.slice(-kept) : items;
}
