import { assertNever } from "../errors.ts";
import type { TaskStatus } from "../ports/worker_agent.ts";
import type { FailureAttribution } from "./failure_attribution.ts";
import { endJob, type Job, type JobOutcome, type Run } from "./job.ts";

/**
 * Time after the assignment in which a task may be sent, in ms. A task that
 * isn't reported by then counts as lost. Workers must keep ended tasks in their
 * reports for longer than this.
 */
export const START_LIMIT_MS = 60_000;
/**
 * Time after which an idempotent job is moved from a worker that doesn't
 * answer, in ms. Longer than the task lease, so the task has stopped by then.
 */
const UNREACHABLE_LIMIT_MS = 90_000;
/**
 * Time for which a checkpointed idempotent job waits to resume on its worker,
 * in ms. Then it is requeued.
 */
const RESUME_LIMIT_MS = 60_000;
/**
 * Time after a checkpoint or resume in which a report may still show the state
 * before it, in ms.
 */
const RESUME_SETTLE_MS = 15_000;
/** Maximum number of runs of an idempotent job that keeps failing. */
const MAXIMUM_ATTEMPTS = 8;

/** What is known about a run from the VM list and its worker's reports. */
export type RunObservation =
  /** The worker is absent from the VM list or was replaced. */
  | { readonly kind: "gone" }
  /** The worker has no usable report, or the VM list is too old to tell. */
  | { readonly kind: "silent"; readonly silentMs: number }
  | {
    readonly kind: "reported";
    /**
     * The task's status in a report requested since the shard was taken over;
     * undefined if the report doesn't list it.
     */
    readonly task: TaskStatus | undefined;
    /**
     * Whether the worker has confirmed a checkpoint since the run was last
     * started.
     */
    readonly checkpointConfirmed: boolean;
    readonly rebootIntentId: string | undefined;
  };

/** Input of `reconcileJob`. */
export interface ReconcileInput {
  readonly observation: RunObservation;
  /** Whether no worker can have got a command for the run. */
  readonly isUnsent: boolean;
  readonly nowMs: number;
  /** Attributes a failure, given the workers on which the job has failed. */
  readonly attributeFailure: (
    failedOn: readonly string[],
  ) => FailureAttribution;
}

function requeue(job: Job, nowMs: number): Job {
  return { ...job, state: { kind: "queued", sinceMs: nowMs } };
}

/** Ends or requeues a job whose run's result can't be determined any more. */
function endLostRun(
  job: Job,
  reason: Extract<JobOutcome, { kind: "outcome_unknown" }>["reason"],
  nowMs: number,
): Job {
  if (job.cancelRequestedAtMs !== undefined && job.spec.idempotent) {
    return endJob(job, { kind: "cancelled" }, nowMs);
  }
  return job.spec.idempotent
    ? requeue(job, nowMs)
    : endJob(job, { kind: "outcome_unknown", reason }, nowMs);
}

function endFailedRun(job: Job, run: Run, input: ReconcileInput): Job {
  const { nowMs } = input;
  const failedOn = [...new Set([...job.failedOn, run.vmId])];
  const fail = (reason: "task_failed" | "failed_on_three_workers") =>
    endJob({ ...job, failedOn }, { kind: "failed", reason }, nowMs);
  if (!job.spec.idempotent || job.cancelRequestedAtMs !== undefined) {
    return fail("task_failed");
  }
  const blame = input.attributeFailure(failedOn);
  if (blame.kind === "job") return fail("failed_on_three_workers");
  if (job.attempts >= MAXIMUM_ATTEMPTS) return fail("task_failed");
  return requeue({ ...job, failedOn }, nowMs);
}

/**
 * Returns whether a reported checkpoint may be the one from which the run was
 * resumed.
 */
function isOlderCheckpoint(
  run: Run,
  { observation, nowMs }: ReconcileInput,
): boolean {
  const confirmed = observation.kind === "reported" &&
    observation.checkpointConfirmed;
  // The job's state doesn't help here: a report from before the checkpoint may
  // have set it to running in the meantime.
  return run.resumed === true && !confirmed &&
    nowMs - run.atMs < RESUME_SETTLE_MS;
}

