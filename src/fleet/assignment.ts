import type { PoolConfig } from "../config/schema.ts";
import { canTakeVm, evaluateAvailability } from "./availability.ts";
import {
  markServing,
  type PlanningContext,
  startDrain,
  type VmChange,
  type VmRecords,
} from "./planning_context.ts";
import type { VmRecord } from "./record.ts";

/** Counts the VMs that each pool owns; VMs that are absent from the VM list don't count. */
function countOwned(
  context: PlanningContext,
  vms: VmRecords,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const vmId in vms) {
    const vm = vms[vmId];
    if (vm === undefined || !context.listed.has(vmId)) continue;
    counts.set(vm.homePool, (counts.get(vm.homePool) ?? 0) + 1);
  }
  return counts;
}

function countMissingVms(
  pool: PoolConfig,
  counts: ReadonlyMap<string, number>,
) {
  return pool.vms - (counts.get(pool.name) ?? 0);
}

function choosePool(
  preferred: string | undefined,
  pools: readonly PoolConfig[],
  counts: ReadonlyMap<string, number>,
): PoolConfig | undefined {
  const preferredPool = pools.find((pool) => pool.name === preferred);
  if (
    preferredPool !== undefined && countMissingVms(preferredPool, counts) > 0
  ) return preferredPool;
  const mostMissing =
    pools.toSorted((a, b) =>
      countMissingVms(b, counts) - countMissingVms(a, counts)
    )[0];
  if (mostMissing !== undefined && countMissingVms(mostMissing, counts) > 0) {
    return mostMissing;
  }
  return pools.find((pool) => pool.spare) ?? preferredPool ?? mostMissing;
}

function createOwnershipChange(
  vmId: string,
  next: VmRecord,
  options: { kind: string; summary: string; missingVms: number },
): VmChange {
  return {
    vmId,
    next,
    decision: {
      kind: options.kind,
      vmId,
      pools: [next.homePool],
      summary: options.summary,
      facts: { lackingVms: options.missingVms },
      rejected: [],
    },
  };
}

/**
 * Assigns live workers without a pool: to the pool of their label if it lacks VMs, otherwise to the pool that lacks
 * most, otherwise to the spare pool.
 */
export function assignNewVms(
  context: PlanningContext,
  vms: VmRecords,
): VmChange[] {
  const unassigned = [...context.listed.values()].filter((vm) =>
    vm.role === "worker" && vm.state === "live" && vms[vm.id] === undefined
  );
  if (unassigned.length === 0) return [];
  const pools = [...context.pools.values()];
  const counts = countOwned(context, vms);
  const changes: VmChange[] = [];
  for (const vm of unassigned) {
    const pool = choosePool(vm.pool, pools, counts);
    if (pool === undefined) continue;
    const missingVms = countMissingVms(pool, counts);
    counts.set(pool.name, (counts.get(pool.name) ?? 0) + 1);
    const next: VmRecord = {
      pool: pool.name,
      homePool: pool.name,
      state: "serving",
      incarnation: vm.incarnation,
      dataCentre: vm.dataCentre,
      rack: vm.rack,
      changedAtMs: context.nowMs,
      maintainedAtMs: 0,
    };
    const summary = `${vm.id} assigned to ${pool.name}`;
    changes.push(
      createOwnershipChange(vm.id, next, {
        kind: "assign",
        summary,
        missingVms,
      }),
    );
  }
  return changes;
}

function evacuateVm(
  vmId: string,
  pair: { vm: VmRecord; newHome: string },
  context: PlanningContext,
): VmRecord {
  const { vm, newHome } = pair;
  const reassigned = { ...vm, homePool: newHome };
  const inKnownPool = context.pools.has(vm.pool);
  const { transition } = vm;
  if (vm.pool === newHome) {
    delete reassigned.lentAtMs;
    const cancelsDrain = vm.state === "draining" &&
      transition?.kind !== "maintain";
    return cancelsDrain
      ? markServing(reassigned, { nowMs: context.nowMs })
      : reassigned;
  }
  const isReturning = transition?.kind === "return" &&
    transition.targetPool === newHome;
  if (isReturning) return reassigned;
  if (vm.state === "serving" || vm.state === "draining") {
    const reason = inKnownPool
      ? `pool ${vm.homePool} was removed`
      : `pool ${vm.pool} was removed`;
    return startDrain(reassigned, {
      vmId,
      kind: "return",
      reason,
      targetPool: newHome,
    }, context);
  }
  // A VM in another state serves no requests, so it changes its pool at once.
  return inKnownPool ? reassigned : { ...reassigned, pool: newHome };
}

