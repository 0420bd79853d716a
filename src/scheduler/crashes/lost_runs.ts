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

/** Time after which a call without an answer is no longer executed, in ms; platforms have taken up to 12 s. */
const LATE_CALL_LIMIT_MS = 12_500;

/** Returns the monotonic time until which a start order without an answer may still be executed, in ms; `-Infinity` if there is none. */
export function lateStartEndMs(
  { startState, startSentAtMs, unansweredAttempts }: Placement,
): number {
  const isUnanswered = unansweredAttempts > 0 || startState === "sending";
  return isUnanswered && startSentAtMs !== undefined
    ? startSentAtMs + LATE_CALL_LIMIT_MS
    : -Infinity;
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
