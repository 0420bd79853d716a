import { rendezvousHash } from "../requests/rendezvous_hash.ts";
import { classKeyOf, type JobSpec, type Size } from "./job.ts";
import { addSize, fits, ZERO_SIZE } from "./size.ts";
import {
  type CapacityHold,
  freeCapacity,
  type WorkerView,
} from "./worker_view.ts";

/**
 * Waiting time after which a worker is reserved for a job, in ms, so that
 * smaller jobs can't starve it.
 */
const STARVED_AFTER_MS = 60_000;

/** A job waiting for placement, with the resources it would reserve. */
export interface Candidate {
  readonly jobId: string;
  readonly spec: JobSpec;
  readonly size: Size;
  readonly waitedMs: number;
  readonly failedOn: readonly string[];
  /** The only worker on which a checkpointed job can resume. */
  readonly pinnedTo?: string;
}

/** Resource limits of a team; an absent resource isn't limited. */
export type Quota = Partial<Size>;

/** How team quotas are enforced in a planning step. */
export type Allowance =
  /** By the tasks known to this entry. */
  | { readonly kind: "reported" }
  /** By the grants of the region's quota ledger to the shard. */
  | { readonly kind: "granted"; readonly byTeam: ReadonlyMap<string, Size> }
  /**
   * The ledger didn't answer: urgent jobs are placed by the known tasks; other
   * jobs of limited teams wait.
   */
  | { readonly kind: "unanswered" };

/** Input of `placeJobs`. */
export interface PlacementInput {
  readonly candidates: readonly Candidate[];
  readonly workers: readonly WorkerView[];
  readonly quotas: ReadonlyMap<string, Quota>;
  /** Defaults to `reported`. */
  readonly allowance?: Allowance | undefined;
}

/** Why a job waits. */
export type WaitReason = "no_capacity" | "quota" | "no_worker";

/** Why a worker of the job's pool was excluded. */
export type ExclusionReason =
  | "not_serving"
  | "quarantined"
  | "probe_running"
  | "kept_for_older_job"
  | "held_for_urgent_job"
  | "no_room"
  | "failed_there"
  | "not_its_checkpoint";

/** Number of excluded workers by reason. */
export type ExclusionCounts = Partial<Record<ExclusionReason, number>>;

/** Facts on which a placement decision was based. */
export interface PlacementBasis {
  readonly size: Size;
  /** Usage of the team before the decision. */
  readonly teamUse: Size;
  readonly quota: Quota;
  /** Number of workers in the pool. */
  readonly workers: number;
  readonly exclusions: ExclusionCounts;
}

/** Placement decision for one waiting job. */
export type PlacementDecision =
  & { readonly jobId: string; readonly basis: PlacementBasis }
  & (
    | { readonly kind: "place"; readonly vmId: string; readonly size: Size }
    | {
      readonly kind: "reject";
      readonly reason: "fits_no_worker" | "exceeds_quota";
    }
    | { readonly kind: "wait"; readonly reason: WaitReason }
  );

/** Free capacity and quota usage, updated as a step places jobs. */
class PlacementState {
  /** Capacity that isn't reserved by tasks, by worker. */
  readonly free = new Map<string, Size>();
  /** Resources used by or held for each team, by name. */
  readonly teamUse = new Map<string, Size>();
  /** Workers with at least one task. */
  readonly busy = new Set<string>();
  /** Ids of the starved jobs for which workers are reserved, by worker. */
  readonly reservedFor = new Map<string, string>();
  /**
   * Urgent jobs for which quota was freed, by tasks that have been checkpointed
   * by now.
   */
  readonly jobsWithFreedQuota = new Set<string>();
  readonly allowance: Allowance;
  readonly #granted: Map<string, Size>;
  #holdByJob = new Map<string, Size>();
  #classTasksByRack = new Map<string, number>();

