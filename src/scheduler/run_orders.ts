import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { DisruptionGuard } from "./disruption_guard.ts";
import { isListed, type Placement, type TaskState } from "./job_state.ts";
import { YOUNG_RUN_MS } from "./crashes/run_loss.ts";
import { settlesEarlierAttempts } from "./order_attempts.ts";
import type { LateStarts } from "./late_starts.ts";
import { createOrderQueue } from "./order_queue.ts";
import type {
  ActiveRunReport,
  OrderOutcome,
  OrderRefusal,
  StartOrder,
} from "./ports.ts";
import type { WorkerHealth } from "./worker_health.ts";
import { instanceKey, type WorkerInstance } from "./worker_table.ts";

/** Number of unanswered attempts to start a run after which it is stopped instead. */
const MAXIMUM_START_ATTEMPTS = 4;
/** The same if the worker doesn't respond to polls either. */
const MAXIMUM_ATTEMPTS_IN_SILENCE = 2;
/** Minimum time between two stop orders for one run, in ms. */
const STOP_RETRY_INTERVAL_MS = 300;
/** Maximum number of stop orders in progress: a cancellation or a new owner may have thousands of runs to stop. */
const MAXIMUM_STOPS = 500;
/** Time added to the age at which a suspect's run is no longer young before its worker is probed, in ms. */
const PROBE_MARGIN_MS = 10;
/** Delay before a task is placed again after its start order was refused as invalid, in ms. */
const INVALID_START_DELAY_MS = 2_000;

/** Fields of a start order that are chosen when its task is placed. */
export type StartFields = Pick<StartOrder, "checkpoint" | "ticket">;

/** Sends start and stop orders for runs and applies their outcomes to the placements. */
export interface RunOrders {
  /** Sends the start order of a recorded placement, again if it isn't answered. */
  sendStart(
    task: TaskState,
    placement: Placement,
    fields: StartFields,
  ): Promise<void>;
  /**
   * Sends a stop order unless one was sent a moment ago, or the run may be at
   * work and the disruption budget doesn't allow it. `isListed` tells whether the
   * latest report lists the run.
   */
  sendStop(
    task: TaskState,
    placement: Placement,
    evidence?: { readonly isListed: boolean },
  ): void;
  /** Stops a run that a worker reports although nothing asks for it. */
  stopUnwanted(instance: WorkerInstance, run: ActiveRunReport): void;
  /** Frees a task whose run is over although no report of its end has come. */
  giveUpRun(
    task: TaskState,
    placement: Placement,
    reason: "order not sent" | "refused to an earlier owner" | "stopped",
  ): void;
}

/** Dependencies of the run orders. */
export interface RunOrdersOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly health: WorkerHealth;
  readonly lateStarts: LateStarts;
  readonly counters: { starts: number };
  /** Whether this owner may still issue orders. */
  readonly mayOrder: () => boolean;
  readonly findInstance: (placement: Placement) => WorkerInstance | undefined;
  /** Called after a change that may allow tasks to be placed. */
  readonly onChange: () => void;
  readonly disruptions: DisruptionGuard;
  /** Called before a task is placed again whose ticket a worker has refused. */
  readonly onTicketRefused: (task: TaskState, workerId: string) => void;
  /** Ends the placement of a task, so that it can be placed again; `conclusion` tells what its run's end was concluded from. */
  readonly freeTask: (task: TaskState, conclusion?: string) => void;
}

/** Whether a worker's capacity has become too small for the tasks that were placed on it. */
function hasShrunk({ registration, tasks }: WorkerInstance): boolean {
  return registration !== undefined && tasks.exceed(registration.capacity);
}

