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
import { judgeStandings, type Quarantined } from "./quarantine.ts";
import { parseTaskId, taskIdOf } from "./task_id.ts";
import type { WorkerReports } from "./worker_reports.ts";
import type { Standing, TaskView, WorkerView } from "./worker_view.ts";

/** What one planning step of a shard sees. */
export interface JobsWorld {
  readonly region: string;
  readonly config: ResolvedConfig;
  readonly fleet: FleetRecord;
  readonly vmList: VmListSnapshot;
  readonly reports: WorkerReports;
  readonly schedulerState: SchedulerState;
  /** Wall-clock time, in ms. */
  readonly nowMs: number;
  /** Wall-clock time at which the VM list was read, in ms; assignments carry wall-clock times. */
  readonly vmListReadAtMs: number;
}

/** What the view of a planning step is read from. */
export interface WorldSources {
  readonly region: string;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly reports: WorkerReports;
  readonly schedulerState: SchedulerState;
  readonly clock: Clock;
}

/** Returns the present view; undefined until configuration, fleet record and VM list are known. */
export function readWorld(sources: WorldSources): JobsWorld | undefined {
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

// Each started job of each shard looks up its worker in every step.
const listed = new WeakMap<VmListSnapshot, Map<string, Map<string, Vm>>>();

/** Returns the region's workers in the VM list by id. */
export function listWorkers(
  snapshot: VmListSnapshot,
  region: string,
): ReadonlyMap<string, Vm> {
  const regions = listed.get(snapshot) ?? new Map<string, Map<string, Vm>>();
  listed.set(snapshot, regions);
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

/** Returns the teams' limits by name. */
export function listQuotas(config: ResolvedConfig): Map<string, Quota> {
  return new Map(config.teams.map(({ name, quota }) => [name, quota as Quota]));
}

/** Returns what a VM offers to tasks. */
export function capacityOf({ cores, memoryMb, accelerators }: Vm): Size {
  return { cores, memoryMb, accelerators };
}

/** Remembers workers that disappeared or fell silent, by which correlated failures are recognised. */
export function noteLosses(world: JobsWorld): void {
  const { schedulerState, reports, fleet, nowMs } = world;
  const workers = listWorkers(world.vmList, world.region);
  for (const [vmId, { rack }] of Object.entries(fleet.vms)) {
    const lost = !workers.has(vmId) ||
      reports.silentMs(vmId) >= UNREACHABLE_AFTER_MS;
    if (!lost) continue;
    schedulerState.losses.set(vmId, { rack, atMs: nowMs });
  }
}

/** Returns how blamed workers are used under their pools' budgets. */
export function listStandings(world: JobsWorld): Map<string, Standing> {
  const { schedulerState, fleet, nowMs } = world;
  const standings = new Map<string, Standing>();
  if (schedulerState.quarantined.size === 0) return standings;
  for (const pool of world.config.pools) {
    const members = Object.entries(fleet.vms).filter(([, vm]) =>
      vm.pool === pool.name && vm.state === "serving"
    );
    const blamed = new Map(
      members.flatMap(([vmId]): [string, Quarantined][] => {
        const known = schedulerState.quarantined.get(vmId);
        return known === undefined ? [] : [[vmId, known]];
      }),
    );
    const { minimumServingVms } = pool.availability;
    const budget = { servingVms: members.length, minimumServingVms };
    for (const [vmId, standing] of judgeStandings(blamed, budget, nowMs)) {
      standings.set(vmId, standing);
    }
  }
  return standings;
}

/** Returns the tasks of each worker: those that it reports, those that this entry's shards have assigned to it, and those that other entries have assigned just now. */
function listTasks(world: JobsWorld, jobs: Iterable<Job>) {
  const { reports, schedulerState, nowMs } = world;
  const tasks = new Map<string, TaskView[]>();
  const add = (vmId: string, taskId: string) => {
    const known = tasks.get(vmId) ?? [];
    if (known.some((task) => task.taskId === taskId)) return;
    const identity = parseTaskId(taskId)!;
    const use = { usedCores: undefined, usedMemoryMb: undefined };
    known.push({ taskId, identity, ...use });
    tasks.set(vmId, known);
  };
  for (const vmId of Object.keys(world.fleet.vms)) {
    tasks.set(vmId, reports.runningTasks(vmId).map(({ view }) => view));
  }
  for (const job of jobs) {
    const run = activeRun(job);
    if (run === undefined) continue;
    add(run.vmId, taskIdOf(job, run));
  }
  for (const { vmId, taskId } of schedulerState.listUnseenStarts(nowMs)) {
    if (reports.isCheckpointConfirmed(taskId)) continue;
    const state = reports.taskStatus(vmId, taskId)?.state ?? "running";
    // A report that shows a checkpoint may be older than the continuation.
    if (state === "running" || state === "checkpointed") add(vmId, taskId);
  }
  return tasks;
}

function isServing(record: VmRecord, vm: Vm, reports: WorkerReports): boolean {
  return record.state === "serving" && record.transition === undefined &&
    record.incarnation === vm.incarnation && vm.state === "live" &&
    reports.isFresh(vm.id);
}

/** Builds the view of each worker that the VM list and the fleet record know. `jobs` are those of all shards of this entry. */
export function viewWorkers(
  world: JobsWorld,
  jobs: Iterable<Job>,
): WorkerView[] {
  const { fleet, reports, schedulerState, nowMs } = world;
  const workers = listWorkers(world.vmList, world.region);
  const tasks = listTasks(world, jobs);
  const standings = listStandings(world);
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
      held: schedulerState.heldOn(vmId, nowMs),
    }];
  });
}
