import {
  canTakeVm,
  evaluateAvailability,
  reserveVm,
} from "../../src/fleet/availability.ts";
import { completeTransitions } from "../../src/fleet/drain.ts";
import {
  collectPoolLoads,
  utilisation,
} from "../../src/fleet/lending_limits.ts";
import { type Plan, planFleet } from "../../src/fleet/plan.ts";
import {
  createPlanningContext,
  type PlanInput,
  type PlanningContext,
  startDrain,
} from "../../src/fleet/planning_context.ts";
import { isLent, type VmRecord } from "../../src/fleet/record.ts";

/** Utilisation above which the threshold strategy borrows VMs for a pool. */
const BORROW_ABOVE_UTILISATION = 0.8;
/** Utilisation of the borrowing pool below which the threshold strategy returns a VM. */
const RETURN_BELOW_UTILISATION = 0.5;

/** Planning strategy that the benchmark compares. */
export interface Strategy {
  readonly name: "static" | "static, overflow" | "threshold" | "policy";
  /** Whether pools serve the overflow of other pools. */
  readonly overflow: boolean;
  plan(input: PlanInput): Plan;
}

function returnByThreshold(
  context: PlanningContext,
  vms: Record<string, VmRecord>,
  loads: ReturnType<typeof collectPoolLoads>,
): void {
  for (const [vmId, vm] of Object.entries(vms)) {
    const borrower = loads.get(vm.pool);
    const owner = context.pools.get(vm.homePool);
    if (!isLent(vm) || vm.state !== "serving") continue;
    if (borrower === undefined || owner === undefined) continue;
    const stayMs = context.nowMs - (vm.lentAtMs ?? 0);
    if (stayMs < owner.lending.minimumStayMs) continue;
    if (utilisation(borrower) >= RETURN_BELOW_UTILISATION) continue;
    borrower.capacityVms--;
    vms[vmId] = startDrain(vm, {
      vmId,
      kind: "return",
      reason: "threshold",
      targetPool: vm.homePool,
    }, context);
  }
}

function lendByThreshold(
  context: PlanningContext,
  vms: Record<string, VmRecord>,
  loads: ReturnType<typeof collectPoolLoads>,
): void {
  for (const borrower of loads.values()) {
    while (utilisation(borrower) > BORROW_ABOVE_UTILISATION) {
      const lender = [...loads.values()].filter((load) =>
        load !== borrower && canTakeVm(load.counts) &&
        load.counts.lent < load.pool.lending.maximumLentVms &&
        load.lendingOpen &&
        utilisation(load, { addedVms: -1 }) < BORROW_ABOVE_UTILISATION
      ).sort((a, b) =>
        utilisation(a) - utilisation(b)
      )[0];
      const chosen = Object.entries(vms).find(([, vm]) =>
        vm.homePool === lender?.pool.name && !isLent(vm) &&
        vm.state === "serving"
      );
      if (lender === undefined || chosen === undefined) break;
      const [vmId, vm] = chosen;
      reserveVm(lender.counts, "lent");
      lender.capacityVms--;
      borrower.capacityVms++;
      vms[vmId] = startDrain(vm, {
        vmId,
        kind: "move",
        reason: "threshold",
        targetPool: borrower.pool.name,
      }, context);
    }
  }
}

/**
 * Lends VMs above `BORROW_ABOVE_UTILISATION` and returns them below `RETURN_BELOW_UTILISATION`, within
 * the lending bounds and the minimum stay of the configuration.
 */
function planByThreshold(input: PlanInput): Plan {
  const context = createPlanningContext(input);
  const vms = { ...input.record.vms };
  for (const { vmId, next } of completeTransitions(context, vms)) {
    if (next !== undefined) vms[vmId] = next;
  }
  const availability = evaluateAvailability({
    vms,
    pools: context.pools.values(),
    unreachable: context.unreachable,
  });
  const loads = collectPoolLoads(context, availability);
  // The threshold strategy only considers a pool's own utilisation.
  for (const load of loads.values()) load.overflowSlots = 0;
  returnByThreshold(context, vms, loads);
  lendByThreshold(context, vms, loads);
  return {
    kind: "changed",
    record: { ...input.record, revision: context.nextRevision, vms },
    decisions: [],
    refusedLoans: [],
  };
}

const planNothing = (): Plan => ({ kind: "unchanged", refusedLoans: [] });

/** Strategies that the benchmark compares. */
export const STRATEGIES: readonly Strategy[] = [
  { name: "static", overflow: false, plan: planNothing },
  { name: "static, overflow", overflow: true, plan: planNothing },
  { name: "threshold", overflow: true, plan: planByThreshold },
  { name: "policy", overflow: true, plan: planFleet },
];
