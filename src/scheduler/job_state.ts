import type { RunLoss } from "./crashes/run_loss.ts";
import {
  type JobSpec,
  type JobStatus,
  MAXIMUM_TASKS_PER_JOB,
  type Step,
} from "./model.ts";

/** Number of waiting tasks of a schedule up to which further occurrences get state; a planning round places fewer. */
const MAXIMUM_WAITING_TASKS = 500;

/** The worker instance that a task was assigned to, and the state of that run. */
export interface Placement {
  readonly workerId: string;
  /** Start time of the worker instance, in ms since 1970. */
  readonly bornAtMs: number;
  readonly vmId: string;
  readonly run: number;
  /** Whether an earlier owner sent the start order, so that the time of the start is unknown. */
  readonly inherited: boolean;
  /** Number of attempts to send the start order that had no answer and may be executed late. */
  unansweredAttempts: number;
  /** Monotonic time of the latest attempt to send the start order, in ms. */
  startSentAtMs?: number | undefined;
  /** Progress of the start order. */
  startState:
    /** The record that must be stored before the order is sent isn't stored yet. */
    | "unrecorded"
    /** Taken over from an earlier owner, which may never have sent it. */
    | "inherited"
    | "sending"
    | "running"
    /** Sent but not answered; the worker may still carry it out. */
    | "unresolved";
  /** Why the run is being stopped; undefined while it may continue. */
  stopReason: string | undefined;
  /** Monotonic time of the placement, in ms. */
  placedAtMs: number;
  /** Monotonic time at which the worker confirmed the start, in ms. */
  confirmedAtMs: number | undefined;
  /** Monotonic time at which the worker confirmed that the run has stopped or will never start, in ms. */
  stopConfirmedAtMs: number | undefined;
  /** Progress of a batch task, or readiness of a long-running one, 0 to 100. */
  percent: number;
  /** Monotonic time since which every report has shown the run at work (percent 100), in ms. */
  atWorkSinceMs?: number | undefined;
  /** Monotonic time of the latest stop order for the run, in ms. */
  stopSentAtMs?: number | undefined;
  /** Monotonic time of the worker's latest report on the run, in ms. */
  reportedAtMs: number | undefined;
  /** Tail latency in ms for a serving task, CPU usage in thousandths of a core for others. */
  loadMetric: number;
}

/** Shared by all tasks that haven't failed, of which an owner may hold a hundred thousand. */
const NO_RUNS: readonly number[] = [];

/** One task of one occurrence of a job. */
export interface TaskState {
  readonly job: JobState;
  readonly taskId: string;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly index: number;
  /** Tasks of the same step and occurrence, this one included. */
  readonly siblings: readonly TaskState[];
  phase: "waiting" | "placed" | "done";
  /** Number of the latest run; 0 before the first. */
  run: number;
  /** Numbers of the failed runs, except of a long-running task, which may fail without limit; each once, although a worker may report an end again, to this owner or the next. */
  failedRuns: readonly number[];
  checkpoint: string;
  placement: Placement | undefined;
  /** Worker on which the task failed last, or that was too slow for it. */
  avoidedWorkerId: string | undefined;
  /** Monotonic time before which the task must not be placed again, in ms. */
  notBeforeMs: number;
  /** Number of short runs in a row of a long-running task. */
  shortRuns?: number | undefined;
  /** Number of times the task was stopped because its worker was too slow. */
  relocations: number;
  /** Runs that were lost with their workers, oldest first. */
  losses: readonly RunLoss[];
  /** Monotonic time at which the task was first found waiting for a worker of its own, in ms. */
  trialWaitSinceMs?: number | undefined;
  /** Monotonic time at which the task was first found waiting for capacity, in ms. */
  waitingSinceMs?: number | undefined;
}

/** One occurrence of a job's steps; a job without a schedule has one. */
export interface Occurrence {
  readonly number: number;
  /** Due time, in ms since 1970. */
  readonly dueAtMs: number;
  /** Tasks, by step index. */
  readonly steps: readonly TaskState[][];
  /** Tasks of all steps, in the order of the steps. */
  readonly tasks: readonly TaskState[];
  /** Number of unfinished tasks, by step index. */
  readonly remaining: number[];
}

/** Final status of a job. */
export type FinalStatus = "completed" | "failed" | "cancelled";

