import type { Clock } from "../src/clock.ts";
import { silentLogger } from "../src/logger.ts";
import { findUnattainable } from "../src/scheduler/attainability.ts";
import { createDurationEstimates } from "../src/scheduler/duration_estimates.ts";
import {
  comparePendingOccurrences,
  createPendingOccurrence,
} from "../src/scheduler/job_order.ts";
import {
  createDueOccurrences,
  createJobState,
  finishTask,
  type JobState,
} from "../src/scheduler/job_state.ts";
import type { JobSpec } from "../src/scheduler/model.ts";
import { createOverloadRejection } from "../src/scheduler/overload/owner_rejection.ts";
import { PlacedTasks } from "../src/scheduler/placed_tasks.ts";
import { createRandom } from "./random.ts";
import { QUEUE } from "./scheduler_cluster.ts";
import { spec } from "./scheduler_helpers.ts";

const TASK_MS = 800;
const OBJECTIVE_MS = 1.6 * TASK_MS + 600;
const CORES = 200;
const START_DELAY_MS = 60;
const STEP_MS = 20;
const QUEUES = ["urgent", "other"].map((name, priority) => ({
  ...QUEUE,
  name,
  service: "quoting",
  priority,
  stretch: 1.6,
  targetDurationMs: 600,
}));

/** Demand of five times the mean for 4 s of every 16 s, three times, as multiples of what the pool can do. */
export const SURGES = {
  factor: 5,
  idleFactor: 0.05,
  forMs: 4_000,
  everyMs: 16_000,
  count: 3,
};

/** A caller with one job, and what became of it. */
export interface Caller {
  readonly spec: JobSpec;
  attempts: number;
  /** Time of the next submission, or of the accepted one. */
  atMs: number;
  readonly retryAfterMs: number[];
  /** The job once it is accepted. */
  job?: JobState;
  /** Time from its acceptance to its end, in multiples of the objective. */
  lateness: number;
}

/** Creates a job of one step, with an ID made from a number. */
export function createModelSpec(
  number: number,
  queue: string,
  taskCount: number,
): JobSpec {
  return {
    ...spec([{ taskCount, cpuMillis: 1_000, estimatedMs: TASK_MS }]),
    jobId: number.toString(16).padStart(16, "0"),
    queue,
  };
}

/** Creates the overload rejection for a pool of one VM, with the state that it reads. */
export function createModelPool(clock: Clock) {
  const capacity = { cpuMillis: CORES * 1_000, memoryMb: 0, gpuCount: 0 };
  const tasks = new PlacedTasks();
  const worker = {
    vmId: "vm",
    registration: { service: "quoting", capacity },
    tasks,
  };
  const jobs = new Map<string, JobState>();
  const durationEstimates = createDurationEstimates();
  const pool = { jobs, tasks, durationEstimates, isScarce: false };
  const workers = {
    instances: new Map([["w", worker]]),
    listByVm: () => [worker],
  };
  const hasJob = (jobId: string) => jobs.has(jobId);
  const overload = createOverloadRejection({
    scheduler: { jobs, durationEstimates, hasJob, workers } as never,
    clock,
    log: silentLogger,
    config: () => ({ queues: QUEUES }) as never,
    isScarce: () => pool.isScarce,
    vms: () => new Map([["vm", { capacity }]]) as never,
    isVmEnding: () => false,
  });
  function accept(job: JobSpec): JobState {
    const state = createJobState({ ...job, acceptedAtMs: clock.wallMs() });
    createDueOccurrences(state, clock.wallMs());
    jobs.set(job.jobId, state);
    return state;
  }
  return { pool, overload, accept };
}

/**
 * Simulates a pool whose tasks occupy one core each. In mode `shadow`, decisions
 * are recorded and ignored, so the jobs fare as without them. Jobs are deferred
 * if `defer` is true, by default while the pool is full.
 */
