import type { Step } from "./model.ts";
import type { Resources } from "./ports.ts";

/** A worker that tasks can be placed on; `free` shrinks with each placed task. */
export interface CandidateWorker {
  readonly workerId: string;
  readonly rack: string;
  readonly labels: readonly string[];
  free: { cpuMillis: number; memoryMb: number; gpuCount: number };
  readonly capacity: Resources;
  /** Number of tasks of each step on the worker, by step ID. */
  readonly tasksByStep: Map<string, number>;
  /** Number of long-running tasks on the worker. */
  longRunningTasks: number;
  /** Expected duration of tasks on the worker relative to the usual one: 1 is normal, 2 takes twice as long. */
  readonly slowness: number;
}

/** Placement constraints and preferences of a task. */
export interface PlacementRequest {
  readonly stepId: string;
  readonly step: Step;
  /** Workers to use only if no other fits. */
  readonly avoidedWorkers: ReadonlySet<string>;
  /** Workers that may run the step; undefined means all. */
  readonly allowedWorkers: ReadonlySet<string> | undefined;
  /** Number of other tasks of the step, by rack. */
  readonly tasksByRack: ReadonlyMap<string, number>;
}

/** Slowness, relative to a normal worker, above which a worker is used only if no other has free capacity. */
const SLOWNESS_LIMIT = 1.6;

/** CPU capacity that a task reserves on its worker, in thousandths of a core. */
export function reservedCpuMillis(step: Step): number {
  return step.fills ? 0 : step.cpuMillis;
}

/** Whether the worker has free capacity for a task of the step and meets its constraints. */
export function fits(
  candidate: CandidateWorker,
  request: PlacementRequest,
): boolean {
  const { step } = request;
  if (candidate.free.cpuMillis < reservedCpuMillis(step)) return false;
  if (candidate.free.memoryMb < step.memoryMb) return false;
  if (candidate.free.gpuCount < step.gpuCount) return false;
  if (
    step.requiredLabel !== "" && !candidate.labels.includes(step.requiredLabel)
  ) {
    return false;
  }
  if (
    step.maxPerWorker > 0 &&
    (candidate.tasksByStep.get(request.stepId) ?? 0) >= step.maxPerWorker
  ) return false;
  return request.allowedWorkers === undefined ||
    request.allowedWorkers.has(candidate.workerId);
}

function compareCandidates(
  a: CandidateWorker,
  b: CandidateWorker,
  request: PlacementRequest,
): number {
  const { step, avoidedWorkers, stepId } = request;
  const avoidance = Number(avoidedWorkers.has(a.workerId)) -
    Number(avoidedWorkers.has(b.workerId));
  if (avoidance !== 0) return avoidance;
  const slowness = Number(a.slowness > SLOWNESS_LIMIT) -
    Number(b.slowness > SLOWNESS_LIMIT);
  if (slowness !== 0) return slowness;
  if (step.affinityRack !== "") {
    const affinity = Number(a.rack !== step.affinityRack) -
      Number(b.rack !== step.affinityRack);
    if (affinity !== 0) return affinity;
  }
  if (step.longRunning) {
    // Spreading limits the tasks of a step that the planned stop of a VM or the loss of a rack affects.
    const sameStepTasks = (a.tasksByStep.get(stepId) ?? 0) -
      (b.tasksByStep.get(stepId) ?? 0);
    if (sameStepTasks !== 0) return sameStepTasks;
    const sameRackTasks = (request.tasksByRack.get(a.rack) ?? 0) -
      (request.tasksByRack.get(b.rack) ?? 0);
    if (sameRackTasks !== 0) return sameRackTasks;
    // Workers that already run long-running tasks are preferred, as VMs without any can change pools.
    const pinned = Number(b.longRunningTasks > 0) -
      Number(a.longRunningTasks > 0);
    if (pinned !== 0) return pinned;
  }
  // Best fit: filling the fullest worker first leaves whole VMs idle, which can change pools.
  return a.free.cpuMillis - b.free.cpuMillis ||
    (a.workerId < b.workerId ? -1 : 1);
}

/**
 * Remembers requests that no worker had room for, so that a backlog of similar
 * tasks is searched once. It is valid while free resources only shrink.
 */
export interface UnplaceableRequests {
  /** Whether a request that needs no more of any resource has found no room. */
  includes(step: Step): boolean;
  /** Records a request that found no room on any worker. */
  record(request: PlacementRequest): void;
}

/** Creates an empty record of unplaceable requests. */
export function createUnplaceableRequests(): UnplaceableRequests {
  const failed: Step[] = [];
  const needsAtLeast = (step: Step, other: Step) =>
    reservedCpuMillis(step) >= reservedCpuMillis(other) &&
    step.memoryMb >= other.memoryMb && step.gpuCount >= other.gpuCount;
  return {
    includes: (step) => failed.some((other) => needsAtLeast(step, other)),
    record({ step, allowedWorkers }) {
      // With further constraints, a worker may have had room all the same.
      if (
        step.requiredLabel === "" && step.maxPerWorker === 0 &&
        allowedWorkers === undefined
      ) failed.push(step);
    },
  };
}

/** Chooses the worker for one task; undefined if none fits. */
export function chooseWorker(
  candidates: readonly CandidateWorker[],
  request: PlacementRequest,
): CandidateWorker | undefined {
  let best: CandidateWorker | undefined;
  for (const candidate of candidates) {
    if (!fits(candidate, request)) continue;
    if (best === undefined || compareCandidates(candidate, best, request) < 0) {
      best = candidate;
    }
  }
  return best;
}

/** Subtracts the resources of one task from the worker's free ones; `tasksByStep` is left to the caller. */
export function subtractResources(
  candidate: CandidateWorker,
  step: Step,
): void {
  candidate.free.cpuMillis -= reservedCpuMillis(step);
  candidate.free.memoryMb -= step.memoryMb;
  candidate.free.gpuCount -= step.gpuCount;
  if (step.longRunning) candidate.longRunningTasks++;
}

/** Adds one task to a candidate that doesn't share its counts with a worker. */
export function reserveResources(
  candidate: CandidateWorker,
  { step, stepId }: Pick<PlacementRequest, "step" | "stepId">,
): void {
  subtractResources(candidate, step);
  candidate.tasksByStep.set(
    stepId,
    (candidate.tasksByStep.get(stepId) ?? 0) + 1,
  );
}

/** Chooses a worker for each task of a gang; undefined if they don't all fit. */
export function chooseGangWorkers(
  candidates: readonly CandidateWorker[],
  request: PlacementRequest,
  size: number,
): CandidateWorker[] | undefined {
  const racks = request.step.sameRack
    ? [...new Set(candidates.map(({ rack }) => rack)), undefined]
    : [undefined];
  for (const rack of racks) {
    const copies = candidates
      .filter((candidate) => rack === undefined || candidate.rack === rack)
      .map((candidate) => ({
        original: candidate,
        copy: {
          ...candidate,
          free: { ...candidate.free },
          tasksByStep: new Map(candidate.tasksByStep),
        },
      }));
    const chosen: CandidateWorker[] = [];
    while (chosen.length < size) {
      const copy = chooseWorker(copies.map((pair) => pair.copy), request);
      if (copy === undefined) break;
      reserveResources(copy, request);
      chosen.push(copies.find((pair) => pair.copy === copy)!.original);
    }
    if (chosen.length === size) return chosen;
  }
  return undefined;
}
