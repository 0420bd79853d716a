import { rendezvousHash } from "../requests/rendezvous_hash.ts";
import { classKeyOf, type JobSpec, type Size } from "./job.ts";
import { addSize, fits, ZERO_SIZE } from "./size.ts";
import { freeSize, type Held, type WorkerView } from "./worker_view.ts";

/** Time after which a waiting job holds a worker for itself, in ms, so that smaller jobs can't overtake it forever. */
const HOLD_AFTER_MS = 60_000;

/** A queued job with what it reserves. */
export interface Candidate {
  readonly jobId: string;
  readonly spec: JobSpec;
  readonly size: Size;
  readonly waitedMs: number;
  readonly failedOn: readonly string[];
  /** The only worker on which a checkpointed job can continue. */
  readonly pinnedTo?: string;
}

/** Limit of a team; absent resources aren't limited. */
export type Quota = Partial<Size>;

/** By what a team's quota is kept. */
export type Allowance =
  /** By the tasks that this entry knows of. */
  | { readonly kind: "reported" }
  /** By what the region's ledger granted to the shard. */
  | { readonly kind: "granted"; readonly byTeam: ReadonlyMap<string, Size> }
  /** The ledger didn't answer: urgent jobs start by the reports, others wait. */
  | { readonly kind: "unanswered" };

/** What placement decides on. */
export interface PlacementInput {
  readonly candidates: readonly Candidate[];
  readonly workers: readonly WorkerView[];
  readonly quotas: ReadonlyMap<string, Quota>;
  /** "reported" by default. */
  readonly allowance?: Allowance | undefined;
}

/** Why a job waits. */
export type WaitReason = "no_capacity" | "quota" | "no_worker";

/** Why a worker of the job's pool was passed over. */
export type Obstacle =
  | "not_serving"
  | "quarantined"
  | "probe_running"
  | "kept_for_older_job"
  | "held_for_urgent_job"
  | "no_room"
  | "failed_there"
  | "not_its_checkpoint";

/** Number of workers that were passed over, by obstacle. */
export type Obstacles = Partial<Record<Obstacle, number>>;

/** What a decision was taken from. */
export interface PlacementBasis {
  readonly size: Size;
  /** What the team used before the decision. */
  readonly teamUse: Size;
  readonly quota: Quota;
  /** Workers of the pool. */
  readonly workers: number;
  readonly obstacles: Obstacles;
}

/** What is to happen with one queued job. */
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

/** Capacity that changes as a step places jobs. */
class Room {
  readonly free = new Map<string, Size>();
  readonly teamUse = new Map<string, Size>();
  readonly probed = new Set<string>();
  readonly heldBy = new Map<string, string>();
  /** Urgent jobs that take over the quota of tasks which are checkpointed by now. */
  readonly takesOverQuota = new Set<string>();
  readonly allowance: Allowance;
  readonly #granted: Map<string, Size>;
  #held = new Map<string, Size>();
  #rackLoad = new Map<string, number>();