  constructor(
    workers: readonly WorkerView[],
    allowance: Allowance = { kind: "reported" },
  ) {
    this.allowance = allowance;
    this.#granted = new Map(
      allowance.kind === "granted" ? allowance.byTeam : [],
    );
    for (const worker of workers) {
      this.free.set(worker.vmId, freeCapacity(worker));
      if (worker.tasks.length > 0) this.busy.add(worker.vmId);
      if (worker.hold !== undefined) this.#countHold(worker.hold);
      for (const { identity } of worker.tasks) {
        this.#countTask(
          worker,
          identity.team,
          classKeyOf(identity),
          identity.size,
        );
      }
    }
    this.#findFreedQuota(workers);
  }

  #findFreedQuota(workers: readonly WorkerView[]): void {
    const holds = workers.flatMap(({ hold }) =>
      hold?.freesQuota === true ? [hold] : []
    );
    if (holds.length === 0) return;
    const running = new Set(
      workers.flatMap(({ tasks }) => tasks.map(({ taskId }) => taskId)),
    );
    for (const { jobId, freedBy } of holds) {
      const freed = !freedBy.some((taskId) => running.has(taskId));
      if (freed) this.jobsWithFreedQuota.add(jobId);
    }
  }

  recordPlacement(worker: WorkerView, { spec, size }: Candidate): void {
    this.free.set(worker.vmId, addSize(this.free.get(worker.vmId)!, size, -1));
    this.busy.add(worker.vmId);
    this.#countTask(worker, spec.team, classKeyOf(spec), size);
    const granted = this.#granted.get(spec.team);
    if (granted === undefined) return;
    this.#granted.set(spec.team, addSize(granted, size, -1));
  }

  /** Returns whether the quota of the job's team allows the job. */
  fitsQuota(candidate: Candidate, quota: Quota): boolean {
    const { jobId, spec, size } = candidate;
    const { kind } = this.allowance;
    const isLimited = Object.keys(quota).length > 0;
    if (kind === "granted" && isLimited) {
      return fits(size, this.#granted.get(spec.team) ?? ZERO_SIZE);
    }
    // Other entries may already have used the freed quota. The job starts
    // anyway: it replaces the tasks checkpointed for it, so the team uses no
    // more than before.
    if (this.jobsWithFreedQuota.has(jobId)) return true;
    const isOpen = kind !== "unanswered" || !isLimited ||
      spec.priority === "urgent";
    return isOpen &&
      withinQuota(addSize(this.teamUseFor(candidate), size), quota);
  }

  /**
   * Returns the usage of the job's team, including what is held for the team's
   * other urgent jobs.
   */
  teamUseFor({ jobId, spec }: Candidate): Size {
    const use = this.teamUse.get(spec.team) ?? ZERO_SIZE;
    const hold = this.#holdByJob.get(jobId);
    return hold === undefined ? use : addSize(use, hold, -1);
  }

  #countHold({ jobId, team, size }: CapacityHold): void {
    this.#holdByJob.set(jobId, size);
    const use = this.teamUse.get(team) ?? ZERO_SIZE;
    this.teamUse.set(team, addSize(use, size));
  }

  countClassTasksInRack(worker: WorkerView, jobClass: string): number {
    return this.#classTasksByRack.get(`${worker.rack} ${jobClass}`) ?? 0;
  }

  #countTask(worker: WorkerView, team: string, jobClass: string, size: Size) {
    const use = this.teamUse.get(team) ?? ZERO_SIZE;
    this.teamUse.set(team, addSize(use, size));
    const key = `${worker.rack} ${jobClass}`;
    this.#classTasksByRack.set(key, (this.#classTasksByRack.get(key) ?? 0) + 1);
  }
}

function withinQuota(size: Size, quota: Quota): boolean {
  return size.cores <= (quota.cores ?? Infinity) &&
    size.memoryMb <= (quota.memoryMb ?? Infinity) &&
    size.accelerators <= (quota.accelerators ?? Infinity);
}

