import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { decideDisruption, type StepTask } from "./disruption_budget.ts";
import {
  getStep,
  type Placement,
  stepId,
  type TaskState,
} from "./job_state.ts";
import type { WorkerInstance } from "./worker_table.ts";

/**
 * Age of a report beyond which it doesn't show that a task is at work, in ms. A
 * worker is polled every 900 ms, and a poll may wait 700 ms for the journal.
 */
const MAXIMUM_REPORT_AGE_MS = 2_500;
/** Time after a stop order in which it may still be executed, in ms; workers have taken up to 12 s. */
const LATE_STOP_LIMIT_MS = 12_500;
/** Minimum time between two log lines on refused orders for one task, in ms. */
const LOG_INTERVAL_MS = 1_000;

/** Decides for every order that ends runs whether the disruption budgets of their steps allow it. */
export interface DisruptionGuard {
  /** Whether an order may end the runs of these tasks together; `order` names it in the log. */
  mayEnd(tasks: readonly TaskState[], order: string): boolean;
}

/** Dependencies of the disruption guard. */
export interface DisruptionGuardOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Time for which a task must have been at work before it no longer counts as away, in ms. */
  readonly noticeMs: number;
  readonly findInstance: (placement: Placement) => WorkerInstance | undefined;
  /** Whether an order for the VM may end what runs there. */
  readonly isVmEnding: (vmId: string) => boolean;
  /** Called with each logged refusal. */
  readonly onRefused: () => void;
}

/** Whether a step's budget applies to a task; it doesn't after a cancellation. */
function isBudgeted(task: TaskState): boolean {
  const { longRunning, mayMiss } = getStep(task);
  return longRunning && mayMiss !== undefined &&
    task.job.status !== "cancelled" && !task.job.cancelRequested;
}

/** Groups tasks by the occurrence of their step. */
function groupBySteps(tasks: readonly TaskState[]): TaskState[][] {
  const groups = new Map<string, TaskState[]>();
  for (const task of tasks) {
    const id = stepId(task);
    const group = groups.get(id);
    if (group === undefined) groups.set(id, [task]);
    else group.push(task);
  }
  return [...groups.values()];
}

/** Creates the disruption guard of one tenure. */
export function createDisruptionGuard(
  options: DisruptionGuardOptions,
): DisruptionGuard {
  const { clock, log, noticeMs, findInstance } = options;
  const loggedAtMs = new WeakMap<TaskState, number>();

  function describeTask(task: TaskState, nowMs: number): StepTask {
    const { taskId, placement } = task;
    if (placement === undefined) {
      return {
        taskId,
        atWorkSinceMs: undefined,
        isEnding: false,
        mayBeAtWork: false,
      };
    }
    const instance = findInstance(placement);
    const isInContact = instance?.link?.silentMs() === 0 &&
      nowMs - (placement.reportedAtMs ?? -Infinity) <= MAXIMUM_REPORT_AGE_MS;
    const isDraining = instance?.draining ?? false;
    return {
      taskId,
      // A task on a draining worker is about to end.
      atWorkSinceMs: isInContact && !isDraining
        ? placement.atWorkSinceMs
        : undefined,
      isEnding: placement.stopReason !== undefined ||
        nowMs - (placement.stopSentAtMs ?? -Infinity) < LATE_STOP_LIMIT_MS ||
        options.isVmEnding(placement.vmId),
      // The latest report may predate the task's return to readiness.
      mayBeAtWork: placement.startState !== "unrecorded" && !isDraining,
    };
  }

  /** Logs a refused order at most once per interval, because refused orders are tried again. */
  function recordRefusal(
    tasks: readonly TaskState[],
    order: string,
    away: readonly string[],
  ): void {
    const first = tasks[0]!;
    const nowMs = clock.monotonicMs();
    if (nowMs - (loggedAtMs.get(first) ?? -Infinity) < LOG_INTERVAL_MS) return;
    options.onRefused();
    loggedAtMs.set(first, nowMs);
    log.info("order not allowed by the disruption budget", {
      order,
      tasks: tasks.map(({ taskId }) => taskId),
      queue: first.job.spec.queue,
      mayMiss: getStep(first).mayMiss,
      away,
    });
  }

  return {
    mayEnd(tasks, order) {
      const nowMs = clock.monotonicMs();
      return groupBySteps(tasks.filter(isBudgeted)).every((group) => {
        const first = group[0]!;
        const { mayMiss, gang } = getStep(first);
        const { allowed, away } = decideDisruption(
          {
            mayMiss: mayMiss!,
            gang,
            tasks: first.siblings.map((task) => describeTask(task, nowMs)),
          },
          new Set(group.map(({ taskId }) => taskId)),
          { nowMs, noticeMs },
        );
        if (!allowed) recordRefusal(group, order, away);
        return allowed;
      });
    },
  };
}
