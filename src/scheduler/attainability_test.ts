import assert from "node:assert/strict";
import { suite } from "uvu";
import { type Caller, simulate } from "../../testing/overload_model.ts";
import { findUnattainable } from "./attainability.ts";
import { createDurationEstimates } from "./duration_estimates.ts";
import {
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

/**
 * Simulates a pool that gets `overload` times the work that it can do for
 * `surgeMs`; returns the shares of all jobs, and of the largest tenth, that end
 * on time.
 */
function simulateSurge(
  overload: number,
  surgeMs: number,
  defer: boolean,
): { all: number; largest: number } {
  const everyMs = surgeMs * (overload + 1);
  const callers = simulate({
    mode: "shadow",
    seed: 5,
    surges: {
      factor: overload,
      idleFactor: 0,
      forMs: surgeMs,
      everyMs,
      count: 1,
    },
    urgentShare: 1,
    defer,
  });
  const onTimeShare = (list: typeof callers) =>
    list.filter(({ lateness }) => lateness <= 1).length / list.length;
  const sizeOf = (caller: Caller) => caller.spec.steps[0]!.taskCount;
  const bySize = callers.toSorted((a, b) => sizeOf(b) - sizeOf(a));
  return {
    all: onTimeShare(callers),
    largest: onTimeShare(bySize.slice(0, callers.length / 10)),
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
