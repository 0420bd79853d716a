import type { WorkerReport } from "./ports.ts";

/**
 * Time past a start order's deadline from which a report proves that the order
 * wasn't carried out, in ms. A worker checks the deadline before the run appears
 * in its lists, and may read its clock after it has compiled a report's lists.
 */
export const START_PROOF_MARGIN_MS = 250;

/** What decides how long a start order is valid; the times are on the worker's clock, in ms. */
export interface ValidityInput {
  readonly nowMs: number;
  /** End of the lease that a start order grants without a short validity. */
  readonly leaseEndMs: number;
  /** End of the latest lease that an answered poll has granted to the worker process; undefined if none has. */
  readonly grantedLeaseEndMs: number | undefined;
  /** Time until the next poll extends the lease, in ms. */
  readonly pollCycleMs: number;
  /** Short validity of a start order, in ms; 0 if start orders have none. */
  readonly startValidityMs: number;
}

/**
 * Returns the deadline of a start order, on the worker's clock. The worker takes
 * it for a lease, so it is short only if a longer lease is known to be in force
 * and the polls can extend that one in time.
 */
export function chooseStartDeadlineMs(input: ValidityInput): number {
  const { nowMs, leaseEndMs, grantedLeaseEndMs, startValidityMs } = input;
  const shortDeadlineMs = nowMs + startValidityMs;
  return startValidityMs > 0 && grantedLeaseEndMs !== undefined &&
      grantedLeaseEndMs > shortDeadlineMs + input.pollCycleMs
    ? Math.min(Math.floor(shortDeadlineMs), leaseEndMs)
    : leaseEndMs;
}

/** A run whose start order had no answer. */
export interface UnansweredStart {
  readonly taskId: string;
  readonly run: number;
  /** Start time of the worker process that the order was sent to, in ms since 1970. */
  readonly bornAtMs: number;
  /**
   * Latest deadline of all attempts to send the order, on the clock of that
   * process, in ms; infinite if it isn't known, undefined before the first attempt.
   */
  readonly startDeadlineMs?: number | undefined;
}

/** Returns the latest deadline once a further attempt with this one is sent; `undefined` stands for an unknown deadline. */
export function extendStartDeadlineMs(
  latestMs: number | undefined,
  deadlineMs: number | undefined,
): number {
  return Math.max(latestMs ?? -Infinity, deadlineMs ?? Infinity);
}

/**
 * Whether a report proves that a run hasn't started and never will: the worker
 * process refuses every attempt by now, and none was carried out before. A
 * report on another run of the task proves nothing either.
 */
export function isProvenNotStarted(
  { taskId, run, bornAtMs, startDeadlineMs }: UnansweredStart,
  report: WorkerReport,
): boolean {
  return startDeadlineMs !== undefined && report.bornAtMs === bornAtMs &&
    report.clockMs > startDeadlineMs + START_PROOF_MARGIN_MS &&
    !report.hasMoreEnded &&
    !report.running.some((active) => active.taskId === taskId) &&
    !report.ended.some((ended) => ended.taskId === taskId && ended.run === run);
}
