import { assertNever } from "../../errors.ts";
import { isListed, type Placement, type TaskState } from "../job_state.ts";
import { MAXIMUM_LEASE_MS } from "../worker_link.ts";
import { LATE_CALL_LIMIT_MS } from "../worker_lives.ts";
import type { WorkerInstance } from "../worker_table.ts";
import { type InstanceEnd, resolveUnseenSuccessor } from "./instance_end.ts";

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

/** Whether an attempt to send the start order has no answer. */
function isUnanswered({ startState, unansweredAttempts }: Placement): boolean {
  return unansweredAttempts > 0 || startState === "sending";
}

/** Returns the monotonic time until which a start order without an answer may still be executed, in ms; `-Infinity` if there is none. */
export function lateStartEndMs(placement: Placement): number {
  const { startSentAtMs } = placement;
  return isUnanswered(placement) && startSentAtMs !== undefined
    ? startSentAtMs + LATE_CALL_LIMIT_MS
    : -Infinity;
}

/** Returns the monotonic time until which a run may last that the worker's next process executes late, in ms. */
export function unseenLeasesEndMs(
  placement: Placement,
  { link }: WorkerInstance,
): number {
  return Math.max(
    link?.unseenLeasesEndMs() ?? -Infinity,
    lateStartEndMs(placement) + MAXIMUM_LEASE_MS,
  );
}

/**
 * Returns the monotonic time until which the next process of an instance that has
 * ended may start, or run, the task of a placement, in ms; `-Infinity` if it can't.
 */
export function unseenRunEndMs(
  placement: Placement,
  instance: WorkerInstance,
  end: InstanceEnd,
): number {
  const successor = resolveUnseenSuccessor(end);
  switch (successor) {
    case "none":
      return -Infinity;
    case "may_follow":
      // What has run until now has ended with the VM.
      return lateStartEndMs(placement);
    case "may_have_followed":
      // What an earlier owner has sent counts for the leases of the instance itself.
      return !placement.inherited && isUnanswered(placement) &&
          // A report shows which process has executed the order.
          (placement.reportedAtMs ?? -Infinity) < lateStartEndMs(placement)
        ? unseenLeasesEndMs(placement, instance)
        : -Infinity;
    default:
      return assertNever(successor);
  }
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
