import { assertNever } from "../errors.ts";
import type { TaskView, WorkerView } from "./worker_view.ts";

/** Time that a measure has to show an effect in the lagging reports, in ms. */
const EFFECT_MS = 10_000;

/** The last measure taken on a worker. */
export interface Relief {
  readonly measure: "throttle" | "checkpoint" | "stop";
  readonly atMs: number;
}

/** One command that relieves a worker. */
export interface ReliefAction {
  readonly measure: Relief["measure"];
  readonly task: TaskView;
}

function excessOf(task: TaskView): number {
  const { size } = task.identity;
  return Math.max(
    (task.usedCores ?? 0) / Math.max(size.cores, 0.01),
    (task.usedMemoryMb ?? 0) / Math.max(size.memoryMb, 1),
  );
}

function nextMeasure(
  last: Relief | undefined,
  coresOver: boolean,
): Relief["measure"] {
  // Throttling frees no memory.
  const first = coresOver ? "throttle" : "checkpoint";
  if (last === undefined) return first;
  switch (last.measure) {
    case "throttle":
      return "checkpoint";
    case "checkpoint":
    case "stop":
      return "stop";
    default:
      return assertNever(last.measure);
  }
}

/** Decides how an overloaded worker is relieved: tasks above their reservation are throttled, then checkpointed, then stopped. */
export function relieveWorker(
  worker: WorkerView,
  last: Relief | undefined,
  nowMs: number,
): ReliefAction[] {
  const sum = (use: (task: TaskView) => number | undefined) =>
    worker.tasks.reduce((total, task) => total + (use(task) ?? 0), 0);
  const coresOver = sum((task) => task.usedCores) > worker.capacity.cores;
  const memoryOver =
    sum((task) => task.usedMemoryMb) > worker.capacity.memoryMb;
  if (!coresOver && !memoryOver) return [];
  if (last !== undefined && nowMs - last.atMs < EFFECT_MS) return [];
  const above = worker.tasks.filter((task) => excessOf(task) > 1);
  above.sort((a, b) => excessOf(b) - excessOf(a));
  const measure = nextMeasure(last, coresOver && !memoryOver);
  const chosen = measure === "throttle" ? above : above.slice(0, 1);
  return chosen.map((task) => ({ measure, task }));
}
