import { setTimeout as delay } from "node:timers/promises";
import { run, type Task } from "effection";
import { systemClock } from "../src/clock.ts";
import { silentLogger } from "../src/logger.ts";
import { createElection, type Election } from "../src/scheduler/election.ts";
import {
  createJobFrontend,
  type JobFrontend,
} from "../src/scheduler/job_frontend.ts";
import { type JobSpec, jobSpecSchema } from "../src/scheduler/model.ts";
import { createPeerHandlers } from "../src/scheduler/entry.ts";
import {
  EntryCallError,
  type EntryClient,
} from "../src/scheduler/entry_client.ts";
import type { OwnerReply, PeerHandlers } from "../src/scheduler/peer_router.ts";
import type {
  PlatformRecordCodec,
  QueueConfig,
  SchedulerConfig,
  VmApi,
  VmInfo,
  VmOrderHolder,
  VmOrderOutcome,
  WaveRequest,
  WorkerRegistration,
} from "../src/scheduler/ports.ts";
import {
  createStoreHealth,
  type StoreHealth,
} from "../src/scheduler/store_health.ts";
import {
  createWithdrawals,
  type Withdrawals,
} from "../src/scheduler/withdrawals.ts";
import { FakeRecordStore } from "./fake_record_store.ts";
import { FakeTaskWorkers, InvariantChecker } from "./fake_task_workers.ts";
import { FreezePoint } from "./freeze_point.ts";
import type { Random } from "./random.ts";
import { waitFor } from "./wait.ts";

/** The only queue of the cluster. */
export const QUEUE: QueueConfig = {
  name: "quotes",
  host: "quotes.example",
  pathPrefix: "/quotes/",
  service: "quoting",
  priority: 0,
  maximumAttempts: 3,
  stretch: 2,
  targetDurationMs: 500,
  needsAdvice: false,
};

/** Pool of the VMs that `addSpareVm` adds. */
const SPARE_POOL = "spare";

const CONFIG: SchedulerConfig = {
  version: 1,
  queues: [QUEUE],
  sparePools: [SPARE_POOL],
  services: ["quoting", SPARE_POOL],
  maximumBodyBytes: 100_000,
};

/** Resources of each VM. */
const VM_CAPACITY = { cpuMillis: 8_000, memoryMb: 16_000, gpuCount: 0 };

const recordCodec: PlatformRecordCodec = {
  operatorPrefix: "op/",
  workerPrefix: "servers/",
  readConfig: () => undefined,
  readWave: () => undefined,
  readWorker: (item) => JSON.parse(item.value) as WorkerRegistration,
  waveStatus: (wave, state) => ({ key: `status/wave/${wave}`, value: state }),
};

/** A VM order that has reached the platform. */
export interface ReceivedVmOrder extends VmOrderHolder {
  readonly kind: "maintain" | "move";
  readonly vmId: string;
  /** Whether it was refused because the VM had got an order with a higher fence. */
  readonly fenced: boolean;
  /** Monotonic time, in ms. */
  readonly receivedAtMs: number;
}

/** Occurrences of a submitted job; one if there are none. */
type JobSchedule = Partial<
  Pick<JobSpec, "repeatCount" | "firstRunMs" | "intervalMs">
>;

/** An entry of the cluster. */
export interface ClusterEntry {
  readonly id: string;
  readonly election: Election;
  readonly frontend: JobFrontend;
  readonly health: StoreHealth;
  readonly withdrawals: Withdrawals;
  /** Suspends the entry's calls to the store, the workers, the VM service and other entries. */
  readonly freezePoint: FreezePoint;
  /** False once the entry has been killed. */
  up: boolean;
  task: Task<void>;
}

/** Delay of each call and connection attempt between entries, in ms. */
const CALL_LATENCY_MS = 1;

/** Returns the peer address of an entry. */
function peerAddressOf(entryId: string): string {
  return `127.0.0.1:${entryId.slice("entry-".length)}`;
}

