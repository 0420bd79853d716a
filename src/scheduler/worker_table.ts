import type { TaskState } from "./job_state.ts";
import type { PlacedTasks } from "./placed_tasks.ts";
import type { CandidateWorker } from "./placement.ts";
import type { WorkerRegistration } from "./ports.ts";
import type { WorkerLink } from "./worker_link.ts";

/** One process instance of a worker, with the tasks that may be running on it. */
export interface WorkerInstance {
  readonly workerId: string;
  /** Start time of the instance, in ms since 1970. */
  readonly bornAtMs: number;
  readonly vmId: string;
  /** Undefined for an instance that earlier owners used and that is no longer registered. */
  readonly link: WorkerLink | undefined;
  /** Undefined once the registration has disappeared from the store. */
  registration: WorkerRegistration | undefined;
  /** Monotonic time at which the registration disappeared, in ms; undefined while it exists. */
  missingSinceMs: number | undefined;
  /** Whether the worker has announced that it is about to exit. */
  draining: boolean;
  readonly tasks: PlacedTasks;
  /** Monotonic time at which the owner learned of the instance, in ms. */
  readonly joinedAtMs: number;
  /** Monotonic time until which leases of earlier owners may last, in ms. */
  readonly earlierLeasesEndMs: number;
  /** Monotonic time until which start orders to this instance, which has ended, may be executed by the worker's next process, in ms; undefined if it hasn't ended. */
  readonly heldUntilMs?: number;
}

/** Returns the key that identifies a worker instance. */
export function instanceKey(workerId: string, bornAtMs: number): string {
  return `${workerId}/${bornAtMs}`;
}

/** Worker instances that are registered or may still have runs. */
export interface WorkerTable {
  readonly instances: ReadonlyMap<string, WorkerInstance>;
  add(instance: WorkerInstance): void;
  remove(instance: WorkerInstance): void;
  /** Returns the instance with this ID and start time; undefined if there is none. */
  find(workerId: string, bornAtMs: number): WorkerInstance | undefined;
  /** Returns the registered instance of a worker; undefined if there is none. */
  findRegistered(workerId: string): WorkerInstance | undefined;
  /** Returns all instances of a worker, of which at most one is registered. */
  listByWorker(workerId: string): WorkerInstance[];
  /** Returns all instances on a VM, not only the one in the platform's list, which may predate the latest registration. */
  listByVm(vmId: string): WorkerInstance[];
}

/** Instances by a key that several of them may share. */
type InstanceIndex = Map<string, Set<WorkerInstance>>;

function addToIndex(
  index: InstanceIndex,
  key: string,
  instance: WorkerInstance,
): void {
  const instances = index.get(key);
  if (instances === undefined) index.set(key, new Set([instance]));
  else instances.add(instance);
}

function removeFromIndex(
  index: InstanceIndex,
  key: string,
  instance: WorkerInstance,
): void {
  const instances = index.get(key);
  instances?.delete(instance);
  if (instances?.size === 0) index.delete(key);
}

/** Creates an empty worker table. */
export function createWorkerTable(): WorkerTable {
  const instances = new Map<string, WorkerInstance>();
  const byWorker: InstanceIndex = new Map();
  const byVm: InstanceIndex = new Map();

  function remove(instance: WorkerInstance): void {
    const key = instanceKey(instance.workerId, instance.bornAtMs);
    if (instances.get(key) === instance) instances.delete(key);
    removeFromIndex(byWorker, instance.workerId, instance);
    removeFromIndex(byVm, instance.vmId, instance);
  }

  return {
    instances,
    add(instance) {
      const key = instanceKey(instance.workerId, instance.bornAtMs);
      const replaced = instances.get(key);
      if (replaced !== undefined) remove(replaced);
      instances.set(key, instance);
      addToIndex(byWorker, instance.workerId, instance);
      addToIndex(byVm, instance.vmId, instance);
    },
    remove,
    find: (workerId, bornAtMs) =>
      instances.get(instanceKey(workerId, bornAtMs)),
    findRegistered(workerId) {
      for (const instance of byWorker.get(workerId) ?? []) {
        if (instance.registration !== undefined) return instance;
      }
      return undefined;
    },
    listByWorker: (workerId) => [...byWorker.get(workerId) ?? []],
    listByVm: (vmId) => [...byVm.get(vmId) ?? []],
  };
}

/** Returns the tasks that an order for a VM would end. */
export function tasksOnVm(table: WorkerTable, vmId: string): TaskState[] {
  return table.listByVm(vmId).flatMap(({ tasks }) => [...tasks]);
}

/** Creates the placement candidate for an instance, with its free resources. */
export function createCandidate(
  instance: WorkerInstance,
  registration: WorkerRegistration,
  slowness: number,
): CandidateWorker {
  const { capacity } = registration;
  const { reserved, countByStep, longRunningCount } = instance.tasks;
  return {
    workerId: instance.workerId,
    rack: registration.rack,
    labels: registration.labels,
    capacity,
    free: {
      cpuMillis: capacity.cpuMillis - reserved.cpuMillis,
      memoryMb: capacity.memoryMb - reserved.memoryMb,
      gpuCount: capacity.gpuCount - reserved.gpuCount,
    },
    tasksByStep: countByStep,
    longRunningTasks: longRunningCount,
    slowness,
  };
}
