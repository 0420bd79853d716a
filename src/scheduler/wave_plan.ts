/** A VM of the wave that is still to be maintained. */
export interface WaveVm {
  readonly vmId: string;
  /** Whether the VM is up and no other operation is in progress on it. */
  readonly orderable: boolean;
  /** Whether the VM is already cordoned (gets no new tasks) for maintenance. */
  readonly cordoned: boolean;
  /** Time since the VM was cordoned, in ms. */
  readonly cordonedMs: number;
  /** Number of batch tasks on the VM. */
  readonly batchTasks: number;
  /** Whether stopping the VM's long-running tasks respects every step's disruption budget. */
  readonly withinBudgets: boolean;
}

/** Operations to start in this round. */
export interface WaveActions {
  /** VMs to maintain now. */
  readonly maintain: readonly string[];
  /** VMs to cordon now, so that they drain. */
  readonly cordon: readonly string[];
}

/** Expected time from cordoning a busy VM to its return, in ms: its tasks end, maintenance takes 2 s, its worker registers. */
const MAINTENANCE_CYCLE_MS = 5_000;
/** Share of the remaining time that the plan uses; the rest absorbs failures, which would otherwise make the wave late. */
const PLANNED_TIME_SHARE = 0.7;
/** Longest wait for batch tasks to end, in ms; the work of those still running then is lost, which costs less than a late wave. */
const DRAIN_TIMEOUT_MS = 4_500;

/**
 * Plans the next round of a maintenance wave. VMs without batch tasks are
 * maintained at once if the disruption budgets allow it; of the others as few at
 * a time are cordoned as the deadline allows. The number of VMs that are down
 * never exceeds the wave's limit.
 */
export function planWave(
  vms: readonly WaveVm[],
  wave: { down: number; maximumDown: number; timeLeftMs: number },
): WaveActions {
  let slots = wave.maximumDown - wave.down;
  const maintain: string[] = [];
  const cordon: string[] = [];
  const ready = vms.filter((vm) =>
    vm.orderable && vm.withinBudgets &&
    (vm.batchTasks === 0 || vm.cordonedMs > DRAIN_TIMEOUT_MS)
  );
  for (const vm of ready) {
    if (slots <= 0) break;
    maintain.push(vm.vmId);
    slots--;
  }
  const remaining = vms.filter((vm) =>
    vm.orderable && !maintain.includes(vm.vmId)
  );
  const plannedMs = Math.max(1, wave.timeLeftMs * PLANNED_TIME_SHARE);
  const concurrency = Math.min(
    wave.maximumDown,
    Math.ceil(vms.length * MAINTENANCE_CYCLE_MS / plannedMs),
  );
  let inProgress = remaining.filter((vm) => vm.cordoned).length +
    maintain.length +
    wave.down;
  for (
    const vm of remaining.filter((vm) => !vm.cordoned)
      .sort((a, b) => a.batchTasks - b.batchTasks)
  ) {
    if (inProgress >= concurrency) break;
    cordon.push(vm.vmId);
    inProgress++;
  }
  return { maintain, cordon };
}
