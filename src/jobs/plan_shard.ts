import {
  attributeFailure,
  type FailureAttribution,
} from "./failure_attribution.ts";
import {
  activeRun,
  classKeyOf,
  endJob,
  type Job,
  type Run,
  type Size,
} from "./job.ts";
import {
  capacityOf,
  listQuotas,
  listWorkers,
  type SchedulingContext,
  viewWorkers,
} from "./scheduling_context.ts";
import {
  type Allowance,
  type Candidate,
  placeJobs,
  type PlacementBasis,
  type WaitReason,
} from "./placement.ts";
import {
  listAwaitingPreemption,
  planPreemptions,
  type Preemption,
} from "./preemption.ts";
import { mitigateOverload, type MitigationCommand } from "./overload.ts";
import { reconcileJob, type RunObservation } from "./reconcile.ts";
import { taskIdOf } from "./task_id.ts";
import type { TaskView, WorkerView } from "./worker_view.ts";

/** Maximum number of assignments of one shard in one step. */
const MAXIMUM_ASSIGNMENTS = 200;

/**
 * A finished run. Its result is used for later decisions once its end is
 * written.
 */
export interface FinishedRun {
  readonly job: Job;
  readonly run: Run;
  readonly succeeded: boolean;
  readonly blame: FailureAttribution | undefined;
}

/** A task and the worker that runs it. */
export interface TaskOnWorker {
  readonly worker: WorkerView;
  readonly task: TaskView;
}

/** Why a queued or checkpointed job waits. */
export interface WaitInfo {
  readonly reason: WaitReason;
  /** Wall-clock time since which the job has waited for this reason, in ms. */
  readonly sinceMs: number;
  readonly basis: PlacementBasis;
}

/** Changes and commands of one step of a shard's dispatcher. */
export interface ShardPlan {
  /** Jobs whose records change. */
  readonly changes: readonly Job[];
  readonly finished: readonly FinishedRun[];
  /** Running tasks that are no longer wanted. */
  readonly stops: readonly TaskOnWorker[];
  readonly preemptions: readonly Preemption[];
  readonly mitigations:
    readonly (MitigationCommand & { readonly worker: WorkerView })[];
  readonly waits: ReadonlyMap<string, WaitInfo>;
  /** Facts behind each placement or rejection, by job id. */
  readonly bases: ReadonlyMap<string, PlacementBasis>;
  /** Observations that changed the state of a run, by job id. */
  readonly observations: ReadonlyMap<string, RunObservation>;
}

/** Input of `planShard`. */
export interface ShardPlanInput {
  readonly shard: number;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly fencingToken: number;
  /**
   * Monotonic time of the take-over, in ms. Reports requested since then are
   * newer than the loaded shard.
   */
  readonly reportsSinceMs: number;
  readonly context: SchedulingContext;
  readonly allowance?: Allowance | undefined;
  /** Returns whether no worker can have got a command for an assigned task. */
  readonly isUnsent: (taskId: string) => boolean;
}

function observeRun(input: ShardPlanInput, job: Job, run: Run): RunObservation {
  const { vmList, reports, region } = input.context;
  const vm = listWorkers(vmList, region).get(run.vmId);
  if (vm === undefined || vm.incarnation !== run.incarnation) {
    // A VM list that is older than the assignment may not show the worker yet.
    return input.context.vmListReadAtMs > run.atMs
      ? { kind: "gone" }
      : { kind: "silent", silentMs: 0 };
  }
  const report = reports.reportSince(run.vmId, {
    incarnation: run.incarnation,
    sinceMs: input.reportsSinceMs,
  });
  const silentMs = reports.silentMs(run.vmId);
  if (report === undefined || silentMs > 0 && !reports.isFresh(run.vmId)) {
    return { kind: "silent", silentMs };
  }
  const taskId = taskIdOf(job, run);
  return {
    kind: "reported",
    task: reports.taskStatus(run.vmId, taskId),
    checkpointConfirmed: reports.isCheckpointConfirmed(taskId),
    rebootIntentId: report.lastRebootIntentId,
  };
}

