import { type Operation, sleep } from "effection";
import type { Logger } from "../logger.ts";
import { getStep, type TaskState } from "./job_state.ts";
import type { Scheduler } from "./scheduler.ts";

/** Interval of decisions, in ms; the workers' figures cover the last half second. */
const THROTTLE_INTERVAL_MS = 350;
/** Share of its target at which a serving task's tail slows the filling tasks beside it. */
const SLOW_DOWN_SHARE = 0.85;
/** Share of its target below which they may speed up again. */
const SPEED_UP_SHARE = 0.6;
/** Factor of each slowing step. */
const SLOW_DOWN_FACTOR = 0.5;
/** Percent added by each step up. */
const SPEED_UP_PERCENT = 10;
/** Percent below which a filling task is paused. */
const MINIMUM_SPEED_PERCENT = 8;

/**
 * Pace of filling tasks beside serving ones whose tail nears its target: down
 * at once by halves, up by small steps; all the way down when the target is
 * missed.
 */
export function chooseSpeedPercent(
  current: number,
  worstShareOfTarget: number,
): number {
  if (worstShareOfTarget >= 1) {
    return current > 50 ? 25 : 0;
  }
  if (worstShareOfTarget >= SLOW_DOWN_SHARE) {
    const next = Math.floor(current * SLOW_DOWN_FACTOR);
    return next < MINIMUM_SPEED_PERCENT ? 0 : next;
  }
  if (worstShareOfTarget < SPEED_UP_SHARE) {
    return Math.min(100, current + SPEED_UP_PERCENT);
  }
  return current;
}

/** Paces the filling tasks of every worker that also runs serving tasks. */
export function* runThrottling(
  scheduler: Scheduler,
  log: Logger,
): Operation<void> {
  const speedPercents = new WeakMap<object, number>();
  for (;;) {
    yield* sleep(THROTTLE_INTERVAL_MS);
    for (const instance of scheduler.workers.instances.values()) {
      const { link } = instance;
      if (link === undefined) continue;
      let worstShare = 0;
      const bestEffortTasks: TaskState[] = [];
      for (const task of instance.tasks) {
        const { placement } = task;
        if (placement?.startState !== "running") continue;
        const step = getStep(task);
        if (step.fills) bestEffortTasks.push(task);
        else if (step.targetMs > 0) {
          worstShare = Math.max(
            worstShare,
            placement.recentMetric / step.targetMs,
          );
        }
      }
      for (const task of bestEffortTasks) {
        const placement = task.placement!;
        const current = speedPercents.get(placement) ?? 100;
        const next = chooseSpeedPercent(current, worstShare);
        if (next === current) continue;
        speedPercents.set(placement, next);
        log.debug("pace of a filling task changed", {
          task: task.taskId,
          worker: instance.workerId,
          worstShare: Number(worstShare.toFixed(2)),
          percent: next,
        });
        void link.pace(task.taskId, placement.run, next).then((outcome) => {
          // The next round sets the pace again.
          if (outcome.kind !== "done") speedPercents.set(placement, current);
        });
      }
    }
  }
}
