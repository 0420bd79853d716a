import type { Clock } from "../../clock.ts";
import type { Logger } from "../../logger.ts";
import { getStep, type JobState, type TaskState } from "../job_state.ts";
import type { VmInfo } from "../ports.ts";
import { instanceKey, type WorkerInstance } from "../worker_table.ts";
import {
  describeInstanceEnd,
  type InstanceEnd,
  resolveProcessFate,
} from "./instance_end.ts";
import { describeLostRun, provenRunMs } from "./lost_runs.ts";
import {
  CLEARED_AFTER_MS,
  judgeTask,
  MAXIMUM_LOSSES,
  type RunLoss,
  YOUNG_RUN_MS,
} from "./run_loss.ts";

/** Time after a task was given up in which other suspects are likely to crash their workers as well, in ms. */
const ALERT_MS = 10_000;
/** Delay before the next start of a long-running task that may have crashed several workers, in ms; it bounds how often it can crash one. */
const RESTART_DELAY_MS = 5_000;

/** Records which tasks were lost with crashed workers, and finds those that crash them. */
export interface CrashTracker {
  /** Records the loss of each run that may have been on an ended instance; call it before the tasks are freed. */
  recordEnd(instance: WorkerInstance, end: InstanceEnd): void;
  /** Adds the losses of a job that was restored from the store. */
  restore(job: JobState): void;
  /**
   * Gives up a task that has crashed too many workers: fails its job and returns
   * true. A long-running task is restarted however it ends, so that its next start
   * is only delayed.
   */
  giveUpIfCrashing(task: TaskState): boolean;
  /**
   * Whether a suspect is likely to crash its worker: it was lost more than once,
   * or another task was given up lately. Otherwise workers may crash by themselves.
   */
  isLikelyCause(task: TaskState): boolean;
  /** Clears a long-running task of its losses once a run has lasted; returns whether it did. */
  clearIfLasting(task: TaskState): boolean;
  /** Settles losses whose workers were only unreachable, by the start time of the process that now runs. */
  settleByProcess(workerId: string, bornAtMs: number): void;
  /** Settles losses whose workers were only unreachable, by the platform's VM list. */
  settleByVms(vms: ReadonlyMap<string, VmInfo>): void;
}

/** Dependencies of the crash tracker. */
export interface CrashTrackerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether an order for its VM explains the end of an instance. */
  readonly isOrdered: (instance: WorkerInstance) => boolean;
  /** Fails a task's job. */
  readonly failJob: (task: TaskState, reason: string) => void;
  /** Stores what has changed of a task, and the status of its job. */
  readonly save: (task: TaskState) => void;
}

/** Returns the time for which a placed task is known to have run, in ms; undefined if its start was never confirmed. */
function ranMs(task: TaskState, instance: WorkerInstance): number | undefined {
  return task.placement && provenRunMs(task.placement, instance);
}

/** Whether a task's run is so short that it may be what ends its worker. */
export function isYoung(task: TaskState, instance: WorkerInstance): boolean {
  return (ranMs(task, instance) ?? 0) < YOUNG_RUN_MS;
}

/** Returns the key of the instance that a run was lost with. */
function keyOf({ worker, born }: RunLoss): string {
  return instanceKey(worker, born);
}

/** Lists the crashed workers of a task for the log and for callers. */
function describeLosses(losses: readonly RunLoss[]): string[] {
  return losses.map(({ worker, run, young, alone }) =>
    `${worker} (run ${run}${young ? ", just started" : ""}${
      alone ? ", no other had" : ""
    })`
  );
}

