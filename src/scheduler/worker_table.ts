import type { TaskState } from "./job_state.ts";
import { getStep, stepId } from "./job_state.ts";
import { type CandidateWorker, reserveResources } from "./placement.ts";
import type { WorkerRegistration } from "./ports.ts";
import type { WorkerLink } from "./worker_link.ts";

/** One life of a worker with the tasks that may be running on it. */
export interface WorkerInstance {
  readonly workerId: string;
  readonly bornAtMs: number;
  readonly vmId: string;
  /** Undefined for a life that earlier owners used and that is registered no more. */
  readonly link: WorkerLink | undefined;
  /** The registration; undefined once it is gone from the store. */
  registration: WorkerRegistration | undefined;
  /** When the registration went, in monotonic ms; undefined while it is there. */
  missingSinceMs: number | undefined;
  readonly tasks: Set<TaskState>;
  /** Monotonic time at which the owner first heard of the life, in ms. */
  readonly joinedAtMs: number;
  /** Monotonic time until which earlier owners' leases may last, in ms. */
  readonly earlierLeasesEndMs: number;
}

/** Identifies one life of a worker. */
export function instanceKey(workerId: string, bornAtMs: number): string {
  return `${workerId}/${bornAtMs}`;
}

/** All lives of workers that the owner deals with. */
export interface WorkerTable {
  readonly instances: ReadonlyMap<string, WorkerInstance>;
  add(instance: WorkerInstance): void;
  remove(instance: WorkerInstance): void;
  /** The life that a placement names. */
  find(workerId: string, bornAtMs: number): WorkerInstance | undefined;
  /** The registered life under an id. */
  current(workerId: string): WorkerInstance | undefined;
}

/** Creates an empty roster. */
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
    current(workerId) {
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

/** Lives of workers on a VM, whichever of them the platform's list names: the list may be older than the latest registration. */
export function instancesOnVm(
  instances: Iterable<WorkerInstance>,
  vmId: string,
): WorkerInstance[] {
  return [...instances].filter((instance) => instance.vmId === vmId);
}

/** Tasks that an order for a VM would end. */
export function tasksOnVm(
  instances: Iterable<WorkerInstance>,
  vmId: string,
): TaskState[] {
  return instancesOnVm(instances, vmId).flatMap(({ tasks }) => [...tasks]);
}

/** Computes what a life has left; tasks that are being stopped still take their room. */
export function createCandidate(
  instance: WorkerInstance,
  entry: WorkerRegistration,
  slowness: number,
): CandidateWorker {
  const candidate: CandidateWorker = {
    workerId: instance.workerId,
    rack: entry.rack,
    labels: entry.labels,
    capacity: entry.capacity,
    free: { ...entry.capacity },
    tasksByStep: new Map(),
    longRunningTasks: 0,
    slowness,
  };
  for (const task of instance.tasks) {
    reserveResources(candidate, { stepId: stepId(task), step: getStep(task) });
  }
  return candidate;
}