/** A job with the state of all its tasks. */
export interface JobState {
  readonly spec: JobSpec;
  status: "active" | FinalStatus;
  /** The latest stored status, which is the one that callers see. */
  recordedStatus: JobState["status"];
  /** Whether a task of the job has ever been placed. */
  started: boolean;
  /** Whether a worker has confirmed a run of the job, to this owner or, as an end, to an earlier one. */
  begun: boolean;
  /** Why the job has failed; undefined while it hasn't. */
  failureReason?: string | undefined;
  /** Whether the job was cancelled, even if it had ended before. */
  cancelRequested?: boolean | undefined;
  /** Number of occurrences that have got state; later ones haven't yet, although they may be due. */
  openedOccurrences: number;
  /** Occurrences with state, by number. A schedule's are dropped once they are finished and have no runs. */
  readonly occurrences: Occurrence[];
  finishedOccurrences: number;
  /** Number of tasks in the steps before each step. */
  readonly stepOffsets: readonly number[];
  /** Store keys of the records that hold parts of its progress. */
  readonly partKeys: Set<string>;
  /** Whether the record with the status lists the tasks as well, as one that an earlier version has stored does; until all parts are stored. */
  hasInlineTasks: boolean;
}

/** The part of a task that tells what it needs; kept for ended jobs, of which a run may still appear. */
export interface TaskDemand {
  readonly job: {
    readonly spec: Pick<JobSpec, "jobId" | "steps" | "workspace">;
  };
  readonly occurrence: number;
  readonly stepIndex: number;
}

/** Identifies a step of an occurrence towards the placement advice service. */
export function stepId(task: TaskDemand): string {
  return `${task.job.spec.jobId}.${task.occurrence}.${task.stepIndex}`;
}

/** Returns the step that a task belongs to. */
export function getStep(task: TaskDemand): Step {
  return task.job.spec.steps[task.stepIndex]!;
}

/** Returns all tasks of the gang that a task belongs to. */
export function listGangTasks(task: TaskState): readonly TaskState[] {
  return task.siblings;
}

/** Counts the failed runs of a task; a run of a gang counts once, however many of its members have failed in it. */
export function countFailures(task: TaskState): number {
  if (!getStep(task).gang) return task.failedRuns.length;
  return new Set(
    listGangTasks(task).flatMap(({ failedRuns }) => [
      ...failedRuns,
    ]),
  ).size;
}

/** Creates the state of a job that has just been accepted. */
export function createJobState(spec: JobSpec): JobState {
  let taskCount = 0;
  const stepOffsets = spec.steps.map((step) => {
    taskCount += step.taskCount;
    return taskCount - step.taskCount;
  });
  return {
    spec,
    status: "active",
    recordedStatus: "active",
    started: false,
    begun: false,
    openedOccurrences: 0,
    occurrences: [],
    finishedOccurrences: 0,
    stepOffsets,
    partKeys: new Set(),
    hasInlineTasks: false,
  };
}

/** Creates the state of one occurrence, of which no task has run. */
export function createOccurrence(job: JobState, number: number): Occurrence {
  const { spec } = job;
  const steps = spec.steps.map((step, stepIndex) => {
    const siblings: TaskState[] = [];
    for (let index = 0; index < step.taskCount; index++) {
      siblings.push({
        job,
        taskId: `${spec.jobId}.${number}.${stepIndex}.${index}`,
        occurrence: number,
        stepIndex,
        index,
        siblings,
        phase: "waiting",
        run: 0,
        failedRuns: NO_RUNS,
        checkpoint: "",
        placement: undefined,
        avoidedWorkerId: undefined,
        notBeforeMs: 0,
        relocations: 0,
        losses: [],
      });
    }
    return siblings;
  });
  return {
    number,
    dueAtMs: spec.repeatCount === 0
      ? spec.acceptedAtMs
      : spec.firstRunMs + number * spec.intervalMs,
    steps,
    tasks: steps.flat(),
    remaining: spec.steps.map((step) => step.taskCount),
  };
}

/** Returns the number of tasks in one occurrence of a job. */
export function countTasks(spec: Pick<JobSpec, "steps">): number {
  return spec.steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
}

/** Returns the total number of occurrences of a job. */
export function countOccurrences(spec: JobSpec): number {
  return Math.max(1, spec.repeatCount);
}

/** Returns the due time of the next occurrence without state, in ms since 1970; 0 for a job without a schedule, undefined if every occurrence has state. */
export function nextDueAtMs(job: JobState): number | undefined {
  const { spec, openedOccurrences: number } = job;
  if (number >= countOccurrences(spec)) return undefined;
  return spec.repeatCount === 0
    ? 0
    : spec.firstRunMs + number * spec.intervalMs;
}

/** Creates the state of the next occurrence and returns it. */
export function openOccurrence(job: JobState): Occurrence {
  const occurrence = createOccurrence(job, job.openedOccurrences++);
  job.occurrences.push(occurrence);
  return occurrence;
}

/** Returns an occurrence of a job; undefined if it has no state. */
export function findOccurrence(
  { occurrences }: JobState,
  number: number,
): Occurrence | undefined {
  let low = 0;
  for (let high = occurrences.length; low < high;) {
    const middle = (low + high) >> 1;
    if (occurrences[middle]!.number < number) low = middle + 1;
    else high = middle;
  }
  const found = occurrences[low];
  return found?.number === number ? found : undefined;
}