/** Returns why a worker can't run a job now; undefined if it can. */
function findExclusionReason(
  worker: WorkerView,
  candidate: Candidate,
  state: PlacementState,
): ExclusionReason | undefined {
  const { vmId, standing, hold, serving } = worker;
  if ((candidate.pinnedTo ?? vmId) !== vmId) return "not_its_checkpoint";
  if (!serving) return "not_serving";
  if (standing === "quarantined") return "quarantined";
  if (standing === "probing" && state.busy.has(vmId)) return "probe_running";
  const reservedJobId = state.reservedFor.get(vmId);
  if (reservedJobId !== undefined && reservedJobId !== candidate.jobId) {
    return "kept_for_older_job";
  }
  const free = state.free.get(vmId)!;
  if (!fits(candidate.size, free)) return "no_room";
  if (hold === undefined || hold.jobId === candidate.jobId) return undefined;
  const freeWithoutHold = addSize(free, hold.size, -1);
  return fits(candidate.size, freeWithoutHold)
    ? undefined
    : "held_for_urgent_job";
}

/** Returns the sort keys of a worker for a job; lower is better. */
function rank(
  worker: WorkerView,
  candidate: Candidate,
  state: PlacementState,
): number[] {
  const { spec, size, failedOn } = candidate;
  const left = addSize(state.free.get(worker.vmId)!, size, -1);
  return [
    failedOn.includes(worker.vmId) ? 1 : 0,
    worker.standing === "normal" ? 0 : 1,
    // Keeps workers with accelerators free for jobs that need them.
    size.accelerators === 0 ? worker.capacity.accelerators : 0,
    state.countClassTasksInRack(worker, classKeyOf(spec)),
    Math.round(8 * left.cores / Math.max(1, worker.capacity.cores)),
    rendezvousHash(candidate.jobId, worker.vmId),
  ];
}

function compareRanks(a: readonly number[], b: readonly number[]): number {
  for (let index = 0; index < a.length; index++) {
    const difference = a[index]! - b[index]!;
    if (difference !== 0) return difference;
  }
  return 0;
}

function chooseWorker(
  candidate: Candidate,
  workers: readonly WorkerView[],
  state: PlacementState,
): { worker: WorkerView | undefined; exclusions: ExclusionCounts } {
  const exclusions: ExclusionCounts = {};
  let best: { worker: WorkerView; rank: number[] } | undefined;
  for (const worker of workers) {
    const exclusion = findExclusionReason(worker, candidate, state);
    if (exclusion !== undefined) {
      exclusions[exclusion] = (exclusions[exclusion] ?? 0) + 1;
      continue;
    }
    const ranked = rank(worker, candidate, state);
    if (best === undefined || compareRanks(ranked, best.rank) < 0) {
      best = { worker, rank: ranked };
    }
  }
  // An idempotent job isn't retried on a worker where it failed as long as
  // another worker of the pool can run it later.
  const failedOnBest = best !== undefined &&
    candidate.failedOn.includes(best.worker.vmId);
  const otherWorkerFits = failedOnBest &&
    workers.some((worker) =>
      !candidate.failedOn.includes(worker.vmId) &&
      worker.serving && worker.standing !== "quarantined" &&
      fits(candidate.size, worker.capacity)
    );
  if (!otherWorkerFits) return { worker: best?.worker, exclusions };
  // Workers on which the job has failed rank last, so it has failed on all
  // usable workers.
  const usable = workers.length -
    Object.values(exclusions).reduce((a, b) => a + b, 0);
  return {
    worker: undefined,
    exclusions: { ...exclusions, failed_there: usable },
  };
}

/** Reserves the worker with the most free cores for a starved job. */
function reserveWorker(
  candidate: Candidate,
  workers: readonly WorkerView[],
  state: PlacementState,
) {
  const eligible = workers.filter((worker) =>
    worker.serving && fits(candidate.size, worker.capacity) &&
    worker.standing === "normal" && !state.reservedFor.has(worker.vmId)
  );
  const cores = (worker: WorkerView) => state.free.get(worker.vmId)!.cores;
  const best = eligible.reduce<WorkerView | undefined>(
    (a, b) => a !== undefined && cores(a) >= cores(b) ? a : b,
    undefined,
  );
  if (best !== undefined) state.reservedFor.set(best.vmId, candidate.jobId);
}

