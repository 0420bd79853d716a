import type { JobState, Occurrence } from "./job_state.ts";
import type { JobSpec } from "./model.ts";

/** Weight of the latest duration in the moving average of a queue. */
const SMOOTHING_FACTOR = 0.05;
/** Weight of the corrected declared duration relative to the queue's mean; declared durations are unreliable. */
const DECLARED_WEIGHT = 0.5;
/** Estimate for a task without a declared duration in a queue that has finished none yet, in ms. */
const DEFAULT_DURATION_MS = 1_000;

/** Estimates task durations per queue from finished tasks. */
export interface DurationEstimates {
  /** Records the actual and the declared duration of a finished task. */
  record(queue: string, durationMs: number, declaredMs: number): void;
  /** Whether a task of the queue has finished, so that estimates don't rest on declared durations alone. */
  isMeasured(queue: string): boolean;
  /** Estimates the duration of a task, in ms. */
  estimateMs(queue: string, declaredMs: number): number;
}

/** Creates the estimates; a queue's declared durations are used until one of its tasks has finished. */
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
    isMeasured: (queue) => means.has(queue),
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

/** Estimates the critical path of a job's steps, in ms; given an occurrence, only that of its remaining steps. */
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

/** Estimates the CPU work of one occurrence of a job, in core-milliseconds; long-running and best-effort steps don't count. */
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
