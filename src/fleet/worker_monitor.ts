import type { Clock } from "../clock.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { WorkerAgent, WorkerReport } from "../ports/worker_agent.ts";
import type { WorkerView } from "./planning_context.ts";
import type { FleetRecord } from "./record.ts";

/**
 * Time after a failed report until the next one, in ms. A worker that has no transition is asked this long before it
 * would count as unreachable; with the default of 30 s, 467 workers of a region cost about 19 calls per second.
 */
const RETRY_INTERVAL_MS = 5_000;
/** Time after which a report is given up, in ms. */
const REPORT_TIMEOUT_MS = 1_500;
/** Reports requested in one step. */
const MAXIMUM_REPORTS_PER_STEP = 128;

interface Observation {
  firstAskedAtMs: number;
  askedAtMs: number;
  answeredAtMs: number | undefined;
  /** The newest report; undefined after a failure. */
  report: WorkerReport | undefined;
}

/** Workers' reports as one controller has seen them. */
export interface WorkerMonitor {
  /** Asks the workers that are due, those with a transition at every call. */
  refresh(record: FleetRecord, vms: readonly Vm[]): Promise<void>;
  views(record: FleetRecord): ReadonlyMap<string, WorkerView>;
  /** Forgets every observation, as when another controller took over. */
  reset(): void;
  /** Whether the workers were watched long enough to know which are unreachable. */
  isSettled(): boolean;
  /** The worker's report if its last request was answered. */
  reportOf(vmId: string): WorkerReport | undefined;
}

/** Creates a monitor without any observation. */
export function createWorkerMonitor(
  workerAgent: WorkerAgent,
  options: { clock: Clock; unreachableAfterMs: number },
): WorkerMonitor {
  const { clock, unreachableAfterMs } = options;
  const observations = new Map<string, Observation>();
  /** Since when every listed worker is asked; the first reports take several steps in a large region. */
  let watchedSinceMs: number | undefined;

  function isDue(vmId: string, record: FleetRecord, nowMs: number): boolean {
    const seen = observations.get(vmId);
    if (seen === undefined || record.vms[vmId]?.transition !== undefined) {
      return true;
    }
    const intervalMs = seen.report === undefined
      ? RETRY_INTERVAL_MS
      : unreachableAfterMs - RETRY_INTERVAL_MS;
    return nowMs - seen.askedAtMs >= intervalMs;
  }

  async function ask(vm: Vm): Promise<void> {
    const nowMs = clock.monotonicMs();
    const seen = observations.get(vm.id) ?? {
      firstAskedAtMs: nowMs,
      askedAtMs: nowMs,
      answeredAtMs: undefined,
      report: undefined,
    };
    observations.set(vm.id, seen);
    seen.askedAtMs = nowMs;
    try {
      const signal = AbortSignal.timeout(REPORT_TIMEOUT_MS);
      seen.report = await workerAgent.report(vm.controlAddress, signal);
      seen.answeredAtMs = clock.monotonicMs();
    } catch {
      seen.report = undefined;
    }
  }

  function viewOf(vmId: string, record: FleetRecord): WorkerView | undefined {
    const seen = observations.get(vmId);
    if (seen === undefined) return undefined;
    const sinceMs = clock.monotonicMs() -
      (seen.answeredAtMs ?? seen.firstAskedAtMs);
    // A report of another incarnation says nothing about the VM that the record shows.
    const current = seen.report?.incarnation === record.vms[vmId]?.incarnation;
    const report = current ? seen.report : undefined;
    return {
      reachable: report !== undefined || sinceMs < unreachableAfterMs,
      responding: report !== undefined,
      lastRebootIntentId: report?.lastRebootIntentId,
      runningTasks: report?.tasks.filter((task) => task.state === "running")
        .length,
    };
  }

  return {
    async refresh(record, vms) {
      const nowMs = clock.monotonicMs();
      const listed = new Set(vms.map((vm) => vm.id));
      for (const vmId of observations.keys()) {
        if (!listed.has(vmId)) observations.delete(vmId);
      }
      const workers = vms.filter((vm) =>
        vm.role === "worker" && vm.region === record.region
      );
      const due = workers.filter((vm) => isDue(vm.id, record, nowMs));
      const urgent = (vm: Vm) =>
        record.vms[vm.id]?.transition === undefined ? 1 : 0;
      due.sort((a, b) =>
        urgent(a) - urgent(b) ||
        (observations.get(a.id)?.askedAtMs ?? 0) -
          (observations.get(b.id)?.askedAtMs ?? 0)
      );
      await Promise.all(due.slice(0, MAXIMUM_REPORTS_PER_STEP).map(ask));
      const all = workers.length > 0 &&
        workers.every((vm) => observations.has(vm.id));
      if (all) watchedSinceMs ??= clock.monotonicMs();
    },
    views(record) {
      const views = new Map<string, WorkerView>();
      for (const vmId of observations.keys()) {
        const view = viewOf(vmId, record);
        if (view !== undefined) views.set(vmId, view);
      }
      return views;
    },
    reset() {
      observations.clear();
      watchedSinceMs = undefined;
    },
    isSettled: () =>
      watchedSinceMs !== undefined &&
      clock.monotonicMs() - watchedSinceMs >= unreachableAfterMs,
    reportOf: (vmId) => observations.get(vmId)?.report,
  };
}

/** Counts a recorded task as running where no report shows one; without the recorded tasks, running tasks aren't known. */
export function addAssignedTasks(
  views: ReadonlyMap<string, WorkerView>,
  assigned: ReadonlyMap<string, number> | undefined,
): ReadonlyMap<string, WorkerView> {
  return new Map([...views].map(([vmId, view]) => {
    const runningTasks = assigned === undefined ||
        view.runningTasks === undefined
      ? undefined
      : Math.max(view.runningTasks, assigned.get(vmId) ?? 0);
    return [vmId, { ...view, runningTasks }];
  }));
}