/** Returns why a job can never run. A checkpointed job is never rejected. */
function findRejection(
  candidate: Candidate,
  poolWorkers: readonly WorkerView[],
  quota: Quota,
): "fits_no_worker" | "exceeds_quota" | undefined {
  if (candidate.pinnedTo !== undefined) return undefined;
  if (!poolWorkers.some((worker) => fits(candidate.size, worker.capacity))) {
    return "fits_no_worker";
  }
  return withinQuota(candidate.size, quota) ? undefined : "exceeds_quota";
}

function groupByPool(workers: readonly WorkerView[]) {
  const pools = new Map<string, WorkerView[]>();
  for (const worker of workers) {
    const members = pools.get(worker.pool);
    if (members === undefined) pools.set(worker.pool, [worker]);
    else members.push(worker);
  }
  return pools;
}

/** Decides where waiting jobs run: urgent jobs first, then by waiting time. */
export function placeJobs(input: PlacementInput): PlacementDecision[] {
  if (input.candidates.length === 0) return [];
  const state = new PlacementState(input.workers, input.allowance);
  const pools = groupByPool(input.workers);
  const poolsWithReservation = new Set<string>();
  const starvedTeams = new Set<string>();
  const exclusionsBySize = new Map<string, ExclusionCounts>();
  const urgency = ({ spec }: Candidate) => spec.priority === "urgent" ? 0 : 1;
  const ordered = [...input.candidates].sort((a, b) =>
    urgency(a) - urgency(b) || b.waitedMs - a.waitedMs
  );
  return ordered.map((candidate): PlacementDecision => {
    const { jobId, spec, size, failedOn, pinnedTo } = candidate;
    const poolWorkers = pools.get(spec.pool) ?? [];
    const quota = input.quotas.get(spec.team) ?? {};
    const use = state.teamUseFor(candidate);
    const workers = poolWorkers.length;
    const describe = (exclusions: ExclusionCounts = {}) => ({
      jobId,
      basis: { size, teamUse: use, quota, workers, exclusions },
    });
    // Without known workers, nothing can be said about whether the job fits.
    if (workers === 0) {
      return { kind: "wait", reason: "no_worker", ...describe() };
    }
    const rejection = findRejection(candidate, poolWorkers, quota);
    if (rejection !== undefined) {
      return { kind: "reject", reason: rejection, ...describe() };
    }
    const wouldOvertake = starvedTeams.has(spec.team) &&
      spec.priority !== "urgent";
    if (wouldOvertake || !state.fitsQuota(candidate, quota)) {
      // Smaller jobs of the team could otherwise use up the quota and starve
      // this job.
      if (candidate.waitedMs >= STARVED_AFTER_MS) starvedTeams.add(spec.team);
      return { kind: "wait", reason: "quota", ...describe() };
    }
    const sizeKey =
      `${spec.pool} ${size.cores} ${size.memoryMb} ${size.accelerators}`;
    const unrestricted = failedOn.length === 0 && pinnedTo === undefined;
    const knownExclusions = unrestricted
      ? exclusionsBySize.get(sizeKey)
      : undefined;
    const { worker, exclusions } = knownExclusions === undefined
      ? chooseWorker(candidate, poolWorkers, state)
      : { worker: undefined, exclusions: knownExclusions };
    if (worker === undefined) {
      if (unrestricted) exclusionsBySize.set(sizeKey, exclusions);
      if (
        unrestricted && candidate.waitedMs >= STARVED_AFTER_MS &&
        !poolsWithReservation.has(spec.pool)
      ) {
        poolsWithReservation.add(spec.pool);
        reserveWorker(candidate, poolWorkers, state);
      }
      return { kind: "wait", reason: "no_capacity", ...describe(exclusions) };
    }
    state.recordPlacement(worker, candidate);
    const { vmId } = worker;
    return { kind: "place", vmId, size, ...describe(exclusions) };
  });
}
