import type { Placement } from "./job_state.ts";
import type { WorkerInstance } from "./worker_table.ts";

/** Time after a start order was given up in which it may still reach its worker, in ms; workers have executed orders 12 s late. */
const LATE_START_LIMIT_MS = 12_500;

interface ExpiredStart {
  readonly taskId: string;
  readonly run: number;
  readonly bornAtMs: number;
  readonly addedAtMs: number;
}

/** Start orders that expired for one process of a worker. */
export interface ExpiredStarts {
  add(taskId: string, placement: Placement): void;
  /**
   * Stops the runs on a later process of their worker, which has the same ID: its
   * clock may be behind, so that it would still carry out an order that is on its
   * way, and the confirmed stop makes it refuse the order.
   */
  stopOnNextProcess(instance: WorkerInstance): void;
}

/** Creates the record of one tenure; `nowMs` is a monotonic clock. */
export function createExpiredStarts(nowMs: () => number): ExpiredStarts {
  /** Expired starts by worker ID. */
  const startsByWorker = new Map<string, Set<ExpiredStart>>();

  function listCurrent(workerId: string): Set<ExpiredStart> {
    const starts = startsByWorker.get(workerId) ?? new Set();
    for (const start of starts) {
      if (nowMs() - start.addedAtMs > LATE_START_LIMIT_MS) starts.delete(start);
    }
    if (starts.size === 0) startsByWorker.delete(workerId);
    return starts;
  }

  return {
    add(taskId, { workerId, run, bornAtMs }) {
      const starts = listCurrent(workerId);
      starts.add({ taskId, run, bornAtMs, addedAtMs: nowMs() });
      startsByWorker.set(workerId, starts);
    },
    stopOnNextProcess({ workerId, bornAtMs, link }) {
      const starts = listCurrent(workerId);
      for (const start of starts) {
        if (start.bornAtMs === bornAtMs) continue;
        void link?.stop(start.taskId, start.run).then((outcome) => {
          if (outcome.kind === "done") starts.delete(start);
        });
      }
    },
  };
}
