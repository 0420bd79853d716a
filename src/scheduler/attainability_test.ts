import assert from "node:assert/strict";
import { suite } from "uvu";
import { createRandom } from "../../testing/random.ts";
import { findUnattainable, type PoolCapacity } from "./attainability.ts";
import { createDurationEstimates } from "./duration_estimates.ts";
import {
  comparePendingOccurrences,
  createPendingOccurrence,
  type PendingOccurrence,
} from "./job_order.ts";
import {
  createDueOccurrences,
  createJobState,
  type JobState,
} from "./job_state.ts";
import { jobSpecSchema } from "./model.ts";
import type { QueueConfig } from "./ports.ts";

const test = suite("attainability");

const TASK_MS = 800;
/** Largest deviation of a task's duration from the estimate, as a share of it. */
const DURATION_SPREAD = 0.3;
const START_DELAY_MS = 60;
const SLOTS = 200;
const STEP_MS = 20;
const QUEUE: QueueConfig = {
  name: "quotes",
  host: "",
  pathPrefix: "/",
  service: "quoting",
  priority: 0,
  maximumAttempts: 3,
  stretch: 1.6,
  targetDurationMs: 600,
  needsAdvice: false,
};

function createJob(acceptedAtMs: number, taskCount: number): JobState {
  const job = createJobState(jobSpecSchema.parse({
    jobId: "0123456789abcdef",
    queue: QUEUE.name,
    service: QUEUE.service,
    maximumAttempts: 3,
    specification: "",
    steps: [{ taskCount, cpuMillis: 1_000, estimatedMs: TASK_MS }],
    acceptedAtMs,
  }));
  createDueOccurrences(job, acceptedAtMs);
  return job;
}

function createPending(job: JobState, wallMs: number): PendingOccurrence {
  return createPendingOccurrence(job, job.occurrences[0]!, {
    wallMs,
    durationEstimates: createDurationEstimates(),
    queue: QUEUE,
  });
}

const countWaiting = ({ occurrences }: JobState) =>
  occurrences[0]!.steps[0]!.filter(({ phase }) => phase === "waiting").length;

/**
 * Simulates a pool that gets `overload` times the work that it can do for
 * `surgeMs`; returns the shares of all jobs, and of the largest tenth, that end
 * on time. One slot is one VM with one task.
 */
function simulateSurge(
  overload: number,
  surgeMs: number,
  defer: boolean,
): { all: number; largest: number } {
  const random = createRandom(5);
  const jobs: { job: JobState; tasks: number; endsMs: number }[] = [];
  const entries = new Map<JobState, (typeof jobs)[number]>();
  const running: { endsMs: number }[] = [];
  let arrivedWorkMs = 0;
  for (let nowMs = 0; nowMs < surgeMs * (overload + 1); nowMs += STEP_MS) {
    while (
      nowMs < surgeMs && arrivedWorkMs < SLOTS * overload * nowMs
    ) {
      const tasks = 2 + random.nextInteger(15);
      const entry = { job: createJob(nowMs, tasks), tasks, endsMs: 0 };
      jobs.push(entry);
      entries.set(entry.job, entry);
      arrivedWorkMs += tasks * TASK_MS;
    }
    for (let index = running.length - 1; index >= 0; index--) {
      if (running[index]!.endsMs <= nowMs) running.splice(index, 1);
    }
    const works = jobs.filter(({ job }) => countWaiting(job) > 0).map((
      { job },
    ) => ({
      pending: createPending(job, nowMs),
      remainingVmMs: countWaiting(job) * TASK_MS,
    }));
    const capacity: PoolCapacity = {
      vms: SLOTS,
      arrivingVms: 0,
      runningVmMs: running.length * TASK_MS / 2,
    };
    const deferred = defer
      ? findUnattainable(works, capacity, nowMs)
      : new Set<PendingOccurrence>();
    const ordered = works.map(({ pending }): PendingOccurrence =>
      deferred.has(pending) ? { ...pending, timeliness: "deferred" } : pending
    ).sort(comparePendingOccurrences);
    for (const { job } of ordered) {
      for (const task of job.occurrences[0]!.steps[0]!) {
        if (running.length >= SLOTS) break;
        if (task.phase !== "waiting") continue;
        task.phase = "placed";
        job.started = true;
        const endsMs = nowMs + START_DELAY_MS +
          TASK_MS * (1 + DURATION_SPREAD * (2 * random.next() - 1));
        running.push({ endsMs });
        const entry = entries.get(job)!;
        entry.endsMs = Math.max(entry.endsMs, endsMs);
      }
    }
  }
  const objectiveMs = QUEUE.stretch * TASK_MS + QUEUE.targetDurationMs;
  const onTimeShare = (list: typeof jobs) =>
    list.filter(({ job, endsMs }) =>
      countWaiting(job) === 0 &&
      endsMs - job.spec.acceptedAtMs <= objectiveMs
    ).length / list.length;
  return {
    all: onTimeShare(jobs),
    largest: onTimeShare(
      jobs.toSorted((a, b) => b.tasks - a.tasks).slice(0, jobs.length / 10),
    ),
  };
}

// Guards against an overloaded pool in which each job makes the next one late, so that hardly any is on time.
test("surge of twice the pool's capacity: about as many jobs are on time as fit", () => {
  const byLatestStart = simulateSurge(2, 6_000, false);
  const { all, largest } = simulateSurge(2, 6_000, true);
  assert.ok(byLatestStart.all < 0.4, `${byLatestStart.all}`);
  assert.ok(all > 0.48, `${all}`);
  assert.ok(largest > all / 2, `largest ${largest}, all ${all}`);
});

// Guards against deferring jobs of a pool that can do all its work.
test("a pool with enough capacity defers nothing", () => {
  assert.deepEqual(
    simulateSurge(0.8, 4_000, true),
    simulateSurge(0.8, 4_000, false),
  );
});

// Guards against throwing away the work of a job that runs in part, and against deferring more urgent queues for less urgent ones.
test("jobs that have started and jobs of a higher priority are kept", () => {
  const started = createJob(0, 4);
  started.started = true;
  const urgent = createPending(createJob(0, 4), 0);
  const works = [
    { pending: createPending(started, 0), remainingVmMs: 3_000 },
    { pending: urgent, remainingVmMs: 3_000 },
    {
      pending: { ...createPending(createJob(0, 4), 0), priority: 1 },
      remainingVmMs: 3_000,
    },
  ];
  const capacity = { vms: 5, arrivingVms: 0, runningVmMs: 0 };
  assert.deepEqual(
    findUnattainable(works, capacity, 0),
    new Set([works[2]!.pending]),
  );
});

test.run();
