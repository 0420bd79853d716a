import type { Vm } from "../ports/vm_list.ts";
import {
  markServing,
  type PlanningContext,
  type VmChange,
  type VmRecords,
  type WorkerView,
} from "./planning_context.ts";
import type { VmRecord } from "./record.ts";

/** Time for which the record of an absent VM is kept, in ms, so that the VM returns to its pool after an outage. */
const ABSENT_RETENTION_MS = 24 * 3_600_000;
/** Time after which a `leaving` VM that is listed as live serves again, in ms; longer than the lag of the VM list. */
const LEAVING_HOLD_MS = 60_000;
/** Time after which a reboot that was not confirmed counts as failed, in ms. */
const REBOOT_TIMEOUT_MS = 15 * 60_000;

function createStateChange(
  vmId: string,
  next: VmRecord,
  summary: string,
): VmChange {
  return {
    vmId,
    next,
    decision: {
      kind: `vm_${next.state}`,
      vmId,
      pools: [next.pool],
      summary: `${vmId} ${summary}`,
      facts: { state: next.state, incarnation: next.incarnation },
      rejected: [],
    },
  };
}

function reconcileAbsentVm(
  vmId: string,
  vm: VmRecord,
  nowMs: number,
): VmChange | undefined {
  if (vm.state !== "failed") {
    const failed: VmRecord = { ...vm, state: "failed", changedAtMs: nowMs };
    // A maintenance transition is kept: a recorded reboot may still take effect, and the failure belongs to the wave.
    if (vm.transition?.kind !== "maintain") delete failed.transition;
    return createStateChange(vmId, failed, "is absent from the VM list");
  }
  if (nowMs - vm.changedAtMs < ABSENT_RETENTION_MS) return undefined;
  return {
    vmId,
    next: undefined,
    decision: {
      kind: "vm_removed",
      vmId,
      pools: [vm.homePool],
      summary: `${vmId} was absent for longer than the retention time`,
      facts: { absentMs: nowMs - vm.changedAtMs },
      rejected: [],
    },
  };
}

function recoverVm(
  vmId: string,
  pair: { vm: VmRecord; worker: WorkerView },
  nowMs: number,
): VmChange {
  const { vm, worker } = pair;
  const { intentId, rebootStartedAtMs } = vm.transition ?? {};
  const hasPendingReboot = rebootStartedAtMs !== undefined;
  if (hasPendingReboot && worker.lastRebootIntentId !== intentId) {
    // The reboot command may still arrive, so the VM must not serve before this reboot has happened.
    const next = { ...vm, state: "rebooting", changedAtMs: nowMs } as const;
    return createStateChange(
      vmId,
      next,
      "answers again and resumes its reboot",
    );
  }
  const next = markServing(vm, { nowMs });
  if (hasPendingReboot) next.maintainedAtMs = nowMs;
  return createStateChange(vmId, next, "is listed and answers again");
}

function reconcileListedVm(
  vmId: string,
  pair: { vm: VmRecord; listed: Vm },
  context: PlanningContext,
): VmChange | undefined {
  const { vm, listed } = pair;
  const { nowMs, workers } = context;
  if (listed.incarnation !== vm.incarnation) {
    const replacement: VmRecord = {
      ...markServing(vm, { pool: vm.homePool, nowMs }),
      incarnation: listed.incarnation,
      dataCentre: listed.dataCentre,
      rack: listed.rack,
      // A replaced VM starts from a new image, which counts as maintenance.
      maintainedAtMs: nowMs,
    };
    return createStateChange(
      vmId,
      replacement,
      "was replaced by a new incarnation",
    );
  }
  if (listed.state === "leaving") {
    if (vm.state === "leaving") return undefined;
    const { transition: _, ...rest } = vm;
    const leaving = { ...rest, state: "leaving", changedAtMs: nowMs } as const;
    return createStateChange(
      vmId,
      leaving,
      "is leaving according to the VM list",
    );
  }
  const sinceMs = nowMs - vm.changedAtMs;
  if (vm.state === "leaving" && sinceMs >= LEAVING_HOLD_MS) {
    return createStateChange(
      vmId,
      markServing(vm, { nowMs }),
      "is listed as live again",
    );
  }
  if (vm.state === "rebooting" && sinceMs >= REBOOT_TIMEOUT_MS) {
    const failed = { ...vm, state: "failed", changedAtMs: nowMs } as const;
    return createStateChange(
      vmId,
      failed,
      "did not confirm its reboot in time",
    );
  }
  const worker = workers.get(vmId);
  if (vm.state === "failed" && worker?.responding === true) {
    return recoverVm(vmId, { vm, worker }, nowMs);
  }
  return undefined;
}

/** Updates the record from the VM list: replaced, absent, leaving, failed and recovered VMs. */
export function reconcileVms(
  context: PlanningContext,
  vms: VmRecords,
): VmChange[] {
  const { listed, nowMs } = context;
  const hasWorkers = [...listed.values()].some((vm) => vm.role === "worker");
  // A list without any worker is more likely a fault of the list than the loss of the whole region.
  if (!hasWorkers) return [];
  const changes: VmChange[] = [];
  for (const vmId in vms) {
    const vm = vms[vmId];
    if (vm === undefined) continue;
    const current = listed.get(vmId);
    const change = current === undefined
      ? reconcileAbsentVm(vmId, vm, nowMs)
      : reconcileListedVm(vmId, { vm, listed: current }, context);
    if (change !== undefined) changes.push(change);
  }
  return changes;
}
