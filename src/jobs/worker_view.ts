import type { Size } from "./job.ts";
import { addSize } from "./size.ts";
import type { TaskIdentity } from "./task_id.ts";

/** Whether, and with which restriction, jobs are placed on a worker. */
export type WorkerStanding =
  | "normal"
  /**
   * Would be quarantined, but the pool's budget doesn't allow it; used last.
   */
  | "suspect"
  /** Quarantined until its next probe. */
  | "quarantined"
  /** Gets one task, to find out whether the worker has recovered. */
  | "probing";

/** A task on a worker, as seen by a planning step. */
export interface TaskView {
  readonly taskId: string;
  readonly identity: TaskIdentity;
  /** Usage in the last report; undefined before the first one. */
  readonly usedCores: number | undefined;
  readonly usedMemoryMb: number | undefined;
}

/** Capacity freed and held for an urgent job. */
export interface CapacityHold {
  readonly jobId: string;
  readonly team: string;
  readonly size: Size;
  /** Ids of the tasks that are checkpointed for the job. */
  readonly freedBy: readonly string[];
  /** Whether these tasks are checkpointed to free quota of the job's team. */
  readonly freesQuota: boolean;
}

/** A worker, as seen by a planning step. */
export interface WorkerView {
  readonly vmId: string;
  readonly incarnation: string;
  readonly controlAddress: string;
  readonly pool: string;
  readonly rack: string;
  readonly capacity: Size;
  /**
   * Whether new tasks may be placed: the worker is serving in the fleet record,
   * live in the VM list, and has a recent report.
   */
  readonly serving: boolean;
  readonly standing: WorkerStanding;
  readonly rebootIntentId: string | undefined;
  readonly tasks: readonly TaskView[];
  /** Capacity held for an urgent job. */
  readonly hold: CapacityHold | undefined;
}

/** Returns the capacity that isn't reserved by tasks. */
export function freeCapacity(worker: WorkerView): Size {
  return worker.tasks.reduce(
    (free, task) => addSize(free, task.identity.size, -1),
    worker.capacity,
  );
}
