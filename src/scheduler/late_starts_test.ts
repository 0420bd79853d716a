import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import {
  createTestScheduler,
  JOB,
  openTasks,
  spec,
  TASK,
} from "../../testing/scheduler_helpers.ts";
import { systemClock } from "../clock.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import type { Scheduler } from "./scheduler.ts";
import type { WorkerInstance } from "./worker_table.ts";

const test = suite("late starts");

function createSuccessor(
  scheduler: Scheduler,
  first: WorkerInstance,
): WorkerInstance {
  const successor: WorkerInstance = {
    ...first,
    bornAtMs: first.bornAtMs + 1,
    tasks: new PlacedTasks(),
  };
  scheduler.workers.add(successor);
  return successor;
}

const RUNNING = {
  taskId: TASK,
  run: 1,
  checkpoint: "",
  percent: 10,
  loadMetric: 0,
};

// Guards against a second run (TWICE): a report shows that one attempt was executed, but another one without an answer may still reach the worker's next process, which has the same ID.
test("a listed run with an unanswered start attempt stays placed on the worker's next process", async () => {
  const context = createTestScheduler();
  const { scheduler, state, report } = context;
  const first = context.addWorker("w1");
  state.onStart = (attempt) =>
    attempt === 1 ? { kind: "unknown" } : { kind: "done", clockMs: 0 };
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  scheduler.place(task!, first, { run: 1, ticket: undefined });
  await context.flush();
  report(first, [], [RUNNING]);
  assert.equal(task!.placement?.startState, "running");
  const successor = createSuccessor(scheduler, first);
  scheduler.replaceInstance(first, () => successor, "restarted");
  assert.equal(task!.phase, "placed");
});

// Guards against a needless attempt that stays on its way after the run is known to have started.
test("a start is not sent again once a report has listed the run", async () => {
  const context = createTestScheduler();
  const { scheduler, state, report } = context;
  const first = context.addWorker("w1");
  state.onStart = (attempt) => {
    if (attempt === 1) report(first, [], [RUNNING]);
    return { kind: "unknown" };
  };
  scheduler.accept(spec());
  scheduler.place(openTasks(scheduler)[0]!, first, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  assert.deepEqual(context.calls, [`start w1 ${TASK} 1`]);
});

// Guards against more tasks of a step on one worker than `maxPerWorker` allows (ROUTE).
test("an unwanted run counts as a task of its step", async () => {
  const context = createTestScheduler();
  const { scheduler } = context;
  const worker = context.addWorker("w1");
  context.state.onStart = () => ({ kind: "refused", reason: "unhealthy" });
  scheduler.accept(spec([{ taskCount: 2, maxPerWorker: 1 }]));
  scheduler.place(openTasks(scheduler)[0]!, worker, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  context.report(worker, [], [RUNNING]);
  assert.equal(worker.tasks.reserved.cpuMillis, 100);
  assert.equal(worker.tasks.countByStep.get(`${JOB}.0.0`), 1);
});

// Guards against a LIMIT: an unwanted run whose job has ended meanwhile.
test("an unwanted run of an ended job occupies its resources", async () => {
  const context = createTestScheduler();
  const { scheduler } = context;
  const worker = context.addWorker("w1");
  context.state.onStart = () => ({ kind: "refused", reason: "unhealthy" });
  scheduler.accept(spec());
  scheduler.place(openTasks(scheduler)[0]!, worker, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  scheduler.cancel(JOB);
  await context.flush();
  context.report(worker, [], [RUNNING]);
  assert.equal(worker.tasks.reserved.cpuMillis, 100);
});

// Guards against a task that is relocated as slow, or whose duration is recorded as too long, because its start is dated by the worker's earlier process.
test("the time of a run that the worker's next process executes counts from its report", async () => {
  const context = createTestScheduler();
  const { scheduler, report } = context;
  const first = context.addWorker("w1");
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  scheduler.place(task!, first, { run: 1, ticket: undefined });
  await context.flush();
  const successor = createSuccessor(scheduler, first);
  scheduler.replaceInstance(first, () => successor, "restarted");
  await delay(20);
  const reportedAtMs = systemClock.monotonicMs();
  report(successor, [], [RUNNING]);
  assert.equal(task!.placement?.startState, "running");
  const confirmedAtMs = task!.placement!.confirmedAtMs!;
  assert.equal(confirmedAtMs >= reportedAtMs, true);
});

test.run();
