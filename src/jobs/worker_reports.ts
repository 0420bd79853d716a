import type { Clock } from "../clock.ts";
import type { Vm } from "../ports/vm_list.ts";
import type {
  TaskStatus,
  WorkerAgent,
  WorkerReport,
} from "../ports/worker_agent.ts";
import { parseTaskId } from "./task_id.ts";
import type { TaskView } from "./worker_view.ts";

/** Polling interval of a worker's reports, in ms. */
const REPORT_INTERVAL_MS = 1_000;
/** Time until the next poll after a failed one, in ms. */
const RETRY_INTERVAL_MS = 5_000;
/** Timeout of a report request, in ms. */
const REPORT_TIMEOUT_MS = 1_500;
/**
 * Time after which a worker that no shard polls is dropped, in ms. Without
 * polls, a missing answer has no meaning.
 */
const RETENTION_MS = 15_000;
/** Maximum age of a report that is used to place new tasks, in ms. */
const FRESH_MS = 5_000;
/**
 * Time for which a confirmed checkpoint overrides the lagging reports, in ms.
 */
const CHECKPOINT_OVERRIDE_MS = 10_000;
/**
 * Time for which task starts are remembered, in ms. Longer than the notice of a
 * checkpoint takes between entries.
 */
const START_RETENTION_MS = 15_000;

interface WorkerState {
  requestedAtMs: number;
  /** Request in flight, if any. */
  pendingReport: Promise<void> | undefined;
  /** Whether the last request failed. */
  failed: boolean;
  /** Monotonic time of the last response, or of the first request, in ms. */
  lastContactAtMs: number;
  report:
    | { readonly value: WorkerReport; readonly requestedAtMs: number }
    | undefined;
  tasks: Map<string, TaskStatus>;
  /**
   * Running tasks that were started by dispatchers; parsed once for all shards.
   */
  running: RunningTask[];
}

/** A running task and its parsed id. */
export interface RunningTask {
  readonly status: TaskStatus;
  readonly view: TaskView;
}

/** Reports of a region's workers, shared by the dispatchers of one entry. */
export class WorkerReports {
  #agent: WorkerAgent;
  #clock: Clock;
  #workers = new Map<string, WorkerState>();
  /**
   * Monotonic time until which a confirmed checkpoint overrides the reports, in
   * ms, by task id.
   */
  #checkpointed = new Map<string, number>();
  /** Wall-clock time of the last start, resume or renewal, by task id. */
  #startedAtMs = new Map<string, number>();

  constructor(agent: WorkerAgent, clock: Clock) {
    this.#agent = agent;
    this.#clock = clock;
  }

  /**
   * Requests the reports that are due, and waits for them and for requests
   * already in flight. Never rejects.
   */
  async refresh(workers: readonly Vm[]): Promise<void> {
    const nowMs = this.#clock.monotonicMs();
    for (const [vmId, { requestedAtMs }] of this.#workers) {
      if (nowMs - requestedAtMs >= RETENTION_MS) this.#workers.delete(vmId);
    }
    for (const [taskId, untilMs] of this.#checkpointed) {
      if (untilMs <= nowMs) this.#checkpointed.delete(taskId);
    }
    for (const [taskId, atMs] of this.#startedAtMs) {
      if (this.#clock.wallMs() - atMs >= START_RETENTION_MS) {
        this.#startedAtMs.delete(taskId);
      }
    }
    await Promise.all(workers.map((vm) => {
      const worker = this.#workers.get(vm.id);
      if (worker?.pendingReport !== undefined) return worker.pendingReport;
      const intervalMs = worker?.failed
        ? RETRY_INTERVAL_MS
        : REPORT_INTERVAL_MS;
      const due = worker === undefined ||
        nowMs - worker.requestedAtMs >= intervalMs;
      return due ? this.#startFetch(vm) : undefined;
    }));
  }

