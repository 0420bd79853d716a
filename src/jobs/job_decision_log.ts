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

/** One decision about a job or a worker, as shown by `explain`. */
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

/** One decision about a job or a worker. */
export type JobDecision = z.infer<typeof jobDecisionSchema>;

/** What can be explained. */
export type JobSubject =
  | { readonly jobId: string }
  | { readonly vmId: string };

const jobWaitSchema = jobDecisionSchema.pick({ facts: true, rejected: true })
  .extend({
    jobId: z.string(),
    reason: z.string(),
    /** Wall-clock time since which this is the reason, in ms. */
    sinceMs: z.number(),
  });

/** Why a job waits, as its dispatcher decided in its last step. */
export type JobWait = z.infer<typeof jobWaitSchema>;

/** What an entry can tell about a job or a worker. */
export const jobExplanationSchema = z.object({
  wait: jobWaitSchema.optional(),
  /** Newest first. */
  decisions: z.array(jobDecisionSchema),
});

/** What an entry can tell about a job or a worker. */
export type JobExplanation = z.infer<typeof jobExplanationSchema>;

/** A stored log of recent decisions, oldest first. */
export const jobDecisionLogSchema = z.object({
  decisions: z.array(jobDecisionSchema),
});

/** Store key of recent decisions. An entry writes under the lowest shard that it owns, so that the number of keys is bounded and an entry makes one write. */
export function jobDecisionLogKey(region: string, shard: number): string {
  return `jobs-log/${region}/${shard}`;
}

/** Placements that an entry keeps; they are more frequent than the other decisions and must not push them out. */
export const MAXIMUM_PLACEMENTS = 2_000;
/** Other decisions that an entry keeps. */
export const MAXIMUM_OTHERS = 1_000;
/** Decisions that the store keeps under each key; about 100 KB. */
export const MAXIMUM_STORED = 200;

function isPlacement({ kind }: JobDecision): boolean {
  return kind === "placed" || kind === "continued";
}

function identify({ atMs, kind, jobId, vmId }: JobDecision): string {
  return `${atMs}/${kind}/${jobId ?? ""}/${vmId ?? ""}`;
}

/** Returns decisions newest first without repeated ones. */
export function mergeDecisions<T extends JobDecision>(
  decisions: readonly T[],
): T[] {
  const unique = new Map(decisions.map((item) => [identify(item), item]));
  return [...unique.values()].sort((a, b) => b.atMs - a.atMs);
}

/** Keeps the recent decisions of one entry's dispatchers. */
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
    this.#others = trim(this.#others, MAXIMUM_OTHERS);
    this.#unsaved.push(decision);
    this.#unsaved = trim(this.#unsaved, MAXIMUM_OTHERS);
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

  /** Returns and forgets what the store doesn't have yet; placements aren't stored, as the shard shows them. */
  takeUnsaved(): readonly JobDecision[] {
    return this.#unsaved.splice(0);
  }
}

/** Drops the oldest items once there are twice as many as are kept, so that few arrays are copied. */
function trim<T>(items: T[], kept: number): T[] {
  return items.length > 2 * kept ? items.slice(-kept) : items;
}
