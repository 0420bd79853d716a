import type { PlanningContext, VmRecords } from "./planning_context.ts";
import type { VmRecord } from "./record.ts";

/** Time after maintenance in which a failure is attributed to the wave, in ms. */
const WAVE_ATTRIBUTION_MS = 3_600_000;
/** Time window in which failures count as one event, in ms. */
const FAILURE_WINDOW_MS = 15 * 60_000;
/** Minimum number of failures inside a wave that count as correlated. */
const CORRELATED_FAILURES = 2;

/** Recent failures that a wave may have caused or that affect one. */
export interface WaveFailures {
  readonly correlated: boolean;
  readonly vmIds: readonly string[];
}

function isInWave(vm: VmRecord, nowMs: number): boolean {
  return vm.transition?.kind === "maintain" ||
    nowMs - vm.maintainedAtMs < WAVE_ATTRIBUTION_MS;
}

function hasFailed(vmId: string, vm: VmRecord, context: PlanningContext) {
  if (vm.state === "failed") {
    return context.nowMs - vm.changedAtMs < FAILURE_WINDOW_MS;
  }
  // A rebooting worker does not respond, which isn't a failure.
  return vm.state !== "rebooting" && context.unreachable.has(vmId);
}

/** Finds recent failures of VMs that are in a wave or share a rack with one that is. */
export function findCorrelatedFailures(
  context: PlanningContext,
  vms: VmRecords,
): WaveFailures {
  const { nowMs } = context;
  const waveRacks = new Set<string>();
  for (const vmId in vms) {
    const vm = vms[vmId];
    if (vm !== undefined && isInWave(vm, nowMs)) waveRacks.add(vm.rack);
  }
  if (waveRacks.size === 0) return { correlated: false, vmIds: [] };
  const vmIds = Object.keys(vms).filter((vmId) => {
    const vm = vms[vmId];
    return vm !== undefined && hasFailed(vmId, vm, context) &&
      waveRacks.has(vm.rack);
  });
  return { correlated: vmIds.length >= CORRELATED_FAILURES, vmIds };
}
