import { canTakeVm, evaluateAvailability, reserveVm } from "./availability.ts";
import { expectedPeakSlots } from "./demand.ts";
import { isWindowOpen } from "../config/daily_window.ts";
import {
  collectPoolLoads,
  type LendingLimits,
  type PoolLoad,
  resolveLendingLimits,
  RETURN_LEAD_MS,
  utilisation,
} from "./lending_limits.ts";
import { isMaintenanceDue, waveEndMs } from "./maintenance.ts";
import {
  type DecisionDraft,
  type PlanningContext,
  startDrain,
  type VmChange,
  type VmRecords,
} from "./planning_context.ts";
import { describeRefusedLoan, type LoanNeed } from "./loan_refusals.ts";
import { isLent, type MaintenanceState, type VmRecord } from "./record.ts";

/** Share of a wave's period, at its end, in which lent VMs are recalled for maintenance. */
const MAINTENANCE_RECALL_SHARE = 0.2;
/** Share of the listed entries that must report before loans are based on demand. */
const MINIMUM_COVERAGE = 0.5;

interface LendingStep {
  readonly context: PlanningContext;
  readonly maintenance: MaintenanceState;
  readonly loads: ReadonlyMap<string, PoolLoad>;
  readonly limits: LendingLimits;
  /** Reachable VMs that serve in their home pool, by pool. */
  readonly homeVms: ReadonlyMap<string, [string, VmRecord][]>;
  readonly changes: VmChange[];
  readonly refusals: DecisionDraft[];
}

/** Result of the lending stage. */
export interface LendingPlan {
  readonly changes: readonly VmChange[];
  /** Requests for VMs that no pool granted; repeated in each step while the shortage lasts. */
  readonly refusals: readonly DecisionDraft[];
}

function createFacts(loads: readonly PoolLoad[]): DecisionDraft["facts"] {
  const facts: Record<string, string | number | boolean> = {};
  for (const load of loads) {
    const { name } = load.pool;
    facts[`${name}.levelSlots`] = Math.round(load.levelSlots * 10) / 10;
    facts[`${name}.capacityVms`] = load.capacityVms;
  }
  return facts;
}

function isMaintenanceUrgent(vm: VmRecord, step: LendingStep): boolean {
  const pool = step.context.pools.get(vm.homePool);
  if (pool === undefined || !isMaintenanceDue(vm, step.maintenance)) {
    return false;
  }
  const endMs = waveEndMs(pool, step.maintenance);
  const periodMs = endMs - (step.maintenance.waves[pool.name] ?? 0);
  return endMs - step.context.nowMs < periodMs * MAINTENANCE_RECALL_SHARE;
}

/** Returns why a loan ends; undefined while it continues. */
function findReturnReason(
  vm: VmRecord,
  pair: { owner: PoolLoad; borrower: PoolLoad },
  step: LendingStep,
): string | undefined {
  const { owner, borrower } = pair;
  const { limits, context } = step;
  // Only the owner's budget may put the borrower below its own budget; repairShortages handles that case.
  if (borrower.counts.serving <= borrower.counts.minimumServingVms) {
    return undefined;
  }
  if (owner.counts.lent > owner.pool.lending.maximumLentVms) {
    return "more VMs are lent than the configuration allows";
  }
  if (!owner.lendingOpen) return "the lending window is closed";
  if (isMaintenanceUrgent(vm, step)) return "maintenance is due";
  const stayMs = context.nowMs - (vm.lentAtMs ?? 0);
  if (stayMs < owner.pool.lending.minimumStayMs) return undefined;
  if (utilisation(owner) > limits.reclaimAbove) return "the owner needs it";
  if (utilisation(owner, { expected: true }) > limits.reclaimAbove) {
    return "the owner's expected surge is near";
  }
  const isUnneeded = utilisation(borrower, { addedVms: -1, expected: true }) <
    limits.returnBelow;
  return isUnneeded ? "the borrower no longer needs it" : undefined;
}

function planReturns(step: LendingStep, vms: VmRecords): void {
  const { context, loads } = step;
  for (const vmId in vms) {
    const vm = vms[vmId];
    if (vm === undefined || !isLent(vm) || vm.state !== "serving") continue;
    const owner = loads.get(vm.homePool);
    const borrower = loads.get(vm.pool);
    if (owner === undefined || borrower === undefined) continue;
    const reason = findReturnReason(vm, { owner, borrower }, step);
    if (reason === undefined) continue;
    const facts = createFacts([owner, borrower]);
    owner.counts.lent--;
    owner.capacityVms++;
    borrower.capacityVms--;
    borrower.counts.serving--;
    step.changes.push({
      vmId,
      next: startDrain(vm, {
        vmId,
        kind: "return",
        reason,
        targetPool: vm.homePool,
      }, context),
      decision: {
        kind: "return",
        vmId,
        pools: [vm.homePool, vm.pool],
        summary: `${vmId} returns from ${vm.pool}: ${reason}`,
        facts,
        rejected: [],
      },
    });
  }
}

