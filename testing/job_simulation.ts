import { buildConfig, createVm, REGION } from "./fleet_simulation.ts";
import type { Store } from "../src/ports/store.ts";
import type { AppliedConfig, ResolvedConfig } from "../src/config/schema.ts";
import { PlatformError } from "../src/errors.ts";
import { createFleetRecord, type FleetRecord } from "../src/fleet/record.ts";
import { silentLogger } from "../src/logger.ts";
import { createObservable } from "../src/observable.ts";
import type { Vm } from "../src/ports/vm_list.ts";
import type { VmListSnapshot } from "../src/ports/vm_list_poller.ts";
import type {
  TaskSpec,
  TaskStatus,
  WorkerAgent,
} from "../src/ports/worker_agent.ts";
import {
  type FakeTask,
  type FakeWorker,
  type JobStatistics,
  parseTaskBehaviour,
  type WasteCause,
} from "./fake_worker.ts";
import { Dispatcher } from "../src/jobs/dispatcher.ts";
import { FencingTokenReader } from "../src/jobs/fencing.ts";
import {
  type LedgerAnswer,
  type LedgerCall,
  LedgerClient,
} from "../src/jobs/ledger_client.ts";
import { encodeLedgerMessage } from "../src/jobs/ledger_codec.ts";
import { LEDGER_SHARD } from "../src/jobs/quota_ledger.ts";
import { SchedulerState } from "../src/jobs/scheduler_state.ts";
import { parseTaskId } from "../src/jobs/task_id.ts";
import { WorkerReports } from "../src/jobs/worker_reports.ts";

/** Wall-clock time at which the monotonic clock shows 0, in ms. */
const MONOTONIC_ORIGIN_MS = 1_699_999_000_000;

/** Time for which a worker keeps reporting an ended task, in ms. */
const ENDED_TASK_RETENTION_MS = 120_000;

/** Options for `JobSimulation`. */
export interface JobSimulationOptions {
  readonly store: Store & { advance(ms: number): void };
  /** Number of identical workers in one pool; ignored if `vms` is set. */
  readonly workerCount: number;
  readonly vms?: readonly Vm[];
  readonly region?: string;
  readonly config?: ResolvedConfig;
  /** Age of the state that worker reports show, in ms. */
  readonly reportLagMs?: number;
  /** Runs before each agent call; throwing simulates a lost request. */
  readonly beforeCall?: (method: keyof WorkerAgent) => Promise<void> | void;
  /** Runs after each agent call; throwing simulates a lost response. */
  readonly afterCall?: () => void;
}

/** Pool of the simulated workers. */
export const POOL = "a";

const increment = <K>(counts: Map<K, number>, key: K, count = 1) =>
  counts.set(key, (counts.get(key) ?? 0) + count);

/** Simulates workers in memory with a manual clock, for tests and benchmarks of job scheduling. */
export class JobSimulation {
  readonly workers = new Map<string, FakeWorker>();
  /** Number of ledger calls and the bytes of their requests and responses. */
  readonly ledgerTraffic = { calls: 0, bytes: 0 };
  readonly statistics: JobStatistics = {
    starts: new Map(),
    successes: new Map(),
    firstStartMs: new Map(),
    stops: new Map(),
    wastedBy: new Map(),
    wastedCoreMs: 0,
    usedCoreMs: 0,
  };
  readonly agent: WorkerAgent;
  readonly config = createObservable<AppliedConfig | undefined>(undefined);
  readonly fleet = createObservable<FleetRecord | undefined>(undefined);
  readonly vmList = createObservable<VmListSnapshot | undefined>(undefined);
  /** Simulated wall-clock time, in ms. */
  nowMs = 1_700_000_000_000;
  readonly clock = {
    wallMs: () => this.nowMs,
    monotonicMs: () => this.nowMs - MONOTONIC_ORIGIN_MS,
  };
  #options: JobSimulationOptions;
  #region: string;
  /** Dispatchers of the ledger's shard, oldest first. */
  #ledgerDispatchers: Dispatcher[] = [];

  constructor(options: JobSimulationOptions) {
    this.#options = options;
    this.#region = options.region ?? REGION;
    const pools = [{
      name: POOL,
      vms: options.workerCount,
      minimumServingVms: Math.floor(options.workerCount * 0.7),
    }];
    const config = options.config ?? buildConfig(pools);
    this.config.set({
      revision: 1,
      applyId: "test",
      appliedAtMs: 0,
      digest: "",
      config,
    });
    const vms = options.vms ??
      Array.from(
        { length: options.workerCount },
        (_, index) => createVm(`w${index}`, index, POOL),
      );
    for (const vm of vms) {
      this.workers.set(vm.id, {
        vm: { ...vm },
        responding: true,
        failsTasks: false,
        highestFencingToken: 0,
        tasks: new Map(),
        reports: [],
      });
    }
    this.agent = this.#createAgent();
    this.publish();
  }