function applyReport(
  job: Job,
  run: Run,
  task: TaskStatus,
  input: ReconcileInput,
): Job {
  const { nowMs } = input;
  const cancelled = job.cancelRequestedAtMs !== undefined;
  switch (task.state) {
    case "running":
      return job.state.kind === "running"
        ? job
        : { ...job, state: { kind: "running", run } };
    case "succeeded":
      return endJob(job, { kind: "succeeded" }, nowMs);
    case "failed":
      return endFailedRun(job, run, input);
    case "stopped":
      if (cancelled) return endJob(job, { kind: "cancelled" }, nowMs);
      return job.spec.idempotent && job.attempts < MAXIMUM_ATTEMPTS
        ? requeue(job, nowMs)
        : endJob(job, { kind: "failed", reason: "task_stopped" }, nowMs);
    case "checkpointed":
      if (cancelled) return endJob(job, { kind: "cancelled" }, nowMs);
      if (isOlderCheckpoint(run, input)) return job;
      return job.state.kind === "checkpointed" ? job : {
        ...job,
        state: { kind: "checkpointed", run, sinceMs: nowMs },
      };
    default:
      return assertNever(task.state);
  }
}

function applyMissingTask(
  job: Job,
  run: Run,
  rebootIntentId: string | undefined,
  nowMs: number,
): Job {
  // The worker has rebooted since the assignment, so the task is lost.
  if (run.rebootIntentId !== rebootIntentId) {
    return endLostRun(job, "task_lost", nowMs);
  }
  // Reports lag: a task may be checkpointed, and even resumed, before any
  // report lists it.
  const changedAtMs = job.state.kind === "checkpointed"
    ? job.state.sinceMs
    : run.resumed === true
    ? run.atMs
    : -Infinity;
  if (nowMs - changedAtMs < RESUME_SETTLE_MS) return job;
  // A task that was reported before is lost. One that was only assigned may not
  // have started yet.
  if (job.state.kind !== "assigned" || run.resumed === true) {
    return endLostRun(job, "task_lost", nowMs);
  }
  if (nowMs - run.atMs < START_LIMIT_MS) return job;
  const cancelled = job.cancelRequestedAtMs !== undefined;
  return endLostRun(
    job,
    cancelled ? "cancelled_during_start" : "task_lost",
    nowMs,
  );
}

/** Ends a cancelled job whose current run was assigned but never sent. */
function endUnsentRun(job: Job, nowMs: number): Job {
  const outcome: JobOutcome = job.attempts === 1
    ? { kind: "not_run", reason: "cancelled" }
    : { kind: "cancelled" };
  return endJob(job, outcome, nowMs);
}

/**
 * Returns the next state of a started job, given the observation of its run.
 */
export function reconcileJob(job: Job, input: ReconcileInput): Job {
  const { state } = job;
  if (state.kind === "queued" || state.kind === "ended") return job;
  const { observation, isUnsent, nowMs } = input;
  const { run } = state;
  const cancelled = job.cancelRequestedAtMs !== undefined;
  if (cancelled && isUnsent) return endUnsentRun(job, nowMs);
  switch (observation.kind) {
    case "gone":
      return endLostRun(job, "worker_gone", nowMs);
    case "silent":
      return job.spec.idempotent &&
          observation.silentMs >= UNREACHABLE_LIMIT_MS
        ? endLostRun(job, "worker_gone", nowMs)
        : job;
    case "reported": {
      const { task, rebootIntentId } = observation;
      const next = task === undefined
        ? applyMissingTask(job, run, rebootIntentId, nowMs)
        : applyReport(job, run, task, input);
      const isResumeOverdue = next.state.kind === "checkpointed" &&
        nowMs - next.state.sinceMs >= RESUME_LIMIT_MS;
      return isResumeOverdue && job.spec.idempotent
        ? requeue(next, nowMs)
        : next;
    }
    default:
      return assertNever(observation);
  }
}
