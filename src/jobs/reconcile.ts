import { assertNever } from "../errors.ts";
import type { TaskStatus } from "../ports/worker_agent.ts";
import type { FailureAttribution } from "./failure_attribution.ts";
import { endJob, type Job, type JobOutcome, type Run } from "./job.ts";

/** Time in which a task may be sent, and after which one that a report doesn't list counts as lost, in ms. A worker must remember ended tasks for longer. */
export const START_LIMIT_MS = 60_000;
/** Time after which an idempotent job leaves a worker that doesn't answer, in ms; longer than the task lease. */
const UNREACHABLE_LIMIT_MS = 90_000;
/** Time for which an idempotent job waits to continue where it was checkpointed, in ms. */
const RESUME_LIMIT_MS = 60_000;
/** Time after a checkpoint or a resume in which a report may still show what was before it, in ms. */
const RESUME_SETTLE_MS = 15_000;
/** Runs after which an idempotent job that keeps failing ends. */
const MAXIMUM_ATTEMPTS = 8;

/** What is known of the worker that a job was sent to. */
export type RunObservation =
  /** Absent from the VM list or replaced. */
  | { readonly kind: "gone" }
  | { readonly kind: "silent"; readonly silentMs: number }
  | {
    readonly kind: "reported";
    /** The task in a report that was asked for after the last change of the run; undefined when it isn't listed. */
    readonly task: TaskStatus | undefined;
    /** Whether the worker confirmed a checkpoint after the run's last start. */
    readonly checkpointConfirmed: boolean;
    readonly rebootIntentId: string | undefined;
  };

/** What a job's next state is decided with. */
export interface ReconcileInput {
  readonly observation: RunObservation;
  readonly nowMs: number;
  /** Judges a failure, given the workers on which the job has failed. */
  readonly attributeFailure: (
    failedOn: readonly string[],
  ) => FailureAttribution;
}

function requeue(job: Job, nowMs: number): Job {
  return { ...job, state: { kind: "queued", sinceMs: nowMs } };
}

/** A run whose result can't be learned any more. */
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

/** Whether a reported checkpoint may be the one that the run was continued from. */
function isOlderCheckpoint(
  run: Run,
  { observation, nowMs }: ReconcileInput,
): boolean {
  const confirmed = observation.kind === "reported" &&
    observation.checkpointConfirmed;
  // A report from before the checkpoint may have shown the run as running in the meantime.
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
  // A task that was listed before, or was sent before a reboot, was lost by the worker.
  if (run.rebootIntentId !== rebootIntentId) {
    return endLostRun(job, "task_lost", nowMs);
  }
  // A confirmed checkpoint comes before the reports list a task that had just started, and so may its continuation.
  const changedAtMs = job.state.kind === "checkpointed"
    ? job.state.sinceMs
    : run.resumed === true
    ? run.atMs
    : -Infinity;
  if (nowMs - changedAtMs < RESUME_SETTLE_MS) return job;
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

/** Decides a started job's next state from what is known of its worker. */
export function reconcileJob(job: Job, input: ReconcileInput): Job {
  const { state } = job;
  if (state.kind === "queued" || state.kind === "ended") return job;
  const { observation, nowMs } = input;
  const { run } = state;
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
      const waits = next.state.kind === "checkpointed" &&
        nowMs - next.state.sinceMs >= RESUME_LIMIT_MS;
      return waits && job.spec.idempotent ? requeue(next, nowMs) : next;
    }
    default:
      return assertNever(observation);
  }
}