/** Gives VMs of removed pools a new owner and returns VMs that are lent to removed pools. */
export function evacuateRemovedPools(
  context: PlanningContext,
  vms: VmRecords,
): VmChange[] {
  const pools = [...context.pools.values()];
  if (pools.length === 0) return [];
  let counts: Map<string, number> | undefined;
  const changes: VmChange[] = [];
  for (const vmId in vms) {
    const vm = vms[vmId];
    if (vm === undefined) continue;
    const target = vm.transition?.targetPool;
    const isTargetRemoved = target !== undefined && !context.pools.has(target);
    if (context.pools.has(vm.homePool) && context.pools.has(vm.pool)) {
      if (isTargetRemoved && vm.state === "draining") {
        changes.push({ vmId, next: markServing(vm, { nowMs: context.nowMs }) });
      }
      continue;
    }
    // A running reboot isn't interrupted; the VM moves once it serves again.
    if (vm.state === "rebooting") continue;
    counts ??= countOwned(context, vms);
    const keepsOwner = context.pools.has(vm.homePool);
    const newHome = keepsOwner
      ? vm.homePool
      : choosePool(vm.pool, pools, counts)?.name;
    if (newHome === undefined) continue;
    const next = evacuateVm(vmId, { vm, newHome }, context);
    const unchanged = next.transition === vm.transition &&
      next.homePool === vm.homePool && next.pool === vm.pool;
    if (unchanged) continue;
    if (!keepsOwner) counts.set(newHome, (counts.get(newHome) ?? 0) + 1);
    const summary = `${vmId} goes to ${newHome} because a pool was removed`;
    changes.push(
      createOwnershipChange(vmId, next, {
        kind: "pool_removed",
        summary,
        missingVms: 0,
      }),
    );
  }
  return changes;
}

/** Transfers VMs from pools that own more than their configured number to pools that own fewer, within the budgets. */
export function transferOwnership(
  context: PlanningContext,
  vms: VmRecords,
): VmChange[] {
  const counts = countOwned(context, vms);
  const pools = [...context.pools.values()];
  const poolsWithDeficit = pools.filter((pool) =>
    countMissingVms(pool, counts) > 0
  );
  const poolsWithSurplus = pools.filter((pool) =>
    countMissingVms(pool, counts) < 0
  );
  if (poolsWithDeficit.length === 0 || poolsWithSurplus.length === 0) return [];
  const availability = evaluateAvailability({
    vms,
    pools,
    unreachable: context.unreachable,
  });
  const changes: VmChange[] = [];
  for (const [vmId, vm] of Object.entries(vms)) {
    const source = poolsWithSurplus.find((pool) => pool.name === vm.homePool);
    const target = poolsWithDeficit.find((pool) =>
      countMissingVms(pool, counts) > 0
    );
    const sourceCounts = availability.get(vm.homePool);
    if (target === undefined) break;
    if (source === undefined || sourceCounts === undefined) continue;
    const usable = vm.state === "serving" && vm.pool === vm.homePool &&
      !context.unreachable.has(vmId);
    if (
      !usable || countMissingVms(source, counts) >= 0 ||
      !canTakeVm(sourceCounts)
    ) continue;
    sourceCounts.ownServing--;
    const missingVms = countMissingVms(target, counts);
    counts.set(source.name, (counts.get(source.name) ?? 0) - 1);
    counts.set(target.name, (counts.get(target.name) ?? 0) + 1);
    const next = startDrain({ ...vm, homePool: target.name }, {
      vmId,
      kind: "return",
      reason: `${target.name} owns fewer VMs than configured`,
      targetPool: target.name,
    }, context);
    const summary = `${vmId} transferred from ${source.name} to ${target.name}`;
    changes.push(
      createOwnershipChange(vmId, next, {
        kind: "transfer",
        summary,
        missingVms,
      }),
    );
  }
  return changes;
}