export function simulate({ mode, seed, surges, urgentShare, defer }: {
  readonly mode: "on" | "shadow";
  readonly seed: number;
  readonly surges: typeof SURGES;
  readonly urgentShare: number;
  readonly defer?: boolean;
}): Caller[] {
  const random = createRandom(seed);
  let nowMs = 0;
  const clock = { wallMs: () => nowMs, monotonicMs: () => nowMs };
  const { pool, overload, accept } = createModelPool(clock);
  const { durationEstimates } = pool;
  for (const { name } of QUEUES) {
    durationEstimates.record(name, TASK_MS, TASK_MS);
  }
  const callers: Caller[] = [];
  let running: { endsMs: number; end(): void }[] = [];

  function submit(caller: Caller): void {
    caller.attempts++;
    const retryAfterMs = overload.check(caller.spec);
    if (retryAfterMs !== undefined) caller.retryAfterMs.push(retryAfterMs);
    if (retryAfterMs === undefined || mode === "shadow") {
      caller.job = accept(caller.spec);
    } // `Retry-After` has whole seconds.
    else caller.atMs = nowMs + Math.ceil(retryAfterMs / 1_000) * 1_000;
  }

  function placeTasks(): void {
    const works = callers.flatMap((caller) => {
      if (caller.job === undefined || caller.job.status !== "active") return [];
      const { job, job: { occurrences: [occurrence] } } = caller;
      const waiting = occurrence!.steps[0]!.filter(({ phase }) =>
        phase === "waiting"
      );
      if (waiting.length === 0) return [];
      const pending = createPendingOccurrence(job, occurrence!, {
        wallMs: nowMs,
        durationEstimates,
        queue: QUEUES.find(({ name }) => name === caller.spec.queue)!,
      });
      const remainingVmMs = waiting.length * TASK_MS;
      return [{ caller, waiting, pending, remainingVmMs }];
    });
    const deferred = findUnattainable(works, {
      vms: defer ?? pool.isScarce ? CORES : Infinity,
      arrivingVms: 0,
      runningVmMs: running.length * TASK_MS / 2,
    }, nowMs);
    const ordered = works.map((work) =>
      deferred.has(work.pending)
        ? { ...work, pending: { ...work.pending, timeliness: "deferred" } }
        : work
    ).sort((a, b) =>
      comparePendingOccurrences(a.pending as never, b.pending as never)
    );
    for (const { caller, waiting, pending: { job } } of ordered) {
      for (const task of waiting.slice(0, CORES - running.length)) {
        task.phase = "placed";
        task.placement = { placedAtMs: nowMs } as never;
        job.started = true;
        pool.tasks.add(task);
        const durationMs = START_DELAY_MS +
          TASK_MS * (0.7 + 0.6 * random.next());
        running.push({
          endsMs: nowMs + durationMs,
          end() {
            finishTask(task);
            pool.tasks.delete(task);
            durationEstimates.record(job.spec.queue, durationMs, TASK_MS);
            if (job.status === "active") return;
            caller.lateness = (nowMs - caller.atMs) / OBJECTIVE_MS;
          },
        });
      }
    }
    pool.isScarce = running.length === CORES;
  }

  let owedMs = 0;
  const { everyMs, count } = surges;
  for (; nowMs < (count + 1) * everyMs; nowMs += STEP_MS) {
    const isSurging = nowMs % everyMs < surges.forMs;
    if (nowMs < count * everyMs) {
      owedMs += (isSurging ? surges.factor : surges.idleFactor) * CORES *
        STEP_MS;
    }
    for (const { endsMs, end } of running) if (endsMs <= nowMs) end();
    running = running.filter(({ endsMs }) => endsMs > nowMs);
    while (owedMs > 0) {
      const taskCount = 2 + random.nextInteger(15);
      owedMs -= taskCount * TASK_MS;
      const queue = random.next() < urgentShare ? "urgent" : "other";
      callers.push({
        spec: createModelSpec(callers.length, queue, taskCount),
        attempts: 0,
        atMs: nowMs,
        retryAfterMs: [],
        lateness: Infinity,
      });
    }
    for (const caller of callers) {
      const mayCall = caller.job === undefined && caller.attempts < 5;
      if (mayCall && caller.atMs <= nowMs) submit(caller);
    }
    placeTasks();
  }
  return callers;
}
