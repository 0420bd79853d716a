import type { EntryDigest } from "../peers/messages.ts";
import {
  markServing,
  type PlanningContext,
  type VmChange,
  type VmRecords,
} from "./planning_context.ts";
import type { MaintenanceState, VmRecord } from "./record.ts";

/** Weight of the newest maintenance in the smoothed duration, from 0 to 1. */
const DURATION_SMOOTHING = 0.2;

/** Whether a drain is complete, or why it isn't yet. */
export type DrainStatus =
  | { readonly kind: "drained" }
  | { readonly kind: "waiting"; readonly reason: string };

function waiting(reason: string): DrainStatus {
  return { kind: "waiting", reason };
}

function findEntryBlocker(
  entryId: string,
  digest: EntryDigest | undefined,
  requirement: { vmId: string; fleetRevision: number },
): string | undefined {
  if (digest === undefined) return `entry ${entryId} can't be reached`;
  if (digest.fleetRevision < requirement.fleetRevision) {
    return `entry ${entryId} has not acknowledged revision ${requirement.fleetRevision}`;
  }
  const inFlight = digest.drainingInFlight[requirement.vmId] ?? 0;
  return inFlight > 0
    ? `entry ${entryId} has ${inFlight} request(s) in flight`
    : undefined;
}

/** Checks whether a draining VM may be rebooted or moved: every entry has acknowledged the drain, and no request or task is running. */
export function evaluateDrain(
  vmId: string,
  vm: VmRecord,
  context: PlanningContext,
): DrainStatus {
  const { transition } = vm;
  if (transition === undefined) return waiting("no transition is recorded");
  const { entryIds, digests } = context;
  if (entryIds.size === 0) return waiting("no entry is known");
  const requirement = { vmId, fleetRevision: transition.fleetRevision };
  for (const entryId of entryIds) {
    const reason = findEntryBlocker(entryId, digests.get(entryId), requirement);
    if (reason !== undefined) return waiting(reason);
  }
  const tasks = context.workers.get(vmId)?.runningTasks;
  if (tasks === undefined) return waiting("running tasks are not known");
  if (tasks > 0) return waiting(`${tasks} task(s) are running`);
  return { kind: "drained" };
}

function finishDrain(vm: VmRecord, nowMs: number): VmRecord {
  const { transition } = vm;
  if (transition?.kind === "maintain" || transition?.kind === "retire") {
    // The reboot is recorded before it is executed, so that a successor can resume it.
    return {
      ...vm,
      state: "rebooting",
      changedAtMs: nowMs,
      transition: { ...transition, rebootStartedAtMs: nowMs },
    };
  }
  const pool = transition?.targetPool;
  return markServing(vm, { pool, nowMs });
}

function isRebooted(
  vmId: string,
  vm: VmRecord,
  context: PlanningContext,
): boolean {
  const worker = context.workers.get(vmId);
  return worker?.responding === true && vm.transition !== undefined &&
    worker.lastRebootIntentId === vm.transition.intentId;
}

/** Advances transitions: drained VMs are moved or rebooted, rebooted VMs serve again. */
export function completeTransitions(
  context: PlanningContext,
  vms: VmRecords,
): VmChange[] {
  const changes: VmChange[] = [];
  for (const vmId in vms) {
    const vm = vms[vmId];
    if (vm === undefined) continue;
    if (vm.state === "draining") {
      if (evaluateDrain(vmId, vm, context).kind === "drained") {
        changes.push({ vmId, next: finishDrain(vm, context.nowMs) });
      }
    } else if (vm.state === "rebooting" && isRebooted(vmId, vm, context)) {
      const next = markServing(vm, { nowMs: context.nowMs });
      changes.push({
        vmId,
        next: { ...next, maintainedAtMs: context.nowMs },
      });
    }
  }
  return changes;
}

/** Updates the smoothed maintenance duration with the VMs that finished in this step. */
export function updateAverageDuration(
  state: MaintenanceState,
  finished: readonly VmRecord[],
  nowMs: number,
): MaintenanceState {
  let averageMs = state.averageDurationMs;
  for (const vm of finished) {
    if (vm.transition === undefined) continue;
    const durationMs = nowMs - vm.transition.startedAtMs;
    averageMs = averageMs === undefined
      ? durationMs
      : averageMs + DURATION_SMOOTHING * (durationMs - averageMs);
  }
  return averageMs === state.averageDurationMs
    ? state
    : { ...state, averageDurationMs: averageMs };
}
