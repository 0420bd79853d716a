import type { JobState, Occurrence } from "./job_state.ts";
import type { JobSpec } from "./model.ts";

/** Weight of the latest duration in the running mean of a queue. */
const SMOOTHING_FACTOR = 0.05;
/** Weight of the declared duration against the queue's mean; declared ones are far from the truth. */
const DECLARED_WEIGHT = 0.5;
/** Expected duration of a task of a queue that has run none yet and declares none, in ms. */
const DEFAULT_DURATION_MS = 1_000;

/** Learns how long the tasks of each queue really take. */
export interface DurationEstimates {
  /** Notes a finished task. */
  record(queue: string, durationMs: number, declaredMs: number): void;
  /** Expected duration of a task, in ms. */
  estimateMs(queue: string, declaredMs: number): number;
}

/** Creates the estimates; they start from the declared durations. */
export function createDurationEstimates(): DurationEstimates {
  const means = new Map<string, { durationMs: number; ratio: number }>();
  return {
    record(queue, durationMs, declaredMs) {
      const ratio = declaredMs > 0 ? durationMs / declaredMs : 1;
      const mean = means.get(queue) ?? { durationMs, ratio };
      mean.durationMs += (durationMs - mean.durationMs) * SMOOTHING_FACTOR;
      mean.ratio += (Math.min(ratio, 4) - mean.ratio) * SMOOTHING_FACTOR;
      means.set(queue, mean);
    },
    estimateMs(queue, declaredMs) {
      const mean = means.get(queue);
      if (mean === undefined) {
        return declaredMs > 0 ? declaredMs : DEFAULT_DURATION_MS;
      }
      if (declaredMs <= 0) return mean.durationMs;
      return DECLARED_WEIGHT * declaredMs * mean.ratio +
        (1 - DECLARED_WEIGHT) * mean.durationMs;
    },
  };
}

/** Longest chain of expected work in a job's steps, in ms; with an occurrence, only what it has left. */
export function criticalPathMs(
  job: JobState,
  durations: DurationEstimates,
  occurrence?: Occurrence,
): number {
  const { spec } = job;
  const endTimesMs: number[] = [];
  spec.steps.forEach((step, index) => {
    const startMs = Math.max(
      0,
      ...step.after.map((earlier) => endTimesMs[earlier]!),
    );
    const done = occurrence !== undefined && occurrence.remaining[index] === 0;
    endTimesMs.push(
      startMs +
        (done || step.longRunning
          ? 0
          : durations.estimateMs(spec.queue, step.estimatedMs)),
    );
  });
  return Math.max(0, ...endTimesMs);
}

/** Expected processor work of one occurrence of a job, in core-milliseconds. */
export function estimateWork(
  spec: JobSpec,
  durations: DurationEstimates,
): number {
  return spec.steps.reduce(
    (sum, step) =>
      step.longRunning || step.fills ? sum : sum +
        step.taskCount * (step.cpuMillis / 1_000) *
          durations.estimateMs(spec.queue, step.estimatedMs),
    0,
  );
}
