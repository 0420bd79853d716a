import { type Blame, blameFailure } from "./blame.ts";
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
  type JobsWorld,
  listQuotas,
  listWorkers,
  viewWorkers,
} from "./jobs_world.ts";
import {
  type Allowance,
  type Candidate,
  placeJobs,
  type PlacementBasis,
  type WaitReason,
} from "./placement.ts";
import { listAwaited, planPreemptions, type Preemption } from "./preemption.ts";
import { type ReliefAction, relieveWorker } from "./pressure.ts";
import { reconcileJob, type RunObservation } from "./reconcile.ts";
import { taskIdOf } from "./task_id.ts";
import type { TaskView, WorkerView } from "./worker_view.ts";

/** Assignments of one shard in one step at most. */
const MAXIMUM_ASSIGNMENTS = 200;

/** One finished run, from which this entry learns once it is recorded. */
export interface FinishedRun {
  readonly job: Job;
  readonly run: Run;
  readonly succeeded: boolean;
  readonly blame: Blame | undefined;
}

/** A task on its worker. */
export interface TaskOnWorker {
  readonly worker: WorkerView;
  readonly task: TaskView;
}

/** Why a queued or checkpointed job waits. */
export interface Wait {
  readonly reason: WaitReason;
  /** Wall-clock time since which this is the reason, in ms. */
  readonly sinceMs: number;
  readonly basis: PlacementBasis;
}

/** What one step of a shard's dispatcher writes and does. */
export interface ShardPlan {
  /** Jobs with a new state. */
  readonly changes: readonly Job[];
  readonly finished: readonly FinishedRun[];
  /** Running tasks that no job asks for any more. */
  readonly stops: readonly TaskOnWorker[];
  readonly preemptions: readonly Preemption[];
  readonly reliefs: readonly (ReliefAction & { readonly worker: WorkerView })[];
  readonly waits: ReadonlyMap<string, Wait>;
  /** What the jobs that were placed or rejected were judged on. */
  readonly bases: ReadonlyMap<string, PlacementBasis>;
  /** What the changed runs were judged on. */
  readonly observations: ReadonlyMap<string, RunObservation>;
}

/** What a shard is planned from. */
export interface ShardPlanInput {
  readonly shard: number;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly fencingToken: number;
  /** Monotonic time since which reports are newer than the shard's state, in ms. */
  readonly reportsSinceMs: number;
  readonly world: JobsWorld;
  readonly allowance?: Allowance | undefined;
}

