import { budgetShortage, evaluateAvailability } from "./availability.ts";
import {
  type PlanningContext,
  settle,
  startDrain,
  type VmChange,
  type Vms,
} from "./planning_context.ts";
import { isLent, type VmRecord } from "./record.ts";

type Entry = [string, VmRecord];

/** Moves out are undone before maintenance, since these VMs were going to be away for longer. */
function cancelOrder([, vm]: Entry): number {
  return vm.transition?.kind === "move" ? 0 : 1;
}

function describe(
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

/** Repairs pools below their budget: undoes drains that have not ended, then recalls loans at once. */
export function repairShortages(
  context: PlanningContext,
  vms: Vms,
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
    let missing = counts === undefined ? 0 : budgetShortage(counts);
    if (missing === 0) continue;
    const shortage = missing;
    const owned = Object.entries(vms).filter(([, vm]) =>
      vm.homePool === pool.name
    );
    const drains = owned.filter(([, vm]) =>
      vm.state === "draining" && !isLent(vm)
    ).sort((a, b) => cancelOrder(a) - cancelOrder(b));
    for (const [vmId, vm] of drains) {
      if (missing === 0) break;
      if (!unreachable.has(vmId)) missing--;
      const options = { kind: "cancel_drain", shortage, action: "serves on" };
      const decision = describe(vmId, vm, options);
      changes.push({ vmId, next: settle(vm, { nowMs }), decision });
    }
    const lent = owned.filter(([, vm]) => isLent(vm));
    missing -= lent.filter(([, vm]) => vm.transition?.kind === "return").length;
    for (const [vmId, vm] of lent) {
      if (missing <= 0) break;
      const drains = vm.state === "draining" &&
        vm.transition?.kind !== "return";
      if (vm.state !== "serving" && !drains) continue;
      if (!unreachable.has(vmId)) missing--;
      const reason = `${pool.name} is below its budget`;
      const next = startDrain(vm, {
        vmId,
        kind: "return",
        reason,
        targetPool: pool.name,
      }, context);
      const options = { kind: "recall", shortage, action: "returns at once" };
      const decision = describe(vmId, vm, options);
      changes.push({ vmId, next, decision });
    }
  }
  return changes;
}
