import type { Clock } from "../src/clock.ts";
import type {
  AppliedConfig,
  ResolvedConfig,
  UserConfig,
} from "../src/config/schema.ts";
import { UNREACHABLE_AFTER_MS, WAVE_PAUSE_MS } from "../src/constants.ts";
import { configSchema } from "../src/config/schema.ts";
import { PlatformError } from "../src/errors.ts";
import {
  type Controller,
  type ControllerOptions,
  createController,
} from "../src/fleet/controller.ts";
import { parseFleetRecord } from "../src/fleet/follower.ts";
import {
  createFleetRecord,
  fleetKey,
  type FleetRecord,
} from "../src/fleet/record.ts";
import { silentLogger } from "../src/logger.ts";
import { createObservable, type MutableObservable } from "../src/observable.ts";
import type { EntryDigest } from "../src/peers/messages.ts";
import type { Vm } from "../src/ports/vm_list.ts";
import type { VmListSnapshot } from "../src/ports/vm_list_poller.ts";
import type { WorkerAgent } from "../src/ports/worker_agent.ts";
import type { FakeStore } from "./fake_store.ts";

/** Region of the simulated fleet. */
export const REGION = "north";
/** Duration of a simulated reboot, in ms. */
const REBOOT_MS = 60_000;

/** A pool of a test configuration; its service has the same name. */
export interface TestPool {
  readonly name: string;
  /** Number of VMs. */
  readonly vms: number;
  readonly minimumServingVms: number;
  readonly maximumLentVms?: number;
  /** Maximum number of VMs under maintenance at once; 1 by default. */
  readonly concurrentVms?: number;
  /** Maintenance period, in days; 0.1 by default. */
  readonly periodDays?: number;
  readonly order?: "rack" | "spread";
  readonly spare?: boolean;
}

/** Builds a configuration with one team and one service per pool. */
export function buildConfig(
  pools: readonly TestPool[],
  weights: { bufferCost: number; moves: number } = { bufferCost: 1, moves: 1 },
): ResolvedConfig {
  const config: UserConfig = {
    version: 1,
    weights,
    teams: pools.map(({ name }) => ({ name: `${name}-team` })),
    services: pools.map(({ name }) => ({ name })),
    pools: pools.map((pool) => ({
      name: pool.name,
      region: REGION,
      team: `${pool.name}-team`,
      services: [pool.name],
      vms: pool.vms,
      availability: { minimumServingVms: pool.minimumServingVms },
      lending: {
        maximumLentVms: pool.maximumLentVms ?? 0,
        minimumStayMs: 60_000,
      },
      maintenance: {
        periodDays: pool.periodDays ?? 0.1,
        order: pool.order ?? "rack",
        maximumConcurrentVms: pool.concurrentVms ?? 1,
      },
      spare: pool.spare ?? false,
    })),
  };
  return configSchema.parse(config);
}

/** A simulated worker and its agent. */
export interface SimulatedWorker {
  vm: Vm;
  /** Whether the agent responds to calls. */
  responding: boolean;
  lastRebootIntentId: string | undefined;
  /** Intent ids of all executed reboots. */
  readonly reboots: string[];
  /** Simulated time at which the latest reboot ends, in ms. */
  rebootEndMs: number;
}

/** A simulated entry. */
export interface SimulatedEntry {
  readonly id: string;
  /** False while the entry is frozen: it keeps its requests in flight and its outdated record. */
  followsRecord: boolean;
  /** False while the entry's digest doesn't reach the controllers although the VM list contains it. */
  digestArrives: boolean;
  /** The fleet record that the entry has adopted. */
  record: FleetRecord;
  /** Number of requests in flight by VM id. */
  readonly inFlight: Map<string, number>;
  /** The digest that the entry sends to the controllers. */
  digest: EntryDigest;
}

