import {
  criticalPathMs,
  type DurationEstimates,
} from "./duration_estimates.ts";
import type { JobState, Occurrence } from "./job_state.ts";
import type { QueueConfig } from "./ports.ts";

/** A result up to this many times the objective still has some value to the caller. */
export const LATE_FACTOR = 3;

/** How much a caller can still gain from an occurrence of a job. */
export type Prospect =
  /** Can be done within its objective. */
  | "on_time"
  /** Can only be done late. */
  | "late"
  /** Too late to be of use; it is done all the same. */
  | "overdue";

/** One occurrence that has tasks to place, with what decides its turn. */
export interface Contender {
  readonly job: JobState;
  readonly occurrence: Occurrence;
  readonly priority: number;
  readonly lasting: boolean;
  readonly prospect: Prospect;
  /** Latest time at which the rest must start to be on time, in ms since 1970. */
  readonly latestStartMs: number;
  /** Expected processor work left, in core-milliseconds. */
  readonly workLeft: number;
}

/** What decides a contender's turn beside its job. */
export interface OrderContext {
  readonly wallMs: number;
  readonly durations: DurationEstimates;
  readonly queue: QueueConfig;
}

function remainingWork(
  job: JobState,
  occurrence: Occurrence,
  durations: DurationEstimates,
): number {
  return job.spec.steps.reduce(
    (sum, step, index) =>
      sum +
      occurrence.remaining[index]! * (step.cpuMillis / 1_000) *
        durations.estimateMs(job.spec.queue, step.estimatedMs),
    0,
  );
}

/** Time from a job's due time within which it is on time, in ms. */
export function objectiveMs(
  job: JobState,
  durations: DurationEstimates,
  queue: QueueConfig,
): number {
  return queue.stretch * criticalPathMs(job, durations) +
    queue.targetDurationMs;
}

/** Judges what an occurrence can still gain and when it must start. */
export function createContender(
  job: JobState,
  occurrence: Occurrence,
  { wallMs, durations, queue }: OrderContext,
): Contender {
  const leftMs = criticalPathMs(job, durations, occurrence);
  const allowedMs = objectiveMs(job, durations, queue);
  const latestStartMs = occurrence.dueAtMs + allowedMs - leftMs;
  const latestLateStartMs = occurrence.dueAtMs + LATE_FACTOR * allowedMs -
    leftMs;
  return {
    job,
    occurrence,
    priority: queue.priority,
    lasting: job.spec.steps.some((step) => step.longRunning),
    prospect: wallMs <= latestStartMs
      ? "on_time"
      : wallMs <= latestLateStartMs
      ? "late"
      : "overdue",
    latestStartMs,
    workLeft: remainingWork(job, occurrence, durations),
  };
}

const PROSPECT_RANK: Record<Prospect, number> = {
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
export function compareContenders(a: Contender, b: Contender): number {
  if (a.lasting !== b.lasting) return a.lasting ? -1 : 1;
  if (a.priority !== b.priority) return a.priority - b.priority;
  const rank = PROSPECT_RANK[a.prospect] - PROSPECT_RANK[b.prospect];
  if (rank !== 0) return rank;
  switch (a.prospect) {
    case "on_time":
      return a.latestStartMs - b.latestStartMs;
    case "late":
      return a.workLeft - b.workLeft;
    case "overdue":
      return a.occurrence.dueAtMs - b.occurrence.dueAtMs;
  }
}
