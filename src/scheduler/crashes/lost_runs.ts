import { assertNever } from "../../errors.ts";
import { isListed, type Placement, type TaskState } from "../job_state.ts";
import type { WorkerInstance } from "../worker_table.ts";

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

/** Whether the next process of a placement's worker may have executed, or may still execute, the start order. */
export function mayHaveReachedSuccessor(placement: Placement): boolean {
  switch (placement.startState) {
    case "unrecorded":
      return false;
    case "inherited":
    case "sending":
    case "unresolved":
      return true;
    case "running":
      // A confirmation doesn't say which process has responded, unlike a report.
      return placement.inherited || placement.unansweredAttempts > 0 ||
        !isListed(placement);
    default:
      return assertNever(placement.startState);
  }
}
