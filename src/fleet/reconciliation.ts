import type { Vm } from "../ports/vm_list.ts";
import {
  type PlanningContext,
  settle,
  type VmChange,
  type Vms,
  type WorkerView,
} from "./planning_context.ts";
import type { VmRecord } from "./record.ts";

/** Time for which a VM that is gone keeps its record, so that it returns to its pool after an outage, in ms. */
const GONE_RETENTION_MS = 24 * 3_600_000;
/** Time after which a VM that is listed as live again stops being `leaving`, in ms; longer than the list's lag. */
const LEAVING_HOLD_MS = 60_000;
/** Time after which a reboot that was not confirmed counts as failed, in ms. */
const REBOOT_TIMEOUT_MS = 15 * 60_000;

function change(vmId: string, next: VmRecord, summary: string): VmChange {
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

function reconcileGone(
  vmId: string,
  vm: VmRecord,
  nowMs: number,
): VmChange | undefined {
  if (vm.state !== "failed") {
    const failed: VmRecord = { ...vm, state: "failed", changedAtMs: nowMs };
    // Maintenance is kept: a recorded reboot may still take effect, and the VM failed inside a wave.
    if (vm.transition?.kind !== "maintain") delete failed.transition;
    return change(vmId, failed, "is absent from the VM list");
  }
  if (nowMs - vm.changedAtMs < GONE_RETENTION_MS) return undefined;
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

function recover(
  vmId: string,
  pair: { vm: VmRecord; worker: WorkerView },
  nowMs: number,
): VmChange {
  const { vm, worker } = pair;
  const { intentId, rebootStartedAtMs } = vm.transition ?? {};
  const reboots = rebootStartedAtMs !== undefined;
  if (reboots && worker.lastRebootIntentId !== intentId) {
    // The command may still be on its way, so the VM must not serve before this reboot has happened.
    const next = { ...vm, state: "rebooting", changedAtMs: nowMs } as const;
    return change(vmId, next, "answers again and resumes its reboot");
  }
  const next = settle(vm, { nowMs });
  if (reboots) next.maintainedAtMs = nowMs;
  return change(vmId, next, "is listed and answers again");
}

function reconcileListed(
  vmId: string,
  pair: { vm: VmRecord; listed: Vm },
  context: PlanningContext,
): VmChange | undefined {
  const { vm, listed } = pair;
  const { nowMs, workers } = context;
  if (listed.incarnation !== vm.incarnation) {
    const fresh: VmRecord = {
      ...settle(vm, { pool: vm.homePool, nowMs }),
      incarnation: listed.incarnation,
      dataCentre: listed.dataCentre,
      rack: listed.rack,
      // A replaced VM starts from a new image, which is what maintenance brings about.
      maintainedAtMs: nowMs,
    };
    return change(vmId, fresh, "was replaced by a new incarnation");
  }
  if (listed.state === "leaving") {
    if (vm.state === "leaving") return undefined;
    const { transition: _, ...rest } = vm;
    const leaving = { ...rest, state: "leaving", changedAtMs: nowMs } as const;
    return change(vmId, leaving, "is leaving according to the VM list");
  }
  const sinceMs = nowMs - vm.changedAtMs;
  if (vm.state === "leaving" && sinceMs >= LEAVING_HOLD_MS) {
    return change(vmId, settle(vm, { nowMs }), "is listed as live again");
  }
  if (vm.state === "rebooting" && sinceMs >= REBOOT_TIMEOUT_MS) {
    const failed = { ...vm, state: "failed", changedAtMs: nowMs } as const;
    return change(vmId, failed, "did not confirm its reboot in time");
  }
  const worker = workers.get(vmId);
  if (vm.state === "failed" && worker?.responding === true) {
    return recover(vmId, { vm, worker }, nowMs);
  }
  return undefined;
}

/** Brings the record in line with the VM list: new incarnations, gone, leaving, failed and recovered VMs. */
export function reconcileVms(context: PlanningContext, vms: Vms): VmChange[] {
  const { listed, nowMs } = context;
  const hasWorkers = [...listed.values()].some((vm) => vm.role === "worker");
  // A list without any worker is more likely a fault of the list than the loss of the whole region.
  if (!hasWorkers) return [];
  const changes: VmChange[] = [];
  for (const vmId in vms) {
    const vm = vms[vmId];
    if (vm === undefined) continue;
    const current = listed.get(vmId);
    const found = current === undefined
      ? reconcileGone(vmId, vm, nowMs)
      : reconcileListed(vmId, { vm, listed: current }, context);
    if (found !== undefined) changes.push(found);
  }
  return changes;
}
