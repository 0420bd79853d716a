import {
  type CandidateWorker,
  chooseGangWorkers,
  chooseWorker,
  fits,
  type PlacementRequest,
} from "../placement.ts";
import type { TaskState } from "../job_state.ts";
import type { WorkerInstance } from "../worker_table.ts";
import { isYoung } from "./crash_tracker.ts";

/** Longest time that a suspect waits for an idle worker, in ms. */
const FIRST_WAIT_MS = 200;
/** Longest time that a suspect that is likely to crash its worker waits for an idle one, in ms. */
const MAXIMUM_WAIT_MS = 1_500;
/** Longest time that a worker is closed to other tasks for a suspect, in ms; an unanswered start may take seconds. */
const MAXIMUM_TRIAL_MS = 1_000;
/** Time since its last response within which a worker is preferred for a suspect, in ms. */
const RECENT_CONTACT_MS = 1_000;
/** Part of a service's workers that may be used or emptied for suspects at the same time; at least one may. */
const MAXIMUM_SHARE = 0.25;

/** Whether a worker runs a suspect that hasn't proven harmless yet; it gets no other task. `nowMs` is the monotonic time. */
export function isOnTrial(instance: WorkerInstance, nowMs: number): boolean {
  for (const task of instance.tasks.suspects) {
    const ageMs = nowMs - (task.placement?.placedAtMs ?? -Infinity);
    if (ageMs < MAXIMUM_TRIAL_MS && isYoung(task, instance)) return true;
  }
  return false;
}

/** Whether a worker runs nothing but suspects that have proven harmless. */
function runsOnlySuspects({ tasks }: WorkerInstance): boolean {
  return tasks.size === tasks.suspects.size && tasks.unwantedCount === 0;
}

/** Workers that get no new tasks but suspects, one after the other. */
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
          Number(runsOnlySuspects(b)) - Number(runsOnlySuspects(a)) ||
          a.tasks.size - b.tasks.size
        );
      reserved.set(
        service,
        new Set(preferred.slice(0, Math.max(0, Math.min(count, limit)))),
      );
    },
  };
}

/** A suspect that is to be placed. */
export interface SuspectOptions {
  readonly task: TaskState;
  /** Whether the task is likely to crash its worker, which is worth a longer wait. */
  readonly isLikely: boolean;
  /** Current monotonic time, in ms. */
  readonly nowMs: number;
}

/** Whether a suspect has waited so long for an idle worker that it is placed on any other one. */
export function hasWaitedTooLong(
  { task, isLikely, nowMs }: SuspectOptions,
): boolean {
  const waitLimitMs = isLikely ? MAXIMUM_WAIT_MS : FIRST_WAIT_MS;
  return nowMs - (task.trialWaitSinceMs ?? nowMs) >= waitLimitMs;
}

/**
 * Chooses workers for a gang of which more members are suspects than workers are
 * idle: idle ones that several members share, or else any. It doesn't matter
 * which member crashes its worker, as it fails the whole gang.
 */
export function chooseSharedTrialWorkers(
  candidates: readonly CandidateWorker[],
  request: PlacementRequest,
  { size, instanceOf }: {
    readonly size: number;
    readonly instanceOf: (candidate: CandidateWorker) => WorkerInstance;
  },
): CandidateWorker[] | undefined {
  const idle = candidates.filter((candidate) =>
    runsOnlySuspects(instanceOf(candidate))
  );
  return chooseGangWorkers(idle, request, size) ??
    chooseGangWorkers(candidates, request, size);
}

/**
 * Chooses a worker for a suspect: an idle one, or one that runs only suspects
 * which have proven harmless; after a long wait, the one with the fewest tasks.
 */
export function chooseTrialWorker(
  candidates: readonly CandidateWorker[],
  request: PlacementRequest,
  { instanceOf, ...suspect }: SuspectOptions & {
    readonly instanceOf: (candidate: CandidateWorker) => WorkerInstance;
  },
): CandidateWorker | undefined {
  const suitable = candidates.filter((candidate) =>
    runsOnlySuspects(instanceOf(candidate))
  );
  // An idle worker is polled rarely; one that is down without being known would be blamed on the suspect.
  const inContact = suitable.filter((candidate) =>
    suspect.nowMs -
        (instanceOf(candidate).link?.lastResponseAtMs ?? -Infinity) <
      RECENT_CONTACT_MS
  );
  const chosen = chooseWorker(inContact, request) ??
    chooseWorker(suitable, request);
  if (chosen !== undefined || !hasWaitedTooLong(suspect)) return chosen;
  return candidates
    .filter((candidate) => fits(candidate, request))
    .sort((a, b) => {
      const { tasks } = instanceOf(a);
      const { tasks: others } = instanceOf(b);
      return tasks.longRunningCount - others.longRunningCount ||
        tasks.size - others.size;
    })[0];
}
