import type { PoolConfig, ResolvedConfig } from "../config/schema.ts";
import {
  type Availability,
  budgetShortage,
  evaluateAvailability,
} from "./availability.ts";
import type { FleetRecord, VmRecord } from "./record.ts";

/** A rule that a fleet record breaks. */
export type Violation =
  | { readonly kind: "unknown_pool"; vmId: string; pool: string }
  | { readonly kind: "inconsistent_state"; vmId: string; detail: string }
  | { readonly kind: "budget"; pool: string; serving: number; minimum: number }
  | { readonly kind: "lending_bound"; pool: string; lent: number; max: number }
  | {
    readonly kind: "maintenance_bound";
    pool: string;
    vms: number;
    max: number;
  };

function regionPools(record: FleetRecord, config: ResolvedConfig) {
  return config.pools.filter((pool) => pool.region === record.region);
}

function checkVm(vmId: string, vm: VmRecord): Violation[] {
  const { state, transition } = vm;
  const found: Violation[] = [];
  const report = (detail: string) =>
    found.push({ kind: "inconsistent_state", vmId, detail });
  if (
    (state === "draining" || state === "rebooting") && transition === undefined
  ) {
    report(`${state} without a transition`);
  }
  if (state === "serving" && transition !== undefined) {
    report("serving with a transition");
  }
  const moves = transition?.kind === "move" || transition?.kind === "return";
  if (moves && transition.targetPool === undefined) {
    report(`${transition.kind} without a target pool`);
  }
  if (moves && state === "rebooting") report("rebooting for a move");
  return found;
}

function checkPool(
  pool: PoolConfig,
  availability: Availability,
): Violation[] {
  const found: Violation[] = [];
  const counts = availability.get(pool.name);
  if (counts === undefined) return found;
  if (budgetShortage(counts) > 0) {
    found.push({
      kind: "budget",
      pool: pool.name,
      serving: counts.ownServing,
      minimum: counts.minimumServingVms,
    });
  }
  if (counts.lent > pool.lending.maximumLentVms) {
    found.push({
      kind: "lending_bound",
      pool: pool.name,
      lent: counts.lent,
      max: pool.lending.maximumLentVms,
    });
  }
  if (counts.inMaintenance > pool.maintenance.maximumConcurrentVms) {
    found.push({
      kind: "maintenance_bound",
      pool: pool.name,
      vms: counts.inMaintenance,
      max: pool.maintenance.maximumConcurrentVms,
    });
  }
  return found;
}

/** Returns every rule that the record breaks under a configuration, whatever the cause. */
export function checkRecord(
  record: FleetRecord,
  config: ResolvedConfig,
): Violation[] {
  const pools = regionPools(record, config);
  const names = new Set(pools.map((pool) => pool.name));
  const availability = evaluateAvailability({
    vms: record.vms,
    pools,
    unreachable: new Set(),
  });
  const found: Violation[] = [];
  for (const [vmId, vm] of Object.entries(record.vms)) {
    for (const pool of new Set([vm.pool, vm.homePool])) {
      if (!names.has(pool)) found.push({ kind: "unknown_pool", vmId, pool });
    }
    found.push(...checkVm(vmId, vm));
  }
  for (const pool of pools) found.push(...checkPool(pool, availability));
  return found;
}

/** Pools from which a write takes a VM that served until then, and why. */
function poolsTakenFrom(before: FleetRecord, after: FleetRecord) {
  const lent = new Set<string>();
  const maintained = new Set<string>();
  const any = new Set<string>();
  for (const [vmId, vm] of Object.entries(after.vms)) {
    const old = before.vms[vmId];
    if (vm.state !== "draining" && vm.state !== "rebooting") continue;
    if (old?.transition?.intentId === vm.transition?.intentId) continue;
    if (vm.transition?.kind === "maintain") maintained.add(vm.pool);
    if (vm.transition?.kind === "move") lent.add(vm.homePool);
    if (vm.pool === vm.homePool) any.add(vm.homePool);
  }
  for (const [vmId, vm] of Object.entries(after.vms)) {
    const old = before.vms[vmId];
    const transferred = old !== undefined && old.homePool !== vm.homePool;
    if (transferred && old.state === "serving" && old.pool === old.homePool) {
      any.add(old.homePool);
    }
  }
  return { lent, maintained, any };
}

/** Returns the rules that a write breaks by its own decisions, as opposed to failures that it only records. */
export function checkRecordChange(
  before: FleetRecord,
  after: FleetRecord,
  config: ResolvedConfig,
): Violation[] {
  const taken = poolsTakenFrom(before, after);
  return checkRecord(after, config).filter((violation) => {
    switch (violation.kind) {
      case "budget":
        return taken.any.has(violation.pool);
      case "lending_bound":
        return taken.lent.has(violation.pool);
      case "maintenance_bound":
        return taken.maintained.has(violation.pool);
      case "unknown_pool": {
        const old = before.vms[violation.vmId];
        return old?.pool !== violation.pool && old?.homePool !== violation.pool;
      }
      case "inconsistent_state":
        return true;
    }
  });
}