function observeRun(input: ShardPlanInput, job: Job, run: Run): RunObservation {
  const { vmList, reports, region } = input.world;
  const vm = listWorkers(vmList, region).get(run.vmId);
  if (vm === undefined || vm.incarnation !== run.incarnation) {
    // A list that is older than the assignment may not show the worker yet.
    return input.world.vmListReadAtMs > run.atMs
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

function judgeRun(input: ShardPlanInput, job: Job, run: Run) {
  const { fleet, schedulerState, nowMs } = input.world;
  const record = fleet.vms[run.vmId];
  return (failedOn: readonly string[]) =>
    blameFailure({
      vmId: run.vmId,
      jobClass: classKeyOf(job.spec),
      failedOn,
      inTransition: record?.state !== "serving" ||
        record.transition !== undefined,
      lostInRack: schedulerState.lostInRack(record?.rack ?? "", nowMs),
      events: schedulerState.events,
      isQuarantined: (vmId) => schedulerState.quarantined.has(vmId),
    });
}

/** Brings each started job up to date with what its worker reports. */
function reconcileAll(input: ShardPlanInput) {
  const next = new Map(input.jobs);
  const finished: FinishedRun[] = [];
  const observations = new Map<string, RunObservation>();
  for (const job of input.jobs.values()) {
    const { state } = job;
    if (state.kind === "queued" || state.kind === "ended") continue;
    const { run } = state;
    const judge = judgeRun(input, job, run);
    const observation = observeRun(input, job, run);
    const { nowMs } = input.world;
    const after = reconcileJob(job, { observation, nowMs, blame: judge });
    if (after === job) continue;
    next.set(job.id, after);
    observations.set(job.id, observation);
    const task = observation.kind === "reported" ? observation.task : undefined;
    if (task?.state !== "succeeded" && task?.state !== "failed") continue;
    const succeeded = task.state === "succeeded";
    const blame = succeeded ? undefined : judge([...job.failedOn, run.vmId]);
    finished.push({ job, run, succeeded, blame });
  }
  return { next, finished, observations };
}

// The shards' dispatchers read each other's jobs in every step, of which most have ended.
const active = new WeakMap<ReadonlyMap<string, Job>, readonly Job[]>();

function listActive(jobs: ReadonlyMap<string, Job>): readonly Job[] {
  let found = active.get(jobs);
  if (found === undefined) {
    found = [...jobs.values()].filter((job) => activeRun(job) !== undefined);
    active.set(jobs, found);
  }
  return found;
}

function* jobsOfEntry(
  input: ShardPlanInput,
  jobs: ReadonlyMap<string, Job>,
): Iterable<Job> {
  yield* jobs.values();
  for (const [shard, others] of input.world.schedulerState.owned) {
    if (shard !== input.shard) yield* listActive(others);
  }
}

/** Returns the jobs that wait for a worker, with what they reserve. */
export function listCandidates(
  input: Pick<ShardPlanInput, "world">,
  jobs: ReadonlyMap<string, Job>,
): Candidate[] {
  const { world } = input;
  const sizes = new Map<string, Size[]>();
  for (const vm of listWorkers(world.vmList, world.region).values()) {
    const pool = world.fleet.vms[vm.id]?.pool ?? "";
    sizes.set(pool, [...sizes.get(pool) ?? [], capacityOf(vm)]);
  }
  return [...jobs.values()].flatMap((job): Candidate[] => {
    const { id, spec, failedOn, state } = job;
    const waitedMs = world.nowMs - job.submittedAtMs;
    const common = { jobId: id, spec, waitedMs, failedOn };
    if (state.kind === "queued") {
      const largest = sizes.get(spec.pool) ?? [];
      const size = world.schedulerState.profiles.reservation(spec, largest);
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
  const { fencingToken, world } = input;
  const fresh = { fencingToken, atMs: world.nowMs };
  if (job.state.kind === "checkpointed") {
    const run = { ...job.state.run, ...fresh, resumed: true };
    return { ...job, state: { kind: "assigned", run } };
  }
  const attempt = job.attempts + 1;
  const run: Run = {
    vmId: worker.vmId,
    incarnation: worker.incarnation,
    attempt,
    size,
    ...fresh,
    ...(worker.rebootIntentId === undefined
      ? {}
      : { rebootIntentId: worker.rebootIntentId }),
  };
  return { ...job, attempts: attempt, state: { kind: "assigned", run } };
}

function findStops(
  input: ShardPlanInput,
  jobs: ReadonlyMap<string, Job>,
  workers: readonly WorkerView[],
): TaskOnWorker[] {
  return workers.flatMap((worker) =>
    worker.tasks.flatMap((task): TaskOnWorker[] => {
      const { jobId, attempt, shard } = task.identity;
      if (shard !== input.shard) return [];
      const job = jobs.get(jobId);
      // Each of these facts is final, so an outdated shard can't stop a wanted task. The lease of an unknown job's task lapses by itself.
      const unwanted = job !== undefined &&
        (job.state.kind === "ended" || attempt < job.attempts ||
          job.cancelRequestedAtMs !== undefined);
      return unwanted ? [{ worker, task }] : [];
    })
  );
}

/** Decides what one shard's dispatcher writes and does next. */
export function planShard(input: ShardPlanInput): ShardPlan {
  const { world } = input;
  const { next, finished, observations } = reconcileAll(input);
  const workers = viewWorkers(world, jobsOfEntry(input, next));
  const byId = new Map(workers.map((worker) => [worker.vmId, worker]));
  const candidates = listCandidates(input, next);
  const decisions = placeJobs({
    candidates,
    workers,
    quotas: listQuotas(world.config),
    allowance: input.allowance,
  });
  const waited = world.schedulerState.waits.get(input.shard);
  const waits = new Map<string, Wait>();
  const bases = new Map<string, PlacementBasis>();
  let assignments = 0;
  for (const decision of decisions) {
    const job = next.get(decision.jobId)!;
    if (decision.kind === "wait") {
      const { reason, basis } = decision;
      const before = waited?.get(job.id);
      const sinceMs = before?.reason === reason ? before.sinceMs : world.nowMs;
      waits.set(job.id, { reason, sinceMs, basis });
    } else if (decision.kind === "reject") {
      // A job that had started before isn't reported as never run.
      const outcome = job.attempts === 0
        ? { kind: "not_run", reason: decision.reason } as const
        : { kind: "failed", reason: "task_failed" } as const;
      bases.set(job.id, decision.basis);
      next.set(job.id, endJob(job, outcome, world.nowMs));
    } else if (assignments++ < MAXIMUM_ASSIGNMENTS) {
      const worker = byId.get(decision.vmId)!;
      bases.set(job.id, decision.basis);
      next.set(job.id, assign(job, worker, { size: decision.size, input }));
    }
  }
  const awaited = listAwaited(workers);
  const needs = candidates.flatMap(({ jobId, spec, size }) => {
    const reason = waits.get(jobId)?.reason;
    const urgent = spec.priority === "urgent" &&
      (reason === "no_capacity" || reason === "quota");
    if (!urgent || awaited.has(jobId)) return [];
    const { pool, team } = spec;
    return [{ jobId, pool, team, size, exceedsQuota: reason === "quota" }];
  });
  return {
    changes: [...next.values()].filter((job) => input.jobs.get(job.id) !== job),
    finished,
    stops: findStops(input, next, workers),
    preemptions: planPreemptions(needs, workers),
    reliefs: planReliefs(input, workers),
    waits,
    bases,
    observations,
  };
}

/** Relief concerns only tasks of this shard, so that two dispatchers don't relieve a worker twice. */
function planReliefs(input: ShardPlanInput, workers: readonly WorkerView[]) {
  const { schedulerState, nowMs } = input.world;
  return workers.flatMap((worker) =>
    relieveWorker(worker, schedulerState.reliefs.get(worker.vmId), nowMs)
      .filter(({ task }) => task.identity.shard === input.shard)
      .map((action) => ({ ...action, worker }))
  );
}
