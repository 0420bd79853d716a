import { type Operation, sleep } from "effection";
import type { Logger } from "../logger.ts";
import { getStep, type TaskState } from "./job_state.ts";
import type { Scheduler } from "./scheduler.ts";

/** Interval between adjustments, in ms; the workers' metrics cover the last 500 ms. */
const THROTTLE_INTERVAL_MS = 350;
/** Ratio of a serving task's tail latency to its target from which best-effort tasks on the worker are slowed down. */
const SLOW_DOWN_SHARE = 0.85;
/** Ratio of a serving task's tail latency to its target below which best-effort tasks on the worker speed up again. */
const SPEED_UP_SHARE = 0.6;
/** Factor by which each slowdown multiplies the speed of a best-effort task. */
const SLOW_DOWN_FACTOR = 0.5;
/** Percentage points that each speed-up adds to the speed of a best-effort task. */
const SPEED_UP_PERCENT = 10;
/** Speed below which a best-effort task is paused, in percent. */
const MINIMUM_SPEED_PERCENT = 8;

/**
 * Returns the next speed of best-effort tasks, in percent, chosen from the tail latency of the serving
 * tasks on the same worker. Speed is halved when latency nears its target and
 * rises by small steps when it is well below; when the target is missed, it
 * drops to zero within two steps.
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

/** Throttles the best-effort tasks on every worker by the latency of its serving tasks. */
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
            placement.loadMetric / step.targetMs,
          );
        }
      }
      for (const task of bestEffortTasks) {
        const placement = task.placement!;
        const current = speedPercents.get(placement) ?? 100;
        const next = chooseSpeedPercent(current, worstShare);
        if (next === current) continue;
        speedPercents.set(placement, next);
        log.debug("speed of a best-effort task changed", {
          task: task.taskId,
          worker: instance.workerId,
          worstShare: Number(worstShare.toFixed(2)),
          percent: next,
        });
        void link.throttle(task.taskId, placement.run, next).then((outcome) => {
          // The call failed: restore the old value, so that the next round tries again.
          if (outcome.kind !== "done") speedPercents.set(placement, current);
        });
      }
    }
  }
}
