import {
  criticalPathMs,
  type DurationEstimates,
} from "./duration_estimates.ts";
import type { JobState, Occurrence } from "./job_state.ts";
import type { QueueConfig } from "./ports.ts";

/** A result up to this many times the objective still has some value to the caller. */
export const LATE_LIMIT_FACTOR = 3;

/** How much a caller can still gain from an occurrence of a job. */
export type Timeliness =
  /** Can be done within its objective. */
  | "on_time"
  /** Can only be done late. */
  | "late"
  /** Too late to be of use; it is done all the same. */
  | "overdue";

/** One occurrence that has tasks to place, with what decides its turn. */
export interface PendingOccurrence {
  readonly job: JobState;
  readonly occurrence: Occurrence;
  readonly priority: number;
  readonly longRunning: boolean;
  readonly timeliness: Timeliness;
  /** Latest time at which the rest must start to be on time, in ms since 1970. */
  readonly latestStartMs: number;
  /** Expected processor work left, in core-milliseconds. */
  readonly remainingWork: number;
}

/** What decides a contender's turn beside its job. */
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

/** Time from a job's due time within which it is on time, in ms. */
export function computeObjectiveMs(
  job: JobState,
  durations: DurationEstimates,
  queue: QueueConfig,
): number {
  return queue.stretch * criticalPathMs(job, durations) +
    queue.targetDurationMs;
}

/** Judges what an occurrence can still gain and when it must start. */
export function createPendingOccurrence(
  job: JobState,
  occurrence: Occurrence,
  { wallMs, durationEstimates, queue }: OrderingContext,
): PendingOccurrence {
  const remainingMs = criticalPathMs(job, durationEstimates, occurrence);
  const objectiveMs = computeObjectiveMs(job, durationEstimates, queue);
  const latestStartMs = occurrence.dueAtMs + objectiveMs - remainingMs;
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
    latestStartMs,
    remainingWork: computeRemainingWork(job, occurrence, durationEstimates),
  };
}

const TIMELINESS_RANK: Record<Timeliness, number> = {
  on_time: 0,
  late: 1,
  overdue: 2,
};

/**
 * Order of waiting work when demand surges to more than a pool holds: tasks
 * that serve others first, then by priority, then jobs that can still be on
 * time, by latest start. What can only be late waits behind them, the least
 * work first, so that one big job doesn't make many others useless as well.
 */
export function comparePendingOccurrences(
  a: PendingOccurrence,
  b: PendingOccurrence,
): number {
  if (a.longRunning !== b.longRunning) return a.longRunning ? -1 : 1;
  if (a.priority !== b.priority) return a.priority - b.priority;
  const rank = TIMELINESS_RANK[a.timeliness] - TIMELINESS_RANK[b.timeliness];
  if (rank !== 0) return rank;
  switch (a.timeliness) {
    case "on_time":
      return a.latestStartMs - b.latestStartMs;
    case "late":
      return a.remainingWork - b.remainingWork;
    case "overdue":
      return a.occurrence.dueAtMs - b.occurrence.dueAtMs;
  }
}
