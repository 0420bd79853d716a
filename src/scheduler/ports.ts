/** One item of the platform's store. */
export interface StoredItem {
  readonly key: string;
  readonly value: string;
  /** Store revision of the item's last change; 0 when the key doesn't exist. */
  readonly revision: number;
}

/** A change that a watch reports. */
export type StoreEvent =
  | { readonly kind: "put"; readonly item: StoredItem }
  | { readonly kind: "delete"; readonly key: string };

/** An all-or-nothing change of several keys. */
export interface StoreChange {
  /** Revisions that the keys must have; 0 means that the key must not exist. */
  readonly conditions: readonly { key: string; revision: number }[];
  readonly puts: readonly { key: string; value: string; leaseId?: number }[];
  readonly deletes?: readonly string[];
}

/** Outcome of a change. */
export type ChangeOutcome =
  | { readonly kind: "committed"; readonly revision: number }
  /** A condition didn't hold; the items of the conditions as they are now. */
  | { readonly kind: "conflict"; readonly items: readonly StoredItem[] }
  | { readonly kind: "lease_ended" };

/** Most entries in one change: conditions, puts and deletes together. */
export const MAXIMUM_OPERATIONS_PER_CHANGE = 32;

/** The platform's store; each method rejects with a `StoreError`. */
export interface RecordStore {
  get(key: string): Promise<StoredItem | undefined>;
  /** Lists all items below a prefix, with the store revision before the first page. */
  list(prefix: string): Promise<{ items: StoredItem[]; revision: number }>;
  /** Waits for changes after a revision; `compacted` when that history is gone. */
  watch(
    prefix: string,
    options: { afterRevision: number; waitMs: number },
  ): Promise<
    | { kind: "events"; events: StoreEvent[]; revision: number }
    | { kind: "compacted" }
  >;
  change(change: StoreChange): Promise<ChangeOutcome>;
  grantLease(ttlMs: number): Promise<{ leaseId: number; ttlMs: number }>;
  /** Renews a lease; false when it has ended. */
  keepLease(leaseId: number): Promise<boolean>;
  endLease(leaseId: number): Promise<void>;
}

/** What a worker or a task needs. */
export interface Resources {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly gpuCount: number;
}

/** One life of a worker VM as it registered itself. */
export interface WorkerRegistration {
  readonly workerId: string;
  /** VM on which it runs; empty when the entry names none. */
  readonly vmId: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: "ready" | "draining";
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  /** Start of this life, in ms since 1970; tells lives under one id apart. */
  readonly bornAtMs: number;
  /** Least time left before a draining worker exits, in ms. */
  readonly remainingMs: number | undefined;
}

/** Identifies one life of a worker and where to reach it. */
export interface WorkerAddress {
  readonly workerId: string;
  readonly address: string;
}

/** How a run ended on its worker. */
export type RunEnding =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  | "broken"
  | "alone";

/** A run that a worker lists as running. */
export interface ActiveRunReport {
  readonly taskId: string;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress of a batch task, or readiness of a long-running one, 0 to 100. */
  readonly percent: number;
  /** Tail of response times in ms for a serving task, processor use in thousandths of a core for others. */
  readonly recentMetric: number;
}

/** A run that a worker lists as ended. */
export interface EndedRunReport {
  /** Number of the end in this life of the worker. */
  readonly number: number;
  readonly taskId: string;
  readonly run: number;
  readonly ending: RunEnding;
  readonly checkpoint: string;
}

/** What a worker says of its runs. */
export interface WorkerReport {
  readonly clockMs: number;
  readonly bornAtMs: number | undefined;
  readonly running: readonly ActiveRunReport[];
  readonly ended: readonly EndedRunReport[];
}

/** Why a worker refused an order that it therefore did not carry out. */
export type OrderRefusal =
  | "fenced"
  | "superseded"
  | "expired"
  | "no_room"
  | "ticket"
  | "unhealthy"
  | "invalid";

/** Outcome of a call to a worker. */
export type OrderOutcome<Done = { readonly clockMs: number }> =
  | ({ readonly kind: "done" } & Done)
  | { readonly kind: "refused"; readonly reason: OrderRefusal }
  | { readonly kind: "other_life" }
  /** The call can't have reached the worker. */
  | { readonly kind: "not_sent" }
  /** No answer: the worker may carry the order out, now or seconds later. */
  | { readonly kind: "unknown" };

