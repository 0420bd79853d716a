import * as assert from "uvu/assert";
import { parseFleetRecord } from "../src/fleet/follower.ts";
import { fleetKey, type VmRecord } from "../src/fleet/record.ts";
import { checkRecordChange } from "../src/fleet/record_check.ts";
import { createFakeStore } from "./fake_store.ts";
import {
  buildConfig,
  createFleetSimulation,
  type FleetSimulation,
  REGION,
  type TestPool,
} from "./fleet_simulation.ts";

/** A spare pool, from which other pools borrow first. */
export const SPARE: TestPool = {
  name: "spare",
  vms: 4,
  minimumServingVms: 1,
  maximumLentVms: 3,
  periodDays: 300,
  spare: true,
};
/** A pool whose VMs are all due for maintenance. */
export const SHOP_DUE: TestPool = {
  name: "shop",
  vms: 4,
  minimumServingVms: 2,
};
/** The pool `shop` with a maintenance period so long that its wave is never late. */
export const SHOP_NOT_DUE: TestPool = { ...SHOP_DUE, periodDays: 300 };

/** Creates a simulation of pools, applies their configuration and adds one controller. */
export function startSimulation(pools: readonly TestPool[]) {
  const store = createFakeStore();
  const world = createFleetSimulation({ store, pools });
  world.apply(buildConfig(pools));
  return { store, world, controller: world.addController("c1") };
}

/** Returns the ids of the VMs in the fleet record that match a predicate. */
export function findVms(
  world: FleetSimulation,
  predicate: (vm: VmRecord, id: string) => boolean,
): string[] {
  return Object.entries(world.record().vms).filter(([id, vm]) =>
    predicate(vm, id)
  ).map(([id]) => id);
}

/** Returns the ids of the VMs that the fleet record shows in a given state. */
export const vmsInState = (world: FleetSimulation, state: VmRecord["state"]) =>
  findVms(world, (vm) => vm.state === state);
/** Returns the ids of the borrowed VMs that serve in a pool. */
export const vmsLentTo = (world: FleetSimulation, pool: string) =>
  findVms(
    world,
    (vm) => vm.pool === pool && vm.homePool !== pool && vm.state === "serving",
  );
/** Returns the ids of the VMs that have been maintained. */
export const maintainedVms = (world: FleetSimulation) =>
  findVms(world, (vm) => vm.maintainedAtMs > 0);

/** Asserts that no write to the fleet record violates a rule by its own decisions, and that the simulation saw no violation. */
export function assertRecordChangesAllowed(world: FleetSimulation): void {
  const history = world.store.history(fleetKey(REGION)).map(({ value }) =>
    parseFleetRecord(value)
  );
  const config = world.config.get()?.config;
  for (const [index, after] of history.entries()) {
    const before = history[index - 1];
    if (before === undefined || config === undefined) continue;
    assert.equal(checkRecordChange(before, after, config), []);
  }
  assert.equal(world.violations, []);
}

/** Creates a simulation and runs it until the first VM drains. */
export async function startDrainingSimulation(
  pools: readonly TestPool[] = [SHOP_DUE],
) {
  const started = startSimulation(pools);
  const { world, controller } = started;
  await world.runUntil(
    controller,
    () => vmsInState(world, "draining").length > 0,
  );
  return started;
}
