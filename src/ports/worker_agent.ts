/** A task as sent to a worker. */
export interface TaskSpec {
  readonly taskId: string;
  /** The worker rejects commands with a lower fencing token than the highest it has seen. */
  readonly fencingToken: number;
  /** The worker rejects the task if it has another incarnation, i.e. replaced the intended VM at the same address. */
  readonly incarnation?: string;
  /** Set to renew or continue a task; the worker rejects it if it doesn't know the task. */
  readonly mustExist?: boolean;
  readonly command: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Time after which the worker stops the task if its lease isn't renewed, in ms. */
  readonly leaseMs: number;
}

/** State of a task on a worker; the usage values may lag behind. */
export interface TaskStatus {
  readonly taskId: string;
  readonly state:
    | "running"
    | "checkpointed"
    | "succeeded"
    | "failed"
    | "stopped";
  readonly usedCores: number;
  readonly usedMemoryMb: number;
}

/** State that a worker's agent reports. */
export interface WorkerReport {
  readonly vmId: string;
  readonly incarnation: string;
  /** Intent id of the last completed reboot. */
  readonly lastRebootIntentId: string | undefined;
  readonly tasks: readonly TaskStatus[];
}

/**
 * Client of the platform's agent on a worker. Commands are idempotent by intent
 * or task id; each method rejects with a `PlatformError`.
 */
export interface WorkerAgent {
  report(controlAddress: string, signal?: AbortSignal): Promise<WorkerReport>;
  runTask(controlAddress: string, task: TaskSpec): Promise<void>;
  checkpointTask(controlAddress: string, taskId: string): Promise<void>;
  throttleTask(
    controlAddress: string,
    options: { taskId: string; cores: number },
  ): Promise<void>;
  stopTask(controlAddress: string, taskId: string): Promise<void>;
  /** Tells the backend server to finish its requests in flight and accept no new ones. */
  drain(controlAddress: string, intentId: string): Promise<void>;
  reboot(controlAddress: string, intentId: string): Promise<void>;
}
