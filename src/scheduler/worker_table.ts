import type { TaskState } from "./job_state.ts";
import { getStep, stepId } from "./job_state.ts";
import { type CandidateWorker, reserveResources } from "./placement.ts";
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
  readonly tasks: Set<TaskState>;
  /** Monotonic time at which the owner learned of the instance, in ms. */
  readonly joinedAtMs: number;
  /** Monotonic time until which leases of earlier owners may last, in ms. */
  readonly earlierLeasesEndMs: number;
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
}

/** Creates an empty worker table. */
export function createWorkerTable(): WorkerTable {
  const instances = new Map<string, WorkerInstance>();
  return {
    instances,
    add: (instance) =>
      void instances.set(
        instanceKey(instance.workerId, instance.bornAtMs),
        instance,
      ),
    remove: (instance) =>
      void instances.delete(instanceKey(instance.workerId, instance.bornAtMs)),
    find: (workerId, bornAtMs) =>
      instances.get(instanceKey(workerId, bornAtMs)),
    findRegistered(workerId) {
      for (const instance of instances.values()) {
        if (
          instance.workerId === workerId && instance.registration !== undefined
        ) {
          return instance;
        }
      }
      return undefined;
    },
  };
}

/** Returns all worker instances on a VM, not only the one in the platform's list, which may predate the latest registration. */
export function instancesOnVm(
  instances: Iterable<WorkerInstance>,
  vmId: string,
): WorkerInstance[] {
  return [...instances].filter((instance) => instance.vmId === vmId);
}

/** Returns the tasks that an order for a VM would end. */
export function tasksOnVm(
  instances: Iterable<WorkerInstance>,
  vmId: string,
): TaskState[] {
  return instancesOnVm(instances, vmId).flatMap(({ tasks }) => [...tasks]);
}

/** Creates the placement candidate for an instance, with its free resources; tasks that are being stopped still occupy theirs. */
export function createCandidate(
  instance: WorkerInstance,
  registration: WorkerRegistration,
  slowness: number,
): CandidateWorker {
  const candidate: CandidateWorker = {
    workerId: instance.workerId,
    rack: registration.rack,
    labels: registration.labels,
    capacity: registration.capacity,
    free: { ...registration.capacity },
    tasksByStep: new Map(),
    longRunningTasks: 0,
    slowness,
  };
  for (const task of instance.tasks) {
    reserveResources(candidate, { stepId: stepId(task), step: getStep(task) });
  }
  return candidate;
}
