import type { Logger } from "../logger.ts";

/** Number of runs that are remembered; the oldest are dropped first. */
const MAXIMUM_RUNS = 10_000;

/** A run as a worker lists it. */
export interface ListedRun {
  readonly taskId: string;
  readonly run: number;
  readonly workerId: string;
  /** Start time of the worker's process, in ms since 1970. */
  readonly bornAtMs: number;
  /** How the run is listed: as active, or by how it has ended. */
  readonly as: string;
}

/** Runs that the owner took as over without a report of their end. */
export interface ConcludedRuns {
  /** Adds a run; `reason` tells what it was concluded from. */
  add(taskId: string, run: number, reason: string): void;
  /** Logs a run that a worker lists although it was taken as over; returns whether it is one, once for each run. */
  check(listed: ListedRun): boolean;
}

/** Creates the memory of one tenure; `nowMs` is a monotonic clock. */
export function createConcludedRuns(
  log: Logger,
  nowMs: () => number,
): ConcludedRuns {
  const runs = new Map<string, { reason: string; atMs: number }>();
  return {
    add(taskId, run, reason) {
      const key = `${taskId} ${run}`;
      runs.delete(key);
      runs.set(key, { reason, atMs: nowMs() });
      if (runs.size <= MAXIMUM_RUNS) return;
      for (const oldest of runs.keys()) {
        runs.delete(oldest);
        return;
      }
    },
    check({ taskId, run, workerId, bornAtMs, as }) {
      const key = `${taskId} ${run}`;
      const concluded = runs.get(key);
      if (concluded === undefined) return false;
      runs.delete(key);
      log.warn("a run that was taken as over went on", {
        task: taskId,
        run,
        worker: workerId,
        bornAtMs,
        as,
        reason: concluded.reason,
        agoMs: Math.round(nowMs() - concluded.atMs),
      });
      return true;
    },
  };
}
