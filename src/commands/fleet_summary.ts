import type { PoolConfig, ResolvedConfig } from "../config/schema.ts";
import { evaluateAvailability } from "../fleet/availability.ts";
import { isMaintenanceDue, waveEndMs } from "../fleet/maintenance.ts";
import { type FleetRecord, isLent, type VmRecord } from "../fleet/record.ts";

/** Availability budget of a pool, evaluated against the fleet record. */
export interface PoolBudget {
  readonly pool: string;
  readonly team: string;
  readonly minimumServingVms: number;
  /** Number of the pool's own VMs that serve in the pool; only these count towards the budget. */
  readonly ownServingVms: number;
  /** Own serving VMs above the minimum; negative when the budget is broken. */
  readonly marginVms: number;
  readonly ownedVms: number;
  readonly lentVms: number;
  readonly borrowedVms: number;
  /** Number of own VMs that are in the pool but not serving, by state. */
  readonly missing: Readonly<Record<string, number>>;
}

/** Maintenance progress of a pool. */
export interface PoolWave {
  readonly pool: string;
  /** End of the current wave, as wall-clock time in ms; undefined before the first wave. */
  readonly endMs?: number;
  /** Number of owned VMs that the current wave has maintained. */
  readonly maintainedVms: number;
  /** Number of owned VMs that the current wave has not maintained yet. */
  readonly remainingVms: number;
  /** Ids of the VMs that are being maintained. */
  readonly inProgress: readonly string[];
}

/** A VM that is in, or is moving to, a pool that doesn't own it. */
export interface Loan {
  readonly vmId: string;
  readonly homePool: string;
  readonly pool: string;
  /** Pool that the VM is moving to; undefined while it isn't moving. */
  readonly targetPool?: string;
  readonly state: VmRecord["state"];
  readonly reason?: string;
}

function listRegionPools(
  record: FleetRecord,
  config: ResolvedConfig,
): PoolConfig[] {
  return config.pools.filter((pool) => pool.region === record.region);
}

/** Returns the budget of each pool of the record's region. */
export function summarizeBudgets(
  record: FleetRecord,
  config: ResolvedConfig,
): PoolBudget[] {
  const pools = listRegionPools(record, config);
  const vms = Object.values(record.vms);
  // Only the controller knows which agents don't answer, so no VM is counted as unreachable here.
  const availability = evaluateAvailability({
    vms: record.vms,
    pools,
    unreachable: new Set(),
  });
  return pools.map((pool) => {
    const ownServingVms = availability.get(pool.name)?.ownServing ?? 0;
    const { minimumServingVms } = pool.availability;
    const owned = vms.filter((vm) => vm.homePool === pool.name);
    const missing: Record<string, number> = {};
    for (const vm of owned) {
      if (isLent(vm) || vm.state === "serving") continue;
      missing[vm.state] = (missing[vm.state] ?? 0) + 1;
    }
    return {
      pool: pool.name,
      team: pool.team,
      minimumServingVms,
      ownServingVms,
      marginVms: ownServingVms - minimumServingVms,
      ownedVms: owned.length,
      lentVms: owned.filter(isLent).length,
      borrowedVms: vms.filter((vm) => vm.pool === pool.name && isLent(vm))
        .length,
      missing,
    };
  });
}

/** Returns the maintenance progress of each pool that owns VMs. */
export function summarizeWaves(
  record: FleetRecord,
  config: ResolvedConfig,
): PoolWave[] {
  const { maintenance } = record;
  const vms = Object.entries(record.vms);
  return listRegionPools(record, config).flatMap((pool) => {
    const owned = vms.filter(([, vm]) => vm.homePool === pool.name);
    if (owned.length === 0) return [];
    const started = maintenance.waves[pool.name] !== undefined;
    const maintainedVms = started
      ? owned.filter(([, vm]) => !isMaintenanceDue(vm, maintenance)).length
      : 0;
    return [{
      pool: pool.name,
      ...(started && { endMs: waveEndMs(pool, maintenance) }),
      maintainedVms,
      remainingVms: owned.length - maintainedVms,
      inProgress: owned
        .filter(([, vm]) => vm.transition?.kind === "maintain")
        .map(([vmId]) => vmId),
    }];
  });
}

/** Returns the VMs that are lent, or are moving to or from another pool. */
export function listLoans(record: FleetRecord): Loan[] {
  return Object.entries(record.vms).flatMap(([vmId, vm]) => {
    const { homePool, pool, state, transition } = vm;
    const moves = transition?.kind === "move" || transition?.kind === "return";
    if (!isLent(vm) && !moves) return [];
    const targetPool = moves ? transition.targetPool : undefined;
    return [{
      vmId,
      homePool,
      pool,
      state,
      ...(targetPool !== undefined && { targetPool }),
      ...(moves && { reason: transition.reason }),
    }];
  });
}