/** An order to start a task. */
export interface StartOrder {
  readonly taskId: string;
  readonly run: number;
  readonly specification: string;
  /** End of the lease of all runs on the worker, on the worker's clock in ms. */
  readonly leaseEndMs: number;
  readonly fence: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** Calls to workers; no method rejects. */
export interface WorkerControl {
  start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome>;
  stop(
    worker: WorkerAddress,
    order: { taskId: string; run: number; fence: number },
  ): Promise<OrderOutcome>;
  /** Renews the leases, acknowledges ends and returns both lists; waits for an end up to `waitMs`. */
  renewAndPoll(worker: WorkerAddress, order: {
    fence: number;
    acknowledged: number;
    leaseEndMs: number | undefined;
    waitMs: number;
  }): Promise<OrderOutcome<WorkerReport>>;
  /** Sets the share of its speed at which a task works, 0 to 100. */
  setPace(
    worker: WorkerAddress,
    order: { taskId: string; run: number; percent: number; fence: number },
  ): Promise<OrderOutcome>;
  /** Closes the connections to a worker that is gone. */
  close(address: string): void;
}

/** A VM as the platform lists it. */
export interface VmInfo {
  readonly vmId: string;
  readonly pool: string;
  readonly state: "up" | "moving" | "maintenance" | "down";
  readonly dataCentre: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** The life that runs on the VM; undefined when it is off. */
  readonly workerId: string | undefined;
}

/** Outcome of an order for a VM. */
export type VmOrderOutcome =
  | { readonly kind: "done" }
  | {
    readonly kind: "refused";
    readonly reason: "fenced" | "busy" | "wrong_wave" | "invalid";
  }
  /** Nothing was done; the rate limit was reached or the service is away. */
  | { readonly kind: "unavailable" }
  /** No answer: the order may be carried out, now or later. */
  | { readonly kind: "unknown" };

/** Who gives an order for a VM. */
export interface VmOrderHolder {
  readonly holder: string;
  readonly fence: number;
}

/** The platform's interface for VMs; `list` rejects with a `PlatformError`. */
export interface VmApi {
  list(): Promise<VmInfo[]>;
  move(
    order: VmOrderHolder & { vmId: string; pool: string },
  ): Promise<VmOrderOutcome>;
  startMaintenance(
    order: VmOrderHolder & { vmId: string; wave: number },
  ): Promise<VmOrderOutcome>;
}

/** Leave to run a step on a worker. */
export interface PlacementTicket {
  readonly workerId: string;
  readonly ticket: string;
}

/** The platform's placement advice. */
export interface PlacementAdvisor {
  /** Returns the workers that may run the step; undefined when there was no answer. */
  advise(
    stepId: string,
    workerIds: readonly string[],
  ): Promise<{ tickets: PlacementTicket[]; validityMs: number } | undefined>;
}

/** A maintenance wave that operators ask for. */
export interface WaveRequest {
  readonly wave: number;
  readonly vmIds: readonly string[];
  /** Time from the request to the end of the wave, in ms. */
  readonly deadlineMs: number;
  /** Most VMs of the wave that may be down for it at the same time. */
  readonly maximumDown: number;
}

/** One queue as configured. */
export interface QueueConfig {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maximumAttempts: number;
  /** A job is on time within `stretch` times its longest chain of work plus `targetDurationMs`. */
  readonly stretch: number;
  readonly targetDurationMs: number;
  readonly needsAdvice: boolean;
}

/** The operators' configuration. */
export interface SchedulerConfig {
  readonly version: number;
  readonly queues: readonly QueueConfig[];
  /** Names of pools whose VMs are off and cost nothing. */
  readonly sparePools: readonly string[];
  readonly services: readonly string[];
  readonly maximumBodyBytes: number;
}

/** Decodes what operators and workers write to the store; undefined for what can't be read. */
export interface PlatformRecordCodec {
  readonly operatorPrefix: string;
  readonly workerPrefix: string;
  readConfig(item: StoredItem): SchedulerConfig | undefined;
  readWave(item: StoredItem): WaveRequest | undefined;
  readWorker(item: StoredItem): WorkerRegistration | undefined;
  /** The item that tells operators the state of a wave. */
  waveStatus(
    wave: number,
    state: "running" | "completed",
  ): { key: string; value: string };
}