  constructor(
    workers: readonly WorkerView[],
    allowance: Allowance = { kind: "reported" },
  ) {
    this.allowance = allowance;
    this.#granted = new Map(
      allowance.kind === "granted" ? allowance.byTeam : [],
    );
    for (const worker of workers) {
      this.free.set(worker.vmId, freeSize(worker));
      if (worker.tasks.length > 0) this.probed.add(worker.vmId);
      if (worker.held !== undefined) this.#hold(worker.held);
      for (const { identity } of worker.tasks) {
        this.#count(worker, identity.team, classKeyOf(identity), identity.size);
      }
    }
    this.#findTakeOvers(workers);
  }

  #findTakeOvers(workers: readonly WorkerView[]): void {
    const holds = workers.flatMap(({ held }) =>
      held?.freesQuota === true ? [held] : []
    );
    if (holds.length === 0) return;
    const running = new Set(
      workers.flatMap(({ tasks }) => tasks.map(({ taskId }) => taskId)),
    );
    for (const { jobId, freedBy } of holds) {
      const freed = !freedBy.some((taskId) => running.has(taskId));
      if (freed) this.takesOverQuota.add(jobId);
    }
  }

  take(worker: WorkerView, { spec, size }: Candidate): void {
    this.free.set(worker.vmId, addSize(this.free.get(worker.vmId)!, size, -1));
    this.probed.add(worker.vmId);
    this.#count(worker, spec.team, classKeyOf(spec), size);
    const granted = this.#granted.get(spec.team);
    if (granted === undefined) return;
    this.#granted.set(spec.team, addSize(granted, size, -1));
  }

  /** Whether a job's team may use as much more of its quota. */
  fitsQuota(candidate: Candidate, quota: Quota): boolean {
    const { jobId, spec, size } = candidate;
    const { kind } = this.allowance;
    const isLimited = Object.keys(quota).length > 0;
    if (kind === "granted" && isLimited) {
      return fits(size, this.#granted.get(spec.team) ?? ZERO_SIZE);
    }
    // Other entries may have placed jobs on the freed quota already; the team still uses no more than before.
    if (this.takesOverQuota.has(jobId)) return true;
    const isOpen = kind !== "unanswered" || !isLimited ||
      spec.priority === "urgent";
    return isOpen && withinQuota(addSize(this.useFor(candidate), size), quota);
  }

  /** Returns what a job's team uses, with what is held for the team's other jobs. */
  useFor({ jobId, spec }: Candidate): Size {
    const use = this.teamUse.get(spec.team) ?? ZERO_SIZE;
    const held = this.#held.get(jobId);
    return held === undefined ? use : addSize(use, held, -1);
  }

  #hold({ jobId, team, size }: Held): void {
    this.#held.set(jobId, size);
    const use = this.teamUse.get(team) ?? ZERO_SIZE;
    this.teamUse.set(team, addSize(use, size));
  }

  rackLoad(worker: WorkerView, jobClass: string): number {
    return this.#rackLoad.get(`${worker.rack} ${jobClass}`) ?? 0;
  }

  #count(worker: WorkerView, team: string, jobClass: string, size: Size) {
    const use = this.teamUse.get(team) ?? ZERO_SIZE;
    this.teamUse.set(team, addSize(use, size));
    const key = `${worker.rack} ${jobClass}`;
    this.#rackLoad.set(key, (this.#rackLoad.get(key) ?? 0) + 1);
  }
}

function withinQuota(size: Size, quota: Quota): boolean {
  return size.cores <= (quota.cores ?? Infinity) &&
    size.memoryMb <= (quota.memoryMb ?? Infinity) &&
    size.accelerators <= (quota.accelerators ?? Infinity);
}

/** Returns why a worker can't take a job now; undefined if it can. */
function findObstacle(
  worker: WorkerView,
  candidate: Candidate,
  room: Room,
): Obstacle | undefined {
  const { vmId, standing, held, serving } = worker;
  if ((candidate.pinnedTo ?? vmId) !== vmId) return "not_its_checkpoint";
  if (!serving) return "not_serving";
  if (standing === "quarantined") return "quarantined";
  if (standing === "probing" && room.probed.has(vmId)) return "probe_running";
  const holder = room.heldBy.get(vmId);
  if (holder !== undefined && holder !== candidate.jobId) {
    return "kept_for_older_job";
  }
  const free = room.free.get(vmId)!;
  if (!fits(candidate.size, free)) return "no_room";
  if (held === undefined || held.jobId === candidate.jobId) return undefined;
  const unheld = addSize(free, held.size, -1);
  return fits(candidate.size, unheld) ? undefined : "held_for_urgent_job";
}