  /**
   * Records that a worker confirmed a checkpoint that its report doesn't show
   * yet.
   */
  recordCheckpoint(taskId: string): void {
    this.#checkpointed.set(
      taskId,
      this.#clock.monotonicMs() + CHECKPOINT_OVERRIDE_MS,
    );
  }

  /** Records that a task was started, resumed or renewed. */
  recordStart(taskId: string): void {
    this.#checkpointed.delete(taskId);
    this.#startedAtMs.set(taskId, this.#clock.wallMs());
  }

  /**
   * Returns the wall-clock time at which a task was last started, resumed or
   * renewed, in ms; -Infinity if that was long ago.
   */
  lastStartMs(taskId: string): number {
    return this.#startedAtMs.get(taskId) ?? -Infinity;
  }

  /**
   * Returns the newest report of a worker's incarnation if it was requested at
   * or after the given time.
   */
  reportSince(
    vmId: string,
    options: { incarnation: string; sinceMs: number },
  ): WorkerReport | undefined {
    const report = this.#workers.get(vmId)?.report;
    return report !== undefined && report.requestedAtMs >= options.sinceMs &&
        report.value.incarnation === options.incarnation
      ? report.value
      : undefined;
  }

  /** Returns the last known status of a task on a worker. */
  taskStatus(vmId: string, taskId: string): TaskStatus | undefined {
    const status = this.#workers.get(vmId)?.tasks.get(taskId);
    if (!this.isCheckpointConfirmed(taskId)) return status;
    // The task may be missing because the report is older than its start.
    const current = status ??
      { taskId, state: "running", usedCores: 0, usedMemoryMb: 0 };
    return current.state === "running"
      ? { ...current, state: "checkpointed" }
      : current;
  }

  /**
   * Returns whether a worker has confirmed a checkpoint since the task was last
   * started, which the lagging report may not show yet.
   */
  isCheckpointConfirmed(taskId: string): boolean {
    return (this.#checkpointed.get(taskId) ?? 0) > this.#clock.monotonicMs();
  }

  /** Returns the tasks started by dispatchers that are running on a worker. */
  runningTasks(vmId: string): readonly RunningTask[] {
    const running = this.#workers.get(vmId)?.running ?? [];
    if (this.#checkpointed.size === 0) return running;
    return running.filter(({ status: { taskId } }) =>
      this.taskStatus(vmId, taskId)?.state === "running"
    );
  }

  /** Returns whether a worker's report is recent enough to place new tasks. */
  isFresh(vmId: string): boolean {
    const report = this.#workers.get(vmId)?.report;
    return report !== undefined &&
      this.#clock.monotonicMs() - report.requestedAtMs < FRESH_MS;
  }

  /**
   * Returns the time since the last response of a worker, in ms; 0 if it was
   * never polled.
   */
  silentMs(vmId: string): number {
    const worker = this.#workers.get(vmId);
    return worker === undefined
      ? 0
      : this.#clock.monotonicMs() - worker.lastContactAtMs;
  }

  #startFetch(vm: Vm): Promise<void> {
    const requestedAtMs = this.#clock.monotonicMs();
    const worker: WorkerState = this.#workers.get(vm.id) ?? {
      requestedAtMs,
      pendingReport: undefined,
      lastContactAtMs: requestedAtMs,
      report: undefined,
      failed: false,
      tasks: new Map(),
      running: [],
    };
    worker.requestedAtMs = requestedAtMs;
    this.#workers.set(vm.id, worker);
    worker.pendingReport = this.#fetchReport(vm, worker).finally(() => {
      worker.pendingReport = undefined;
    });
    return worker.pendingReport;
  }

  async #fetchReport(vm: Vm, worker: WorkerState): Promise<void> {
    const { requestedAtMs } = worker;
    try {
      const signal = AbortSignal.timeout(REPORT_TIMEOUT_MS);
      const report = await this.#agent.report(vm.controlAddress, signal);
      worker.failed = false;
      worker.report = { value: report, requestedAtMs };
      worker.tasks = new Map(report.tasks.map((task) => [task.taskId, task]));
      worker.running = report.tasks.flatMap((status): RunningTask[] => {
        const identity = status.state === "running"
          ? parseTaskId(status.taskId)
          : undefined;
        if (identity === undefined) return [];
        const { taskId, usedCores, usedMemoryMb } = status;
        const view = { taskId, identity, usedCores, usedMemoryMb };
        return [{ status, view }];
      });
      worker.lastContactAtMs = this.#clock.monotonicMs();
    } catch {
      worker.failed = true;
      // `lastContactAtMs` stays unchanged, so it shows how long the worker
      // hasn't answered.
    }
  }
}