/** Creates the run orders of one tenure. */
export function createRunOrders(options: RunOrdersOptions): RunOrders {
  const { clock, log, health, counters, findInstance, freeTask, lateStarts } =
    options;
  const lastStopAtMs = new WeakMap<Placement, number>();
  const stops = createOrderQueue<Placement | string>(MAXIMUM_STOPS);

  function giveUpRun(
    task: TaskState,
    placement: Placement,
    reason: "order not sent" | "refused to an earlier owner" | "stopped",
  ): void {
    log.info("run given up", {
      task: task.taskId,
      run: placement.run,
      worker: placement.workerId,
      bornAtMs: placement.bornAtMs,
      reason,
    });
    freeTask(task, reason);
  }

  function sendStop(
    task: TaskState,
    placement: Placement,
    evidence: { readonly isListed: boolean } = { isListed: true },
  ): void {
    const now = clock.monotonicMs();
    if (
      now - (lastStopAtMs.get(placement) ?? -Infinity) < STOP_RETRY_INTERVAL_MS
    ) {
      return;
    }
    // Each report on the run leads to another attempt.
    if (evidence.isListed && !options.disruptions.mayEnd([task], "stop")) {
      return;
    }
    lastStopAtMs.set(placement, now);
    if (findInstance(placement)?.link === undefined || !options.mayOrder()) {
      return;
    }
    // It counts towards the disruption budget while it waits.
    placement.stopSentAtMs = now;
    stops.add(placement, () => callStop(task, placement));
  }

  async function callStop(
    task: TaskState,
    placement: Placement,
  ): Promise<void> {
    const link = findInstance(placement)?.link;
    if (
      link === undefined || task.placement !== placement || !options.mayOrder()
    ) return;
    lastStopAtMs.set(placement, clock.monotonicMs());
    placement.stopSentAtMs = clock.monotonicMs();
    const outcome = await link.stop(task.taskId, placement.run);
    if (outcome.kind !== "done") return;
    // A later confirmation adds nothing, and would discard the report that is on its way.
    placement.stopConfirmedAtMs ??= clock.monotonicMs();
    link.pollNow();
  }

  function stopUnwanted(
    instance: WorkerInstance,
    { taskId, run }: ActiveRunReport,
  ): void {
    const { workerId, bornAtMs } = instance;
    stops.add(
      `${instanceKey(workerId, bornAtMs)} ${taskId} ${run}`,
      async () => {
        if (options.mayOrder()) await instance.link?.stop(taskId, run);
      },
    );
  }

  /** Learns soon whether the worker has survived the start of a suspect, which holds up other tasks. */
  async function probeLater(placement: Placement): Promise<void> {
    await delay(YOUNG_RUN_MS + PROBE_MARGIN_MS);
    if (!options.mayOrder()) return;
    await findInstance(placement)?.link?.probe();
    options.onChange();
  }

  async function sendStart(
    task: TaskState,
    placement: Placement,
    fields: StartFields,
  ): Promise<void> {
    const instance = findInstance(placement);
    if (task.placement !== placement) return;
    if (
      instance?.link === undefined || !options.mayOrder() ||
      hasShrunk(instance)
    ) {
      return giveUpRun(task, placement, "order not sent");
    }
    placement.startState = "sending";
    let outcome: OrderOutcome = { kind: "unknown" };
    while (placement.unansweredAttempts < MAXIMUM_START_ATTEMPTS) {
      placement.startSentAtMs = clock.monotonicMs();
      const start = lateStarts.begin(task.taskId, instance);
      outcome = await instance.link.start({
        taskId: task.taskId,
        run: placement.run,
        specification: task.job.spec.specification,
        ...fields,
      });
      start.end(outcome.kind !== "unknown");
      // A report may have ended the placement in the meantime.
      if (task.placement !== placement) return;
      if (outcome.kind !== "unknown") break;
      placement.unansweredAttempts++;
      // It may have waited on its way, so that it can be executed until later.
      placement.startSentAtMs = clock.monotonicMs();
      // During an attempt, the tenure or the worker's process may end, and the run be listed or become needless.
      if (
        findInstance(placement)?.link !== instance.link ||
        !options.mayOrder() || placement.stopReason !== undefined ||
        isListed(placement) || hasShrunk(instance) ||
        (placement.unansweredAttempts >= MAXIMUM_ATTEMPTS_IN_SILENCE &&
          instance.link.silentMs() > 0)
      ) break;
    }
    handleStartOutcome(task, placement, { outcome, ticket: fields.ticket });
  }

  /** Stops a run whose start order may still be carried out; the task stays placed until a report proves that the run is gone. */
  function resolveByStop(
    task: TaskState,
    placement: Placement,
    latest: OrderOutcome,
  ): void {
    log.info("start order not answered", {
      task: task.taskId,
      run: placement.run,
      worker: placement.workerId,
      unanswered: placement.unansweredAttempts,
      latest,
    });
    placement.startState = "unresolved";
    health.recordRefusal(placement.workerId);
    sendStop(task, placement);
  }

  /** Requeues a task whose start order was provably not carried out. */
  function requeueRefusedTask(
    task: TaskState,
    placement: Placement,
    reason: string,
  ): void {
    log.info("start order refused", {
      task: task.taskId,
      run: placement.run,
      worker: placement.workerId,
      reason,
    });
    freeTask(task, reason);
  }

  function handleStartRefusal(
    task: TaskState,
    placement: Placement,
    { reason, ticket }: {
      readonly reason: OrderRefusal;
      readonly ticket: string | undefined;
    },
  ): void {
    switch (reason) {
      case "fenced":
        // If this owner remains, a later link to the worker has raised the token.
        placement.startState = "unresolved";
        return;
      case "superseded":
        // An earlier attempt to send this order was carried out, and the run has ended.
        placement.startState = "unresolved";
        findInstance(placement)?.link?.pollNow();
        return;
      case "no_room":
      case "unhealthy":
        health.recordRefusal(placement.workerId);
        return requeueRefusedTask(task, placement, reason);
      case "invalid":
        task.notBeforeMs = clock.monotonicMs() + INVALID_START_DELAY_MS;
        return requeueRefusedTask(task, placement, reason);
      case "ticket":
        if (ticket === undefined) {
          // The configuration doesn't tell yet, or no longer, that the worker wants tickets.
          task.notBeforeMs = clock.monotonicMs() + INVALID_START_DELAY_MS;
        }
        options.onTicketRefused(task, placement.workerId);
        return requeueRefusedTask(task, placement, reason);
      case "expired":
        return requeueRefusedTask(task, placement, reason);
      default:
        assertNever(reason);
    }
  }

  function handleStartOutcome(
    task: TaskState,
    placement: Placement,
    { outcome, ticket }: {
      readonly outcome: OrderOutcome;
      readonly ticket: string | undefined;
    },
  ): void {
    if (placement.startState !== "sending") return;
    if (
      outcome.kind === "unknown" ||
      (placement.unansweredAttempts > 0 && !settlesEarlierAttempts(outcome))
    ) return resolveByStop(task, placement, outcome);
    switch (outcome.kind) {
      case "done":
        counters.starts++;
        placement.startState = "running";
        placement.confirmedAtMs = clock.monotonicMs();
        task.job.begun = true;
        if (task.losses.length > 0) void probeLater(placement);
        if (placement.stopReason !== undefined) sendStop(task, placement);
        return;
      case "refused":
        return handleStartRefusal(task, placement, {
          reason: outcome.reason,
          ticket,
        });
      case "not_sent":
        health.recordRefusal(placement.workerId);
        requeueRefusedTask(task, placement, outcome.kind);
        return;
      case "other_life":
        return;
      default:
        assertNever(outcome);
    }
  }

  return { sendStart, sendStop, stopUnwanted, giveUpRun };
}
