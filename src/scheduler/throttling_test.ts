import assert from "node:assert/strict";
import { suite } from "uvu";
import { silentLogger } from "../logger.ts";
import { createDueOccurrences, createJobState } from "./job_state.ts";
import { jobSpecSchema } from "./model.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import type { OrderOutcome } from "./ports.ts";
import { chooseSpeedPercent, createThrottling } from "./throttling.ts";
import type { WorkerLink } from "./worker_link.ts";
import { createWorkerTable } from "./worker_table.ts";

const test = suite("throttling");

// Guards against best-effort tasks that keep running while a serving task on the worker misses its latency target.
test("a missed target pauses best-effort tasks within two steps", () => {
  const first = chooseSpeedPercent(100, 1.2);
  assert.equal(chooseSpeedPercent(first, 1.2), 0);
});

// Guards against a speed that oscillates between full and zero.
test("the speed halves near the target, stays between the thresholds and rises in steps below", () => {
  assert.equal(chooseSpeedPercent(80, 0.9), 40);
  assert.equal(chooseSpeedPercent(40, 0.7), 40);
  assert.equal(chooseSpeedPercent(40, 0.3), 50);
  assert.equal(chooseSpeedPercent(95, 0.3), 100);
});

/** A worker with one best-effort task and one serving task, whose latency is `latencyMs`. */
function createThrottledWorker({ inherited } = { inherited: false }) {
  const state = {
    latencyMs: 0,
    nowMs: 0,
    outcomes: [] as (OrderOutcome | Promise<OrderOutcome>)[],
  };
  const percents: number[] = [];
  const job = createJobState(jobSpecSchema.parse({
    jobId: "0123456789abcdef",
    queue: "quotes",
    service: "quoting",
    maximumAttempts: 1,
    specification: "",
    steps: [
      { taskCount: 1, longRunning: true, fills: true },
      { taskCount: 1, longRunning: true, targetMs: 100 },
    ],
    acceptedAtMs: 0,
  }));
  createDueOccurrences(job, 1);
  const tasks = new PlacedTasks();
  const [bestEffort, serving] = job.occurrences[0]!.steps.flat();
  for (const task of [bestEffort!, serving!]) {
    task.phase = "placed";
    task.placement = {
      workerId: "w1",
      bornAtMs: 1,
      vmId: "vm-1",
      run: 1,
      inherited,
      unansweredAttempts: 0,
      startState: "running",
      stopReason: undefined,
      placedAtMs: 0,
      confirmedAtMs: 0,
      stopConfirmedAtMs: undefined,
      percent: 100,
      reportedAtMs: 0,
      loadMetric: 0,
    };
    tasks.add(task);
  }
  const workers = createWorkerTable();
  workers.add({
    workerId: "w1",
    bornAtMs: 1,
    vmId: "vm-1",
    link: {
      throttle: (_taskId: string, _run: number, percent: number) => {
        percents.push(percent);
        return Promise.resolve(
          state.outcomes.shift() ?? { kind: "done", clockMs: 0 },
        );
      },
    } as unknown as WorkerLink,
    registration: undefined,
    missingSinceMs: undefined,
    draining: false,
    tasks,
    joinedAtMs: 0,
    earlierLeasesEndMs: 0,
  });
  const throttling = createThrottling({
    scheduler: { workers },
    clock: { monotonicMs: () => state.nowMs, wallMs: () => state.nowMs },
    log: silentLogger,
  });
  return {
    state,
    /** Runs a round after `passedMs` and returns the speeds ordered in it. */
    async adjust(passedMs: number): Promise<number[]> {
      state.nowMs += passedMs;
      serving!.placement!.loadMetric = state.latencyMs;
      throttling.adjust();
      await Promise.resolve();
      return percents.splice(0);
    },
  };
}

// Guards against a best-effort task that works on beside a serving task over its target, or stands still for ever, because an unanswered order is executed after a newer one.
test("after an unanswered order the speed is ordered again, although it doesn't change", async () => {
  const { state, adjust } = createThrottledWorker();
  state.latencyMs = 150;
  state.outcomes = [{ kind: "unknown" }];
  assert.deepEqual(await adjust(350), [25]);
  assert.deepEqual(await adjust(350), [25]);
  assert.deepEqual(await adjust(350), [0]);
  assert.deepEqual(await adjust(350), []);
  assert.deepEqual(await adjust(2_000), [0]);
  assert.deepEqual(await adjust(350), []);
  assert.deepEqual(await adjust(2_000), [0]);
});

// Guards against a speed that is taken for the old one because an earlier order has failed only after a newer one was confirmed.
test("a failed order doesn't undo a newer one", async () => {
  const { state, adjust } = createThrottledWorker();
  state.latencyMs = 150;
  let fail = (_: OrderOutcome) => {};
  state.outcomes = [new Promise((resolve) => fail = resolve)];
  assert.deepEqual(await adjust(350), [25]);
  assert.deepEqual(await adjust(350), [0]);
  fail({ kind: "not_sent" });
  await Promise.resolve();
  state.latencyMs = 10;
  assert.deepEqual(await adjust(350), [10]);
});

// Guards against calls that change nothing.
test("a speed that every order has confirmed is ordered once", async () => {
  const { state, adjust } = createThrottledWorker();
  state.latencyMs = 150;
  assert.deepEqual(await adjust(350), [25]);
  assert.deepEqual(await adjust(350), [0]);
  assert.deepEqual(await adjust(5_000), []);
});

// Guards against a best-effort task that the previous owner has paused and that no owner lets work again.
test("the first order after a change of owner doesn't depend on the earlier owner's speeds", async () => {
  const { adjust } = createThrottledWorker({ inherited: true });
  assert.deepEqual(await adjust(350), [100]);
});

test.run();
