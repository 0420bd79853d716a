import {
  criticalPathMs,
  type DurationEstimates,
} from "./duration_estimates.ts";
import type { JobState, Occurrence } from "./job_state.ts";
import type { QueueConfig } from "./ports.ts";

/** Multiple of the completion time objective up to which a late result still has some value for the caller. */
export const LATE_LIMIT_FACTOR = 3;

/** Whether an occurrence of a job can still meet its objective. */
export type Timeliness =
  /** Can finish within its objective. */
  | "on_time"
  /** Could finish within its objective, but not together with the others that wait. */
  | "deferred"
  /** Can only finish late, with a result of reduced value. */
  | "late"
  /** Too late for its result to be useful; it still runs. */
  | "overdue";

/** An occurrence with tasks to place, with the values that decide its position in the order. */
export interface PendingOccurrence {
  readonly job: JobState;
  readonly occurrence: Occurrence;
  readonly priority: number;
  readonly longRunning: boolean;
  readonly timeliness: Timeliness;
  /** Whether the workspace had sent more than it is owed. */
  readonly excess: boolean;
  /** Whether the occurrence has waited so long that it goes first in this planning round. */
  readonly aged?: boolean;
  /** Latest time at which the remaining work must start to finish on time, in ms since 1970. */
  readonly latestStartMs: number;
  /** End of the objective, in ms since 1970. */
  readonly deadlineMs: number;
  /** Estimated remaining CPU work, in core-milliseconds. */
  readonly remainingWork: number;
}

/** Inputs other than the job that decide the position of an occurrence in the order. */
export interface OrderingContext {
  readonly wallMs: number;
  readonly durationEstimates: DurationEstimates;
  readonly queue: QueueConfig;
}

function computeRemainingWork(
  job: JobState,
  occurrence: Occurrence,
  durationEstimates: DurationEstimates,
): number {
  return job.spec.steps.reduce(
    (sum, step, index) =>
      sum +
      occurrence.remaining[index]! * (step.cpuMillis / 1_000) *
        durationEstimates.estimateMs(job.spec.queue, step.estimatedMs),
    0,
  );
}

/** Returns the completion time objective of a job, measured from its due time, in ms. */
export function computeObjectiveMs(
  job: JobState,
  durations: DurationEstimates,
  queue: QueueConfig,
): number {
  return queue.stretch * criticalPathMs(job, durations) +
    queue.targetDurationMs;
}

/** Computes the timeliness and the latest start of an occurrence. */
export function createPendingOccurrence(
  job: JobState,
  occurrence: Occurrence,
  { wallMs, durationEstimates, queue }: OrderingContext,
): PendingOccurrence {
  const remainingMs = criticalPathMs(job, durationEstimates, occurrence);
  const objectiveMs = computeObjectiveMs(job, durationEstimates, queue);
  const deadlineMs = occurrence.dueAtMs + objectiveMs;
  const latestStartMs = deadlineMs - remainingMs;
  const latestLateStartMs = occurrence.dueAtMs +
    LATE_LIMIT_FACTOR * objectiveMs -
    remainingMs;
  return {
    job,
    occurrence,
    priority: queue.priority,
    longRunning: job.spec.steps.some((step) => step.longRunning),
    timeliness: wallMs <= latestStartMs
      ? "on_time"
      : wallMs <= latestLateStartMs
      ? "late"
      : "overdue",
    excess: job.spec.excess,
    latestStartMs,
    deadlineMs,
    remainingWork: computeRemainingWork(job, occurrence, durationEstimates),
  };
}

/** Rank by timeliness; excess jobs that can still be useful follow the others and precede overdue ones. */
function rankOf({ timeliness, excess }: PendingOccurrence): number {
  const rank = TIMELINESS_RANK[timeliness];
  return excess && timeliness !== "overdue" ? rank + EXCESS_RANK : rank;
}

const TIMELINESS_RANK: Record<Timeliness, number> = {
  on_time: 0,
  deferred: 1,
  late: 2,
  overdue: 6,
};
/** Added to the rank of an excess job. */
const EXCESS_RANK = 3;

/**
 * Orders pending work when demand exceeds a pool's capacity: a job that has
 * waited very long (only in deployments with workspaces), then long-running jobs
 * first, then by priority, then jobs that can still be on time, by latest start.
 * Deferred jobs follow, those with the most time left first. Then come late jobs, least remaining work first, so that one big job doesn't make
 * many small ones useless as well. Excess jobs follow in the same order;
 * overdue jobs come last, oldest first.
 */
export function comparePendingOccurrences(
  a: PendingOccurrence,
  b: PendingOccurrence,
): number {
  if (a.aged !== b.aged) return a.aged ? -1 : 1;
  if (a.longRunning !== b.longRunning) return a.longRunning ? -1 : 1;
  if (a.priority !== b.priority) return a.priority - b.priority;
  const rank = rankOf(a) - rankOf(b);
  if (rank !== 0) return rank;
  switch (a.timeliness) {
    case "on_time":
      return a.latestStartMs - b.latestStartMs;
    case "deferred":
      return b.latestStartMs - a.latestStartMs;
    case "late":
      return a.remainingWork - b.remainingWork;
    case "overdue":
      return a.occurrence.dueAtMs - b.occurrence.dueAtMs;
  }
}