/** An in-memory fleet of workers, entries and controllers that share one store. */
export interface FleetSimulation {
  readonly store: FakeStore;
  readonly workers: Map<string, SimulatedWorker>;
  readonly entries: Map<string, SimulatedEntry>;
  /** Demand that entries report, in slots, by service. */
  readonly demandSlots: Map<string, number>;
  readonly workerAgent: WorkerAgent;
  readonly config: MutableObservable<AppliedConfig | undefined>;
  readonly vmList: MutableObservable<VmListSnapshot | undefined>;
  /** Platform rules that a controller violated, such as a reboot with requests in flight. */
  readonly violations: string[];
  /** Returns the simulated time, in ms. */
  nowMs(): number;
  /** Returns the latest fleet record in the store, or an empty one. */
  record(): FleetRecord;
  /** Applies a configuration under the next revision. */
  apply(config: ResolvedConfig): AppliedConfig;
  /** Creates a controller that competes for the lease as `holder`; it runs only when a test steps it. */
  addController(
    holder: string,
    overrides?: Partial<ControllerOptions>,
  ): Controller;
  /** Advances the clock: reboots end, entries adopt the latest record and finish requests. */
  tick(ms: number): void;
  /**
   * Advances the clock by 5 s and steps a controller until a condition holds.
   * Throws after `limit` steps, 500 by default.
   */
  runUntil(
    controller: Controller,
    condition: () => boolean,
    limit?: number,
  ): Promise<void>;
}

/** Creates a fleet with the workers of the pools, four to a rack, and `entryCount` entries, 2 by default. */
export function createFleetSimulation(options: {
  store: FakeStore;
  pools: readonly TestPool[];
  entryCount?: number;
}): FleetSimulation {
  const { store } = options;
  let nowMs = 1_700_000_000_000;
  const clock: Clock = { wallMs: () => nowMs, monotonicMs: () => nowMs };
  const workers = new Map<string, SimulatedWorker>();
  const entries = new Map<string, SimulatedEntry>();
  const demandSlots = new Map<string, number>();
  const violations: string[] = [];
  const config = createObservable<AppliedConfig | undefined>(undefined);
  const fleet = createObservable<FleetRecord | undefined>(undefined);
  const vmList = createObservable<VmListSnapshot | undefined>(undefined);
  const digests = createObservable<readonly EntryDigest[]>([]);

  const workerAgent = createWorkerAgent(workers, entries, violations, clock);
  let index = 0;
  for (const pool of options.pools) {
    for (let number = 1; number <= pool.vms; number++) {
      const vm = createVm(`${pool.name}-${number}`, index++, pool.name);
      workers.set(vm.id, {
        vm,
        responding: true,
        lastRebootIntentId: undefined,
        reboots: [],
        rebootEndMs: 0,
      });
    }
  }
  for (let number = 1; number <= (options.entryCount ?? 2); number++) {
    const id = `entry-${number}`;
    const record = createFleetRecord(REGION);
    entries.set(id, {
      id,
      followsRecord: true,
      digestArrives: true,
      record,
      inFlight: new Map(),
      digest: createDigest(id, record, new Map(), demandSlots),
    });
  }

  function record(): FleetRecord {
    const stored = store.history(fleetKey(REGION)).at(-1);
    return stored === undefined
      ? createFleetRecord(REGION)
      : parseFleetRecord(stored.value);
  }

  function publish(): void {
    const vms = [...workers.values()].map((worker) => worker.vm);
    for (const { id } of entries.values()) {
      vms.push({ ...createVm(id, 0, ""), role: "entry" });
    }
    vmList.set({ vms, readAtMs: nowMs });
    digests.set(
      [...entries.values()].filter((entry) => entry.digestArrives)
        .map((entry) => entry.digest),
    );
  }

  function followRecord(entry: SimulatedEntry, current: FleetRecord): void {
    entry.record = current;
    for (const [vmId, count] of entry.inFlight) {
      const serving = current.vms[vmId]?.state === "serving";
      entry.inFlight.set(vmId, serving ? count : Math.max(0, count - 1));
    }
    entry.digest = createDigest(
      entry.id,
      current,
      new Map(entry.inFlight),
      demandSlots,
    );
  }

  function tick(ms: number): void {
    nowMs += ms;
    store.advance(ms);
    const current = record();
    fleet.set(current);
    for (const entry of entries.values()) {
      if (entry.followsRecord) followRecord(entry, current);
    }
    publish();
  }

  publish();
  const world: FleetSimulation = {
    store,
    workers,
    entries,
    demandSlots,
    workerAgent,
    config,
    vmList,
    violations,
    nowMs: () => nowMs,
    record,
    tick,
    apply(next) {
      const applied: AppliedConfig = {
        revision: (config.get()?.revision ?? 0) + 1,
        applyId: "test",
        appliedAtMs: nowMs,
        digest: "",
        config: next,
      };
      config.set(applied);
      return applied;
    },
    addController: (holder, overrides = {}) =>
      createController({
        holder,
        region: REGION,
        store,
        config,
        fleet,
        storedRevision: createObservable<number | undefined>(undefined),
        vmList,
        entries: digests,
        workerAgent,
        timing: {
          unreachableAfterMs: UNREACHABLE_AFTER_MS,
          wavePauseMs: WAVE_PAUSE_MS,
        },
        readAssignedTasks: () => Promise.resolve(new Map()),
        clock,
        log: silentLogger,
        ...overrides,
      }),
    async runUntil(controller, condition, limit = 500) {
      for (let step = 0; step < limit; step++) {
        if (condition()) return;
        tick(5_000);
        await controller.step().catch(() => {});
      }
      throw new Error(`the condition did not hold within ${limit} steps`);
    },
  };
  return world;
}