/** Several entries, a store and workers in one process without a network. */
export class SchedulerCluster {
  readonly invariants = new InvariantChecker();
  readonly store: FakeRecordStore;
  readonly workers: FakeTaskWorkers;
  readonly entries: ClusterEntry[] = [];
  /** Ids of entries that accept connections but don't respond to calls of other entries. */
  readonly unresponsive = new Set<string>();
  /** Ids of entries that accept no connections. */
  readonly unreachable = new Set<string>();
  /** Pairs `<caller id> <callee id>` between which connections and calls fail. */
  readonly brokenLinks = new Set<string>();
  /** Maintenance waves requested by operators, by number. */
  readonly waves = new Map<number, WaveRequest>();
  /** Delay of the platform's VM list, in ms. */
  listDelayMs = 0;
  /** Number of times the VM list was requested; a response shows the VMs at its request. */
  vmListRequests = 0;
  /** Minimum time between the orders of two owners for one VM, in ms, for entries started from now on. */
  holderGapMs = 100;
  /** Delay before an entry campaigns, in ms, for entries started from now on. */
  candidateDelayMs = 0;
  /** Time for which a task must have been at work before it no longer counts as away, in ms; scaled down like `holderGapMs`, so that waves take seconds. */
  noticeMs = 500;
  /** Time after which a crashed worker starts again as a new process with the same id, in ms; undefined if it stays down. */
  restartCrashedAfterMs: number | undefined;
  /** Time for which the status of an ended job is kept, in ms, for entries started from now on. */
  keepEndedMs = 60_000;
  /** Returns the platform's response to a maintenance order. */
  maintain: (vmId: string) => VmOrderOutcome = () => ({
    kind: "refused",
    reason: "busy",
  });
  /** Returns the platform's response to an order to move a VM. */
  move: (vmId: string) => VmOrderOutcome = () => ({
    kind: "refused",
    reason: "busy",
  });
  /** VMs without a worker, by ID. */
  readonly spareVms = new Map<string, VmInfo>();
  /** VMs that the list shows as being maintained. */
  readonly maintainedVms = new Set<string>();
  /** VM orders of all entries, in the order in which the platform got them. */
  readonly vmOrders: ReceivedVmOrder[] = [];
  #nextEntry = 1;
  #nextJob = 1;

  constructor(readonly random: Random) {
    this.store = new FakeRecordStore(random);
    this.workers = new FakeTaskWorkers(random, this.invariants);
    this.workers.onCrash = ({ registration: { workerId, bornAtMs } }) => {
      if (this.restartCrashedAfterMs === undefined) return;
      setTimeout(
        () => this.addWorker(Number(workerId.split("-")[1]), bornAtMs + 1),
        this.restartCrashedAfterMs,
      ).unref();
    };
  }

  /** Adds a worker and writes its registration to the store; `bornAtMs` distinguishes instances with the same id. */
  addWorker(index: number, bornAtMs = 1): void {
    const registration: WorkerRegistration = {
      workerId: `worker-${index}`,
      vmId: `vm-${index}`,
      service: QUEUE.service,
      address: "",
      dataCentre: "dc-1",
      state: "ready",
      capacity: VM_CAPACITY,
      labels: [],
      rack: `rack-${index % 3}`,
      bornAtMs,
      remainingMs: undefined,
    };
    this.workers.add(registration);
    this.store.write(
      `servers/${registration.workerId}`,
      JSON.stringify(registration),
    );
  }

  /** Adds a VM without a worker to the spare pool. */
  addSpareVm(index: number): void {
    this.spareVms.set(`vm-${index}`, {
      vmId: `vm-${index}`,
      pool: SPARE_POOL,
      state: "up",
      dataCentre: "dc-1",
      rack: `rack-${index % 3}`,
      capacity: VM_CAPACITY,
      workerId: undefined,
    });
  }

  /** Changes the CPU capacity of a running worker, in thousandths of a core; its registration says so. */
  setCapacity(index: number, cpuMillis: number): void {
    const worker = this.workers.workers.get(`worker-${index}`)!;
    worker.resize({ ...worker.registration.capacity, cpuMillis });
    this.store.write(
      `servers/${worker.registration.workerId}`,
      JSON.stringify(worker.registration),
    );
  }

