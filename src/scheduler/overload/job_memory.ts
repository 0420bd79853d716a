import type { Clock } from "../../clock.ts";
import type { JobSpec } from "../model.ts";
import type { Scheduler } from "../scheduler.ts";

/** Memory of a job besides its texts and tasks, in bytes. */
const JOB_COST_BYTES = 4_096;
/** Memory of a step besides its tasks, in bytes. */
const STEP_COST_BYTES = 1_024;
/** Memory of a task, in bytes. */
const TASK_COST_BYTES = 300;
/** Occurrences of a schedule that have state at the same time, besides those of long-running steps. */
const OPEN_OCCURRENCES = 2;
/** Fraction of the memory that the jobs of an owner may occupy; its heap is about half of the memory. */
const JOB_MEMORY_FRACTION = 0.15;
/** Cost above which a job is admitted by the owner before it is stored, in bytes. */
const LARGE_JOB_BYTES = 65_536;
/** Time for which a sum over all jobs is used, in ms. */
const SUM_VALID_MS = 200;

/** Estimates the memory that an unfinished job occupies at the owner, in bytes. */
export function estimateJobBytes(
  spec: Pick<JobSpec, "specification" | "steps" | "repeatCount">,
): number {
  let tasks = 0;
  for (const { taskCount, longRunning } of spec.steps) {
    tasks += taskCount *
      (spec.repeatCount === 0 || longRunning
        ? Math.max(1, spec.repeatCount)
        : OPEN_OCCURRENCES);
  }
  return JOB_COST_BYTES + 2 * spec.specification.length +
    spec.steps.length * STEP_COST_BYTES + tasks * TASK_COST_BYTES;
}

/** Whether a job is so large that the owner must admit it before it is stored. */
export function isLargeJob(spec: JobSpec): boolean {
  return estimateJobBytes(spec) > LARGE_JOB_BYTES;
}

/** Memory of an owner's unfinished jobs. */
export interface JobMemory {
  /** Whether there is memory for another job of an estimated size, in bytes. */
  hasRoomFor(bytes: number): boolean;
}

/** Creates the limit on the memory of an owner's jobs. */
export function createJobMemory(
  { jobs, memoryMb, clock }: {
    readonly jobs: Scheduler["jobs"];
    /** Memory of the VM, in MB. */
    readonly memoryMb: number;
    readonly clock: Pick<Clock, "monotonicMs">;
  },
): JobMemory {
  const limitBytes = memoryMb * 1_048_576 * JOB_MEMORY_FRACTION;
  const estimates = new WeakMap<JobSpec, number>();
  let usedBytes = 0;
  let summedAtMs = -Infinity;

  function sumUsed(): void {
    usedBytes = 0;
    for (const { spec } of jobs.values()) {
      let bytes = estimates.get(spec);
      if (bytes === undefined) {
        bytes = estimateJobBytes(spec);
        estimates.set(spec, bytes);
      }
      usedBytes += bytes;
    }
    summedAtMs = clock.monotonicMs();
  }

  return {
    hasRoomFor(bytes) {
      if (clock.monotonicMs() - summedAtMs > SUM_VALID_MS) sumUsed();
      if (usedBytes + bytes > limitBytes) return false;
      // Counts jobs that are admitted but not stored yet, until the next sum.
      usedBytes += bytes;
      return true;
    },
  };
}
