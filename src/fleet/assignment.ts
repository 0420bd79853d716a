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

function lackOf(pool: PoolConfig, counts: ReadonlyMap<string, number>) {
  return pool.vms - (counts.get(pool.name) ?? 0);
}

function choosePool(
  preferred: string | undefined,
  pools: readonly PoolConfig[],
  counts: ReadonlyMap<string, number>,
): PoolConfig | undefined {
  const wanted = pools.find((pool) => pool.name === preferred);
  if (wanted !== undefined && lackOf(wanted, counts) > 0) return wanted;
  const mostShort =
    pools.toSorted((a, b) => lackOf(b, counts) - lackOf(a, counts))[0];
  if (mostShort !== undefined && lackOf(mostShort, counts) > 0) {
    return mostShort;
  }
  return pools.find((pool) => pool.spare) ?? wanted ?? mostShort;
}

function ownershipChange(
  vmId: string,
  next: VmRecord,
  options: { kind: string; summary: string; lack: number },
): VmChange {
  return {
    vmId,
    next,
    decision: {
      kind: options.kind,
      vmId,
      pools: [next.homePool],
      summary: options.summary,
      facts: { lackingVms: options.lack },
      rejected: [],
    },
  };
}

/** Assigns live workers that no pool has yet: first to the labelled pool, then to pools short of VMs, then to the spare pool. */
export function assignNewVms(context: PlanningContext, vms: Vms): VmChange[] {
  const fresh = [...context.listed.values()].filter((vm) =>
    vm.role === "worker" && vm.state === "live" && vms[vm.id] === undefined
  );
  if (fresh.length === 0) return [];
  const pools = [...context.pools.values()];
  const counts = countOwned(context, vms);
  const changes: VmChange[] = [];
  for (const vm of fresh) {
    const pool = choosePool(vm.pool, pools, counts);
    if (pool === undefined) continue;
    const lack = lackOf(pool, counts);
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
      ownershipChange(vm.id, next, { kind: "assign", summary, lack }),
    );
  }
  return changes;
}

function leaveRemovedPool(
  vmId: string,
  pair: { vm: VmRecord; home: string },
  context: PlanningContext,
): VmRecord {
  const { vm, home } = pair;
  const owned = { ...vm, homePool: home };
  const inKnownPool = context.pools.has(vm.pool);
  const { transition } = vm;
  if (vm.pool === home) {
    delete owned.lentAtMs;
    const endsDrain = vm.state === "draining" &&
      transition?.kind !== "maintain";
    return endsDrain ? settle(owned, { nowMs: context.nowMs }) : owned;
  }
  const goesHome = transition?.kind === "return" &&
    transition.targetPool === home;
  if (goesHome) return owned;
  if (vm.state === "serving" || vm.state === "draining") {
    const reason = inKnownPool
      ? `pool ${vm.homePool} was removed`
      : `pool ${vm.pool} was removed`;
    return startDrain(owned, {
      vmId,
      kind: "return",
      reason,
      targetPool: home,
    }, context);
  }
  // Other states carry no requests: the VM changes its pool at once.
  return inKnownPool ? owned : { ...owned, pool: home };
}

/** Gives VMs of removed pools a new owner and sends VMs that are in removed pools home. */
export function leaveRemovedPools(
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
    const lostTarget = target !== undefined && !context.pools.has(target);
    if (context.pools.has(vm.homePool) && context.pools.has(vm.pool)) {
      if (lostTarget && vm.state === "draining") {
        changes.push({ vmId, next: settle(vm, { nowMs: context.nowMs }) });
      }
      continue;
    }
    // A reboot under way goes on undisturbed; the VM leaves when it serves again.
    if (vm.state === "rebooting") continue;
    counts ??= countOwned(context, vms);
    const keepsOwner = context.pools.has(vm.homePool);
    const home = keepsOwner
      ? vm.homePool
      : choosePool(vm.pool, pools, counts)?.name;
    if (home === undefined) continue;
    const next = leaveRemovedPool(vmId, { vm, home }, context);
    const unchanged = next.transition === vm.transition &&
      next.homePool === vm.homePool && next.pool === vm.pool;
    if (unchanged) continue;
    if (!keepsOwner) counts.set(home, (counts.get(home) ?? 0) + 1);
    const summary = `${vmId} goes to ${home} because a pool was removed`;
    changes.push(
      ownershipChange(vmId, next, { kind: "pool_removed", summary, lack: 0 }),
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
  const short = pools.filter((pool) => lackOf(pool, counts) > 0);
  const rich = pools.filter((pool) => lackOf(pool, counts) < 0);
  if (short.length === 0 || rich.length === 0) return [];
  const availability = evaluateAvailability({
    vms,
    pools,
    unreachable: context.unreachable,
  });
  const changes: VmChange[] = [];
  for (const [vmId, vm] of Object.entries(vms)) {
    const giver = rich.find((pool) => pool.name === vm.homePool);
    const taker = short.find((pool) => lackOf(pool, counts) > 0);
    const owned = availability.get(vm.homePool);
    if (taker === undefined) break;
    if (giver === undefined || owned === undefined) continue;
    const usable = vm.state === "serving" && vm.pool === vm.homePool &&
      !context.unreachable.has(vmId);
    if (!usable || lackOf(giver, counts) >= 0 || !canTakeVm(owned)) continue;
    owned.ownServing--;
    const lack = lackOf(taker, counts);
    counts.set(giver.name, (counts.get(giver.name) ?? 0) - 1);
    counts.set(taker.name, (counts.get(taker.name) ?? 0) + 1);
    const next = startDrain({ ...vm, homePool: taker.name }, {
      vmId,
      kind: "return",
      reason: `${taker.name} owns fewer VMs than configured`,
      targetPool: taker.name,
    }, context);
    const summary = `${vmId} transferred from ${giver.name} to ${taker.name}`;
    changes.push(
      ownershipChange(vmId, next, { kind: "transfer", summary, lack }),
    );
  }
  return changes;
}