  #listVms(): VmInfo[] {
    return [
      ...this.spareVms.values(),
      ...[...this.workers.workers.values()].map((
        { registration, alive },
      ): VmInfo => ({
        vmId: registration.vmId,
        pool: registration.service,
        state: this.maintainedVms.has(registration.vmId)
          ? "maintenance"
          : alive
          ? "up"
          : "down",
        dataCentre: registration.dataCentre,
        rack: registration.rack,
        capacity: registration.capacity,
        workerId: alive ? registration.workerId : undefined,
      })),
    ];
  }

  #createVmApi(): VmApi {
    return {
      list: () => {
        this.vmListRequests++;
        return delay(this.listDelayMs, this.#listVms());
      },
      move: (order) =>
        this.#receiveVmOrder("move", order, () => this.move(order.vmId)),
      startMaintenance: (order) =>
        this.#receiveVmOrder(
          "maintain",
          order,
          () => this.maintain(order.vmId),
        ),
    };
  }

  /** Carries out a VM order unless the VM has got one with a higher fence, which the platform checks for each VM. */
  #receiveVmOrder(
    kind: ReceivedVmOrder["kind"],
    { vmId, holder, fence }: VmOrderHolder & { readonly vmId: string },
    carryOut: () => VmOrderOutcome,
  ): Promise<VmOrderOutcome> {
    const receivedAtMs = performance.now();
    const fenced = this.vmOrders.some((earlier) =>
      earlier.vmId === vmId && earlier.fence > fence
    );
    this.vmOrders.push({ kind, vmId, holder, fence, fenced, receivedAtMs });
    return Promise.resolve(
      fenced ? { kind: "refused", reason: "fenced" } : carryOut(),
    );
  }

  /** Whether the entry at an address accepts connections; an unresponsive entry does. */
  async #probe(from: string, address: string): Promise<boolean> {
    await delay(CALL_LATENCY_MS);
    const entry = this.entries.find(({ id }) => peerAddressOf(id) === address);
    return entry !== undefined && !this.unreachable.has(entry.id) &&
      !this.brokenLinks.has(`${from} ${entry.id}`);
  }

  /** Creates a client for calls to another entry; dead and frozen entries don't respond. */
  #connect(
    from: string,
    address: string,
    isUp: () => boolean,
  ): EntryClient {
    const callEntry = async <T>(
      call: (handlers: PeerHandlers) => Promise<T> | T,
    ): Promise<T> => {
      await delay(CALL_LATENCY_MS);
      const entry = this.entries.find(({ id }) =>
        peerAddressOf(id) === address
      );
      if (
        !isUp() || entry === undefined || this.unresponsive.has(entry.id) ||
        this.unreachable.has(entry.id) ||
        this.brokenLinks.has(`${from} ${entry.id}`)
      ) {
        throw new EntryCallError(`${address} did not answer`, "no_answer");
      }
      return await call(createPeerHandlers({
        election: entry.election,
        store: this.store.client(entry.id),
        withdrawals: entry.withdrawals,
        health: entry.health,
        log: silentLogger,
        operator: { configItemAfter: () => undefined },
      }));
    };
    const callOwner = async <T>(
      call: (
        handlers: PeerHandlers,
      ) => Promise<OwnerReply<T>> | OwnerReply<T>,
    ): Promise<T> => {
      const reply = await callEntry<OwnerReply<T>>(call);
      if (reply.kind === "reply") return reply.value;
      throw new EntryCallError(`${address} is not the owner`, "not_owner");
    };
    return {
      isLocal: false,
      admit: (spec) => callOwner((handlers) => handlers.admit(spec)),
      configAfter: async (revision) =>
        await callEntry((handlers) => handlers.configAfter(revision)) ??
          undefined,
      accepted: (spec, revision) =>
        callOwner((handlers) => handlers.accepted(spec, revision)),
      submit: (spec) => callOwner((handlers) => handlers.submit(spec)),
      cancelled: async (jobId) =>
        void await callOwner((handlers) => handlers.cancelled(jobId)),
      cancel: (jobId) => callOwner((handlers) => handlers.cancel(jobId)),
      withdraw: (withdrawal) =>
        callOwner((handlers) => handlers.withdraw(withdrawal)),
      status: async (jobId, workspace) =>
        await callOwner((handlers) => handlers.status(jobId, workspace)) ??
          undefined,
      waitingJobs: (queue) =>
        callOwner((handlers) => handlers.waitingJobs(queue)),
      owner: async () =>
        await callEntry((handlers) => handlers.owner()) ?? undefined,
      replaceOwner: (epoch) =>
        callEntry((handlers) => handlers.replaceOwner(epoch)),
      reaches: (target) => callEntry((handlers) => handlers.reaches(target)),
      offerRelay: async (offer) =>
        void await callOwner((handlers) => handlers.offerRelay(offer)),
      close() {},
    };
  }

  /** Starts an entry; an explicit id restarts that entry as a new process on its VM. */
  startEntry(id = `entry-${this.#nextEntry++}`): ClusterEntry {
    const state = { up: true };
    const isUp = () => state.up;
    const freezePoint = new FreezePoint();
    const store = freezePoint.wrap("store", this.store.client(id));
    const health = createStoreHealth(systemClock);
    const withdrawals = createWithdrawals({ store });
    const election = createElection({
      store,
      records: recordCodec,
      control: freezePoint.wrap("workers", this.workers.client(isUp)),
      fleet: freezePoint.wrap("vms", this.#createVmApi()),
      advice: { advise: () => Promise.resolve(undefined) },
      entryId: id,
      self: { entryId: id, address: peerAddressOf(id) },
      dataCentre: "dc-1",
      seedPeers: ["entry-1", "entry-2", "entry-3"].map(peerAddressOf),
      connect: (address) =>
        freezePoint.wrap("peers", this.#connect(id, address, isUp)),
      probe: (address) => this.#probe(id, address),
      onStoreResponse: () => health.recordSuccess(),
      onStoreFailure: () => health.recordFailure(),
      clock: systemClock,
      log: silentLogger,
      random: () => this.random.next(),
      candidateDelayMs: this.candidateDelayMs,
      config: () => CONFIG,
      waves: () => this.waves,
      keepEndedMs: this.keepEndedMs,
      holderGapMs: this.holderGapMs,
      noticeMs: this.noticeMs,
    });
    const entry: ClusterEntry = {
      id,
      election,
      health,
      withdrawals,
      freezePoint,
      frontend: createJobFrontend({
        store,
        withdrawals,
        health,
        clock: systemClock,
        log: silentLogger,
        config: () => CONFIG,
        ownerClient: () => election.ownerClient(),
        onOwnerResponse() {},
        onOwnerUnresponsive: () => election.suspectOwner(),
        onOwnerChanged: () => election.discoverOwner(),
      }),
      get up() {
        return state.up;
      },
      set up(value) {
        state.up = value;
      },
      task: run(() => election.run()),
    };
    this.entries.push(entry);
    return entry;
  }

  /** Stops an entry as a power failure does: from now on it reaches neither the store nor the workers. */
  async killEntry(entry: ClusterEntry): Promise<void> {
    entry.up = false;
    this.store.faults.refusedClients.add(entry.id);
    this.unresponsive.delete(entry.id);
    this.unreachable.delete(entry.id);
    this.entries.splice(this.entries.indexOf(entry), 1);
    await entry.task.halt();
  }

  /** Stops an entry as a shutdown does: it may still tell others. */
  async stopEntry(entry: ClusterEntry): Promise<void> {
    await entry.task.halt();
    await this.killEntry(entry);
  }

  /** Returns the entry that is the owner, if there is one. */
  owner(): ClusterEntry | undefined {
    return this.entries.find(({ election }) =>
      election.localOwner() !== undefined
    );
  }

  /** Creates the specification of a job and registers it for the checks. */
  createSpec(
    jobId: string,
    steps: Partial<JobSpec["steps"][number]>[],
    schedule: JobSchedule = {},
  ): JobSpec {
    const spec = jobSpecSchema.parse({
      jobId,
      queue: QUEUE.name,
      service: QUEUE.service,
      maximumAttempts: QUEUE.maximumAttempts,
      specification: `work of ${jobId}`,
      steps,
      ...schedule,
      acceptedAtMs: Date.now(),
    });
    this.invariants.specs.set(jobId, spec);
    return spec;
  }

  /** Submits a job through random entries until one accepts it; returns its id. */
  async submit(
    steps: Partial<JobSpec["steps"][number]>[],
    schedule: JobSchedule = {},
  ): Promise<string> {
    const jobId = (this.#nextJob++).toString(16).padStart(16, "0");
    const spec = this.createSpec(jobId, steps, schedule);
    for (;;) {
      const entry = this.entries[this.random.nextInteger(this.entries.length)];
      if (entry === undefined) {
        await delay(20);
        continue;
      }
      const answer = await entry.frontend.submit(QUEUE, spec, {
        requestId: jobId,
        deadlineMs: performance.now() + 2_000,
      });
      if (answer.kind === "accepted") return jobId;
      await delay(20);
    }
  }

  /** Waits until the first entry reports that a job has a status. */
  async waitForStatus(jobId: string, expectedStatus: string): Promise<void> {
    await waitFor(`job ${jobId} is ${expectedStatus}`, async () => {
      const entry = this.entries[0];
      if (entry === undefined) return false;
      const answer = await entry.frontend.status(jobId, {
        requestId: "",
        deadlineMs: performance.now() + 1_000,
      });
      return answer.kind === "status" && answer.status === expectedStatus;
    }, { timeoutMs: 40_000 });
  }

  /** Kills all entries and closes the workers and the store. */
  async close(): Promise<void> {
    for (const entry of [...this.entries]) await this.killEntry(entry);
    this.workers.close();
    this.store.close();
  }
}
