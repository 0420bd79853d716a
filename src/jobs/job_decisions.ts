import { assertNever } from "../errors.ts";
import type { Job, JobOutcome, Run } from "./job.ts";
import type { JobDecision } from "./job_decision_log.ts";
import type { ShardPlan, WaitInfo } from "./plan_shard.ts";
import type {
  ExclusionCounts,
  ExclusionReason,
  PlacementBasis,
} from "./placement.ts";
import type { RunObservation } from "./reconcile.ts";

type Facts = JobDecision["facts"];
type Rejected = JobDecision["rejected"];

/** Input for describing the decisions of one step. */
export interface StepDescription {
  readonly nowMs: number;
  /** Jobs of the shard before the step. */
  readonly before: ReadonlyMap<string, Job>;
  /** Jobs of the shard after the step was written. */
  readonly after: ReadonlyMap<string, Job>;
  /** Why jobs waited before the step. */
  readonly previousWaits: ReadonlyMap<string, WaitInfo> | undefined;
  readonly plan: ShardPlan;
}

function describeExclusion(exclusion: ExclusionReason): string {
  switch (exclusion) {
    case "not_serving":
      return "not serving, or no recent report";
    case "quarantined":
      return "quarantined";
    case "probe_running":
      return "on probation with a task already";
    case "kept_for_older_job":
      return "kept for a job that has waited longer";
    case "held_for_urgent_job":
      return "freed for an urgent job";
    case "no_room":
      return "too little free";
    case "failed_there":
      return "the job failed there and another worker may take it";
    case "not_its_checkpoint":
      return "the job's checkpoint is on another worker";
    default:
      return assertNever(exclusion);
  }
}

/** Lists the workers of a pool that were excluded, grouped by reason. */
export function listRejected(exclusions: ExclusionCounts): Rejected {
  return Object.entries(exclusions).map(([exclusion, count]) => ({
    option: `${count} worker(s)`,
    reason: describeExclusion(exclusion as ExclusionReason),
  }));
}

/** Returns the values on which a placement decision was based. */
export function listFacts({ spec }: Job, basis: PlacementBasis): Facts {
  const { size, teamUse, quota, workers } = basis;
  return {
    reservedCores: size.cores,
    reservedMemoryMb: size.memoryMb,
    declaredCores: spec.cores,
    declaredMemoryMb: spec.memoryMb,
    teamUsedCores: Math.round(100 * teamUse.cores) / 100,
    teamUsedMemoryMb: teamUse.memoryMb,
    teamUsedAccelerators: teamUse.accelerators,
    ...(quota.cores !== undefined && { quotaCores: quota.cores }),
    ...(quota.memoryMb !== undefined && { quotaMemoryMb: quota.memoryMb }),
    ...(quota.accelerators !== undefined &&
      { quotaAccelerators: quota.accelerators }),
    workersOfPool: workers,
  };
}

function describeObservation(observation: RunObservation | undefined): string {
  switch (observation?.kind) {
    case undefined:
      return "a decision of this entry";
    case "gone":
      return "the worker is gone or was replaced";
    case "silent":
      return `the worker hasn't answered for ${
        Math.round(observation.silentMs)
      } ms`;
    case "reported":
      return observation.task === undefined
        ? "the worker doesn't list the task any more"
        : `the worker reports the task as ${observation.task.state}`;
    default:
      return assertNever(observation);
  }
}

function describeOutcome(outcome: JobOutcome): string {
  return "reason" in outcome
    ? `${outcome.kind}: ${outcome.reason}`
    : outcome.kind;
}

/** Returns the run of a started job, also of a checkpointed one. */
function runOf({ state }: Job): Run | undefined {
  return state.kind === "queued" || state.kind === "ended"
    ? undefined
    : state.run;
}

function jobIdentity({ id, spec }: Job) {
  return { jobId: id, pool: spec.pool, team: spec.team };
}

function describePlacement(
  job: Job,
  run: Run,
  step: StepDescription,
): JobDecision {
  const basis = step.plan.bases.get(job.id);
  const wait = step.previousWaits?.get(job.id);
  const verb = run.resumed === true ? "continued" : "placed";
  return {
    atMs: step.nowMs,
    kind: verb,
    vmId: run.vmId,
    ...jobIdentity(job),
    summary: `${verb} on ${run.vmId} as attempt ${run.attempt}`,
    facts: {
      waitedMs: step.nowMs - job.submittedAtMs,
      ...(wait !== undefined && { waitedFor: wait.reason }),
      ...(basis !== undefined && listFacts(job, basis)),
    },
    rejected: basis === undefined ? [] : listRejected(basis.exclusions),
  };
}

