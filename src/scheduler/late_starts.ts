import { z } from "zod";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { hasLeft } from "./crashes/instance_end.ts";
import type { Journal } from "./journal.ts";
import { MAXIMUM_LIST_LAG_MS, resolveListedEnd } from "./listed_end.ts";
import { parseRecord, STORE_KEYS } from "./ownership.ts";
import type { StoredItem, VmInfo } from "./ports.ts";
import { MAXIMUM_LEASE_MS } from "./worker_link.ts";
import { LATE_CALL_LIMIT_MS } from "./worker_lives.ts";
import type { WorkerInstance } from "./worker_table.ts";

const recordSchema = z.object({ vm: z.string(), tasks: z.array(z.string()) });

/** A start order that is being sent. */
export interface StartInProgress {
  /** Records the outcome; an order without an answer may be executed late. */
  end(isAnswered: boolean): void;
}

/**
 * Start orders without an answer. The process that they were sent to executes
 * none of them twice, but forgets them when it ends: the worker's next process may
 * then start a task that runs elsewhere by now. So a task isn't started again until
 * its orders have lapsed and the worker has shown that it runs nothing because of
 * them. Each worker's tasks are stored, so that they are known to the next owner.
 */
export interface LateStarts {
  /** Records that a start order for a task is about to be sent to a worker. */
  begin(
    taskId: string,
    worker: Pick<WorkerInstance, "workerId" | "vmId">,
  ): StartInProgress;
  /** Whether no worker may still start a task, or run it unseen, because of an order without an answer. */
  isSettled(taskId: string): boolean;
  /** Returns the monotonic time until which a worker may execute a start order without an answer, in ms; `-Infinity` if there is none. */
  endMs(workerId: string): number;
  /** Settles the orders that had lapsed when a worker's report was requested, as it lists what runs because of them; `sentAtMs` is a monotonic time. */
  settleByReport(workerId: string, sentAtMs: number): void;
  /** Settles the orders for workers that have left, and for those whose VM was down after the orders had lapsed; `askedAtMs` is the monotonic time at which the list was requested. */
  settleByVms(vms: ReadonlyMap<string, VmInfo>, askedAtMs: number): void;
  /**
   * Settles the orders of which no run can be left, as its lease has expired;
   * `extensionsEndMs` returns the monotonic time until which a call to a worker
   * that extends the lease may be executed, in ms.
   */
  settleByLeases(extensionsEndMs: (workerId: string) => number): void;
  /** Takes over the orders that an earlier owner has recorded. */
  restore(items: readonly StoredItem[]): void;
}

/** The orders to start a task on a worker. */
interface LateStart {
  readonly taskId: string;
  readonly workerId: string;
  readonly vmId: string;
  inProgress: number;
  /** Monotonic time until which orders without an answer may be executed, in ms; `-Infinity` if there are none. */
  endMs: number;
}

