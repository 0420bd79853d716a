import type { PoolConfig } from "../config/schema.ts";
import { countsAsLent, isLent, type VmRecord } from "./record.ts";

/** VM counts from which a pool's availability budget is evaluated. */
export interface PoolAvailability {
  readonly minimumServingVms: number;
  /** VMs owned by the pool that serve in it; only these count towards the budget. */
  ownServing: number;
  /** VMs that serve in the pool, borrowed ones included. */
  serving: number;
  /** VMs that are draining to move to the pool. */
  incoming: number;
  /** Owned VMs that are lent or draining to be lent. */
  lent: number;
  /** VMs in the pool that are draining or rebooting for maintenance. */
  inMaintenance: number;
}

/** Snapshot of the record from which availability is evaluated. */
export interface AvailabilityInput {
  readonly vms: Readonly<Record<string, VmRecord>>;
  readonly pools: Iterable<PoolConfig>;
  /** VMs whose agent has not responded for `controller.unreachableAfterMs`; they count as missing. */
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
    if (homePool !== undefined && countsAsLent(vm)) homePool.lent++;
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

/** Number of VMs that the pool lacks to meet its budget. */
export function budgetShortage(pool: PoolAvailability): number {
  return Math.max(0, pool.minimumServingVms - pool.ownServing);
}

/** Whether the budget is still met after one more serving VM is taken from the pool. */
export function canTakeVm(pool: PoolAvailability): boolean {
  return pool.ownServing - 1 >= pool.minimumServingVms;
}

/** Moves a serving VM of the pool to another use in the counts, so that later decisions of the step consider it. */
export function reserveVm(
  pool: PoolAvailability,
  use: "lent" | "inMaintenance",
): void {
  pool.ownServing--;
  pool.serving--;
  pool[use]++;
}
