import type { Job, Run } from "./job.ts";
import { taskIdOf } from "./task_id.ts";
import type { WorkerReports } from "./worker_reports.ts";

/** Highest reported usage of a task. */
export interface PeakUsage {
  readonly cores: number;
  readonly memoryMb: number;
}

/** Tracks the peak usage of the running tasks of one shard. */
export class PeakUsageTracker {
  #reports: WorkerReports;
  #peaks = new Map<string, PeakUsage>();

  constructor(reports: WorkerReports) {
    this.#reports = reports;
  }

  /** Returns the peak usage of a run; undefined if it isn't tracked. */
  of(job: Job, run: Run): PeakUsage | undefined {
    return this.#peaks.get(taskIdOf(job, run));
  }

  /**
   * Updates the peaks of running tasks from the reports and drops all others.
   */
  update(jobs: ReadonlyMap<string, Job>): void {
    const peaks = new Map<string, PeakUsage>();
    for (const job of jobs.values()) {
      if (job.state.kind !== "running") continue;
      const { run } = job.state;
      const taskId = taskIdOf(job, run);
      const previous = this.#peaks.get(taskId);
      const status = this.#reports.taskStatus(run.vmId, taskId);
      peaks.set(taskId, {
        cores: Math.max(previous?.cores ?? 0, status?.usedCores ?? 0),
        memoryMb: Math.max(previous?.memoryMb ?? 0, status?.usedMemoryMb ?? 0),
      });
    }
    this.#peaks = peaks;
  }
}
