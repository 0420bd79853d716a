import type { Clock } from "../clock.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { WorkerAgent, WorkerReport } from "../ports/worker_agent.ts";
import type { WorkerView } from "./planning_context.ts";
import type { FleetRecord } from "./record.ts";

/**
 * Delay before a failed report is requested again, in ms. A worker without a transition is queried this long before it
 * would count as unreachable; with the default of 30 s, 467 workers of a region cause about 19 calls per second.
 */
const RETRY_INTERVAL_MS = 5_000;
/** Timeout of a report request, in ms. */
const REPORT_TIMEOUT_MS = 1_500;
/** Maximum number of reports requested in one step. */
const MAXIMUM_REPORTS_PER_STEP = 128;

interface Observation {
  firstRequestedAtMs: number;
  requestedAtMs: number;
  respondedAtMs: number | undefined;
  /** The newest report; undefined after a failure. */
  report: WorkerReport | undefined;
}

/** Requests and keeps the workers' reports for one controller. */
export interface WorkerMonitor {
  /** Requests reports from the workers that are due; those with a transition are due at every call. */
  refresh(record: FleetRecord, vms: readonly Vm[]): Promise<void>;
  /** Returns what is known about each queried worker, by VM ID. */
  views(record: FleetRecord): ReadonlyMap<string, WorkerView>;
  /** Discards all observations, for example after another controller took over. */
  reset(): void;
  /** Whether the workers were monitored long enough to know which are unreachable. */
  isWarmedUp(): boolean;
  /** The worker's report; undefined if the last request failed. */
  getReport(vmId: string): WorkerReport | undefined;
}

/** Creates a monitor without any observation. */
export function createWorkerMonitor(
  workerAgent: WorkerAgent,
  options: { clock: Clock; unreachableAfterMs: number },
): WorkerMonitor {
  const { clock, unreachableAfterMs } = options;
  const observations = new Map<string, Observation>();
  /** Time at which every listed worker had been queried once; in a large region this takes several steps. */
  let monitoredSinceMs: number | undefined;

  function isDue(vmId: string, record: FleetRecord, nowMs: number): boolean {
    const observation = observations.get(vmId);
    if (
      observation === undefined || record.vms[vmId]?.transition !== undefined
    ) {
      return true;
    }
    const intervalMs = observation.report === undefined
      ? RETRY_INTERVAL_MS
      : unreachableAfterMs - RETRY_INTERVAL_MS;
    return nowMs - observation.requestedAtMs >= intervalMs;
  }

  async function requestReport(vm: Vm): Promise<void> {
    const nowMs = clock.monotonicMs();
    const observation = observations.get(vm.id) ?? {
      firstRequestedAtMs: nowMs,
      requestedAtMs: nowMs,
      respondedAtMs: undefined,
      report: undefined,
    };
    observations.set(vm.id, observation);
    observation.requestedAtMs = nowMs;
    try {
      const signal = AbortSignal.timeout(REPORT_TIMEOUT_MS);
      observation.report = await workerAgent.report(vm.controlAddress, signal);
      observation.respondedAtMs = clock.monotonicMs();
    } catch {
      observation.report = undefined;
    }
  }

  function createView(
    vmId: string,
    record: FleetRecord,
  ): WorkerView | undefined {
    const observation = observations.get(vmId);
    if (observation === undefined) return undefined;
    const sinceMs = clock.monotonicMs() -
      (observation.respondedAtMs ?? observation.firstRequestedAtMs);
    // A report of another incarnation says nothing about the VM that the record shows.
    const isCurrent =
      observation.report?.incarnation === record.vms[vmId]?.incarnation;
    const report = isCurrent ? observation.report : undefined;
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
      const transitionRank = (vm: Vm) =>
        record.vms[vm.id]?.transition === undefined ? 1 : 0;
      due.sort((a, b) =>
        transitionRank(a) - transitionRank(b) ||
        (observations.get(a.id)?.requestedAtMs ?? 0) -
          (observations.get(b.id)?.requestedAtMs ?? 0)
      );
      await Promise.all(
        due.slice(0, MAXIMUM_REPORTS_PER_STEP).map(requestReport),
      );
      const allObserved = workers.length > 0 &&
        workers.every((vm) => observations.has(vm.id));
      if (allObserved) monitoredSinceMs ??= clock.monotonicMs();
    },
    views(record) {
      const views = new Map<string, WorkerView>();
      for (const vmId of observations.keys()) {
        const view = createView(vmId, record);
        if (view !== undefined) views.set(vmId, view);
      }
      return views;
    },
    reset() {
      observations.clear();
      monitoredSinceMs = undefined;
    },
    isWarmedUp: () =>
      monitoredSinceMs !== undefined &&
      clock.monotonicMs() - monitoredSinceMs >= unreachableAfterMs,
    getReport: (vmId) => observations.get(vmId)?.report,
  };
}

/** Counts recorded tasks that no report shows yet as running; without the recorded tasks, the number is unknown. */
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
