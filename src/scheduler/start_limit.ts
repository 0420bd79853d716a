import type { JobState, Placement, TaskState } from "./job_state.ts";

/** Maximum number of start orders in progress; 12,000 used up a heap of 158 MB. */
const MAXIMUM_STARTS = 2_000;
/** Maximum number of start orders in progress for one job, so that a large job doesn't hold up the starts of others. */
const MAXIMUM_STARTS_PER_JOB = 300;

/** Limits the start orders in progress, from the placement of a task to the outcome of its order. */
export interface StartLimit {
  /** Drops the starts that have an outcome; call it before each planning round. */
  refresh(): void;
  /** Whether `count` more tasks of a job may be placed. A gang larger than the limit may once the job has no other starts in progress. */
  allows(job: JobState, count: number): boolean;
  /** Counts the start of a task that has just been placed. */
  add(task: TaskState): void;
}

function isInProgress({ startState }: Placement): boolean {
  return startState === "unrecorded" || startState === "sending";
}

/** Creates the limit of one tenure. */
export function createStartLimit(): StartLimit {
  const starts = new Map<Placement, TaskState>();
  const startsByJob = new Map<JobState, number>();
  const countOf = (job: JobState) => startsByJob.get(job) ?? 0;
  return {
    refresh() {
      for (const [placement, task] of starts) {
        if (task.placement === placement && isInProgress(placement)) continue;
        starts.delete(placement);
        const count = countOf(task.job) - 1;
        if (count > 0) startsByJob.set(task.job, count);
        else startsByJob.delete(task.job);
      }
    },
    allows(job, count) {
      const jobStarts = countOf(job);
      return starts.size + Math.min(count, MAXIMUM_STARTS_PER_JOB) <=
          MAXIMUM_STARTS &&
        (jobStarts === 0 || jobStarts + count <= MAXIMUM_STARTS_PER_JOB);
    },
    add(task) {
      if (task.placement === undefined) return;
      starts.set(task.placement, task);
      startsByJob.set(task.job, countOf(task.job) + 1);
    },
  };
}
