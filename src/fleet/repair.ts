import { budgetShortage, evaluateAvailability } from "./availability.ts";
import {
  markServing,
  type PlanningContext,
  startDrain,
  type VmChange,
  type VmRecords,
} from "./planning_context.ts";
import { isLent, type VmRecord } from "./record.ts";

type VmWithId = [string, VmRecord];

/** Drains for moves are cancelled before those for maintenance, since moved VMs would be away for longer. */
function cancelPriority([, vm]: VmWithId): number {
  return vm.transition?.kind === "move" ? 0 : 1;
}

function createDecision(
  vmId: string,
  vm: VmRecord,
  options: { kind: string; shortage: number; action: string },
) {
  return {
    kind: options.kind,
    vmId,
    pools: [...new Set([vm.homePool, vm.pool])],
    summary: `${vmId} ${options.action} because ${vm.homePool} is short`,
    facts: { shortageVms: options.shortage },
    rejected: [],
  };
}

/** Repairs pools below their budget: cancels drains that are not complete, then recalls lent VMs at once. */
export function repairShortages(
  context: PlanningContext,
  vms: VmRecords,
): VmChange[] {
  const { pools, unreachable, nowMs } = context;
  const availability = evaluateAvailability({
    vms,
    pools: pools.values(),
    unreachable,
  });
  const changes: VmChange[] = [];
  for (const pool of pools.values()) {
    const counts = availability.get(pool.name);
    let missingVms = counts === undefined ? 0 : budgetShortage(counts);
    if (missingVms === 0) continue;
    const shortage = missingVms;
    const owned = Object.entries(vms).filter(([, vm]) =>
      vm.homePool === pool.name
    );
    const drainingVms = owned.filter(([, vm]) =>
      vm.state === "draining" && !isLent(vm)
    ).sort((a, b) => cancelPriority(a) - cancelPriority(b));
    for (const [vmId, vm] of drainingVms) {
      if (missingVms === 0) break;
      if (!unreachable.has(vmId)) missingVms--;
      const options = {
        kind: "cancel_drain",
        shortage,
        action: "serves on",
      };
      const decision = createDecision(vmId, vm, options);
      changes.push({ vmId, next: markServing(vm, { nowMs }), decision });
    }
    const lent = owned.filter(([, vm]) => isLent(vm));
    missingVms -= lent.filter(([, vm]) =>
      vm.transition?.kind === "return"
    ).length;
    for (const [vmId, vm] of lent) {
      if (missingVms <= 0) break;
      const isDrainingAway = vm.state === "draining" &&
        vm.transition?.kind !== "return";
      if (vm.state !== "serving" && !isDrainingAway) continue;
      if (!unreachable.has(vmId)) missingVms--;
      const reason = `${pool.name} is below its budget`;
      const next = startDrain(vm, {
        vmId,
        kind: "return",
        reason,
        targetPool: pool.name,
      }, context);
      const options = { kind: "recall", shortage, action: "returns at once" };
      const decision = createDecision(vmId, vm, options);
      changes.push({ vmId, next, decision });
    }
  }
  return changes;
}