/** Returns why a pool can't lend now; undefined if it can. Demand is ignored without a borrower. */
function findRefusalReason(
  lender: PoolLoad,
  step: LendingStep,
  borrower: PoolLoad | undefined,
): string | undefined {
  const { pool, counts } = lender;
  const { nowMs } = step.context;
  const { maximumLentVms, minimumStayMs } = pool.lending;
  if (counts.lent >= maximumLentVms) return "its lending bound is reached";
  if (!lender.lendingOpen) return "its lending window is closed";
  const horizonMs = minimumStayMs + RETURN_LEAD_MS;
  if (!isWindowOpen(pool.lending.windows, nowMs + horizonMs)) {
    return "its lending window closes within the minimum stay";
  }
  if (!canTakeVm(counts)) return "its budget leaves no VM";
  if (borrower === undefined) return undefined;
  return findDemandRefusalReason(lender, step, { borrower, horizonMs });
}

/** Returns why a pool's own current or expected demand rules out a loan. */
function findDemandRefusalReason(
  lender: PoolLoad,
  step: LendingStep,
  { borrower, horizonMs }: { borrower: PoolLoad; horizonMs: number },
): string | undefined {
  const { demand, nowMs } = step.context;
  const { lendBelow, reclaimAbove, minimumGain } = step.limits;
  const slots = (lender.capacityVms - 1) * lender.slotsPerVm;
  const peak = expectedPeakSlots(demand, lender.pool.name, {
    fromMs: nowMs,
    forMs: horizonMs,
  });
  const currentUtilisation = lender.levelSlots / slots;
  const expectedUtilisation = Math.max(peak, lender.levelSlots) / slots;
  if (currentUtilisation > reclaimAbove) return "its own demand needs the VM";
  if (currentUtilisation > lendBelow) {
    return "its own demand is close to where it would call the VM back (hysteresis)";
  }
  if (expectedUtilisation > lendBelow) return "its expected surge needs the VM";
  if (utilisation(borrower) - expectedUtilisation < minimumGain) {
    return "it would be almost as busy as the borrower, which the weights don't allow";
  }
  return undefined;
}

/** Chooses the VM to lend: without due maintenance if possible, then from the rack with most of the lender's VMs, then the one unchanged for longest. */
function chooseVm(
  vms: [string, VmRecord][],
  maintenance: MaintenanceState,
): [string, VmRecord] | undefined {
  const perRack = new Map<string, number>();
  for (const [, vm] of vms) {
    perRack.set(vm.rack, (perRack.get(vm.rack) ?? 0) + 1);
  }
  return vms.toSorted(([idA, a], [idB, b]) =>
    Number(isMaintenanceDue(a, maintenance)) -
      Number(isMaintenanceDue(b, maintenance)) ||
    (perRack.get(b.rack) ?? 0) - (perRack.get(a.rack) ?? 0) ||
    a.changedAtMs - b.changedAtMs || idA.localeCompare(idB)
  )[0];
}

function tryLendVm(
  borrower: PoolLoad,
  step: LendingStep,
  need: LoanNeed,
): boolean {
  const rejected: { option: string; reason: string }[] = [];
  const eligible: PoolLoad[] = [];
  for (const lender of step.loads.values()) {
    if (lender === borrower) continue;
    const reason = findRefusalReason(
      lender,
      step,
      need === "demand" ? borrower : undefined,
    );
    if (reason === undefined) eligible.push(lender);
    else rejected.push({ option: lender.pool.name, reason });
  }
  eligible.sort((a, b) =>
    Number(b.pool.spare) - Number(a.pool.spare) ||
    utilisation(a) - utilisation(b)
  );
  for (const lender of eligible) {
    const vms = step.homeVms.get(lender.pool.name) ?? [];
    const chosen = chooseVm(vms, step.maintenance);
    if (chosen === undefined) {
      const reason = "none of its VMs serves at home and answers";
      rejected.push({ option: lender.pool.name, reason });
      continue;
    }
    const others = eligible.filter((other) => other !== lender);
    rejected.push(...others.map((other) => ({
      option: other.pool.name,
      reason: "less free capacity, or not the spare pool",
    })));
    addLoan(step, { borrower, lender, chosen, need, rejected });
    return true;
  }
  addRefusal(step, { borrower, need, rejected });
  return false;
}

