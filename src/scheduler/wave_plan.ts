/** A VM of a wave that hasn't been maintained. */
export interface WaveVm {
  readonly vmId: string;
  /** Whether it is up and nothing else is under way with it. */
  readonly orderable: boolean;
  /** Whether it already gets no new tasks for the wave. */
  readonly cordoned: boolean;
  /** Time for which it has got no new tasks, in ms. */
  readonly cordonedMs: number;
  /** Batch tasks on the VM. */
  readonly batchTasks: number;
  /** Whether stopping its long-running tasks keeps every step's budget. */
  readonly withinBudgets: boolean;
}

/** What the wave wants done now. */
export interface WaveActions {
  /** VMs to maintain now. */
  readonly maintain: readonly string[];
  /** VMs that must get no new tasks, so that they empty. */
  readonly cordon: readonly string[];
}

/** Expected time from the cordon of a busy VM to its return, in ms: its tasks end, it is maintained for 2 s, it registers. */
const MAINTENANCE_CYCLE_MS = 5_000;
/** Share of the time left that is planned with, so that failures on the way don't make the wave late. */
const PLANNED_TIME_SHARE = 0.7;
/** Longest wait for batch tasks to end, in ms; what still runs then is lost, which costs less than a late wave. */
const DRAIN_TIMEOUT_MS = 4_500;

/**
 * Next step of a maintenance wave: VMs without tasks at once, busy ones as few
 * at a time as the deadline allows, never more than the wave's limit.
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
