import type { Logger } from "../logger.ts";
import { forEachPlacedTask, getStep } from "./job_state.ts";
import type { Scheduler } from "./scheduler.ts";

/** Earliest time after its start at which a task's pace is judged, in ms. */
const MINIMUM_ELAPSED_MS = 900;
/** A task is moved if what it has left at its pace exceeds a fresh run by this factor ... */
const RELOCATION_GAIN_FACTOR = 2;
/** ... and by this time, in ms, for the stop, the record and the new start. */
const RELOCATION_COST_MS = 900;
/** Moves of one task; a task that is slow on several workers is long by itself. */
const MAXIMUM_RELOCATIONS = 1;

/** Time that a task still needs at its present pace, in ms. */
export function estimateRemainingMs(
  elapsedMs: number,
  percent: number,
): number {
  if (percent <= 0) return elapsedMs * 100;
  return elapsedMs * (100 - percent) / percent;
}

/**
 * Stops tasks that stand still or run on a slow worker, so that they start
 * anew elsewhere; notes the pace of each worker for later placements.
 */
export function relocateStragglers(
  scheduler: Scheduler,
  log: Logger,
): void {
  for (const job of scheduler.jobs.values()) {
    if (job.status !== "active") continue;
    forEachPlacedTask(job, (task, placement) => {
      const step = getStep(task);
      const { confirmedAtMs } = placement;
      if (
        step.longRunning || step.gang || placement.startState !== "running" ||
        confirmedAtMs === undefined || placement.stopReason !== undefined
      ) return;
      // The percentage is as old as the last report.
      const elapsedMs = (placement.reportedAtMs ?? confirmedAtMs) -
        confirmedAtMs;
      if (elapsedMs < MINIMUM_ELAPSED_MS) return;
      const expectedMs = scheduler.durationEstimates.estimateMs(
        job.spec.queue,
        step.estimatedMs,
      );
      const remainingMs = estimateRemainingMs(elapsedMs, placement.percent);
      if (
        remainingMs < expectedMs * RELOCATION_GAIN_FACTOR + RELOCATION_COST_MS
      ) return;
      scheduler.health.recordSlowness(
        placement.workerId,
        (elapsedMs + remainingMs) / expectedMs,
      );
      if (task.relocations >= MAXIMUM_RELOCATIONS) return;
      task.relocations++;
      task.avoidedWorkerId = placement.workerId;
      scheduler.counters.relocations++;
      log.info("task is much slower than expected and starts anew elsewhere", {
        task: task.taskId,
        run: placement.run,
        worker: placement.workerId,
        percent: placement.percent,
        elapsedMs: Math.round(elapsedMs),
        expectedMs: Math.round(expectedMs),
      });
      scheduler.stop(task, "the worker is too slow");
    });
  }
}
