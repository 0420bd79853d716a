import type { Size } from "./job.ts";
import { addSize } from "./size.ts";
import type { TaskIdentity } from "./task_id.ts";

/** Whether jobs are placed on a worker. */
export type WorkerStanding =
  | "normal"
  /** Blamed, but the pool's budget doesn't allow a quarantine; used last. */
  | "suspect"
  /** Quarantined until its next probe. */
  | "quarantined"
  /** May get one task that shows whether it works again. */
  | "probing";

/** One task on a worker as a planning step sees it. */
export interface TaskView {
  readonly taskId: string;
  readonly identity: TaskIdentity;
  /** Use in the last report; undefined before the first one. */
  readonly usedCores: number | undefined;
  readonly usedMemoryMb: number | undefined;
}

/** Capacity that was freed for an urgent job. */
export interface CapacityHold {
  readonly jobId: string;
  readonly team: string;
  readonly size: Size;
  /** Tasks that are checkpointed for the job. */
  readonly freedBy: readonly string[];
  /** Whether they are checkpointed for the quota of the job's team. */
  readonly freesQuota: boolean;
}

/** One worker as a planning step sees it. */
export interface WorkerView {
  readonly vmId: string;
  readonly incarnation: string;
  readonly controlAddress: string;
  readonly pool: string;
  readonly rack: string;
  readonly capacity: Size;
  /** Whether new tasks may be placed: serving in the fleet record, listed as live and answering. */
  readonly serving: boolean;
  readonly standing: WorkerStanding;
  readonly rebootIntentId: string | undefined;
  readonly tasks: readonly TaskView[];
  /** Capacity held for an urgent job. */
  readonly hold: CapacityHold | undefined;
}

/** Returns the capacity that no task reserves. */
export function freeCapacity(worker: WorkerView): Size {
  return worker.tasks.reduce(
    (free, task) => addSize(free, task.identity.size, -1),
    worker.capacity,
  );
}
