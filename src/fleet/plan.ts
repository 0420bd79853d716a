import {
  assignNewVms,
  evacuateRemovedPools,
  transferOwnership,
} from "./assignment.ts";
import type { Decision } from "./decision_log.ts";
import { completeTransitions, updateAverageDuration } from "./drain.ts";
import { planLending } from "./lending.ts";
import { planMaintenance } from "./maintenance.ts";
import {
  createPlanningContext,
  type DecisionDraft,
  type PlanInput,
  type PlanningContext,
  type VmChange,
} from "./planning_context.ts";
import { reconcileVms } from "./reconciliation.ts";
import type { FleetRecord, VmRecord } from "./record.ts";
import { repairShortages } from "./repair.ts";

/** Result of a planning step. */
export type Plan =
  /** The record was planned with a newer configuration than the given one. */
  | { readonly kind: "outdated_config" }
  | {
    readonly kind: "unchanged";
    readonly refusedLoans: readonly Decision[];
  }
  | {
    readonly kind: "changed";
    /** The record to write, with the next revision. */
    readonly record: FleetRecord;
    readonly decisions: readonly Decision[];
    /** Requests for VMs that no pool granted; they change nothing and repeat in each step. */
    readonly refusedLoans: readonly Decision[];
  };

function collectTeams(
  context: PlanningContext,
  pools: readonly string[],
): string[] {
  const teams = new Set<string>();
  for (const name of pools) {
    const team = context.pools.get(name)?.team;
    if (team !== undefined) teams.add(team);
  }
  return [...teams];
}

function findFinishedMaintenance(
  before: Readonly<Record<string, VmRecord>>,
  changes: readonly VmChange[],
): VmRecord[] {
  return changes.flatMap(({ vmId, next }) => {
    const old = before[vmId];
    return old?.state === "rebooting" && next?.state === "serving" ? [old] : [];
  });
}

/** Plans one step for a region; each stage evaluates the budgets after the changes of the previous stages. */
export function planFleet(input: PlanInput): Plan {
  const { record, configRevision, nowMs } = input;
  if (configRevision < record.configRevision) {
    return { kind: "outdated_config" };
  }
  const context = createPlanningContext(input);
  const vms: Record<string, VmRecord> = { ...record.vms };
  const drafts: DecisionDraft[] = [];
  let changed = false;
  const apply = (changes: readonly VmChange[]) => {
    for (const { vmId, next, decision } of changes) {
      changed = true;
      if (next === undefined) delete vms[vmId];
      else vms[vmId] = next;
      if (decision !== undefined) drafts.push(decision);
    }
  };

  apply(reconcileVms(context, vms));
  apply(evacuateRemovedPools(context, vms));
  apply(assignNewVms(context, vms));
  // Drains of VMs that a pool below its budget needs are cancelled before any drain is completed.
  apply(repairShortages(context, vms));
  const completed = completeTransitions(context, vms);
  const finished = findFinishedMaintenance(vms, completed);
  apply(completed);
  // No VM may be taken from a pool before it is known which workers are unreachable.
  if (!input.newDrainsBlocked) apply(transferOwnership(context, vms));
  const maintenanceState = updateAverageDuration(
    record.maintenance,
    finished,
    nowMs,
  );
  const maintenancePlan = planMaintenance(context, vms, maintenanceState);
  apply(maintenancePlan.changes);
  drafts.push(...maintenancePlan.decisions);
  let refusals: readonly DecisionDraft[] = [];
  if (!input.newDrainsBlocked) {
    const lending = planLending(context, vms, maintenancePlan.state);
    apply(lending.changes);
    refusals = lending.refusals;
  }

  const isUnchanged = !changed && maintenancePlan.state === record.maintenance;
  const toDecision = (draft: DecisionDraft): Decision => ({
    ...draft,
    atMs: nowMs,
    fleetRevision: isUnchanged ? record.revision : context.nextRevision,
    teams: collectTeams(context, draft.pools),
  });
  const refusedLoans = refusals.map(toDecision);
  if (isUnchanged) return { kind: "unchanged", refusedLoans };
  return {
    kind: "changed",
    record: {
      ...record,
      revision: context.nextRevision,
      configRevision,
      vms,
      maintenance: maintenancePlan.state,
    },
    decisions: drafts.map(toDecision),
    refusedLoans,
  };
}
