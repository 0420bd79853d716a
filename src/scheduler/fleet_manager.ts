import { type Operation, sleep, spawn } from "effection";
import { z } from "zod";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import type { Stopwatch } from "./stopwatch.ts";
import type { DemandForecast } from "./demand_forecast.ts";
import type { InstanceEnd } from "./crashes/instance_end.ts";
import type { Journal } from "./journal.ts";
import { parseRecord, type Tenure } from "./ownership.ts";
import { createPoolBalancer } from "./pool_balancer.ts";
import type {
  PlatformRecordCodec,
  RecordStore,
  SchedulerConfig,
  VmApi,
  VmInfo,
  WaveRequest,
} from "./ports.ts";
import { retryStoreRead } from "./retry_store_read.ts";
import { tasksOnVm, type WorkerInstance } from "./worker_table.ts";
import type { Scheduler } from "./scheduler.ts";
import { createVmOrders, VM_ORDER_PREFIX } from "./vm_orders.ts";
import { createVmStates } from "./vm_states.ts";
import { createWaveRunner } from "./wave_runner.ts";

/** Interval between decisions, in ms. */
const DECISION_INTERVAL_MS = 200;
/** Interval between decisions until the VM list has been read once, in ms. */
const FIRST_DECISION_INTERVAL_MS = 40;

const earlierOrderSchema = z.object({
  atMs: z.number(),
  wave: z.number().optional(),
});

/** Dependencies of the fleet manager. */
export interface FleetManagerOptions {
  readonly store: RecordStore;
  readonly records: PlatformRecordCodec;
  readonly fleet: VmApi;
  readonly tenure: Tenure;
  readonly entryId: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly scheduler: Scheduler;
  readonly journal: Journal;
  readonly storeContact: Stopwatch;
  readonly forecast: DemandForecast;
  readonly config: () => SchedulerConfig | undefined;
  readonly waves: () => ReadonlyMap<number, WaveRequest>;
  /** Whether this owner may still issue orders. */
  readonly mayOrder: () => boolean;
  /** Minimum time between the orders of two owners for one VM, in ms. */
  readonly holderGapMs: number;
  readonly removeInstance: (instance: WorkerInstance, end: InstanceEnd) => void;
  readonly onFenced: () => void;
  readonly onChange: () => void;
}

/** Moves VMs between pools, carries out maintenance waves and reads the VM list. */
export interface FleetManager {
  /** Whether the VM gets no new tasks because of a planned or ongoing move or maintenance. */
  isCordoned(vmId: string): boolean;
  /** Whether a pool's tasks need more VMs than the fleet has. */
  isScarce(pool: string): boolean;
  /** Counts the VMs that are on their way into each pool. */
  countArriving(): ReadonlyMap<string, number>;
  /** Returns the VMs in the latest VM list, by VM ID; empty until it has been read once. */
  vms(): ReadonlyMap<string, VmInfo>;
  /** Whether an order for the VM may end what runs there. */
  isVmEnding(vmId: string): boolean;
  /** Whether an order for its VM may have ended a worker instance. */
  wasOrdered(instance: WorkerInstance): boolean;
  /** Whether workers are expected to register after a move or maintenance of their VMs. */
  expectsWorkers(): boolean;
  run(): Operation<void>;
  /** Returns pool targets, orders and waves for the `/dump` endpoint. */
  describe(): unknown;
}

/** Creates the fleet manager for one tenure. */
export function createFleetManager(options: FleetManagerOptions): FleetManager {
  const orders = createVmOrders({
    ...options,
    holder: options.entryId,
    fence: options.tenure.epoch,
    mayTakeDown: (vmId) =>
      options.scheduler.disruptions.mayEnd(
        tasksOnVm(options.scheduler.workers, vmId),
        `order for ${vmId}`,
      ),
  });
  const vmStates = createVmStates({ ...options, orders });
  const waves = createWaveRunner({ ...options, vmStates });
  const balancer = createPoolBalancer({ ...options, vmStates });

  /** Loads the orders of earlier owners; the platform requires a minimum time between the orders of two owners. */
  function* loadEarlierOrders(): Operation<void> {
    const storedOrders = yield* retryStoreRead(
      () => options.store.list(VM_ORDER_PREFIX),
      options.log,
    );
    for (const item of storedOrders.items) {
      const { key } = item;
      const order = parseRecord(earlierOrderSchema, item);
      if (order === undefined) {
        options.log.error("invalid stored VM order record ignored", { key });
      }
      orders.recordEarlierOrder(
        key.slice(VM_ORDER_PREFIX.length),
        // An order at an unknown time may have been sent just now.
        order ?? { atMs: options.clock.wallMs() },
      );
    }
  }

  return {
    isCordoned: vmStates.isCordoned,
    isScarce: balancer.isScarce,
    countArriving: vmStates.countArriving,
    vms: vmStates.list,
    isVmEnding: (vmId) =>
      vmStates.isUnavailable(vmId) || vmStates.hasEarlierOrder(vmId),
    wasOrdered: ({ vmId, bornAtMs }) =>
      vmStates.isUnavailable(vmId) || orders.mayHaveEnded(vmId, bornAtMs),
    expectsWorkers: () => orders.active.size > 0 || vmStates.returning.size > 0,
    *run() {
      yield* waves.load(options.store);
      yield* loadEarlierOrders();
      yield* spawn(() => vmStates.run(waves.isActive));
      for (;;) {
        if (
          options.mayOrder() &&
          options.storeContact.elapsedMs() < options.holderGapMs
        ) {
          waves.advanceAll(options.waves());
          balancer.balance();
        }
        yield* sleep(
          vmStates.list().size === 0
            ? FIRST_DECISION_INTERVAL_MS
            : DECISION_INTERVAL_MS,
        );
      }
    },
    describe: () => ({
      targets: balancer.targets(),
      orders: Object.fromEntries(orders.active),
      returning: [...vmStates.returning.keys()],
      leaving: [...vmStates.cordonedForMove.keys()],
      waves: waves.describe(),
    }),
  };
}
