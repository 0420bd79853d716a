import type { Logger } from "../logger.ts";
import { forEachPlacedTask, getStep } from "./job_state.ts";
import type { Scheduler } from "./scheduler.ts";

/** Time that a task must have run before its progress is evaluated, in ms. */
const MINIMUM_ELAPSED_MS = 900;
/** Multiple of a new run's expected duration that a task's projected remaining time must exceed for a relocation. */
const RELOCATION_GAIN_FACTOR = 2;
/** Cost of a relocation, in ms, which the projected remaining time must exceed in addition: the stop, the record and the new start. */
const RELOCATION_COST_MS = 900;
/** Maximum number of relocations of one task; a task that is slow on several workers is inherently long. */
const MAXIMUM_RELOCATIONS = 1;

/** Projects the remaining time of a task at its current rate of progress, in ms. */
export function estimateRemainingMs(
  elapsedMs: number,
  percent: number,
): number {
  if (percent <= 0) return elapsedMs * 100;
  return elapsedMs * (100 - percent) / percent;
}

/**
 * Stops stalled and slow tasks, so that they restart on other workers, and
 * records their workers' slowness for later placements.
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
      // The progress was measured at the time of the latest report.
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
      log.info("relocating a task that is much slower than expected", {
        task: task.taskId,
        run: placement.run,
        worker: placement.workerId,
        percent: placement.percent,
        elapsedMs: Math.round(elapsedMs),
        expectedMs: Math.round(expectedMs),
      });
      scheduler.stop(task, "slow worker");
    });
  }
}
