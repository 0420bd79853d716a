import type { TaskState } from "./job_state.ts";
import { stepId, stepOf } from "./job_state.ts";
import { takeRoom, type WorkerRoom } from "./placement.ts";
import type { WorkerEntry } from "./ports.ts";
import type { WorkerLink } from "./worker_link.ts";

/** One life of a worker with the tasks that may be running on it. */
export interface WorkerInstance {
  readonly workerId: string;
  readonly bornAtMs: number;
  readonly vmId: string;
  /** Undefined for a life that earlier owners used and that is registered no more. */
  readonly link: WorkerLink | undefined;
  /** The registration; undefined once it is gone from the store. */
  registration: WorkerEntry | undefined;
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
  add(life: WorkerInstance): void;
  remove(life: WorkerInstance): void;
  /** The life that a placement names. */
  find(workerId: string, bornAtMs: number): WorkerInstance | undefined;
  /** The registered life under an id. */
  current(workerId: string): WorkerInstance | undefined;
}

/** Creates an empty roster. */
export function createWorkerTable(): WorkerTable {
  const lives = new Map<string, WorkerInstance>();
  return {
    instances: lives,
    add: (life) =>
      void lives.set(instanceKey(life.workerId, life.bornAtMs), life),
    remove: (life) =>
      void lives.delete(instanceKey(life.workerId, life.bornAtMs)),
    find: (workerId, bornAtMs) => lives.get(instanceKey(workerId, bornAtMs)),
    current(workerId) {
      for (const life of lives.values()) {
        if (life.workerId === workerId && life.registration !== undefined) {
          return life;
        }
      }
      return undefined;
    },
  };
}

/** Lives of workers on a VM, whichever of them the platform's list names: the list may be older than the latest registration. */
export function instancesOnVm(
  lives: Iterable<WorkerInstance>,
  vmId: string,
): WorkerInstance[] {
  return [...lives].filter((life) => life.vmId === vmId);
}

/** Tasks that an order for a VM would end. */
export function tasksOnVm(
  lives: Iterable<WorkerInstance>,
  vmId: string,
): TaskState[] {
  return instancesOnVm(lives, vmId).flatMap(({ tasks }) => [...tasks]);
}

/** Computes what a life has left; tasks that are being stopped still take their room. */
export function createCandidate(
  life: WorkerInstance,
  entry: WorkerEntry,
  slowness: number,
): WorkerRoom {
  const room: WorkerRoom = {
    workerId: life.workerId,
    rack: entry.rack,
    labels: entry.labels,
    capacity: entry.capacity,
    free: { ...entry.capacity },
    tasksByStep: new Map(),
    lastingTasks: 0,
    slowness,
  };
  for (const task of life.tasks) {
    takeRoom(room, { stepId: stepId(task), step: stepOf(task) });
  }
  return room;
}
