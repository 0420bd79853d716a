import type { Step } from "./model.ts";
import type { Resources } from "./ports.ts";

/** A worker as placement sees it; `free` shrinks as tasks are placed. */
export interface WorkerRoom {
  readonly workerId: string;
  readonly rack: string;
  readonly labels: readonly string[];
  free: { cpuMillis: number; memoryMb: number; gpuCount: number };
  readonly capacity: Resources;
  /** Tasks of each step on the worker, by step id. */
  readonly tasksByStep: Map<string, number>;
  /** Long-running tasks on the worker. */
  lastingTasks: number;
  /** Expected slowness of the worker: 1 is the usual speed, 2 takes twice as long. */
  readonly slowness: number;
}

/** What a task asks of a worker. */
export interface Request {
  readonly stepId: string;
  readonly step: Step;
  /** Workers to be avoided while another fits. */
  readonly avoid: ReadonlySet<string>;
  /** Workers that may run the step; undefined means all. */
  readonly allowed: ReadonlySet<string> | undefined;
  /** Racks that hold other tasks of the step, with their number. */
  readonly tasksByRack: ReadonlyMap<string, number>;
}

/** Slowness from which a worker is used only when no other has room. */
const SLOW_LIMIT = 1.6;

/** Processor share that a task takes from its worker's capacity, in thousandths of a core. */
export function reservedCpuMillis(step: Step): number {
  return step.fills ? 0 : step.cpuMillis;
}

/** Whether a task of the step can run on the worker now. */
export function fits(room: WorkerRoom, request: Request): boolean {
  const { step } = request;
  if (room.free.cpuMillis < reservedCpuMillis(step)) return false;
  if (room.free.memoryMb < step.memoryMb) return false;
  if (room.free.gpuCount < step.gpuCount) return false;
  if (step.requiredLabel !== "" && !room.labels.includes(step.requiredLabel)) {
    return false;
  }
  if (
    step.maxPerWorker > 0 &&
    (room.tasksByStep.get(request.stepId) ?? 0) >= step.maxPerWorker
  ) return false;
  return request.allowed === undefined || request.allowed.has(room.workerId);
}

function compare(a: WorkerRoom, b: WorkerRoom, request: Request): number {
  const { step, avoid, stepId } = request;
  const avoided = Number(avoid.has(a.workerId)) -
    Number(avoid.has(b.workerId));
  if (avoided !== 0) return avoided;
  const slow = Number(a.slowness > SLOW_LIMIT) -
    Number(b.slowness > SLOW_LIMIT);
  if (slow !== 0) return slow;
  if (step.affinityRack !== "") {
    const far = Number(a.rack !== step.affinityRack) -
      Number(b.rack !== step.affinityRack);
    if (far !== 0) return far;
  }
  if (step.longRunning) {
    // A planned stop of one VM, or the loss of one rack, takes as few tasks of a step as possible.
    const same = (a.tasksByStep.get(stepId) ?? 0) -
      (b.tasksByStep.get(stepId) ?? 0);
    if (same !== 0) return same;
    const rack = (request.tasksByRack.get(a.rack) ?? 0) -
      (request.tasksByRack.get(b.rack) ?? 0);
    if (rack !== 0) return rack;
    // VMs without long-running tasks can change pools.
    const pinned = Number(b.lastingTasks > 0) - Number(a.lastingTasks > 0);
    if (pinned !== 0) return pinned;
  }
  // The fullest worker that fits; whole VMs become idle and can change pools.
  return a.free.cpuMillis - b.free.cpuMillis ||
    a.workerId.localeCompare(b.workerId);
}

/** Chooses the worker for one task; undefined when none has room. */
export function chooseWorker(
  rooms: readonly WorkerRoom[],
  request: Request,
): WorkerRoom | undefined {
  let best: WorkerRoom | undefined;
  for (const room of rooms) {
    if (!fits(room, request)) continue;
    if (best === undefined || compare(room, best, request) < 0) best = room;
  }
  return best;
}

/** Takes the room of one task. */
export function takeRoom(
  room: WorkerRoom,
  { step, stepId }: Pick<Request, "step" | "stepId">,
): void {
  room.free.cpuMillis -= reservedCpuMillis(step);
  room.free.memoryMb -= step.memoryMb;
  room.free.gpuCount -= step.gpuCount;
  room.tasksByStep.set(stepId, (room.tasksByStep.get(stepId) ?? 0) + 1);
  if (step.longRunning) room.lastingTasks++;
}

/** Places all tasks of a gang or none; returns the worker of each. */
export function chooseGang(
  rooms: readonly WorkerRoom[],
  request: Request,
  size: number,
): WorkerRoom[] | undefined {
  const racks = request.step.sameRack
    ? [...new Set(rooms.map(({ rack }) => rack)), undefined]
    : [undefined];
  for (const rack of racks) {
    const copies = rooms
      .filter((room) => rack === undefined || room.rack === rack)
      .map((room) => ({
        room,
        copy: {
          ...room,
          free: { ...room.free },
          tasksByStep: new Map(room.tasksByStep),
        },
      }));
    const chosen: WorkerRoom[] = [];
    while (chosen.length < size) {
      const copy = chooseWorker(copies.map((pair) => pair.copy), request);
      if (copy === undefined) break;
      takeRoom(copy, request);
      chosen.push(copies.find((pair) => pair.copy === copy)!.room);
    }
    if (chosen.length === size) return chosen;
  }
  return undefined;
}
