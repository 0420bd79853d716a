/** A key-value pair of the platform's store. */
export interface StoredItem {
  readonly key: string;
  readonly value: string;
  /** Store revision of the item's last change; 0 if the key doesn't exist. */
  readonly revision: number;
}

/** A change reported by a watch. */
export type StoreEvent =
  | { readonly kind: "put"; readonly item: StoredItem }
  | { readonly kind: "delete"; readonly key: string };

/** An atomic change of several keys. */
export interface StoreChange {
  /** Revisions that the keys must have; 0 means that the key must not exist. */
  readonly conditions: readonly { key: string; revision: number }[];
  readonly puts: readonly { key: string; value: string; leaseId?: number }[];
  readonly deletes?: readonly string[];
}

/** Outcome of a change. */
export type ChangeOutcome =
  | { readonly kind: "committed"; readonly revision: number }
  /** A condition was not met; `items` are the current items of the conditions' keys. */
  | { readonly kind: "conflict"; readonly items: readonly StoredItem[] }
  | { readonly kind: "lease_ended" };

/** Maximum number of conditions, puts and deletes in one change, taken together. */
export const MAXIMUM_OPERATIONS_PER_CHANGE = 32;

/** The platform's store; each method rejects with a `StoreError`. */
export interface RecordStore {
  get(key: string): Promise<StoredItem | undefined>;
  /** Lists all items below a prefix, with the store revision of the first page. */
  list(prefix: string): Promise<{ items: StoredItem[]; revision: number }>;
  /** Waits for changes after a revision; `compacted` means that the store no longer has this history. */
  watch(
    prefix: string,
    options: { afterRevision: number; waitMs: number },
  ): Promise<
    | { kind: "events"; events: StoreEvent[]; revision: number }
    | { kind: "compacted" }
  >;
  change(change: StoreChange): Promise<ChangeOutcome>;
  /** Creates a lease that ends `ttlMs` after its last renewal; the store may grant another TTL. */
  grantLease(ttlMs: number): Promise<{ leaseId: number; ttlMs: number }>;
  /** Renews a lease; returns false if it has ended. */
  renewLease(leaseId: number): Promise<boolean>;
  /** Ends a lease, which deletes the keys attached to it. */
  endLease(leaseId: number): Promise<void>;
}

/** Capacity of a worker or demand of a task. */
export interface Resources {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly gpuCount: number;
}

/** Registration record of a worker instance, which is one process of a worker from start to exit. */
export interface WorkerRegistration {
  readonly workerId: string;
  /** VM on which the instance runs; empty if the record names none. */
  readonly vmId: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: "ready" | "draining";
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  /** Start time of the instance, in ms since 1970; distinguishes instances with the same ID. */
  readonly bornAtMs: number;
  /** Minimum time left before a draining worker exits, in ms. */
  readonly remainingMs: number | undefined;
}