/** Whether the state of another occurrence would hold more tasks than can be placed soon. */
function hasEnoughWaiting({ occurrences, spec }: JobState): boolean {
  if (occurrences.length === 0) return false;
  const added = countTasks(spec);
  let waiting = added;
  let unfinished = added;
  for (const { tasks } of occurrences) {
    for (const { phase } of tasks) {
      if (phase === "waiting") waiting++;
      if (phase !== "done") unfinished++;
    }
  }
  return waiting > MAXIMUM_WAITING_TASKS || unfinished > MAXIMUM_TASKS_PER_JOB;
}

/**
 * Creates the state of occurrences that are due, as long as few tasks of the job
 * wait: the others follow once these are placed. Returns whether any was added.
 */
export function createDueOccurrences(job: JobState, wallMs: number): boolean {
  let added = false;
  for (
    let dueAtMs = nextDueAtMs(job);
    dueAtMs !== undefined && dueAtMs <= wallMs && !hasEnoughWaiting(job);
    dueAtMs = nextDueAtMs(job)
  ) {
    openOccurrence(job);
    added = true;
  }
  return added;
}

/** Drops the state of a schedule's occurrence once it is finished and has no runs. */
function dropIfOver({ job, occurrence: number }: TaskState): void {
  if (job.spec.repeatCount === 0) return;
  const occurrence = findOccurrence(job, number);
  if (
    occurrence === undefined ||
    occurrence.remaining.some((count) => count > 0) ||
    occurrence.tasks.some(({ placement }) => placement !== undefined)
  ) return;
  job.occurrences.splice(job.occurrences.indexOf(occurrence), 1);
}

function isRunnable(
  job: JobState,
  { remaining }: Occurrence,
  stepIndex: number,
): boolean {
  if (remaining[stepIndex] === 0) return false;
  for (const earlier of job.spec.steps[stepIndex]!.after) {
    if (remaining[earlier] !== 0) return false;
  }
  return true;
}

/** Returns the tasks of each unfinished step whose dependencies are complete. */
export function listRunnableSteps(
  job: JobState,
  occurrence: Occurrence,
): TaskState[][] {
  return occurrence.steps.filter((_, index) =>
    isRunnable(job, occurrence, index)
  );
}

/** Whether a runnable step has a task to place; called for each active job in each planning round. */
export function hasWaitingTasks(
  job: JobState,
  occurrence: Occurrence,
): boolean {
  for (const [index, tasks] of occurrence.steps.entries()) {
    if (!isRunnable(job, occurrence, index)) continue;
    for (const task of tasks) if (task.phase === "waiting") return true;
  }
  return false;
}

/** Marks a task as done, and its job as completed if this was the last task; the placement of a run that hasn't ended stays. */
export function finishTask(task: TaskState): void {
  if (task.phase === "done") return;
  task.phase = "done";
  const { job } = task;
  const occurrence = findOccurrence(job, task.occurrence)!;
  occurrence.remaining[task.stepIndex]!--;
  if (occurrence.remaining.some((count) => count > 0)) return;
  job.finishedOccurrences++;
  dropIfOver(task);
  if (
    job.finishedOccurrences === countOccurrences(job.spec) &&
    job.status === "active"
  ) job.status = "completed";
}

/** Ends the placement of a task whose run is proven to be over; an unfinished task waits for its next run. */
export function releaseTask(task: TaskState): void {
  task.placement = undefined;
  if (task.phase === "done") dropIfOver(task);
  if (task.phase !== "placed") return;
  task.phase = "waiting";
  task.waitingSinceMs = undefined;
}

/** Calls `visit` for each placed task of a job. */
export function forEachPlacedTask(
  job: JobState,
  visit: (task: TaskState, placement: Placement) => void,
): void {
  // The visitor may end runs, and with them occurrences.
  for (const occurrence of [...job.occurrences]) {
    for (const task of occurrence.tasks) {
      if (task.placement !== undefined) visit(task, task.placement);
    }
  }
}

/** Whether a task of a job is placed. */
export function hasPlacedTask(job: JobState): boolean {
  return job.occurrences.some(({ tasks }) =>
    tasks.some(({ placement }) => placement !== undefined)
  );
}

/** Returns the job status that is reported to callers. */
export function visibleStatus(job: JobState): JobStatus {
  if (job.recordedStatus !== "active") return job.recordedStatus;
  return job.started ? "running" : "queued";
}

/** Whether a report has listed the run. */
export function isListed(placement: Placement): boolean {
  return placement.reportedAtMs !== undefined;
}

/** Returns the checkpoint that a run resumes from; it is the same for all members of a gang. */
export function chooseCheckpoint(task: TaskState): string {
  if (!getStep(task).gang) return task.checkpoint;
  const member = listGangTasks(task).find(({ checkpoint }) =>
    checkpoint !== ""
  );
  return member?.checkpoint ?? "";
}