function createFailureAttributor(input: ShardPlanInput, job: Job, run: Run) {
  const { fleet, schedulerState, nowMs } = input.context;
  const record = fleet.vms[run.vmId];
  return (failedOn: readonly string[]) =>
    attributeFailure({
      vmId: run.vmId,
      jobClass: classKeyOf(job.spec),
      failedOn,
      inTransition: record?.state !== "serving" ||
        record.transition !== undefined,
      lostWorkersInRack: schedulerState.countLostInRack(
        record?.rack ?? "",
        nowMs,
      ),
      recentResults: schedulerState.recentResults,
      isQuarantined: (vmId) => schedulerState.quarantines.has(vmId),
    });
}

/** Updates the state of every started job from its worker's report. */
function reconcileAll(input: ShardPlanInput) {
  const next = new Map(input.jobs);
  const finished: FinishedRun[] = [];
  const observations = new Map<string, RunObservation>();
  for (const job of input.jobs.values()) {
    const { state } = job;
    if (state.kind === "queued" || state.kind === "ended") continue;
    const { run } = state;
    const attribute = createFailureAttributor(input, job, run);
    const observation = observeRun(input, job, run);
    const { nowMs } = input.context;
    const after = reconcileJob(job, {
      observation,
      isUnsent: input.isUnsent(taskIdOf(job, run)),
      nowMs,
      attributeFailure: attribute,
    });
    if (after === job) continue;
    next.set(job.id, after);
    observations.set(job.id, observation);
    const task = observation.kind === "reported" ? observation.task : undefined;
    if (task?.state !== "succeeded" && task?.state !== "failed") continue;
    const succeeded = task.state === "succeeded";
    const blame = succeeded
      ? undefined
      : attribute([...job.failedOn, run.vmId]);
    finished.push({ job, run, succeeded, blame });
  }
  return { next, finished, observations };
}

// Dispatchers read the jobs of the entry's other shards in every step. Most of
// those have ended, so the active ones are cached.
const activeJobsCache = new WeakMap<ReadonlyMap<string, Job>, readonly Job[]>();

function listActiveJobs(jobs: ReadonlyMap<string, Job>): readonly Job[] {
  let activeJobs = activeJobsCache.get(jobs);
  if (activeJobs === undefined) {
    activeJobs = [...jobs.values()].filter((job) =>
      activeRun(job) !== undefined
    );
    activeJobsCache.set(jobs, activeJobs);
  }
  return activeJobs;
}

function* jobsOfEntry(
  input: ShardPlanInput,
  jobs: ReadonlyMap<string, Job>,
): Iterable<Job> {
  yield* jobs.values();
  for (const [shard, others] of input.context.schedulerState.jobsByShard) {
    if (shard !== input.shard) yield* listActiveJobs(others);
  }
}

/**
 * Returns the jobs that wait for a worker, with the resources they would
 * reserve.
 */
export function listCandidates(
  input: Pick<ShardPlanInput, "context">,
  jobs: ReadonlyMap<string, Job>,
): Candidate[] {
  const { context } = input;
  const workerSizesByPool = new Map<string, Size[]>();
  for (const vm of listWorkers(context.vmList, context.region).values()) {
    const pool = context.fleet.vms[vm.id]?.pool ?? "";
    workerSizesByPool.set(pool, [
      ...workerSizesByPool.get(pool) ?? [],
      capacityOf(vm),
    ]);
  }
  return [...jobs.values()].flatMap((job): Candidate[] => {
    const { id, spec, failedOn, state } = job;
    const waitedMs = context.nowMs - job.submittedAtMs;
    const common = { jobId: id, spec, waitedMs, failedOn };
    if (state.kind === "queued") {
      const workerSizes = workerSizesByPool.get(spec.pool) ?? [];
      const size = context.schedulerState.profiles.reservationFor(
        spec,
        workerSizes,
      );
      return [{ ...common, size }];
    }
    if (state.kind !== "checkpointed") return [];
    const { size, vmId } = state.run;
    return [{ ...common, size, pinnedTo: vmId, failedOn: [] }];
  });
}

function assign(
  job: Job,
  worker: WorkerView,
  options: { size: Size; input: ShardPlanInput },
): Job {
  const { size, input } = options;
  const { fencingToken, context } = input;
  const assignment = { fencingToken, atMs: context.nowMs };
  if (job.state.kind === "checkpointed") {
    const run = { ...job.state.run, ...assignment, resumed: true };
    return { ...job, state: { kind: "assigned", run } };
  }
  const attempt = job.attempts + 1;
  const run: Run = {
    vmId: worker.vmId,
    incarnation: worker.incarnation,
    attempt,
    size,
    ...assignment,
    ...(worker.rebootIntentId === undefined
      ? {}
      : { rebootIntentId: worker.rebootIntentId }),
  };
  return { ...job, attempts: attempt, state: { kind: "assigned", run } };
}