/** Creates the crash tracker of one tenure. */
export function createCrashTracker(options: CrashTrackerOptions): CrashTracker {
  const { clock, log } = options;
  /** Monotonic time at which a task was last given up, in ms. */
  let givenUpAtMs = -Infinity;
  /** Tasks that were lost with an instance, by its key. */
  const lostTasks = new Map<string, Set<TaskState>>();
  /** Keys of the instances that may only have been unreachable. */
  const unproven = new Set<string>();

  function index(task: TaskState, loss: RunLoss): void {
    const key = keyOf(loss);
    if (!loss.proven) unproven.add(key);
    const tasks = lostTasks.get(key);
    if (tasks === undefined) lostTasks.set(key, new Set([task]));
    else tasks.add(task);
  }

  /** Drops the entries of losses that no longer count and of tasks whose jobs have ended. */
  function forgetSettledLosses(): void {
    for (const [key, tasks] of lostTasks) {
      for (const task of tasks) {
        const isCurrent = task.job.status === "active" &&
          task.phase !== "done" &&
          task.losses.some((loss) => keyOf(loss) === key);
        if (!isCurrent) tasks.delete(task);
      }
      if (tasks.size > 0) continue;
      lostTasks.delete(key);
      unproven.delete(key);
    }
  }

  /** Clears the tasks that had been running for a while when a task that is now given up crashed their worker. */
  function clearNeighbours(cause: TaskState): void {
    for (const key of cause.losses.map(keyOf)) {
      for (const task of lostTasks.get(key) ?? []) {
        if (task === cause) continue;
        task.losses = task.losses.filter((loss) =>
          loss.young || keyOf(loss) !== key
        );
      }
    }
  }

  function recordLoss(
    task: TaskState,
    instance: WorkerInstance,
    circumstances: Pick<RunLoss, "alone" | "proven">,
  ): void {
    const { placement, losses } = task;
    // A run whose order was never sent can't have reached the worker.
    if (placement === undefined || placement.startState === "unrecorded") {
      return;
    }
    const durationMs = ranMs(task, instance);
    if (
      getStep(task).longRunning && (durationMs ?? 0) >= CLEARED_AFTER_MS
    ) return;
    const { workerId, bornAtMs } = instance;
    const known = losses.some(({ worker, born, run }) =>
      (worker === workerId && born === bornAtMs) ||
      // A run that was lost before is only assumed on the worker's next process until it is listed there.
      (run === placement.run && durationMs === undefined)
    );
    if (known) return;
    const loss: RunLoss = {
      run: placement.run,
      worker: workerId,
      born: bornAtMs,
      vm: instance.vmId,
      young: (durationMs ?? 0) < YOUNG_RUN_MS,
      confirmed: durationMs !== undefined,
      ...circumstances,
    };
    // A long-running task may be lost without limit; its latest losses decide.
    task.losses = [...losses, loss].slice(-MAXIMUM_LOSSES);
    index(task, loss);
  }

  function giveUpIfCrashing(task: TaskState): boolean {
    const { losses, job } = task;
    if (job.status !== "active" || task.phase === "done") return false;
    if (judgeTask(losses) !== "give_up") return false;
    const workers = describeLosses(losses);
    if (getStep(task).longRunning) {
      task.notBeforeMs = clock.monotonicMs() + RESTART_DELAY_MS;
      log.warn("task delayed: its workers crash", {
        job: job.spec.jobId,
        task: task.taskId,
        workers,
        delayMs: RESTART_DELAY_MS,
      });
      return false;
    }
    log.warn("task given up: its workers crash", {
      job: job.spec.jobId,
      task: task.taskId,
      workers,
    });
    options.failJob(
      task,
      `task ${task.taskId} has crashed its workers: ${workers.join(", ")}`,
    );
    options.save(task);
    clearNeighbours(task);
    givenUpAtMs = clock.monotonicMs();
    return true;
  }

  /** Settles the losses with one instance: its process has ended, or was only unreachable. */
  function settle(key: string, ended: boolean): void {
    unproven.delete(key);
    for (const task of lostTasks.get(key) ?? []) {
      task.losses = task.losses.flatMap((loss) =>
        keyOf(loss) !== key ? [loss] : ended ? [{ ...loss, proven: true }] : []
      );
      if (task.job.status !== "active") continue;
      options.save(task);
      // A loss that was only a cut is no reason to give up or delay a task.
      if (ended) giveUpIfCrashing(task);
    }
  }

  /** Calls back with each unproven loss, once per instance. */
  function forEachUnproven(
    visit: (loss: RunLoss, key: string) => void,
  ): void {
    for (const key of [...unproven]) {
      const [task] = lostTasks.get(key) ?? [];
      const loss = task?.losses.find((other) => keyOf(other) === key);
      if (loss !== undefined) visit(loss, key);
    }
  }

  return {
    recordEnd(instance, end) {
      const tasks = [...instance.tasks];
      if (tasks.length === 0) return;
      forgetSettledLosses();
      const planned = instance.draining || options.isOrdered(instance);
      const fate = resolveProcessFate(end, planned);
      log.info("runs are over with their worker", {
        worker: instance.workerId,
        vm: instance.vmId,
        reason: describeInstanceEnd(end),
        process: fate,
        runs: tasks.map((task) => describeLostRun(task, instance)),
      });
      // The end of a process whose tasks wait for late starts was recorded before.
      if (fate === "planned" || instance.heldUntilMs !== undefined) return;
      const youngTasks = tasks.filter((task) =>
        task.placement?.startState !== "unrecorded" && isYoung(task, instance)
      );
      for (const task of tasks) {
        recordLoss(task, instance, {
          alone: youngTasks.every((other) => other === task),
          proven: fate === "crashed",
        });
      }
    },
    restore(job) {
      for (const { tasks } of job.occurrences) {
        for (const task of tasks) {
          for (const loss of task.losses) index(task, loss);
        }
      }
    },
    giveUpIfCrashing,
    isLikelyCause: ({ losses }) =>
      losses.length > 1 || clock.monotonicMs() - givenUpAtMs < ALERT_MS,
    clearIfLasting(task) {
      const { placement } = task;
      if (
        task.losses.length === 0 || placement === undefined ||
        !getStep(task).longRunning
      ) return false;
      const { reportedAtMs, confirmedAtMs } = placement;
      if (
        reportedAtMs === undefined || confirmedAtMs === undefined ||
        reportedAtMs - confirmedAtMs < CLEARED_AFTER_MS
      ) return false;
      task.losses = [];
      return true;
    },
    settleByProcess(workerId, bornAtMs) {
      forEachUnproven(({ worker, born }, key) => {
        if (worker === workerId) settle(key, born !== bornAtMs);
      });
    },
    settleByVms(vms) {
      forEachUnproven(({ worker, vm }, key) => {
        if (vm === "") return;
        const info = vms.get(vm);
        const runsOther = info?.workerId !== undefined &&
          info.workerId !== worker;
        if (info === undefined || info.state === "down" || runsOther) {
          settle(key, true);
        }
      });
    },
  };
}
