import type { PoolConfig } from "../config/schema.ts";
import { canTakeVm, evaluateAvailability } from "./availability.ts";
import {
  type PlanningContext,
  settle,
  startDrain,
  type VmChange,
  type Vms,
} from "./planning_context.ts";
import type { VmRecord } from "./record.ts";

/** Owned VMs of each pool; VMs that the list no longer shows don't count. */
function countOwned(context: PlanningContext, vms: Vms): Map<string, number> {
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

/** Assigns live workers that no pool has yet: first to the labelled pool, then to pools short of VMs, then to the spare pool. */
export function assignNewVms(context: PlanningContext, vms: Vms): VmChange[] {
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
  pair: { vm: VmRecord; newHomePool: string },
  context: PlanningContext,
): VmRecord {
  const { vm, newHomePool } = pair;
  const reassigned = { ...vm, homePool: newHomePool };
  const inKnownPool = context.pools.has(vm.pool);
  const { transition } = vm;
  if (vm.pool === newHomePool) {
    delete reassigned.lentAtMs;
    const cancelsDrain = vm.state === "draining" &&
      transition?.kind !== "maintain";
    return cancelsDrain
      ? settle(reassigned, { nowMs: context.nowMs })
      : reassigned;
  }
  const isReturning = transition?.kind === "return" &&
    transition.targetPool === newHomePool;
  if (isReturning) return reassigned;
  if (vm.state === "serving" || vm.state === "draining") {
    const reason = inKnownPool
      ? `pool ${vm.homePool} was removed`
      : `pool ${vm.pool} was removed`;
    return startDrain(reassigned, {
      vmId,
      kind: "return",
      reason,
      targetPool: newHomePool,
    }, context);
  }
  // Other states carry no requests: the VM changes its pool at once.
  return inKnownPool ? reassigned : { ...reassigned, pool: newHomePool };
}

/** Gives VMs of removed pools a new owner and sends VMs that are in removed pools home. */
export function evacuateRemovedPools(
  context: PlanningContext,
  vms: Vms,
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
        changes.push({ vmId, next: settle(vm, { nowMs: context.nowMs }) });
      }
      continue;
    }
    // A reboot under way goes on undisturbed; the VM leaves when it serves again.
    if (vm.state === "rebooting") continue;
    counts ??= countOwned(context, vms);
    const keepsOwner = context.pools.has(vm.homePool);
    const newHomePool = keepsOwner
      ? vm.homePool
      : choosePool(vm.pool, pools, counts)?.name;
    if (newHomePool === undefined) continue;
    const next = evacuateVm(vmId, { vm, newHomePool }, context);
    const unchanged = next.transition === vm.transition &&
      next.homePool === vm.homePool && next.pool === vm.pool;
    if (unchanged) continue;
    if (!keepsOwner) {
      counts.set(newHomePool, (counts.get(newHomePool) ?? 0) + 1);
    }
    const summary = `${vmId} goes to ${newHomePool} because a pool was removed`;
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
  vms: Vms,
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
