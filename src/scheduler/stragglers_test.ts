import assert from "node:assert/strict";
import { suite } from "uvu";
import { silentLogger } from "../logger.ts";
import { createDurationEstimates } from "./duration_estimates.ts";
import { createDueOccurrences, createJobState } from "./job_state.ts";
import { jobSpecSchema } from "./model.ts";
import type { Scheduler } from "./scheduler.ts";
import { estimateRemainingMs, relocateStragglers } from "./stragglers.ts";
import { createWorkerHealth } from "./worker_health.ts";

const test = suite("stragglers");

function relocate(percent: number, reportedAtMs: number): string[] {
  const job = createJobState(jobSpecSchema.parse({
    jobId: "0123456789abcdef",
    queue: "quotes",
    service: "quoting",
    maximumAttempts: 3,
    specification: "",
    steps: [{ taskCount: 1, cpuMillis: 100, estimatedMs: 1_000 }],
    acceptedAtMs: 0,
  }));
  createDueOccurrences(job, 0);
  const task = job.occurrences[0]!.steps[0]![0]!;
  task.phase = "placed";
  task.placement = {
    workerId: "w1",
    bornAtMs: 1,
    vmId: "vm-1",
    run: 1,
    inherited: false,
    unansweredAttempts: 0,
    startState: "running",
    stopReason: undefined,
    placedAtMs: 0,
    confirmedAtMs: 0,
    stopConfirmedAtMs: undefined,
    percent,
    reportedAtMs,
    loadMetric: 0,
  };
  const stopReasons: string[] = [];
  const scheduler = {
    jobs: new Map([["job", job]]),
    durationEstimates: createDurationEstimates(),
    health: createWorkerHealth(() => 0),
    counters: { relocations: 0 },
    stop: (_task: unknown, reason: string) => stopReasons.push(reason),
  } as unknown as Scheduler;
  relocateStragglers(scheduler, silentLogger);
  relocateStragglers(scheduler, silentLogger);
  return stopReasons;
}

// Guards against a stalled task that holds up its job until the caller gives up.
test("a stalled task is relocated once", () => {
  assert.equal(relocate(0, 1_500).length, 1);
});

// Guards against relocating a healthy task because the worker's latest report is old.
test("progress is evaluated as of the latest report", () => {
  assert.equal(relocate(40, 500).length, 0);
});

// Guards against discarding work that would soon have finished.
test("a task that is only slightly slow keeps running", () => {
  assert.equal(relocate(45, 1_000).length, 0);
  assert.equal(Math.round(estimateRemainingMs(1_000, 50)), 1_000);
});

test.run();