/** ID, address and data centre of a worker instance. */
export interface WorkerAddress {
  readonly workerId: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** How a run ended on its worker. */
export type RunEnding =
  | "done"
  | "failed"
  | "stopped"
  /** The lease of the run has expired. */
  | "lapsed"
  | "broken"
  | "alone";

/** A run that a worker reports as active. */
export interface ActiveRunReport {
  readonly taskId: string;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress of a batch task, or readiness of a long-running one, 0 to 100. */
  readonly percent: number;
  /** Tail latency in ms for a serving task, CPU usage in thousandths of a core for others. */
  readonly loadMetric: number;
}

/** A run that a worker reports as ended. */
export interface EndedRunReport {
  /** Sequence number of the ended run within the worker instance. */
  readonly number: number;
  readonly taskId: string;
  readonly run: number;
  readonly ending: RunEnding;
  readonly checkpoint: string;
}

/** A worker's report of its runs. */
export interface WorkerReport {
  /** The worker's clock when it responded, in ms. */
  readonly clockMs: number;
  /** Start time of the worker instance, in ms since 1970; undefined if the report omits it. */
  readonly bornAtMs: number | undefined;
  readonly running: readonly ActiveRunReport[];
  readonly ended: readonly EndedRunReport[];
  /** Whether runs of the worker may be in neither list: ended ones that it lists once these are acknowledged, or ones that can't be read. */
  readonly hasMoreEnded: boolean;
}

/** Reason why a worker refused an order, which was therefore not executed. */
export type OrderRefusal =
  | "fenced"
  | "superseded"
  | "expired"
  | "no_room"
  | "ticket"
  | "unhealthy"
  | "invalid";

/** Outcome of an order to a worker. */
export type OrderOutcome<Done = { readonly clockMs: number }> =
  | ({ readonly kind: "done" } & Done)
  | { readonly kind: "refused"; readonly reason: OrderRefusal }
  /** Another instance of the worker responded. */
  | { readonly kind: "other_life" }
  /** The order was not sent, so the worker can't have executed it. */
  | { readonly kind: "not_sent" }
  /** No response: the worker may have executed the order or may still execute it seconds later. */
  | { readonly kind: "unknown" };

/** An order to start a task. */
export interface StartOrder {
  readonly taskId: string;
  readonly run: number;
  readonly specification: string;
  /** End of the lease of all runs on the worker, in ms on the worker's clock. */
  readonly leaseEndMs: number;
  readonly fence: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** Sends orders to workers; no method rejects. */
export interface WorkerControl {
  start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome>;
  stop(
    worker: WorkerAddress,
    order: { taskId: string; run: number; fence: number },
  ): Promise<OrderOutcome>;
  /** Renews the leases, acknowledges ended runs and returns a report; waits up to `waitMs` for a run to end. */
  renewAndPoll(worker: WorkerAddress, order: {
    fence: number;
    acknowledged: number;
    leaseEndMs: number | undefined;
    waitMs: number;
    /** Time that the response may take beyond `waitMs`, in ms; undefined for the usual one. */
    responseTimeoutMs?: number | undefined;
  }): Promise<OrderOutcome<WorkerReport>>;
  /** Limits a task's speed to a percentage, 0 to 100. */
  throttle(
    worker: WorkerAddress,
    order: { taskId: string; run: number; percent: number; fence: number },
  ): Promise<OrderOutcome>;
  /** Closes the connections to a worker that no longer exists. */
  close(worker: WorkerAddress): void;
}

/** A VM in the platform's VM list. */
export interface VmInfo {
  readonly vmId: string;
  readonly pool: string;
  readonly state: "up" | "moving" | "maintenance" | "down";
  readonly dataCentre: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** ID of the worker instance that runs on the VM; undefined if the VM is off. */
  readonly workerId: string | undefined;
}

/** Outcome of an order for a VM. */
export type VmOrderOutcome =
  | { readonly kind: "done" }
  | {
    readonly kind: "refused";
    readonly reason: "fenced" | "busy" | "wrong_wave" | "invalid";
  }
  /** The order was not executed: the rate limit was reached or the service is unavailable. */
  | { readonly kind: "unavailable" }
  /** No response: the order may have been executed or may still be executed later. */
  | { readonly kind: "unknown" };

/** The owner that issues an order for a VM, with its fencing token. */
export interface VmOrderHolder {
  readonly holder: string;
  readonly fence: number;
}

/** The platform's VM service; `list` rejects with a `PlatformError`. */
export interface VmApi {
  list(): Promise<VmInfo[]>;
  move(
    order: VmOrderHolder & { vmId: string; pool: string },
  ): Promise<VmOrderOutcome>;
  startMaintenance(
    order: VmOrderHolder & { vmId: string; wave: number },
  ): Promise<VmOrderOutcome>;
}

/** Permission to run a step on a worker. */
export interface PlacementTicket {
  readonly workerId: string;
  readonly ticket: string;
}

/** Tickets for the workers that may run a step. */
export interface PlacementAdvice {
  readonly tickets: readonly PlacementTicket[];
  /** Time for which workers accept the tickets, in ms. */
  readonly validityMs: number;
}

/** The platform's placement advice service. */
export interface PlacementAdvisor {
  /** Returns undefined if the service didn't respond. */
  advise(
    stepId: string,
    workerIds: readonly string[],
  ): Promise<PlacementAdvice | undefined>;
}

/** A maintenance wave requested by operators. */
export interface WaveRequest {
  readonly wave: number;
  readonly vmIds: readonly string[];
  /** Time from the request to the end of the wave, in ms. */
  readonly deadlineMs: number;
  /** Maximum number of the wave's VMs that may be down for it at the same time. */
  readonly maximumDown: number;
}

/** Configuration of a queue. */
export interface QueueConfig {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** Priority of the queue's jobs; 0 is the highest. */
  readonly priority: number;
  /** Number of failed runs of a task after which its job fails. */
  readonly maximumAttempts: number;
  /** A job is on time if it takes at most `stretch` times its critical path plus `targetDurationMs`. */
  readonly stretch: number;
  /** Time added to the stretched critical path, in ms. */
  readonly targetDurationMs: number;
  /** Whether tasks may run only on workers for which the placement advice service has issued a ticket. */
  readonly needsAdvice: boolean;
  /** Whether requests need no API key; the queue's jobs then belong to no workspace. */
  readonly isPublic?: boolean;
}

/** Configuration of a workspace, whose callers share API keys, a weight and an upper bound. */
export interface WorkspaceConfig {
  readonly name: string;
  /** Digests of the API keys, made with `digestApiKey`. */
  readonly keyDigests: readonly string[];
  /** Share of a full pool; also the number of jobs a second that the workspace is owed. */
  readonly weight: number;
  /** Resources that its tasks may use on all workers together; 0 means no limit. */
  readonly upperBound: Resources;
}

/** The operators' configuration. */
export interface SchedulerConfig {
  readonly version: number;
  readonly queues: readonly QueueConfig[];
  /** Names of pools whose VMs are switched off and cost nothing. */
  readonly sparePools: readonly string[];
  readonly services: readonly string[];
  readonly maximumBodyBytes: number;
  /** Undefined in a deployment without workspaces, where requests need no API key. */
  readonly workspaces?: readonly WorkspaceConfig[] | undefined;
}

/** Decodes the records that operators and workers write to the store; returns undefined for invalid ones. */
export interface PlatformRecordCodec {
  readonly operatorPrefix: string;
  readonly workerPrefix: string;
  readConfig(item: StoredItem): SchedulerConfig | undefined;
  readWave(item: StoredItem): WaveRequest | undefined;
  readWorker(item: StoredItem): WorkerRegistration | undefined;
  /** Encodes the item that reports the state of a wave to operators. */
  waveStatus(
    wave: number,
    state: "running" | "completed",
  ): { key: string; value: string };
}
