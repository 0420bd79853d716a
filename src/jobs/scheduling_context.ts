import type { Clock } from "../clock.ts";
import type { AppliedConfig, ResolvedConfig } from "../config/schema.ts";
import type { Observable } from "../observable.ts";
import type { FleetRecord, VmRecord } from "../fleet/record.ts";
import { UNREACHABLE_AFTER_MS } from "../constants.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";
import { activeRun, type Job, type Size } from "./job.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { Quota } from "./placement.ts";
import { assignStandings, type QuarantineState } from "./quarantine.ts";
import { parseTaskId, taskIdOf } from "./task_id.ts";
import type { WorkerReports } from "./worker_reports.ts";
import type { TaskView, WorkerStanding, WorkerView } from "./worker_view.ts";

/**
 * Configuration, fleet state and reports on which a planning step of a shard is
 * based.
 */
export interface SchedulingContext {
  readonly region: string;
  readonly config: ResolvedConfig;
  readonly fleet: FleetRecord;
  readonly vmList: VmListSnapshot;
  readonly reports: WorkerReports;
  readonly schedulerState: SchedulerState;
  /** Wall-clock time, in ms. */
  readonly nowMs: number;
  /**
   * Wall-clock time at which the VM list was read, in ms. Comparable with the
   * times of assignments.
   */
  readonly vmListReadAtMs: number;
}

/** Sources of a scheduling context. */
export interface SchedulingContextSources {
  readonly region: string;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly reports: WorkerReports;
  readonly schedulerState: SchedulerState;
  readonly clock: Clock;
}

/**
 * Returns the current scheduling context; undefined until configuration, fleet
 * record and VM list are known.
 */
export function readSchedulingContext(
  sources: SchedulingContextSources,
): SchedulingContext | undefined {
  const { config, fleet, vmList, region, reports, schedulerState, clock } =
    sources;
  const applied = config.get();
  const record = fleet.get();
  const snapshot = vmList.get();
  if (
    applied === undefined || record === undefined || snapshot === undefined
  ) return undefined;
  return {
    region,
    config: applied.config,
    fleet: record,
    vmList: snapshot,
    reports,
    schedulerState,
    nowMs: clock.wallMs(),
    vmListReadAtMs: clock.wallMs() - (clock.monotonicMs() - snapshot.readAtMs),
  };
}

// Every step looks up the worker of every started job of every shard, so the
// lookup table is cached.
const workersBySnapshot = new WeakMap<
  VmListSnapshot,
  Map<string, Map<string, Vm>>
>();

/** Returns the region's workers in the VM list, by id. */
export function listWorkers(
  snapshot: VmListSnapshot,
  region: string,
): ReadonlyMap<string, Vm> {
  const regions = workersBySnapshot.get(snapshot) ??
    new Map<string, Map<string, Vm>>();
  workersBySnapshot.set(snapshot, regions);
  let workers = regions.get(region);
  if (workers === undefined) {
    workers = new Map(
      snapshot.vms.filter((vm) => vm.role === "worker" && vm.region === region)
        .map((vm): [string, Vm] => [vm.id, vm]),
    );
    regions.set(region, workers);
  }
  return workers;
}

/** Returns the quota of each team, by name. */
export function listQuotas(config: ResolvedConfig): Map<string, Quota> {
  return new Map(config.teams.map(({ name, quota }) => [name, quota as Quota]));
}

/** Returns the resources that a VM offers to tasks. */
export function capacityOf({ cores, memoryMb, accelerators }: Vm): Size {
  return { cores, memoryMb, accelerators };
}

/**
 * Records workers that disappeared or stopped answering, to detect correlated
 * failures.
 */
export function recordLostWorkers(context: SchedulingContext): void {
  const { schedulerState, reports, fleet, nowMs } = context;
  const workers = listWorkers(context.vmList, context.region);
  for (const [vmId, { rack }] of Object.entries(fleet.vms)) {
    const lost = !workers.has(vmId) ||
      reports.silentMs(vmId) >= UNREACHABLE_AFTER_MS;
    if (!lost) continue;
    schedulerState.lostWorkers.set(vmId, { rack, atMs: nowMs });
  }
}

