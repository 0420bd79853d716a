import { assertNever } from "../errors.ts";
import type { TaskView, WorkerView } from "./worker_view.ts";

/** Time until the effect of an action shows in the lagging reports, in ms. */
const MITIGATION_SETTLE_MS = 10_000;

/** The last action taken on an overloaded worker. */
export interface Mitigation {
  readonly action: "throttle" | "checkpoint" | "stop";
  /** Wall-clock time at which the commands were sent, in ms. */
  readonly atMs: number;
}

/** A command that reduces the load of a worker. */
export interface MitigationCommand {
  readonly action: Mitigation["action"];
  readonly task: TaskView;
}

function overuseRatio(task: TaskView): number {
  const { size } = task.identity;
  return Math.max(
    (task.usedCores ?? 0) / Math.max(size.cores, 0.01),
    (task.usedMemoryMb ?? 0) / Math.max(size.memoryMb, 1),
  );
}

function nextAction(
  last: Mitigation | undefined,
  coresOverloaded: boolean,
): Mitigation["action"] {
  // Throttling frees no memory.
  const first = coresOverloaded ? "throttle" : "checkpoint";
  if (last === undefined) return first;
  switch (last.action) {
    case "throttle":
      return "checkpoint";
    case "checkpoint":
    case "stop":
      return "stop";
    default:
      return assertNever(last.action);
  }
}

/**
 * Decides how the load of an overloaded worker is reduced: tasks that exceed
 * their reservation are throttled first, then checkpointed, then stopped.
 */
export function mitigateOverload(
  worker: WorkerView,
  last: Mitigation | undefined,
  nowMs: number,
): MitigationCommand[] {
  const sum = (use: (task: TaskView) => number | undefined) =>
    worker.tasks.reduce((total, task) => total + (use(task) ?? 0), 0);
  const coresOverloaded = sum((task) => task.usedCores) > worker.capacity.cores;
  const memoryOverloaded =
    sum((task) => task.usedMemoryMb) > worker.capacity.memoryMb;
  if (!coresOverloaded && !memoryOverloaded) return [];
  if (last !== undefined && nowMs - last.atMs < MITIGATION_SETTLE_MS) return [];
  const overReservation = worker.tasks.filter((task) => overuseRatio(task) > 1);
  overReservation.sort((a, b) => overuseRatio(b) - overuseRatio(a));
  const action = nextAction(last, coresOverloaded && !memoryOverloaded);
  const chosen = action === "throttle"
    ? overReservation
    : overReservation.slice(0, 1);
  return chosen.map((task) => ({ action, task }));
}
