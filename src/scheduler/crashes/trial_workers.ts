import {
  type CandidateWorker,
  chooseWorker,
  fits,
  type PlacementRequest,
} from "../placement.ts";
import type { WorkerInstance } from "../worker_table.ts";
import { isYoung } from "./crash_tracker.ts";

/** Longest time that a suspect waits for an idle worker, in ms; then it gets the one with the fewest tasks. */
const MAXIMUM_WAIT_MS = 1_500;
/** Time since its last response within which a worker is preferred for a suspect, in ms. */
const RECENT_CONTACT_MS = 1_000;
/** Part of a service's workers that may be used or emptied for suspects at the same time; at least one may. */
const MAXIMUM_SHARE = 0.34;

/** Whether a worker runs a suspect that hasn't proven harmless yet; it gets no other task. */
export function isOnTrial(instance: WorkerInstance): boolean {
  for (const task of instance.tasks.suspects) {
    if (isYoung(task, instance)) return true;
  }
  return false;
}

/** Workers that get no new tasks until they are idle, so that suspects can run alone on them. */
export interface TrialWorkers {
  /** Whether a worker is being emptied for a suspect. */
  isReserved(instance: WorkerInstance): boolean;
  /** Reserves workers of a service for `count` suspects that wait, and releases the others; `busyCount` workers run a suspect. */
  reserve(
    service: string,
    workers: readonly WorkerInstance[],
    demand: { readonly count: number; readonly busyCount: number },
  ): void;
}

/** Creates an empty set of reserved workers. */
export function createTrialWorkers(): TrialWorkers {
  const reserved = new Map<string, ReadonlySet<WorkerInstance>>();
  return {
    isReserved(instance) {
      const service = instance.registration?.service ?? "";
      return reserved.get(service)?.has(instance) ?? false;
    },
    reserve(service, workers, { count, busyCount }) {
      if (count === 0) return void reserved.delete(service);
      const limit = Math.max(1, Math.floor(workers.length * MAXIMUM_SHARE)) -
        busyCount;
      const before = reserved.get(service);
      const preferred = workers
        // A worker with long-running tasks doesn't become idle.
        .filter(({ tasks }) => tasks.longRunningCount === 0)
        .sort((a, b) =>
          Number(before?.has(b) ?? false) - Number(before?.has(a) ?? false) ||
          a.tasks.size - b.tasks.size
        );
      reserved.set(
        service,
        new Set(preferred.slice(0, Math.max(0, Math.min(count, limit)))),
      );
    },
  };
}

/** Chooses a worker on which a suspect runs alone; after a long wait, the one with the fewest tasks that fits. */
export function chooseTrialWorker(
  candidates: readonly CandidateWorker[],
  request: PlacementRequest,
  { waitedMs, tasksOn, contactAgeMs }: {
    /** Time that the task has waited for an idle worker, in ms. */
    readonly waitedMs: number;
    /** Returns the number of tasks and unwanted runs on a worker. */
    readonly tasksOn: (workerId: string) => number;
    /** Returns the time since a worker's last response, in ms. */
    readonly contactAgeMs: (workerId: string) => number;
  },
): CandidateWorker | undefined {
  const idle = candidates.filter(({ workerId }) => tasksOn(workerId) === 0);
  // An idle worker is polled rarely; one that is down without being known would be blamed on the suspect.
  const inContact = idle.filter(({ workerId }) =>
    contactAgeMs(workerId) < RECENT_CONTACT_MS
  );
  const chosen = chooseWorker(inContact, request) ??
    chooseWorker(idle, request);
  if (chosen !== undefined || waitedMs < MAXIMUM_WAIT_MS) return chosen;
  return candidates
    .filter((candidate) => fits(candidate, request))
    .sort((a, b) => tasksOn(a.workerId) - tasksOn(b.workerId))[0];
}