  /** Publishes the VM list and a fleet record in which workers serve unless `states` says otherwise. */
  publish(states: Record<string, "draining"> = {}): void {
    const vms = [...this.workers.values()].map(({ vm }) => vm);
    this.vmList.set({ vms, readAtMs: this.clock.monotonicMs() });
    const records = vms.map((vm) => {
      const { incarnation, dataCentre, rack } = vm;
      const pool = vm.pool!;
      const state = states[vm.id] ?? "serving" as const;
      return [vm.id, {
        pool,
        homePool: pool,
        state,
        incarnation,
        dataCentre,
        rack,
        changedAtMs: 0,
        maintainedAtMs: 0,
      }] as const;
    });
    this.fleet.set({
      ...createFleetRecord(this.#region),
      revision: (this.fleet.get()?.revision ?? 0) + 1,
      vms: Object.fromEntries(records),
    });
  }

  /** Creates the dispatchers of one entry, one per shard; `shared` gives a test access to their state. */
  createEntryDispatchers(
    holder: string,
    shards: readonly number[],
    shared: { schedulerState?: SchedulerState; reports?: WorkerReports } = {},
  ): Dispatcher[] {
    const { agent, clock, config, fleet, vmList } = this;
    const schedulerState = shared.schedulerState ?? new SchedulerState();
    const reports = shared.reports ?? new WorkerReports(agent, clock);
    const { store } = this.#options;
    const region = this.#region;
    const fencingTokens = new FencingTokenReader({ store, region, clock });
    const ledgerClient = new LedgerClient({
      entryId: holder,
      schedulerState,
      reports,
      clock,
      send: (call) => this.#callLedger(call),
    });
    return shards.map((shard) => {
      const dispatcher = new Dispatcher({
        shard,
        region,
        holder,
        store,
        fencingTokens,
        agent,
        config,
        fleet,
        vmList,
        reports,
        schedulerState,
        clock,
        log: silentLogger,
        ledgerClient,
      });
      if (shard === LEDGER_SHARD) this.#ledgerDispatchers.push(dispatcher);
      return dispatcher;
    });
  }

  /** Sends a ledger call to the dispatchers of the ledger's shard, newest first, until one handles it. */
  async #callLedger(call: LedgerCall): Promise<LedgerAnswer | undefined> {
    this.ledgerTraffic.calls++;
    this.ledgerTraffic.bytes += encodeLedgerMessage(call).length;
    for (const dispatcher of this.#ledgerDispatchers.toReversed()) {
      const answer = await dispatcher.handleLedgerCall(call);
      if (answer === undefined) continue;
      this.ledgerTraffic.bytes += encodeLedgerMessage(answer).length;
      return answer;
    }
    return undefined;
  }

  /** Advances the clock: tasks progress, and leases of tasks and of the store expire. */
  tick(ms: number): void {
    this.nowMs += ms;
    this.#options.store.advance(ms);
    for (const worker of this.workers.values()) {
      this.#runTasks(worker, ms);
      for (const [taskId, task] of worker.tasks) {
        const ended = task.state !== "running" && task.state !== "checkpointed";
        task.endedAtMs ??= ended ? this.nowMs : undefined;
        const retained =
          this.nowMs - (task.endedAtMs ?? this.nowMs) < ENDED_TASK_RETENTION_MS;
        if (!retained) worker.tasks.delete(taskId);
      }
      worker.reports.push({
        atMs: this.nowMs,
        tasks: this.#taskStatuses(worker),
      });
      const sinceMs = this.nowMs - (this.#options.reportLagMs ?? 0);
      while ((worker.reports[1]?.atMs ?? Infinity) <= sinceMs) {
        worker.reports.shift();
      }
    }
    this.vmList.set({
      ...this.vmList.get()!,
      readAtMs: this.clock.monotonicMs(),
    });
  }

  /** Replaces a worker's VM by one with the same id and a new incarnation; its tasks are lost. */
  replaceWorker(worker: FakeWorker): void {
    worker.vm = { ...worker.vm, incarnation: String(this.nowMs) };
    for (const task of worker.tasks.values()) {
      this.#recordWastedRun(task, "worker_replaced");
    }
    worker.tasks = new Map();
    worker.reports = [];
    worker.highestFencingToken = 0;
    this.publish();
  }

  /**
   * Runs a worker's tasks: they slow down if they need more cores than the VM has,
   * and the largest tasks fail while memory is exhausted.
   */
  #runTasks(worker: FakeWorker, ms: number): void {
    const running = [...worker.tasks.values()].filter((task) =>
      task.state === "running"
    );
    const usedCores = (task: FakeTask) =>
      Math.min(parseTaskBehaviour(task.spec).cores, task.cores);
    const sum = (amountOf: (task: FakeTask) => number) =>
      running.reduce((total, task) => total + amountOf(task), 0);
    const { cores, memoryMb } = worker.vm;
    const memoryOf = (task: FakeTask) => parseTaskBehaviour(task.spec).memoryMb;
    while (sum(memoryOf) > memoryMb) {
      running.sort((a, b) => memoryOf(a) - memoryOf(b));
      const largest = running.pop()!;
      largest.state = "failed";
      this.#recordWastedRun(largest, "memory_exhausted");
    }
    // Fraction of its usable cores that each task gets; below 1 if the tasks need more cores than the VM has.
    const coreShare = Math.min(1, cores / Math.max(1, sum(usedCores)));
    for (const task of running) {
      const speed = coreShare * usedCores(task) /
        parseTaskBehaviour(task.spec).cores;
      this.#advanceTask(worker, task, ms * speed);
    }
  }

