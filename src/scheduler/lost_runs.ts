import type { Placement, TaskState } from "./job_state.ts";
import type { WorkerInstance } from "./worker_table.ts";

/** Returns the time for which a run is known to have run, in ms; undefined if its start was never confirmed. */
export function provenRunMs(
  placement: Placement,
  instance: WorkerInstance,
): number | undefined {
  const { confirmedAtMs, reportedAtMs } = placement;
  if (confirmedAtMs === undefined) return undefined;
  const aliveAtMs = Math.max(
    reportedAtMs ?? -Infinity,
    instance.link?.lastResponseAtMs ?? -Infinity,
  );
  return Math.max(0, aliveAtMs - confirmedAtMs);
}

/** Describes a run that is lost with its worker, for the log. */
export function describeLostRun(
  { taskId, run, placement }: TaskState,
  instance: WorkerInstance,
): string {
  const ranMs = placement && provenRunMs(placement, instance);
  const progress = ranMs === undefined
    ? placement?.startState ?? "not placed"
    : `ran for ${Math.round(ranMs)} ms`;
  return `${taskId} run ${run}, ${progress}`;
}
