import type { Clock } from "../clock.ts";
import { assertNever } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { createConcludedRuns } from "./concluded_runs.ts";
import {
  createDurationEstimates,
  type DurationEstimates,
} from "./duration_estimates.ts";
import { DEFAULT_NOTICE_MS } from "./disruption_budget.ts";
import {
  createDisruptionGuard,
  type DisruptionGuard,
} from "./disruption_guard.ts";
import type { Journal } from "./journal.ts";
import {
  chooseCheckpoint,
  countFailures,
  createJobState,
  type FinalStatus,
  findOccurrence,
  finishTask,
  forEachPlacedTask,
  getStep,
  hasPlacedTask,
  type JobState,
  listGangTasks,
  type Placement,
  releaseTask,
  stepId,
  type TaskDemand,
  type TaskState,
  visibleStatus,
} from "./job_state.ts";
import type { JobSpec, JobStatus } from "./model.ts";
import {
  encodePart,
  encodeProgress,
  isPartitioned,
  listObsoleteParts,
  partKey,
  partOf,
} from "./progress_record.ts";
import { computeObjectiveMs } from "./job_order.ts";
import { STORE_KEYS } from "./ownership.ts";
import type {
  ActiveRunReport,
  EndedRunReport,
  SchedulerConfig,
  WorkerReport,
} from "./ports.ts";
import { resolveQueue } from "./resolve_queue.ts";
import {
  type CrashTracker,
  createCrashTracker,
} from "./crashes/crash_tracker.ts";
import {
  describeInstanceEnd,
  type InstanceEnd,
} from "./crashes/instance_end.ts";
import {
  lateStartEndMs,
  mayHaveReachedSuccessor,
  unseenLeasesEndMs,
  unseenRunEndMs,
} from "./crashes/lost_runs.ts";
import { computeRestartDelay, LASTING_RUN_MS } from "./restart_delay.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import { createLateStarts, type LateStarts } from "./late_starts.ts";
import { createRunOrders } from "./run_orders.ts";
import {
  createWorkerTable,
  type WorkerInstance,
  type WorkerTable,
} from "./worker_table.ts";
import { createWorkerHealth, type WorkerHealth } from "./worker_health.ts";

/** Counters of the scheduler, served as metrics. */
export interface SchedulerCounters {
  /** Start orders that workers have confirmed. */
  starts: number;
  /** Ended runs that workers have reported, by how they ended. */
  ends: Record<string, number>;
  /** Runs that ended with their worker or disappeared from it. */
  lostRuns: number;
  /** Runs that went on although they had been taken as over. */
  outlivedRuns: number;
  /** Tasks stopped because their worker was too slow. */
  relocations: number;
  /** Orders that a disruption budget didn't allow; repetitions within a second count once. */
  budgetRefusals: number;
}

/** A job that has ended and has no known runs. */
interface EndedJob {
  readonly status: FinalStatus;
  readonly workspace: string;
  /** Monotonic time of its end, or of the start of this tenure if it ended earlier, in ms. */
  readonly endedAtMs: number;
  /** Steps of the job, as a late start of one of its tasks may still occupy a worker; empty if they weren't loaded. */
  readonly steps: JobSpec["steps"];
}

