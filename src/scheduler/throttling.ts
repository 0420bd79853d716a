import { type Operation, sleep } from "effection";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { getStep, type Placement, type TaskState } from "./job_state.ts";
import type { Scheduler } from "./scheduler.ts";
import type { WorkerInstance } from "./worker_table.ts";

/** Interval between adjustments, in ms; the workers' metrics cover the last 500 ms. */
const THROTTLE_INTERVAL_MS = 350;
/** Interval between repetitions of a speed that another order may replace, in ms. */
const REPEAT_INTERVAL_MS = 2_000;
/** Time after an order without an answer in which it may still be executed, in ms; workers have taken up to 12 s. */
const LATE_ORDER_LIMIT_MS = 15_000;
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

/** Speed that was ordered last for a run. */
interface OrderedSpeed {
  percent: number;
  /** Monotonic time until which an earlier order without an answer may replace this speed, in ms. */
  replaceableUntilMs: number;
  /** Monotonic time of the order, in ms. */
  orderedAtMs: number;
}

/** Throttles the best-effort tasks on every worker by the latency of its serving tasks. */
export interface Throttling {
  /** Orders the speeds that have to change. */
  adjust(): void;
}

/** Creates the throttling of one tenure. */
export function createThrottling(options: {
  readonly scheduler: Pick<Scheduler, "workers">;
  readonly clock: Clock;
  readonly log: Logger;
}): Throttling {
  const { scheduler, clock, log } = options;
  const orderedSpeeds = new WeakMap<Placement, OrderedSpeed>();

  function adjustTask(
    task: TaskState,
    instance: WorkerInstance,
    worstShare: number,
  ): void {
    const placement = task.placement!;
    const nowMs = clock.monotonicMs();
    const ordered = orderedSpeeds.get(placement) ?? {
      percent: 100,
      // An earlier owner may have ordered any speed.
      replaceableUntilMs: placement.inherited
        ? nowMs + LATE_ORDER_LIMIT_MS
        : -Infinity,
      orderedAtMs: -Infinity,
    };
    const previousPercent = ordered.percent;
    const percent = chooseSpeedPercent(previousPercent, worstShare);
    const repeat = nowMs < ordered.replaceableUntilMs &&
      nowMs - ordered.orderedAtMs >= REPEAT_INTERVAL_MS;
    if (percent === previousPercent && !repeat) return;
    ordered.percent = percent;
    ordered.orderedAtMs = nowMs;
    orderedSpeeds.set(placement, ordered);
    log.debug("speed of a best-effort task ordered", {
      task: task.taskId,
      worker: instance.workerId,
      worstShare: Number(worstShare.toFixed(2)),
      percent,
    });
    void instance.link?.throttle(task.taskId, placement.run, percent).then(
      (outcome) => {
        if (outcome.kind === "done") return;
        if (outcome.kind === "unknown") {
          ordered.replaceableUntilMs = nowMs + LATE_ORDER_LIMIT_MS;
        }
        // The call failed: restore the old value, so that the next round tries again, unless a newer order was sent.
        if (ordered.orderedAtMs === nowMs) ordered.percent = previousPercent;
      },
    );
  }

  return {
    adjust() {
      for (const instance of scheduler.workers.instances.values()) {
        if (instance.link === undefined) continue;
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
          adjustTask(task, instance, worstShare);
        }
      }
    },
  };
}

/** Adjusts the speeds periodically. */
export function* runThrottling(throttling: Throttling): Operation<void> {
  for (;;) {
    yield* sleep(THROTTLE_INTERVAL_MS);
    throttling.adjust();
  }
}