/** Creates a worker for the VM list; racks hold four VMs and are spread across three data centres. */
export function createVm(id: string, index: number, pool: string): Vm {
  const dataCentre = `dc-${index % 3}`;
  return {
    id,
    role: "worker",
    state: "live",
    incarnation: "1",
    region: REGION,
    dataCentre,
    rack: `${dataCentre}-rack-${Math.floor(index / 12)}`,
    address: id,
    controlAddress: id,
    pool,
    cores: 16,
    memoryMb: 65_536,
    accelerators: 0,
  };
}

/** Creates the digest of an entry that has adopted a record. */
export function createDigest(
  entryId: string,
  record: FleetRecord,
  inFlight: ReadonlyMap<string, number>,
  demandSlots: ReadonlyMap<string, number>,
): EntryDigest {
  const draining = [...inFlight].filter(([vmId]) =>
    record.vms[vmId]?.state !== "serving"
  );
  const services = [...demandSlots].map(([service, slots]) =>
    [service, { inFlight: 0, waiting: 0, demandSlots: slots }] as const
  );
  return {
    entryId,
    incarnation: "1",
    sequence: 1,
    region: REGION,
    peerAddress: entryId,
    callerAddress: entryId,
    ready: true,
    stopping: false,
    configRevision: 0,
    fleetRevision: record.revision,
    services: Object.fromEntries(services),
    drainingInFlight: Object.fromEntries(draining),
    leavingVms: [],
  };
}

function createWorkerAgent(
  workers: ReadonlyMap<string, SimulatedWorker>,
  entries: ReadonlyMap<string, SimulatedEntry>,
  violations: string[],
  clock: Clock,
): WorkerAgent {
  const findRespondingWorker = (address: string): SimulatedWorker => {
    const worker = workers.get(address);
    const responds = worker?.responding &&
      clock.monotonicMs() >= worker.rebootEndMs;
    if (worker === undefined || !responds) {
      throw new PlatformError(
        "worker_agent",
        `Worker ${address} did not respond`,
      );
    }
    return worker;
  };
  const callWorker = <T>(
    address: string,
    run: (worker: SimulatedWorker) => T,
  ) => Promise.resolve().then(() => run(findRespondingWorker(address)));
  const doNothing = () => Promise.resolve();
  return {
    report: (address) =>
      callWorker(address, ({ vm, lastRebootIntentId }) => ({
        vmId: vm.id,
        incarnation: vm.incarnation,
        lastRebootIntentId,
        tasks: [],
      })),
    runTask: doNothing,
    checkpointTask: doNothing,
    throttleTask: doNothing,
    stopTask: doNothing,
    drain: (address) => callWorker(address, () => {}),
    reboot: (address, intentId) =>
      callWorker(address, (worker) => {
        if (worker.reboots.includes(intentId)) return;
        worker.reboots.push(intentId);
        worker.lastRebootIntentId = intentId;
        worker.rebootEndMs = clock.monotonicMs() + REBOOT_MS;
        for (const entry of entries.values()) {
          const count = entry.inFlight.get(address) ?? 0;
          if (count > 0) {
            violations.push(
              `${address} rebooted with ${count} request(s) of ${entry.id} in flight`,
            );
          }
        }
      }),
  };
}