/** Creates the record of start orders of one tenure. */
export function createLateStarts(
  { journal, clock, log }: {
    readonly journal: Pick<Journal, "put">;
    readonly clock: Pick<Clock, "monotonicMs">;
    readonly log: Logger;
  },
): LateStarts {
  const byTask = new Map<string, Map<string, LateStart>>();
  const byWorker = new Map<string, Map<string, LateStart>>();
  /** Workers whose tasks are stored. */
  const recorded = new Set<string>();

  const listByWorker = (workerId: string) => [
    ...byWorker.get(workerId)?.values() ?? [],
  ];
  const isUnsettled = ({ endMs }: LateStart) => endMs > -Infinity;

  function open(
    taskId: string,
    { workerId, vmId }: Pick<WorkerInstance, "workerId" | "vmId">,
  ): LateStart {
    const ofTask = byTask.get(taskId) ?? new Map<string, LateStart>();
    const ofWorker = byWorker.get(workerId) ?? new Map<string, LateStart>();
    const start = ofTask.get(workerId) ??
      { taskId, workerId, vmId, inProgress: 0, endMs: -Infinity };
    byTask.set(taskId, ofTask.set(workerId, start));
    byWorker.set(workerId, ofWorker.set(taskId, start));
    return start;
  }

  function settle(start: LateStart): void {
    const { taskId, workerId } = start;
    start.endMs = -Infinity;
    if (start.inProgress > 0) return;
    const ofTask = byTask.get(taskId);
    const ofWorker = byWorker.get(workerId);
    ofTask?.delete(workerId);
    ofWorker?.delete(taskId);
    if (ofTask?.size === 0) byTask.delete(taskId);
    if (ofWorker?.size === 0) byWorker.delete(workerId);
  }

  /** Settles the orders without an answer that meet a condition. */
  function settleIf(
    starts: Iterable<LateStart>,
    isSettled: (start: LateStart) => boolean,
  ): void {
    for (const start of [...starts]) {
      if (isUnsettled(start) && isSettled(start)) settle(start);
    }
  }

  function* listAll(): Generator<LateStart> {
    for (const starts of byWorker.values()) yield* starts.values();
  }

  /** Stores the tasks of a worker, or deletes their record if there are none. */
  function record(workerId: string): void {
    journal.put({
      key: STORE_KEYS.lateStartPrefix + workerId,
      urgent: true,
      encode() {
        const starts = listByWorker(workerId).filter(isUnsettled);
        const [first] = starts;
        if (first === undefined) return undefined;
        const tasks = starts.map(({ taskId }) => taskId);
        return JSON.stringify({ vm: first.vmId, tasks });
      },
    });
  }

  const latestEndMs = (workerId: string) =>
    Math.max(-Infinity, ...listByWorker(workerId).map(({ endMs }) => endMs));

  return {
    begin(taskId, worker) {
      const start = open(taskId, worker);
      start.inProgress++;
      return {
        end(isAnswered) {
          start.inProgress--;
          if (!isAnswered) {
            start.endMs = clock.monotonicMs() + LATE_CALL_LIMIT_MS;
            recorded.add(worker.workerId);
            record(worker.workerId);
          } else if (!isUnsettled(start)) settle(start);
        },
      };
    },
    isSettled: (taskId) => !byTask.has(taskId),
    endMs: latestEndMs,
    settleByReport(workerId, sentAtMs) {
      settleIf(listByWorker(workerId), ({ endMs }) => endMs < sentAtMs);
    },
    settleByVms(vms, askedAtMs) {
      settleIf(listAll(), ({ vmId, workerId, endMs }) => {
        const listedEnd = vmId === ""
          ? undefined
          : resolveListedEnd(vms.get(vmId), workerId);
        if (listedEnd === undefined) return false;
        if (!hasLeft(listedEnd)) return askedAtMs > endMs;
        // An older list may not show the worker yet.
        return askedAtMs > endMs - LATE_CALL_LIMIT_MS + MAXIMUM_LIST_LAG_MS;
      });
    },
    settleByLeases(extensionsEndMs) {
      const limitMs = clock.monotonicMs() - MAXIMUM_LEASE_MS;
      settleIf(
        listAll(),
        ({ workerId, endMs }) =>
          Math.max(endMs, extensionsEndMs(workerId)) < limitMs,
      );
      for (const workerId of recorded) {
        if (byWorker.has(workerId)) continue;
        recorded.delete(workerId);
        record(workerId);
      }
    },
    restore(items) {
      for (const item of items) {
        const workerId = item.key.slice(STORE_KEYS.lateStartPrefix.length);
        recorded.add(workerId);
        const orders = parseRecord(recordSchema, item);
        if (orders === undefined) {
          log.error("ignoring an invalid record of start orders", {
            key: item.key,
          });
          continue;
        }
        for (const taskId of orders.tasks) {
          const start = open(taskId, { workerId, vmId: orders.vm });
          start.endMs = clock.monotonicMs() + LATE_CALL_LIMIT_MS;
        }
      }
    },
  };
}