/** State of the jobs, tasks and workers during one tenure, and the transitions between their states. */
export interface Scheduler {
  /** Active jobs, and ended ones with runs that are still to be stopped. */
  readonly jobs: ReadonlyMap<string, JobState>;
  readonly workers: WorkerTable;
  readonly durationEstimates: DurationEstimates;
  readonly health: WorkerHealth;
  readonly crashes: CrashTracker;
  /** Start orders without an answer, which may still be executed. */
  readonly lateStarts: LateStarts;
  readonly counters: SchedulerCounters;
  /** Adds a job that was restored from the store. */
  addRestored(job: JobState): void;
  /** Adds an ended job that has no runs left. */
  addEnded(
    jobId: string,
    ended: { status: FinalStatus; workspace: string },
  ): void;
  /** Whether the job was added and not removed since, be it active or ended. */
  hasJob(jobId: string): boolean;
  /** Adds a newly stored job; has no effect if the job was added before. */
  accept(spec: JobSpec): void;
  /** Cancels a job after its cancellation has been stored. */
  cancel(jobId: string): void;
  /** Returns the status that is reported to callers; undefined if the job is unknown or another workspace's. */
  status(jobId: string, workspace?: string): JobStatus | undefined;
  /** Returns the number of jobs in a queue of which no worker has confirmed a run. */
  waitingJobs(queue: string): number;
  /** Whether no earlier run of a waiting task may be at work or start late. */
  mayStart(task: TaskState): boolean;
  /** Assigns a task to a worker instance; the start order is sent once the placement is stored. */
  place(
    task: TaskState,
    instance: WorkerInstance,
    options: { run: number; ticket: string | undefined },
  ): void;
  /** Decides whether orders may end tasks of long-running steps. */
  readonly disruptions: DisruptionGuard;
  /**
   * Stops the run of a task; its resources stay reserved until the worker reports
   * the end. Returns false if the task has no run or its step's disruption budget
   * doesn't allow the stop.
   */
  stop(task: TaskState, reason: string): boolean;
  /** Applies a worker's report that was requested at the monotonic time `sentAtMs`. */
  onReport(
    instance: WorkerInstance,
    report: WorkerReport,
    sentAtMs: number,
  ): void;
  /**
   * Removes a worker instance that is proven to have ended, and requeues its tasks.
   * Those with a start order without an answer stay placed for a while if the
   * worker may start again under its ID.
   */
  removeInstance(instance: WorkerInstance, end: InstanceEnd): void;
  /**
   * Removes a worker instance that has ended, like `removeInstance`, but keeps
   * the tasks placed whose start orders may have reached its successor, the next
   * process with the same ID. `successor` is called only if there are any.
   */
  replaceInstance(
    instance: WorkerInstance,
    successor: () => WorkerInstance,
    end: InstanceEnd,
  ): void;
  /** Stores the job's status with the next commit, and its tasks unless it is partitioned. */
  save(job: JobState): void;
  /**
   * Removes the jobs that ended `keepMs` ago or earlier, and deletes their
   * records; a job stays as long as `mayRemove` returns false for its ID.
   */
  removeEnded(keepMs: number, mayRemove: (jobId: string) => boolean): void;
}

/** Dependencies of the scheduler. */
export interface SchedulerOptions {
  readonly journal: Journal;
  readonly clock: Clock;
  readonly log: Logger;
  readonly config: () => SchedulerConfig | undefined;
  /** Whether this owner may still issue orders. */
  readonly mayOrder: () => boolean;
  /** Whether an order for its VM explains the end of an instance. */
  readonly isOrdered: (instance: WorkerInstance) => boolean;
  /** Time for which a task must have been at work before it no longer counts as away, in ms. */
  readonly noticeMs?: number;
  /** Whether an order for the VM may end what runs there. */
  readonly isVmEnding?: (vmId: string) => boolean;
  /** Called when a worker has refused the ticket of a step. */
  readonly onTicketRefused?: (stepId: string, workerId: string) => void;
  /** Called after a change that may allow tasks to be placed. */
  readonly onChange: () => void;
}

