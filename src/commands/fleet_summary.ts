import type { PoolConfig, ResolvedConfig } from "../config/schema.ts";
import type { FleetRecord, VmRecord } from "../fleet/record.ts";

/** Availability budget of one pool against the fleet record. */
export interface PoolBudget {
  readonly pool: string;
  readonly team: string;
  readonly minimumServingVms: number;
  /** The pool's own VMs that serve in it; only these count towards the budget. */
  readonly ownServingVms: number;
  /** Own serving VMs above the minimum; negative when the budget is broken. */
  readonly marginVms: number;
  readonly ownedVms: number;
  readonly lentVms: number;
  readonly borrowedVms: number;
  /** Own VMs that are in the pool and not serving, by state. */
  readonly missing: Readonly<Record<string, number>>;
}

/** Progress of one pool's maintenance. */
export interface PoolWave {
  readonly pool: string;
  readonly periodDays: number;
  /** VMs of the pool that were maintained within the last period. */
  readonly maintainedVms: number;
  readonly remainingVms: number;
  /** VMs that are being maintained. */
  readonly inProgress: readonly string[];
}

/** One VM that is in, or on its way to, a pool that doesn't own it. */
export interface Loan {
  readonly vmId: string;
  readonly homePool: string;
  readonly pool: string;
  /** Pool that the VM moves to, when it is moving. */
  readonly targetPool?: string;
  readonly state: VmRecord["state"];
  readonly reason?: string;
}

const DAY_MS = 86_400_000;

function summarizeBudget(pool: PoolConfig, vms: readonly VmRecord[]) {
  const owned = vms.filter((vm) => vm.homePool === pool.name);
  const atHome = owned.filter((vm) => vm.pool === pool.name);
  const missing: Record<string, number> = {};
  for (const vm of atHome) {
    if (vm.state !== "serving") {
      missing[vm.state] = (missing[vm.state] ?? 0) + 1;
    }
  }
  const ownServingVms = atHome.filter((vm) => vm.state === "serving").length;
  const { minimumServingVms } = pool.availability;
  return {
    pool: pool.name,
    team: pool.team,
    minimumServingVms,
    ownServingVms,
    marginVms: ownServingVms - minimumServingVms,
    ownedVms: owned.length,
    lentVms: owned.length - atHome.length,
    borrowedVms:
      vms.filter((vm) => vm.pool === pool.name && vm.homePool !== pool.name)
        .length,
    missing,
  };
}

function poolsOf(record: FleetRecord, config: ResolvedConfig) {
  return config.pools.filter((pool) => pool.region === record.region);
}

/** Returns the budget of each pool of the record's region. */
export function summarizeBudgets(
  record: FleetRecord,
  config: ResolvedConfig,
): PoolBudget[] {
  const vms = Object.values(record.vms);
  return poolsOf(record, config).map((pool) => summarizeBudget(pool, vms));
}

/** Returns the maintenance progress of each pool that owns VMs. */
export function summarizeWaves(
  record: FleetRecord,
  config: ResolvedConfig,
  nowMs: number,
): PoolWave[] {
  const vms = Object.entries(record.vms);
  return poolsOf(record, config).flatMap((pool) => {
    const owned = vms.filter(([, vm]) => vm.homePool === pool.name);
    if (owned.length === 0) return [];
    const { periodDays } = pool.maintenance;
    const sinceMs = nowMs - periodDays * DAY_MS;
    const maintainedVms = owned.filter(([, vm]) =>
      vm.maintainedAtMs > 0 && vm.maintainedAtMs >= sinceMs
    ).length;
    return [{
      pool: pool.name,
      periodDays,
      maintainedVms,
      remainingVms: owned.length - maintainedVms,
      inProgress: owned
        .filter(([, vm]) =>
          vm.transition?.kind === "maintain"
        )
        .map(([vmId]) => vmId),
    }];
  });
}

/** Returns the VMs that are lent, or on their way to or from another pool. */
export function listLoans(record: FleetRecord): Loan[] {
  return Object.entries(record.vms).flatMap(([vmId, vm]) => {
    const { homePool, pool, state, transition } = vm;
    const moves = transition?.kind === "move" || transition?.kind === "return";
    if (pool === homePool && !moves) return [];
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