  #advanceTask(worker: FakeWorker, task: FakeTask, progressMs: number): void {
    const { jobId } = parseTaskId(task.spec.taskId)!;
    const behaviour = parseTaskBehaviour(task.spec);
    task.leftMs -= progressMs;
    this.statistics.usedCoreMs += progressMs * behaviour.cores;
    if (this.nowMs >= task.leaseEndMs) {
      task.state = "stopped";
      this.#recordWastedRun(task, "lease_lapsed");
    } else if (task.leftMs <= 0 || worker.failsTasks) {
      const fails = behaviour.fails || worker.failsTasks;
      task.state = fails ? "failed" : "succeeded";
      const cause = worker.failsTasks ? "worker_fails" : "job_fails";
      if (fails) this.#recordWastedRun(task, cause);
      else increment(this.statistics.successes, jobId);
    }
  }

  #recordWastedRun(task: FakeTask, cause: WasteCause): void {
    increment(this.statistics.wastedBy, cause);
    const behaviour = parseTaskBehaviour(task.spec);
    const spentMs = behaviour.runMs - Math.max(0, task.leftMs);
    this.statistics.wastedCoreMs += spentMs * behaviour.cores;
  }

  #taskStatuses(worker: FakeWorker): TaskStatus[] {
    return [...worker.tasks].map(([taskId, { spec, state, cores }]) => {
      const behaviour = parseTaskBehaviour(spec);
      const running = state === "running";
      return {
        taskId,
        state,
        usedCores: running ? Math.min(behaviour.cores, cores) : 0,
        usedMemoryMb: running ? behaviour.memoryMb : 0,
      };
    });
  }

  #startTask(worker: FakeWorker, spec: TaskSpec): void {
    if (spec.fencingToken < worker.highestFencingToken) {
      throw new PlatformError("worker_agent", "The fencing token is outdated");
    }
    if (spec.incarnation !== worker.vm.incarnation) {
      throw new PlatformError("worker_agent", "The worker was replaced");
    }
    worker.highestFencingToken = spec.fencingToken;
    const existing = worker.tasks.get(spec.taskId);
    if (spec.mustExist && existing === undefined) {
      throw new PlatformError("worker_agent", "The task does not exist");
    }
    const leaseEndMs = this.nowMs + spec.leaseMs;
    if (existing !== undefined) {
      if (existing.state !== "running" && existing.state !== "checkpointed") {
        return;
      }
      existing.state = "running";
      existing.leaseEndMs = leaseEndMs;
      return;
    }
    const { jobId } = parseTaskId(spec.taskId)!;
    increment(this.statistics.starts, jobId);
    if (!this.statistics.firstStartMs.has(jobId)) {
      this.statistics.firstStartMs.set(jobId, this.nowMs);
    }
    worker.tasks.set(spec.taskId, {
      spec,
      state: "running",
      leaseEndMs,
      leftMs: parseTaskBehaviour(spec).runMs,
      cores: Infinity,
    });
  }

  #createAgent(): WorkerAgent {
    const call = async <T>(
      method: keyof WorkerAgent,
      id: string,
      run: (worker: FakeWorker) => T,
    ) => {
      await this.#options.beforeCall?.(method);
      const worker = this.workers.get(id);
      if (!worker?.responding) {
        throw new PlatformError("worker_agent", `Worker ${id} did not respond`);
      }
      const result = run(worker);
      this.#options.afterCall?.();
      return result;
    };
    const callTask = (
      method: keyof WorkerAgent,
      target: { id: string; taskId: string },
      run: (task: FakeTask) => void,
    ) =>
      call(method, target.id, (worker) => {
        const task = worker.tasks.get(target.taskId);
        if (task === undefined) {
          throw new PlatformError("worker_agent", "The task does not exist");
        }
        if (task.state === "running") run(task);
      });
    const doNothing = () => Promise.resolve();
    return {
      report: (id) =>
        call("report", id, ({ vm, reports }) => ({
          vmId: vm.id,
          incarnation: vm.incarnation,
          lastRebootIntentId: undefined,
          tasks: reports[0]?.tasks ?? [],
        })),
      runTask: (id, spec) =>
        call("runTask", id, (worker) => this.#startTask(worker, spec)),
      checkpointTask: (id, taskId) =>
        callTask("checkpointTask", { id, taskId }, (task) => {
          task.state = "checkpointed";
        }),
      throttleTask: (id, { taskId, cores }) =>
        callTask("throttleTask", { id, taskId }, (task) => {
          task.cores = cores;
        }),
      stopTask: (id, taskId) => {
        increment(this.statistics.stops, parseTaskId(taskId)!.jobId);
        return callTask("stopTask", { id, taskId }, (task) => {
          task.state = "stopped";
          this.#recordWastedRun(task, "stopped");
        });
      },
      drain: doNothing,
      reboot: doNothing,
    };
  }
}
