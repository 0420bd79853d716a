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

function listRegionPools(record: FleetRecord, config: ResolvedConfig) {
  return config.pools.filter((pool) => pool.region === record.region);
}

function checkVm(vmId: string, vm: VmRecord): Violation[] {
  const { state, transition } = vm;
  const violations: Violation[] = [];
  const report = (detail: string) =>
    violations.push({ kind: "inconsistent_state", vmId, detail });
  if (
    (state === "draining" || state === "rebooting") && transition === undefined
  ) {
    report(`${state} without a transition`);
  }
  if (state === "serving" && transition !== undefined) {
    report("serving with a transition");
  }
  const changesPool = transition?.kind === "move" ||
    transition?.kind === "return";
  if (changesPool && transition.targetPool === undefined) {
    report(`${transition.kind} without a target pool`);
  }
  if (changesPool && state === "rebooting") report("rebooting for a move");
  return violations;
}

function checkPool(
  pool: PoolConfig,
  availability: Availability,
): Violation[] {
  const violations: Violation[] = [];
  const counts = availability.get(pool.name);
  if (counts === undefined) return violations;
  if (budgetShortage(counts) > 0) {
    violations.push({
      kind: "budget",
      pool: pool.name,
      serving: counts.ownServing,
      minimum: counts.minimumServingVms,
    });
  }
  if (counts.lent > pool.lending.maximumLentVms) {
    violations.push({
      kind: "lending_bound",
      pool: pool.name,
      lent: counts.lent,
      max: pool.lending.maximumLentVms,
    });
  }
  if (counts.inMaintenance > pool.maintenance.maximumConcurrentVms) {
    violations.push({
      kind: "maintenance_bound",
      pool: pool.name,
      vms: counts.inMaintenance,
      max: pool.maintenance.maximumConcurrentVms,
    });
  }
  return violations;
}

/** Returns every violation of a configuration's rules in the record, whatever the cause. */
export function checkRecord(
  record: FleetRecord,
  config: ResolvedConfig,
): Violation[] {
  const pools = listRegionPools(record, config);
  const names = new Set(pools.map((pool) => pool.name));
  const availability = evaluateAvailability({
    vms: record.vms,
    pools,
    unreachable: new Set(),
  });
  const violations: Violation[] = [];
  for (const [vmId, vm] of Object.entries(record.vms)) {
    for (const pool of new Set([vm.pool, vm.homePool])) {
      if (!names.has(pool)) {
        violations.push({ kind: "unknown_pool", vmId, pool });
      }
    }
    violations.push(...checkVm(vmId, vm));
  }
  for (const pool of pools) violations.push(...checkPool(pool, availability));
  return violations;
}

/** Finds the pools from which a write takes a VM that was serving, by reason. */
function findPoolsTakenFrom(before: FleetRecord, after: FleetRecord) {
  const lent = new Set<string>();
  const maintained = new Set<string>();
  const anyReason = new Set<string>();
  for (const [vmId, vm] of Object.entries(after.vms)) {
    const old = before.vms[vmId];
    if (vm.state !== "draining" && vm.state !== "rebooting") continue;
    if (old?.transition?.intentId === vm.transition?.intentId) continue;
    if (vm.transition?.kind === "maintain") maintained.add(vm.pool);
    if (vm.transition?.kind === "move") lent.add(vm.homePool);
    if (vm.pool === vm.homePool) anyReason.add(vm.homePool);
  }
  for (const [vmId, vm] of Object.entries(after.vms)) {
    const old = before.vms[vmId];
    const transferred = old !== undefined && old.homePool !== vm.homePool;
    if (transferred && old.state === "serving" && old.pool === old.homePool) {
      anyReason.add(old.homePool);
    }
  }
  return { lent, maintained, anyReason };
}

/** Returns the violations that a write causes by its own decisions, as opposed to failures that it only records. */
export function checkRecordChange(
  before: FleetRecord,
  after: FleetRecord,
  config: ResolvedConfig,
): Violation[] {
  const poolsTakenFrom = findPoolsTakenFrom(before, after);
  return checkRecord(after, config).filter((violation) => {
    switch (violation.kind) {
      case "budget":
        return poolsTakenFrom.anyReason.has(violation.pool);
      case "lending_bound":
        return poolsTakenFrom.lent.has(violation.pool);
      case "maintenance_bound":
        return poolsTakenFrom.maintained.has(violation.pool);
      case "unknown_pool": {
        const old = before.vms[violation.vmId];
        return old?.pool !== violation.pool && old?.homePool !== violation.pool;
      }
      case "inconsistent_state":
        return true;
    }
  });
}
