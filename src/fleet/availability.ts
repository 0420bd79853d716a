import type { PoolConfig } from "../config/schema.ts";
import { isLent, usesLendingBound, type VmRecord } from "./record.ts";

/** What a pool's budget is evaluated from. */
export interface PoolAvailability {
  readonly minimumServingVms: number;
  /** VMs owned by the pool that serve in it; only these count towards the budget. */
  ownServing: number;
  /** VMs that serve in the pool, borrowed ones included. */
  serving: number;
  /** VMs that are draining in order to come to the pool. */
  incoming: number;
  /** Owned VMs that are lent or draining to be lent. */
  lent: number;
  /** VMs in the pool that are draining or rebooting for maintenance. */
  inMaintenance: number;
}

/** What availability is evaluated on: one snapshot of the record. */
export interface AvailabilityInput {
  readonly vms: Readonly<Record<string, VmRecord>>;
  readonly pools: Iterable<PoolConfig>;
  /** VMs whose agent has not answered for `controller.unreachableAfterMs`; they count as missing. */
  readonly unreachable: ReadonlySet<string>;
}

/** Availability of each pool, by name. */
export type Availability = ReadonlyMap<string, PoolAvailability>;

/** Evaluates every pool on one snapshot. */
export function evaluateAvailability(input: AvailabilityInput): Availability {
  const pools = new Map<string, PoolAvailability>();
  for (const pool of input.pools) {
    pools.set(pool.name, {
      minimumServingVms: pool.availability.minimumServingVms,
      ownServing: 0,
      serving: 0,
      incoming: 0,
      lent: 0,
      inMaintenance: 0,
    });
  }
  for (const vmId in input.vms) {
    const vm = input.vms[vmId];
    if (vm === undefined) continue;
    const homePool = pools.get(vm.homePool);
    const currentPool = pools.get(vm.pool);
    if (vm.state === "serving" && !input.unreachable.has(vmId)) {
      if (currentPool !== undefined) currentPool.serving++;
      if (homePool !== undefined && !isLent(vm)) homePool.ownServing++;
    }
    if (homePool !== undefined && usesLendingBound(vm)) homePool.lent++;
    if (vm.transition === undefined) continue;
    if (vm.transition.kind === "maintain") {
      if (currentPool !== undefined && vm.state !== "failed") {
        currentPool.inMaintenance++;
      }
    } else if (vm.state === "draining") {
      const target = pools.get(vm.transition.targetPool ?? "");
      if (target !== undefined) target.incoming++;
    }
  }
  return pools;
}

/** VMs that the pool lacks to meet its budget. */
export function budgetShortage(pool: PoolAvailability): number {
  return Math.max(0, pool.minimumServingVms - pool.ownServing);
}

/** Whether the budget still holds after one more of the pool's serving VMs is taken. */
export function canTakeVm(pool: PoolAvailability): boolean {
  return pool.ownServing - 1 >= pool.minimumServingVms;
}

/** Counts a serving VM of the pool as taken, so that later decisions of the step see it. */
export function reserveVm(
  pool: PoolAvailability,
  use: "lent" | "inMaintenance",
): void {
  pool.ownServing--;
  pool.serving--;
  pool[use]++;
}