/** Creates the scheduler for one tenure. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  const { journal, clock, log } = options;
  const jobs = new Map<string, JobState>();
  const workers = createWorkerTable();
  const durationEstimates = createDurationEstimates();
  const health = createWorkerHealth(() => clock.monotonicMs());
  const counters: SchedulerCounters = {
    starts: 0,
    ends: {},
    lostRuns: 0,
    outlivedRuns: 0,
    relocations: 0,
    budgetRefusals: 0,
  };
  /** Ended jobs whose status can still be queried; kept apart because each planning round iterates over `jobs`. */
  const endedJobs = new Map<string, EndedJob>();
  /** IDs of jobs whose cancellation arrived before the job itself. */
  const earlyCancellations = new Set<string>();

  /** Instances on which an unwanted run of a task was at work according to their latest report. */
  const unwantedRuns = new Map<TaskState, WorkerInstance>();
  const lateStarts = createLateStarts({ journal, clock, log });
  const concludedRuns = createConcludedRuns(log, () => clock.monotonicMs());

  const hasJob = (jobId: string) => jobs.has(jobId) || endedJobs.has(jobId);

  function findInstance(placement: Placement): WorkerInstance | undefined {
    return workers.find(placement.workerId, placement.bornAtMs);
  }

  /** Frees a task; `conclusion` tells what its run's end was concluded from if no report has shown it. */
  function freeTask(task: TaskState, conclusion?: string): void {
    if (task.placement !== undefined) {
      findInstance(task.placement)?.tasks.delete(task);
      if (conclusion !== undefined) {
        concludedRuns.add(task.taskId, task.placement.run, conclusion);
      }
    }
    releaseTask(task);
    archiveIfOver(task.job);
    options.onChange();
  }

  /** Moves an ended job from `jobs` to `endedJobs` once it has no runs left. */
  function archiveIfOver(job: JobState): void {
    const { recordedStatus: status, spec: { jobId } } = job;
    if (status === "active" || jobs.get(jobId) !== job) return;
    if (hasPlacedTask(job)) return;
    jobs.delete(jobId);
    endedJobs.set(jobId, {
      status,
      workspace: job.spec.workspace,
      endedAtMs: clock.monotonicMs(),
      steps: job.spec.steps,
    });
    deleteParts(job, [...job.partKeys]);
  }

  function save(
    job: JobState,
    saveOptions: { onStored?: () => void; urgent?: boolean } = {},
  ): void {
    const status = job.status;
    journal.put({
      urgent: saveOptions.urgent,
      key: STORE_KEYS.progressPrefix + job.spec.jobId,
      encode: () => encodeProgress(job, clock.wallMs()),
      onStored() {
        if (job.recordedStatus !== status && job.status === status) {
          job.recordedStatus = status;
          log.info("job reached its final status", {
            job: job.spec.jobId,
            queue: job.spec.queue,
            status,
            ageMs: clock.wallMs() - job.spec.acceptedAtMs,
            objectiveMs: Math.round(
              computeObjectiveMs(
                job,
                durationEstimates,
                resolveQueue(options.config(), job.spec),
              ),
            ),
          });
        }
        saveOptions.onStored?.();
        archiveIfOver(job);
      },
      onRejected: (reason) => failUnstorableJob(job, reason),
    });
  }

  function deleteParts(job: JobState, keys: Iterable<string>): void {
    for (const key of keys) {
      if (!job.partKeys.delete(key)) continue;
      journal.put({ key, encode: () => undefined });
    }
  }

  /** Stores what has changed of some tasks of a job, and its status. */
  function saveTasks(
    tasks: readonly TaskState[],
    saveOptions: { onStored?: () => void; urgent?: boolean } = {},
  ): void {
    const [first] = tasks;
    if (first === undefined) return;
    const { job } = first;
    if (!isPartitioned(job.spec)) return save(job, saveOptions);
    const { jobId } = job.spec;
    // The parts of a job that has no runs left are deleted.
    if (jobs.get(jobId) !== job) return;
    const obsoleteKeys = listObsoleteParts(job);
    save(job, {
      urgent: saveOptions.urgent,
      // Until then, the next owner needs them to know that the occurrences are over.
      onStored: () => deleteParts(job, obsoleteKeys),
    });
    const parts = new Map(tasks.flatMap((task) => {
      const part = partOf(task);
      return part === undefined ? [] : [[partKey(jobId, part), part]];
    }));
    for (const [key, part] of parts) {
      job.partKeys.add(key);
      journal.put({
        key,
        urgent: saveOptions.urgent,
        after: STORE_KEYS.progressPrefix + jobId,
        // A start depends on ends that may be in other parts.
        inOrder: true,
        encode: () => encodePart(part),
        onStored: saveOptions.onStored,
        onRejected: (reason) => failUnstorableJob(job, reason),
      });
    }
  }

  /** Stores the parts of a job whose tasks an earlier version has stored with its status, and then the status without them. */
  function moveTasksToParts(job: JobState): void {
    for (const { tasks } of job.occurrences) saveTasks(tasks);
    journal.afterFlush(() => {
      job.hasInlineTasks = false;
      save(job);
    });
  }

  /** Fails a job whose progress the store rejects, as no task of it can be started any more. */
  function failUnstorableJob(job: JobState, reason: string): void {
    if (job.status !== "active") return;
    job.status = "failed";
    job.failureReason = `its progress can't be stored: ${reason}`;
    log.error("job failed: its progress can't be stored", {
      job: job.spec.jobId,
      reason,
    });
    stopAllRuns(job, "the job has failed");
    save(job);
    options.onChange();
  }

  function maximumAttempts(job: JobState): number {
    return resolveQueue(options.config(), job.spec).maximumAttempts;
  }

  function stopAllRuns(job: JobState, reason: string): void {
    forEachPlacedTask(job, (task) => stop(task, reason));
  }

  function failJob(task: TaskState, reason: string): void {
    const { job } = task;
    if (job.status !== "active") return;
    job.status = "failed";
    job.failureReason = reason;
    log.info("job failed", {
      job: job.spec.jobId,
      task: task.taskId,
      failures: countFailures(task),
      reason,
    });
    stopAllRuns(job, "the job has failed");
  }

  function recordSuccess(task: TaskState, run: number): void {
    const { job, placement } = task;
    if (placement !== undefined && placement.run !== run) {
      // An earlier run was considered over but has succeeded after all.
      log.warn("two runs of a task overlapped", { task: task.taskId, run });
    }
    const step = getStep(task);
    if (
      placement?.run === run && !placement.inherited &&
      placement.confirmedAtMs !== undefined
    ) {
      const durationMs = clock.monotonicMs() - placement.confirmedAtMs;
      const expectedMs = durationEstimates.estimateMs(
        job.spec.queue,
        step.estimatedMs,
      );
      health.recordSlowness(placement.workerId, durationMs / expectedMs);
      if (task.checkpoint === "") {
        durationEstimates.record(job.spec.queue, durationMs, step.estimatedMs);
      }
    }
    const finishedTasks = step.gang ? listGangTasks(task) : [task];
    for (const member of finishedTasks) {
      if (member.placement?.run === run) freeTask(member);
      // The task is complete, but its latest run still holds resources.
      else stop(member, "another run of the task has succeeded");
      finishTask(member);
    }
  }

  function recordFailure(
    task: TaskState,
    run: number,
    workerId: string,
  ): void {
    task.avoidedWorkerId = workerId;
    if (getStep(task).longRunning || task.failedRuns.includes(run)) return;
    task.failedRuns = [...task.failedRuns, run];
    if (countFailures(task) >= maximumAttempts(task.job)) {
      failJob(task, `task ${task.taskId} has used up its attempts`);
    }
  }

  /** Delays the next start of a long-running task whose runs end soon after their start. */
  function delayRestart(task: TaskState, { confirmedAtMs }: Placement): void {
    if (!getStep(task).longRunning) return;
    const nowMs = clock.monotonicMs();
    const { delayMs, shortRuns } = computeRestartDelay({
      shortRuns: task.shortRuns ?? 0,
      durationMs: confirmedAtMs === undefined
        ? undefined
        : nowMs - confirmedAtMs,
    });
    task.shortRuns = shortRuns;
    task.notBeforeMs = Math.max(task.notBeforeMs, nowMs + delayMs);
  }

  /** Whether the current run of a long-running task has been at work for long. */
  function hasLasted(task: TaskState, run: number): boolean {
    const { placement } = task;
    return getStep(task).longRunning && placement?.run === run &&
      placement.confirmedAtMs !== undefined &&
      clock.monotonicMs() - placement.confirmedAtMs >= LASTING_RUN_MS;
  }

  function handleEndedRun(
    instance: WorkerInstance,
    endedRun: EndedRunReport,
  ): void {
    counters.ends[endedRun.ending] = (counters.ends[endedRun.ending] ?? 0) + 1;
    const task = findTask(endedRun.taskId);
    if (task === undefined) return;
    const { job } = task;
    job.begun = true;
    if (
      health.recordEnd(instance.workerId, {
        ending: endedRun.ending,
        jobId: job.spec.jobId,
        hasLasted: hasLasted(task, endedRun.run),
      })
    ) {
      log.warn("worker fails tasks of different jobs and gets no new ones", {
        worker: instance.workerId,
        service: instance.registration?.service,
      });
    }
    if (endedRun.checkpoint !== "") task.checkpoint = endedRun.checkpoint;
    const isCurrent = task.placement?.run === endedRun.run &&
      instance.tasks.has(task);
    // Expected successful runs are logged at debug level, as the completion of the job has a line of its own.
    log[endedRun.ending === "done" && isCurrent ? "debug" : "info"](
      "run ended",
      {
        task: endedRun.taskId,
        run: endedRun.run,
        ending: endedRun.ending,
        worker: instance.workerId,
        current: isCurrent,
        failures: task.failedRuns.length,
      },
    );
    const { placement } = task;
    if (endedRun.ending === "done" || endedRun.ending === "failed") {
      noteListedRun(instance, { ...endedRun, as: endedRun.ending });
    }
    switch (endedRun.ending) {
      case "done":
        if (getStep(task).longRunning || task.phase === "done") {
          if (isCurrent) freeTask(task);
          if (isCurrent && placement !== undefined) {
            delayRestart(task, placement);
          }
        } else recordSuccess(task, endedRun.run);
        break;
      case "failed":
        if (isCurrent) freeTask(task);
        if (isCurrent && placement !== undefined) delayRestart(task, placement);
        if (task.phase !== "done") {
          recordFailure(task, endedRun.run, instance.workerId);
        }
        break;
      case "stopped":
      case "lapsed":
      case "broken":
      case "alone":
        if (isCurrent) freeTask(task);
        break;
      default:
        assertNever(endedRun.ending);
    }
    saveTasks(getStep(task).gang ? listGangTasks(task) : [task]);
    options.onChange();
  }

  function findTask(taskId: string): TaskState | undefined {
    const [jobId, occurrence, step, index] = taskId.split(".");
    const job = jobs.get(jobId ?? "");
    return job && findOccurrence(job, Number(occurrence))
      ?.steps[Number(step)]?.[Number(index)];
  }

  /** Returns what a task of an ended job or occurrence needs; undefined if the job is unknown. */
  function findEndedDemand(taskId: string): TaskDemand | undefined {
    const [jobId = "", occurrence, step] = taskId.split(".");
    const ended = endedJobs.get(jobId) ?? jobs.get(jobId)?.spec;
    const stepIndex = Number(step);
    if (ended?.steps[stepIndex] === undefined) return undefined;
    const { steps, workspace } = ended;
    return {
      job: { spec: { jobId, steps, workspace } },
      occurrence: Number(occurrence),
      stepIndex,
    };
  }

  /** Counts a listed run if it was taken as over. */
  function noteListedRun(
    { workerId, bornAtMs }: WorkerInstance,
    { taskId, run, as }: { taskId: string; run: number; as: string },
  ): void {
    if (concludedRuns.check({ taskId, run, workerId, bornAtMs, as })) {
      counters.outlivedRuns++;
    }
  }

  /** Applies the report of a run; returns what it needs if it is unwanted. */
  function handleActiveRun(
    instance: WorkerInstance,
    activeRun: ActiveRunReport,
  ): TaskDemand | undefined {
    const task = findTask(activeRun.taskId);
    const placement = task?.placement;
    if (
      task === undefined || placement === undefined ||
      !instance.tasks.has(task) ||
      placement.run !== activeRun.run
    ) {
      log.info("stopping an unwanted run", {
        task: activeRun.taskId,
        run: activeRun.run,
        worker: instance.workerId,
        phase: task?.phase ?? "unknown job",
      });
      noteListedRun(instance, { ...activeRun, as: "active" });
      if (task !== undefined) unwantedRuns.set(task, instance);
      stopUnwanted(instance, activeRun);
      return task ?? findEndedDemand(activeRun.taskId);
    }
    placement.percent = activeRun.percent;
    placement.atWorkSinceMs = activeRun.percent < 100
      ? undefined
      : placement.atWorkSinceMs ?? clock.monotonicMs();
    placement.reportedAtMs = clock.monotonicMs();
    placement.loadMetric = activeRun.loadMetric;
    if (activeRun.checkpoint !== "") task.checkpoint = activeRun.checkpoint;
    if (placement.startState !== "running") {
      placement.startState = "running";
      placement.confirmedAtMs ??= clock.monotonicMs();
      task.job.begun = true;
    }
    if (placement.stopReason !== undefined) sendStop(task, placement);
    // The budget may not have allowed the stop when the job failed.
    else if (task.job.status !== "active") stop(task, "the job has ended");
    if (crashes.clearIfLasting(task)) saveTasks([task]);
    return undefined;
  }

  /** Handles a placed task that the worker reports neither as running nor as ended. */
  function handleMissingRun(
    task: TaskState,
    placement: Placement,
    sentAtMs: number,
  ): void {
    switch (placement.startState) {
      case "unrecorded":
      case "sending":
        return;
      case "inherited":
        // The call that returned this report has raised the worker's fencing token, so the worker refuses
        // an earlier owner's start order from now on.
        giveUpRun(task, placement, "refused to an earlier owner");
        return;
      case "running":
        if ((placement.confirmedAtMs ?? Infinity) >= sentAtMs) return;
        log.warn("run disappeared from its worker", {
          task: task.taskId,
          run: placement.run,
          worker: placement.workerId,
        });
        counters.lostRuns++;
        freeTask(task, "disappeared from its worker");
        return;
      case "unresolved":
        if ((placement.stopConfirmedAtMs ?? Infinity) < sentAtMs) {
          giveUpRun(task, placement, "stopped");
        } else sendStop(task, placement, { isListed: false });
        return;
      default:
        assertNever(placement.startState);
    }
  }

  function stop(task: TaskState, reason: string): boolean {
    const { placement } = task;
    if (placement === undefined) return false;
    if (placement.stopReason !== undefined) return true;
    if (!disruptions.mayEnd([task], reason)) return false;
    placement.stopReason = reason;
    switch (placement.startState) {
      case "unrecorded":
        // The order hasn't been sent yet; releasing the placement keeps it from being sent.
        giveUpRun(task, placement, "order not sent");
        saveTasks([task]);
        return true;
      case "inherited":
      case "sending":
      case "running":
      case "unresolved":
        sendStop(task, placement);
    }
    return true;
  }

  function moveToSuccessor(
    task: TaskState,
    placement: Placement,
    successor: WorkerInstance,
  ): void {
    findInstance(placement)?.tasks.delete(task);
    task.placement = {
      ...placement,
      bornAtMs: successor.bornAtMs,
      // The attempt in progress gets no answer any more.
      unansweredAttempts: placement.unansweredAttempts +
        (placement.startState === "sending" ? 1 : 0),
      startState: placement.startState === "inherited"
        ? "inherited"
        : "unresolved",
      confirmedAtMs: undefined,
      stopConfirmedAtMs: undefined,
      reportedAtMs: undefined,
      atWorkSinceMs: undefined,
      percent: 0,
    };
    successor.tasks.add(task);
    log.info("start order may have reached the worker's next process", {
      task: task.taskId,
      run: placement.run,
      worker: placement.workerId,
      fromBornAtMs: placement.bornAtMs,
      toBornAtMs: successor.bornAtMs,
      startState: placement.startState,
    });
    saveTasks([task]);
  }

  /** Requeues the tasks of an instance that has ended. */
  function releaseInstance(instance: WorkerInstance, end: InstanceEnd): void {
    for (const task of [...instance.tasks]) {
      counters.lostRuns++;
      freeTask(task, describeInstanceEnd(end));
      saveTasks([task]);
    }
    workers.remove(instance);
    health.forget(instance.workerId);
    forgetUnwantedRuns(instance);
  }

  function forgetUnwantedRuns(instance: WorkerInstance): void {
    for (const [task, other] of unwantedRuns) {
      if (other === instance) unwantedRuns.delete(task);
    }
  }

  /**
   * Keeps the tasks of an ended instance placed whose start orders the worker's
   * next process may execute or have executed, until that has been called or no
   * run of theirs can be left. They stay in the table under the ended instance.
   */
  function holdLateStarts(instance: WorkerInstance, end: InstanceEnd): void {
    const nowMs = clock.monotonicMs();
    const held = new PlacedTasks();
    let heldUntilMs = -Infinity;
    let leasesEndMs = -Infinity;
    for (const task of [...instance.tasks]) {
      const { placement } = task;
      if (placement === undefined) continue;
      const endMs = unseenRunEndMs(placement, instance, end);
      if (endMs <= nowMs) continue;
      instance.tasks.delete(task);
      held.add(task);
      heldUntilMs = Math.max(heldUntilMs, lateStartEndMs(placement));
      leasesEndMs = Math.max(
        leasesEndMs,
        unseenLeasesEndMs(placement, instance),
      );
    }
    if (held.size === 0) return;
    log.info("tasks wait for start orders without an answer", {
      worker: instance.workerId,
      vm: instance.vmId,
      tasks: [...held].map(({ taskId }) => taskId),
      orderEndsMs: Math.round(Math.max(0, heldUntilMs - nowMs)),
      leasesEndMs: Math.round(leasesEndMs - nowMs),
    });
    workers.remove(instance);
    workers.add({
      ...instance,
      link: undefined,
      registration: undefined,
      missingSinceMs: undefined,
      draining: false,
      tasks: held,
      joinedAtMs: nowMs,
      // Once the orders have lapsed, a VM list that shows the VM down frees the tasks sooner.
      earlierLeasesEndMs: leasesEndMs,
      heldUntilMs,
    });
  }

  function cancel(jobId: string): void {
    const job = jobs.get(jobId);
    if (job === undefined) {
      if (!endedJobs.has(jobId)) earlyCancellations.add(jobId);
      return;
    }
    job.cancelRequested = true;
    if (job.recordedStatus !== "active") {
      return stopAllRuns(job, "the job was cancelled");
    }
    job.status = "cancelled";
    job.recordedStatus = "cancelled";
    log.info("job cancelled", { job: jobId, queue: job.spec.queue });
    stopAllRuns(job, "the job was cancelled");
    save(job);
    options.onChange();
  }

  const crashes = createCrashTracker({
    ...options,
    failJob,
    save: (task) => saveTasks([task]),
  });
  const disruptions = createDisruptionGuard({
    clock,
    log,
    noticeMs: options.noticeMs ?? DEFAULT_NOTICE_MS,
    findInstance,
    isVmEnding: options.isVmEnding ?? (() => false),
    onRefused: () => counters.budgetRefusals++,
  });
  const { sendStart, sendStop, stopUnwanted, giveUpRun } = createRunOrders({
    ...options,
    health,
    lateStarts,
    counters,
    findInstance,
    disruptions,
    onTicketRefused: (task, workerId) =>
      options.onTicketRefused?.(stepId(task), workerId),
    freeTask,
  });

  return {
    jobs,
    workers,
    durationEstimates,
    health,
    crashes,
    lateStarts,
    counters,
    disruptions,
    addRestored(job) {
      jobs.set(job.spec.jobId, job);
      deleteParts(job, listObsoleteParts(job));
      if (job.hasInlineTasks) moveTasksToParts(job);
      archiveIfOver(job);
    },
    addEnded(jobId, ended) {
      endedJobs.set(jobId, {
        ...ended,
        endedAtMs: clock.monotonicMs(),
        steps: [],
      });
    },
    hasJob,
    accept(spec) {
      if (hasJob(spec.jobId)) return;
      jobs.set(spec.jobId, createJobState(spec));
      if (earlyCancellations.delete(spec.jobId)) cancel(spec.jobId);
      options.onChange();
    },
    cancel,
    status(jobId, workspace = "") {
      const job = jobs.get(jobId);
      const ended = endedJobs.get(jobId);
      if ((job?.spec ?? ended)?.workspace !== workspace) return undefined;
      return job === undefined ? ended?.status : visibleStatus(job);
    },
    waitingJobs(queue) {
      let count = 0;
      for (const job of jobs.values()) {
        if (
          job.spec.queue === queue && !job.begun &&
          job.recordedStatus === "active"
        ) count++;
      }
      return count;
    },
    mayStart(task) {
      if (!lateStarts.isSettled(task.taskId)) return false;
      const instance = unwantedRuns.get(task);
      // A silent worker goes on until its leases have expired.
      return instance === undefined || instance.link?.leasesExpired() === true;
    },
    place(task, instance, { run, ticket }) {
      task.phase = "placed";
      task.trialWaitSinceMs = undefined;
      task.run = run;
      task.job.started = true;
      const placement: Placement = {
        workerId: instance.workerId,
        bornAtMs: instance.bornAtMs,
        vmId: instance.vmId,
        run,
        inherited: false,
        unansweredAttempts: 0,
        startState: "unrecorded",
        stopReason: undefined,
        placedAtMs: clock.monotonicMs(),
        confirmedAtMs: undefined,
        stopConfirmedAtMs: undefined,
        percent: 0,
        reportedAtMs: undefined,
        loadMetric: 0,
      };
      task.placement = placement;
      instance.tasks.add(task);
      const checkpoint = chooseCheckpoint(task);
      saveTasks([task], {
        onStored: () => void sendStart(task, placement, { checkpoint, ticket }),
        urgent: true,
      });
    },
    stop,
    onReport(instance, report, sentAtMs) {
      lateStarts.settleByReport(instance.workerId, sentAtMs);
      for (const run of report.ended) handleEndedRun(instance, run);
      forgetUnwantedRuns(instance);
      const running = new Map(
        report.running.map((run) => [run.taskId, run]),
      );
      instance.tasks.reserveUnwantedRuns(
        report.running.flatMap((run) => handleActiveRun(instance, run) ?? []),
      );
      // A run in neither list may be among the ended runs that were left out.
      if (report.hasMoreEnded) return;
      for (const task of [...instance.tasks]) {
        const { placement } = task;
        if (placement === undefined) continue;
        if (running.get(task.taskId)?.run === placement.run) continue;
        handleMissingRun(task, placement, sentAtMs);
      }
    },
    removeInstance(instance, end) {
      const tasks = [...instance.tasks];
      crashes.recordEnd(instance, end);
      holdLateStarts(instance, end);
      releaseInstance(instance, end);
      for (const task of tasks) crashes.giveUpIfCrashing(task);
    },
    replaceInstance(instance, successor, end) {
      const tasks = [...instance.tasks];
      crashes.recordEnd(instance, end);
      for (const task of tasks) {
        const { placement } = task;
        if (placement !== undefined && mayHaveReachedSuccessor(placement)) {
          moveToSuccessor(task, placement, successor());
        }
      }
      releaseInstance(instance, end);
      for (const task of tasks) crashes.giveUpIfCrashing(task);
    },
    save,
    removeEnded(keepMs, mayRemove) {
      const nowMs = clock.monotonicMs();
      let removedJobs = 0;
      for (const [jobId, { endedAtMs }] of endedJobs) {
        if (nowMs - endedAtMs < keepMs || !mayRemove(jobId)) continue;
        removedJobs++;
        endedJobs.delete(jobId);
        const jobKey = STORE_KEYS.jobPrefix + jobId;
        const remove = (key: string, after?: string) =>
          journal.put({ key, after, encode: () => undefined });
        remove(jobKey);
        remove(STORE_KEYS.cancelPrefix + jobId);
        // Without its progress record, the next owner would run the job again.
        remove(STORE_KEYS.progressPrefix + jobId, jobKey);
      }
      if (removedJobs > 0) log.info("ended jobs removed", { removedJobs });
    },
  };
}