function addRefusal(
  step: LendingStep,
  refused: {
    borrower: PoolLoad;
    need: LoanNeed;
    rejected: DecisionDraft["rejected"];
  },
): void {
  const facts = createFacts([...step.loads.values()]);
  const { limits } = step;
  step.refusals.push(describeRefusedLoan({ ...refused, limits, facts }));
}

interface Loan {
  readonly borrower: PoolLoad;
  readonly lender: PoolLoad;
  readonly chosen: [string, VmRecord];
  readonly need: LoanNeed;
  readonly rejected: DecisionDraft["rejected"];
}

function addLoan(step: LendingStep, loan: Loan): void {
  const { borrower, lender, chosen, need, rejected } = loan;
  const [vmId, vm] = chosen;
  const facts = createFacts([lender, borrower]);
  const vms = step.homeVms.get(lender.pool.name);
  vms?.splice(vms.indexOf(chosen), 1);
  reserveVm(lender.counts, "lent");
  lender.capacityVms--;
  borrower.capacityVms++;
  borrower.counts.incoming++;
  const reason = need === "budget"
    ? `${borrower.pool.name} is below its budget`
    : `demand of ${borrower.pool.name} exceeds its capacity`;
  step.changes.push({
    vmId,
    next: startDrain(vm, {
      vmId,
      kind: "move",
      reason,
      targetPool: borrower.pool.name,
    }, step.context),
    decision: {
      kind: need === "budget" ? "repair_loan" : "lend",
      vmId,
      pools: [lender.pool.name, borrower.pool.name],
      summary:
        `${vmId} goes from ${lender.pool.name} to ${borrower.pool.name}: ${reason}`,
      facts,
      rejected,
    },
  });
}

/** Collects the reachable VMs that serve in their home pool, by pool. */
function collectHomeVms(context: PlanningContext, vms: VmRecords) {
  const homeVms = new Map<string, [string, VmRecord][]>();
  for (const vmId in vms) {
    const vm = vms[vmId];
    if (vm === undefined || vm.state !== "serving" || isLent(vm)) continue;
    if (context.unreachable.has(vmId)) continue;
    const poolVms = homeVms.get(vm.homePool);
    if (poolVms === undefined) homeVms.set(vm.homePool, [[vmId, vm]]);
    else poolVms.push([vmId, vm]);
  }
  return homeVms;
}

/** Lends to pools below their budget first, then to pools whose demand exceeds their capacity. */
function planLoans(step: LendingStep, demandIsKnown: boolean): void {
  const loads = [...step.loads.values()];
  for (const load of loads) {
    const { counts } = load;
    while (
      counts.serving + counts.incoming < counts.minimumServingVms &&
      tryLendVm(load, step, "budget")
    );
  }
  const overloaded = loads.filter((load) =>
    utilisation(load) > step.limits.borrowAbove
  ).sort((a, b) => utilisation(b) - utilisation(a));
  if (!demandIsKnown) {
    const reason = "too few entries are heard to know the demand";
    for (const load of overloaded) {
      const lenders = loads.filter((lender) => lender !== load);
      const rejected = lenders.map(({ pool }) => ({
        option: pool.name,
        reason,
      }));
      addRefusal(step, { borrower: load, need: "demand", rejected });
    }
    return;
  }
  for (const load of overloaded) {
    while (
      utilisation(load) > step.limits.borrowAbove &&
      tryLendVm(load, step, "demand")
    );
  }
}

/** Decides which loans end and which start. */
export function planLending(
  context: PlanningContext,
  vms: VmRecords,
  maintenance: MaintenanceState,
): LendingPlan {
  const availability = evaluateAvailability({
    vms,
    pools: context.pools.values(),
    unreachable: context.unreachable,
  });
  const step: LendingStep = {
    context,
    maintenance,
    loads: collectPoolLoads(context, availability),
    limits: resolveLendingLimits(context),
    homeVms: collectHomeVms(context, vms),
    changes: [],
    refusals: [],
  };
  planReturns(step, vms);
  planLoans(step, context.demand.coverage >= MINIMUM_COVERAGE);
  return { changes: step.changes, refusals: step.refusals };
}