/**
 * Returns the standing of quarantined workers within the budgets of their
 * pools.
 */
export function listWorkerStandings(
  context: SchedulingContext,
): Map<string, WorkerStanding> {
  const { schedulerState, fleet, nowMs } = context;
  const standings = new Map<string, WorkerStanding>();
  if (schedulerState.quarantines.size === 0) return standings;
  for (const pool of context.config.pools) {
    const members = Object.entries(fleet.vms).filter(([, vm]) =>
      vm.pool === pool.name && vm.state === "serving"
    );
    const quarantines = new Map(
      members.flatMap(([vmId]): [string, QuarantineState][] => {
        const quarantine = schedulerState.quarantines.get(vmId);
        return quarantine === undefined ? [] : [[vmId, quarantine]];
      }),
    );
    const { minimumServingVms } = pool.availability;
    const budget = { servingVms: members.length, minimumServingVms };
    for (
      const [vmId, standing] of assignStandings(quarantines, budget, nowMs)
    ) {
      standings.set(vmId, standing);
    }
  }
  return standings;
}

/**
 * Returns the tasks of each worker: those in its report, those assigned by this
 * entry's shards, and those recently assigned by other entries.
 */
function listTasks(context: SchedulingContext, jobs: Iterable<Job>) {
  const { reports, schedulerState, nowMs } = context;
  const tasks = new Map<string, TaskView[]>();
  const add = (vmId: string, taskId: string) => {
    const workerTasks = tasks.get(vmId) ?? [];
    if (workerTasks.some((task) => task.taskId === taskId)) return;
    const identity = parseTaskId(taskId)!;
    const use = { usedCores: undefined, usedMemoryMb: undefined };
    workerTasks.push({ taskId, identity, ...use });
    tasks.set(vmId, workerTasks);
  };
  for (const vmId of Object.keys(context.fleet.vms)) {
    tasks.set(vmId, reports.runningTasks(vmId).map(({ view }) => view));
  }
  for (const job of jobs) {
    const run = activeRun(job);
    if (run === undefined) continue;
    add(run.vmId, taskIdOf(job, run));
  }
  for (const { vmId, taskId } of schedulerState.listUnreportedStarts(nowMs)) {
    if (reports.isCheckpointConfirmed(taskId)) continue;
    const taskState = reports.taskStatus(vmId, taskId)?.state ?? "running";
    // A report that shows a checkpoint may be older than the resume.
    if (taskState === "running" || taskState === "checkpointed") {
      add(vmId, taskId);
    }
  }
  return tasks;
}

function isServing(record: VmRecord, vm: Vm, reports: WorkerReports): boolean {
  return record.state === "serving" && record.transition === undefined &&
    record.incarnation === vm.incarnation && vm.state === "live" &&
    reports.isFresh(vm.id);
}

/**
 * Builds the view of each worker that is in both the VM list and the fleet
 * record. `jobs` are the jobs of all shards of this entry.
 */
export function viewWorkers(
  context: SchedulingContext,
  jobs: Iterable<Job>,
): WorkerView[] {
  const { fleet, reports, schedulerState, nowMs } = context;
  const workers = listWorkers(context.vmList, context.region);
  const tasks = listTasks(context, jobs);
  const standings = listWorkerStandings(context);
  return Object.entries(fleet.vms).flatMap(([vmId, record]): WorkerView[] => {
    const vm = workers.get(vmId);
    if (vm === undefined) return [];
    const { incarnation } = vm;
    const report = reports.reportSince(vmId, { incarnation, sinceMs: 0 });
    return [{
      vmId,
      incarnation,
      controlAddress: vm.controlAddress,
      pool: record.pool,
      rack: vm.rack,
      capacity: capacityOf(vm),
      serving: isServing(record, vm, reports) && report !== undefined,
      standing: standings.get(vmId) ?? "normal",
      rebootIntentId: report?.lastRebootIntentId,
      tasks: tasks.get(vmId) ?? [],
      hold: schedulerState.findHold(vmId, nowMs),
    }];
  });
}