function findUnwantedTasks(
  input: ShardPlanInput,
  jobs: ReadonlyMap<string, Job>,
  workers: readonly WorkerView[],
): TaskOnWorker[] {
  return workers.flatMap((worker) =>
    worker.tasks.flatMap((task): TaskOnWorker[] => {
      const { jobId, attempt, shard } = task.identity;
      if (shard !== input.shard) return [];
      const job = jobs.get(jobId);
      // None of these conditions can be reverted, so an outdated shard record
      // can't stop a wanted task. Tasks of unknown jobs are left alone; they
      // stop when their lease expires.
      const unwanted = job !== undefined &&
        (job.state.kind === "ended" || attempt < job.attempts ||
          job.cancelRequestedAtMs !== undefined);
      return unwanted ? [{ worker, task }] : [];
    })
  );
}

/** Plans one step of a shard's dispatcher. */
export function planShard(input: ShardPlanInput): ShardPlan {
  const { context } = input;
  const { next, finished, observations } = reconcileAll(input);
  const workers = viewWorkers(context, jobsOfEntry(input, next));
  const workersById = new Map(workers.map((worker) => [worker.vmId, worker]));
  const candidates = listCandidates(input, next);
  const decisions = placeJobs({
    candidates,
    workers,
    quotas: listQuotas(context.config),
    allowance: input.allowance,
  });
  const previousWaits = context.schedulerState.waitsByShard.get(input.shard);
  const waits = new Map<string, WaitInfo>();
  const bases = new Map<string, PlacementBasis>();
  let assignments = 0;
  for (const decision of decisions) {
    const job = next.get(decision.jobId)!;
    if (decision.kind === "wait") {
      const { reason, basis } = decision;
      const before = previousWaits?.get(job.id);
      const sinceMs = before?.reason === reason
        ? before.sinceMs
        : context.nowMs;
      waits.set(job.id, { reason, sinceMs, basis });
    } else if (decision.kind === "reject") {
      // A job that was started before must not be reported as `not_run`.
      const outcome = job.attempts === 0
        ? { kind: "not_run", reason: decision.reason } as const
        : { kind: "failed", reason: "task_failed" } as const;
      bases.set(job.id, decision.basis);
      next.set(job.id, endJob(job, outcome, context.nowMs));
    } else if (assignments++ < MAXIMUM_ASSIGNMENTS) {
      const worker = workersById.get(decision.vmId)!;
      bases.set(job.id, decision.basis);
      next.set(job.id, assign(job, worker, { size: decision.size, input }));
    }
  }
  const awaitingPreemption = listAwaitingPreemption(workers);
  const demands = candidates.flatMap(({ jobId, spec, size }) => {
    const reason = waits.get(jobId)?.reason;
    const urgent = spec.priority === "urgent" &&
      (reason === "no_capacity" || reason === "quota");
    if (!urgent || awaitingPreemption.has(jobId)) return [];
    const { pool, team } = spec;
    return [{ jobId, pool, team, size, exceedsQuota: reason === "quota" }];
  });
  return {
    changes: [...next.values()].filter((job) => input.jobs.get(job.id) !== job),
    finished,
    stops: findUnwantedTasks(input, next, workers),
    preemptions: planPreemptions(demands, workers),
    mitigations: planMitigations(input, workers),
    waits,
    bases,
    observations,
  };
}

/**
 * Plans the mitigation of overloaded workers. Only the tasks of this shard are
 * affected, so that two dispatchers don't act on the same task.
 */
function planMitigations(
  input: ShardPlanInput,
  workers: readonly WorkerView[],
) {
  const { schedulerState, nowMs } = input.context;
  return workers.flatMap((worker) =>
    mitigateOverload(
      worker,
      schedulerState.lastMitigations.get(worker.vmId),
      nowMs,
    )
      .filter(({ task }) => task.identity.shard === input.shard)
      .map((command) => ({ ...command, worker }))
  );
}
