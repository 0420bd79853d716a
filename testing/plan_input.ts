import { WAVE_PAUSE_MS } from "../src/constants.ts";
import type { ResolvedConfig } from "../src/config/schema.ts";
import { BUCKETS_PER_DAY, createDemandState } from "../src/fleet/demand.ts";
import type { PlanInput, WorkerView } from "../src/fleet/planning_context.ts";
import { createFleetRecord, type FleetRecord } from "../src/fleet/record.ts";
import {
  buildConfig,
  createDigest,
  createVm,
  REGION,
  type TestPool,
} from "./fleet_simulation.ts";

/** Wall-clock time of the planning step, noon, in ms. */
export const NOW_MS = Date.UTC(2026, 0, 7, 12, 0);
/** A responding worker without tasks. */
export const IDLE_WORKER: WorkerView = {
  reachable: true,
  responding: true,
  lastRebootIntentId: undefined,
  runningTasks: 0,
};
/** A pool that may lend up to half of its VMs. */
export const LENDER: TestPool = {
  name: "owner",
  vms: 8,
  minimumServingVms: 2,
  maximumLentVms: 4,
  periodDays: 300,
};
/** A pool that lends no VMs. */
export const BORROWER: TestPool = {
  ...LENDER,
  name: "taker",
  maximumLentVms: 0,
};

/** Creates an input in which all VMs serve in their home pools and no maintenance is due. */
export function createPlanInput(
  pools: readonly TestPool[],
  config: ResolvedConfig = buildConfig(pools),
): PlanInput {
  const names = pools.flatMap(({ name, vms }) =>
    Array.from({ length: vms }, (_, index) => [name, `${name}-${index}`])
  );
  const vms = names.map(([pool = "", id = ""], index) =>
    createVm(id, index, pool)
  );
  const waves = Object.fromEntries(pools.map(({ name }) => [name, NOW_MS - 1]));
  const record: FleetRecord = {
    ...createFleetRecord(REGION),
    revision: 1,
    maintenance: { waves, late: {} },
    vms: Object.fromEntries(vms.map((vm) => [vm.id, {
      pool: vm.pool ?? "",
      homePool: vm.pool ?? "",
      state: "serving",
      incarnation: vm.incarnation,
      dataCentre: vm.dataCentre,
      rack: vm.rack,
      changedAtMs: NOW_MS - 1,
      maintainedAtMs: NOW_MS,
    }])),
  };
  return {
    record,
    config,
    configRevision: 1,
    vms,
    entries: [createDigest("entry-1", record, new Map(), new Map())],
    workers: new Map(vms.map((vm) => [vm.id, IDLE_WORKER])),
    demand: createDemandState(),
    newDrainsBlocked: false,
    wavePauseMs: WAVE_PAUSE_MS,
    nowMs: NOW_MS,
  };
}

/**
 * Returns the input with a demand for each pool, in slots.
 * `nextUsualSlots` sets a different historical demand from the next bucket of the day on.
 */
export function withDemand(
  input: PlanInput,
  demands: Record<string, { slots: number; nextUsualSlots?: number }>,
): PlanInput {
  const pools = Object.entries(demands).map(([
    pool,
    { slots, nextUsualSlots = slots },
  ]) => [
    pool,
    {
      levelSlots: slots,
      bucket: 0,
      bucketPeakSlots: slots,
      // The historical demand equals the current one up to bucket 48, which contains noon, and differs after it.
      history: Array<number | null>(BUCKETS_PER_DAY).fill(slots)
        .fill(nextUsualSlots, 49),
    },
  ]);
  const demand = { ...input.demand, coverage: 1 };
  return { ...input, demand: { ...demand, pools: Object.fromEntries(pools) } };
}