/** Orders workers for a job; lower is better. */
function rank(worker: WorkerView, candidate: Candidate, room: Room): number[] {
  const { spec, size, failedOn } = candidate;
  const left = addSize(room.free.get(worker.vmId)!, size, -1);
  return [
    failedOn.includes(worker.vmId) ? 1 : 0,
    worker.standing === "normal" ? 0 : 1,
    // Jobs without accelerators leave the workers that have some to others.
    size.accelerators === 0 ? worker.capacity.accelerators : 0,
    room.rackLoad(worker, classKeyOf(spec)),
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

function choose(
  candidate: Candidate,
  workers: readonly WorkerView[],
  room: Room,
): { worker: WorkerView | undefined; obstacles: Obstacles } {
  const obstacles: Obstacles = {};
  let best: { worker: WorkerView; rank: number[] } | undefined;
  for (const worker of workers) {
    const obstacle = findObstacle(worker, candidate, room);
    if (obstacle !== undefined) {
      obstacles[obstacle] = (obstacles[obstacle] ?? 0) + 1;
      continue;
    }
    const ranked = rank(worker, candidate, room);
    if (best === undefined || compareRanks(ranked, best.rank) < 0) {
      best = { worker, rank: ranked };
    }
  }
  // An idempotent job isn't repeated where it failed as long as another worker of the pool can take it later.
  const repeats = best !== undefined &&
    candidate.failedOn.includes(best.worker.vmId);
  const others = repeats &&
    workers.some((worker) =>
      !candidate.failedOn.includes(worker.vmId) &&
      worker.serving && worker.standing !== "quarantined" &&
      fits(candidate.size, worker.capacity)
    );
  if (!others) return { worker: best?.worker, obstacles };
  // The best worker is one on which the job failed only if no other one is open.
  const open = workers.length -
    Object.values(obstacles).reduce((a, b) => a + b, 0);
  return { worker: undefined, obstacles: { ...obstacles, failed_there: open } };
}

/** Holds the pool's worker with the most free cores for a job that has waited long. */
function hold(
  candidate: Candidate,
  workers: readonly WorkerView[],
  room: Room,
) {
  const able = workers.filter((worker) =>
    worker.serving && fits(candidate.size, worker.capacity) &&
    worker.standing === "normal" && !room.heldBy.has(worker.vmId)
  );
  const cores = (worker: WorkerView) => room.free.get(worker.vmId)!.cores;
  const best = able.reduce<WorkerView | undefined>(
    (a, b) => a !== undefined && cores(a) >= cores(b) ? a : b,
    undefined,
  );
  if (best !== undefined) room.heldBy.set(best.vmId, candidate.jobId);
}

/** Returns why a job can never run; one that has started is left to wait. */
function findRejection(
  candidate: Candidate,
  known: readonly WorkerView[],
  quota: Quota,
): "fits_no_worker" | "exceeds_quota" | undefined {
  if (candidate.pinnedTo !== undefined) return undefined;
  if (!known.some((worker) => fits(candidate.size, worker.capacity))) {
    return "fits_no_worker";
  }
  return withinQuota(candidate.size, quota) ? undefined : "exceeds_quota";
}

function groupByPool(workers: readonly WorkerView[]) {
  const pools = new Map<string, WorkerView[]>();
  for (const worker of workers) {
    const known = pools.get(worker.pool);
    if (known === undefined) pools.set(worker.pool, [worker]);
    else known.push(worker);
  }
  return pools;
}

/** Decides where queued jobs run: urgent ones first, then by waiting time. */
export function placeJobs(input: PlacementInput): PlacementDecision[] {
  if (input.candidates.length === 0) return [];
  const room = new Room(input.workers, input.allowance);
  const pools = groupByPool(input.workers);
  const holding = new Set<string>();
  const quotaHeld = new Set<string>();
  const blocked = new Map<string, Obstacles>();
  const urgency = ({ spec }: Candidate) => spec.priority === "urgent" ? 0 : 1;
  const ordered = [...input.candidates].sort((a, b) =>
    urgency(a) - urgency(b) || b.waitedMs - a.waitedMs
  );
  return ordered.map((candidate): PlacementDecision => {
    const { jobId, spec, size, failedOn, pinnedTo } = candidate;
    const known = pools.get(spec.pool) ?? [];
    const quota = input.quotas.get(spec.team) ?? {};
    const use = room.useFor(candidate);
    const workers = known.length;
    const describe = (obstacles: Obstacles = {}) => ({
      jobId,
      basis: { size, teamUse: use, quota, workers, obstacles },
    });
    // A pool whose workers aren't known yet proves nothing about the job.
    if (workers === 0) {
      return { kind: "wait", reason: "no_worker", ...describe() };
    }
    const rejection = findRejection(candidate, known, quota);
    if (rejection !== undefined) {
      return { kind: "reject", reason: rejection, ...describe() };
    }
    const overtakes = quotaHeld.has(spec.team) && spec.priority !== "urgent";
    if (overtakes || !room.fitsQuota(candidate, quota)) {
      // Smaller jobs of the team would use up the quota forever.
      if (candidate.waitedMs >= HOLD_AFTER_MS) quotaHeld.add(spec.team);
      return { kind: "wait", reason: "quota", ...describe() };
    }
    const shape =
      `${spec.pool} ${size.cores} ${size.memoryMb} ${size.accelerators}`;
    const unrestricted = failedOn.length === 0 && pinnedTo === undefined;
    const skipped = unrestricted ? blocked.get(shape) : undefined;
    const { worker, obstacles } = skipped === undefined
      ? choose(candidate, known, room)
      : { worker: undefined, obstacles: skipped };
    if (worker === undefined) {
      if (unrestricted) blocked.set(shape, obstacles);
      if (
        unrestricted && candidate.waitedMs >= HOLD_AFTER_MS &&
        !holding.has(spec.pool)
      ) {
        holding.add(spec.pool);
        hold(candidate, known, room);
      }
      return { kind: "wait", reason: "no_capacity", ...describe(obstacles) };
    }
    room.take(worker, candidate);
    const { vmId } = worker;
    return { kind: "place", vmId, size, ...describe(obstacles) };
  });
}
