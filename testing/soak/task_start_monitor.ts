import type { SoakPlatform } from "./soak_platform.ts";
import type { SoakRun } from "./soak_run.ts";

/** Time after an acknowledged cancellation during which tasks may still start, in ms. */
const CANCELLATION_GRACE_MS = 3_000;

/**
 * Checks periodically that workers run no tasks of refused jobs and start none of cancelled jobs,
 * and that workspaces stay within their upper bounds. Ends when the returned timer is cleared.
 */
export function monitorTaskStarts(
  { run, platform }: {
    readonly run: SoakRun;
    readonly platform: SoakPlatform;
  },
): NodeJS.Timeout {
  const { workers, workspaces } = platform;
  const { refusedJobIds, cancelledAtMs } = run.outcomes;
  return setInterval(() => {
    workspaces?.checkUsage();
    for (const worker of workers.workers.values()) {
      if (!worker.alive) continue;
      for (const { taskId, orderedAtMs } of worker.running.values()) {
        const jobId = taskId.split(".")[0]!;
        if (refusedJobIds.delete(jobId)) {
          run.reportViolation(
            "REFUSED",
            `${taskId} runs although its job was refused`,
          );
        }
        const cancelled = cancelledAtMs.get(jobId);
        if (
          cancelled !== undefined &&
          orderedAtMs > cancelled + CANCELLATION_GRACE_MS
        ) {
          cancelledAtMs.delete(jobId);
          run.reportViolation(
            "CANCELLED",
            `${taskId} started after its job was cancelled`,
          );
        }
      }
    }
  }, 20);
}