/** Returns why a job that ended wasn't retried. */
function explainNoRetry(job: Job): Rejected {
  const reason = job.cancelRequestedAtMs !== undefined
    ? "its cancellation was requested"
    : !job.spec.idempotent
    ? "it isn't idempotent and may have run"
    : `it had ${job.attempts} attempt(s) and failed on ${job.failedOn.length} worker(s)`;
  return [{ option: "another attempt", reason }];
}

function describeEndOfRun(
  job: Job,
  before: Job,
  step: StepDescription,
): JobDecision | undefined {
  const { plan, nowMs: atMs } = step;
  const run = runOf(before);
  const blame = plan.finished.find((item) => item.job === before)?.blame;
  const observation = plan.observations.get(job.id);
  const facts: Facts = {
    attempts: job.attempts,
    failedOn: job.failedOn.join(", "),
    ...(run !== undefined && { ranMs: atMs - run.atMs }),
    ...(blame !== undefined && { blame: `${blame.kind}: ${blame.reason}` }),
  };
  const common = { atMs, ...jobIdentity(job), ...(run && { vmId: run.vmId }) };
  if (job.state.kind === "queued") {
    return {
      ...common,
      kind: "retried",
      summary: `queued again: ${describeObservation(observation)}`,
      facts,
      rejected: [],
    };
  }
  if (job.state.kind !== "ended") return undefined;
  const { outcome } = job.state;
  if (outcome.kind === "succeeded") return undefined;
  const basis = plan.bases.get(job.id);
  const cause = observation === undefined
    ? ""
    : `, as ${describeObservation(observation)}`;
  return {
    ...common,
    kind: "ended",
    summary: `${describeOutcome(outcome)}${cause}`,
    facts: { ...facts, ...(basis !== undefined && listFacts(job, basis)) },
    rejected: basis === undefined ? explainNoRetry(job) : [],
  };
}

function describeJob(
  job: Job,
  step: StepDescription,
): (JobDecision | undefined)[] {
  const before = step.before.get(job.id);
  // A job that a cancellation changed in the meantime wasn't written by this
  // step.
  if (before === undefined || step.after.get(job.id) !== job) return [];
  const run = runOf(job);
  const placed = job.state.kind === "assigned" && run !== undefined &&
    run !== runOf(before);
  // A job can be requeued and placed again in the same step.
  const requeued = placed && runOf(before) !== undefined &&
    run.resumed !== true;
  const queued: Job = {
    ...job,
    attempts: before.attempts,
    state: { kind: "queued", sinceMs: step.nowMs },
  };
  return [
    ...(requeued ? [describeEndOfRun(queued, before, step)] : []),
    placed
      ? describePlacement(job, run, step)
      : describeEndOfRun(job, before, step),
  ];
}

function describePreemptions(step: StepDescription): JobDecision[] {
  const { plan, nowMs: atMs } = step;
  return plan.preemptions.flatMap(({ demand, worker, victims }) => {
    const { jobId, pool, team, size, exceedsQuota } = demand;
    const { vmId } = worker;
    const cause = exceedsQuota ? "its team's quota is used up" : "no room";
    const wait = plan.waits.get(jobId);
    return [
      {
        atMs,
        kind: "made_room" as const,
        jobId,
        vmId,
        pool,
        team,
        summary:
          `checkpoints ${victims.length} task(s) for this urgent job: ${cause}`,
        facts: { reservedCores: size.cores, reservedMemoryMb: size.memoryMb },
        rejected: wait === undefined ? [] : listRejected(wait.basis.exclusions),
      },
      ...victims.map(({ worker, task: { identity } }) => ({
        atMs,
        kind: "preempted" as const,
        jobId: identity.jobId,
        vmId: worker.vmId,
        pool: worker.pool,
        team: identity.team,
        summary: `checkpointed for urgent job ${jobId}: ${cause}`,
        facts: { urgentJob: jobId, freedCores: identity.size.cores },
        rejected: [],
      })),
    ];
  });
}

function describeMitigations({ plan, nowMs }: StepDescription): JobDecision[] {
  return plan.mitigations.map(({ action, task, worker }) => ({
    atMs: nowMs,
    kind: "relieved",
    jobId: task.identity.jobId,
    vmId: worker.vmId,
    pool: worker.pool,
    team: task.identity.team,
    summary: `${action} on an overloaded worker`,
    facts: {
      reservedCores: task.identity.size.cores,
      reservedMemoryMb: task.identity.size.memoryMb,
      usedCores: task.usedCores ?? 0,
      usedMemoryMb: task.usedMemoryMb ?? 0,
    },
    rejected: [],
  }));
}

/**
 * Describes the decisions of a step that was written. The success of a job
 * isn't listed.
 */
export function describeStep(step: StepDescription): JobDecision[] {
  return [
    ...step.plan.changes.flatMap((job) => describeJob(job, step))
      .filter((decision) => decision !== undefined),
    ...describePreemptions(step),
    ...describeMitigations(step),
  ];
}
