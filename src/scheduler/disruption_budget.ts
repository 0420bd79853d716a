/**
 * Default of `bounds.noticeMs`, in ms: a task is back once it is at work. With
 * 5.5 s, seven of the 121 VMs of a maintenance wave weren't done in time.
 */
export const DEFAULT_NOTICE_MS = 0;

/** What the budget needs to know about one task of a long-running step. */
export interface StepTask {
  readonly taskId: string;
  /** Monotonic time since which the task has been at work (percent 100) without interruption, in ms; undefined if it isn't or may not be. */
  readonly atWorkSinceMs: number | undefined;
  /** Whether an order that ends the task was issued and may still be executed. */
  readonly isEnding: boolean;
  /** Whether the task may be at work on a worker that isn't draining, so that an order may end it. */
  readonly mayBeAtWork: boolean;
}

/** A long-running step with a disruption budget. */
export interface BudgetedStep {
  /** Number of tasks that may be away at the same time as a result of orders. */
  readonly mayMiss: number;
  /** Whether the tasks end together. */
  readonly gang: boolean;
  readonly tasks: readonly StepTask[];
}

/** Times that the decision depends on, in ms. */
export interface BudgetTimes {
  /** Current monotonic time. */
  readonly nowMs: number;
  /** Time for which a task must have been at work before it no longer counts as away. */
  readonly noticeMs: number;
}

/** Result of the decision, with the tasks that decided it. */
export interface BudgetDecision {
  readonly allowed: boolean;
  /** IDs of the tasks that are away before the order. */
  readonly away: readonly string[];
}

/** Whether a task is away: it is being ended by an order, or hasn't been at work without interruption for the notice period. */
export function isAway(
  { atWorkSinceMs, isEnding }: StepTask,
  { nowMs, noticeMs }: BudgetTimes,
): boolean {
  return isEnding || atWorkSinceMs === undefined ||
    nowMs - atWorkSinceMs < noticeMs;
}

/**
 * Decides whether an order may end some tasks of a step together: afterwards, no
 * more tasks may be away than the step's budget. Tasks that aren't at work may
 * always be ended.
 */
export function decideDisruption(
  step: BudgetedStep,
  taskIds: ReadonlySet<string>,
  times: BudgetTimes,
): BudgetDecision {
  const isAffected = ({ taskId }: StepTask) => taskIds.has(taskId);
  const away = step.tasks.filter((task) => isAway(task, times));
  const affected = step.gang && step.tasks.some(isAffected)
    ? step.tasks
    : step.tasks.filter(isAffected);
  const awayAfterwards = new Set([...away, ...affected]);
  return {
    allowed: !affected.some(({ mayBeAtWork }) => mayBeAtWork) ||
      awayAfterwards.size <= step.mayMiss,
    away: away.map(({ taskId }) => taskId),
  };
}
