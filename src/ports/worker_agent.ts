/** A task as it is sent to a worker. */
export interface TaskSpec {
  readonly taskId: string;
  /** Commands with a lower fencing token than the last one seen are refused. */
  readonly fencingToken: number;
  /** The worker refuses a task that was meant for its predecessor at the same address. */
  readonly incarnation?: string;
  /** Renews or continues a task; the worker refuses it if it doesn't know the task. */
  readonly mustExist?: boolean;
  readonly command: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Time after which the worker stops the task unless its lease is renewed, in ms. */
  readonly leaseMs: number;
}

/** State of one task on a worker; usage figures lag. */
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

/** What a worker reports about itself. */
export interface WorkerReport {
  readonly vmId: string;
  readonly incarnation: string;
  /** Id of the last reboot that was carried out. */
  readonly lastRebootIntentId: string | undefined;
  readonly tasks: readonly TaskStatus[];
}

/** The platform's agent on a worker. Commands are idempotent by intent or task id; each method rejects with a `PlatformError`. */
export interface WorkerAgent {
  report(controlAddress: string, signal?: AbortSignal): Promise<WorkerReport>;
  runTask(controlAddress: string, task: TaskSpec): Promise<void>;
  checkpointTask(controlAddress: string, taskId: string): Promise<void>;
  throttleTask(
    controlAddress: string,
    options: { taskId: string; cores: number },
  ): Promise<void>;
  stopTask(controlAddress: string, taskId: string): Promise<void>;
  /** Tells the backend server to finish its requests in flight and take no new ones. */
  drain(controlAddress: string, intentId: string): Promise<void>;
  reboot(controlAddress: string, intentId: string): Promise<void>;
}
