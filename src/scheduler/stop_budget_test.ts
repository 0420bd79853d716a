import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  JOB,
  openTasks,
  spec,
} from "../../testing/scheduler_helpers.ts";
import type { TaskState } from "./job_state.ts";
import type { WorkerInstance } from "./worker_table.ts";

const test = suite("stops within disruption budgets");

const SERVICE = { longRunning: true, mayMiss: 2 };

/** Lists the tasks as running and ready on a worker. */
function reportReady(
  context: ReturnType<typeof createTestScheduler>,
  worker: WorkerInstance,
  tasks: readonly TaskState[],
): void {
  context.report(
    worker,
    [],
    tasks.map(({ taskId, run }) => ({
      taskId,
      run,
      checkpoint: "",
      percent: 100,
      loadMetric: 0,
    })),
  );
}

/** Runs three ready tasks of a step on two workers, and a task of another step that crashes its workers until it is given up. */
async function giveUpBatchTask(options: { readonly noticeMs?: number } = {}) {
  const context = createTestScheduler(options);
  const { scheduler, calls, flush } = context;
  const [w1, w2] = ["w1", "w2"].map(context.addWorker) as [
    WorkerInstance,
    WorkerInstance,
  ];
  // One task of the service stays unplaced and counts as away.
  scheduler.accept(spec([{ ...SERVICE, taskCount: 4 }, {}]));
  const [one, two, three] = openTasks(scheduler) as [
    TaskState,
    TaskState,
    TaskState,
  ];
  const deadly = one.job.occurrences[0]!.steps[1]![0]!;
  for (const [task, worker] of [[one, w1], [two, w1], [three, w2]] as const) {
    scheduler.place(task, worker, { run: 1, ticket: undefined });
  }
  await flush();
  reportReady(context, w1, [one, two]);
  reportReady(context, w2, [three]);
  for (let run = 1; deadly.job.status === "active"; run++) {
    const worker = context.addWorker(`crashing-${run}`);
    scheduler.place(deadly, worker, { run, ticket: undefined });
    await flush();
    scheduler.removeInstance(worker, "restarted");
  }
  const stops = () => calls.filter((call) => call.startsWith("stop"));
  const reportAll = () => {
    reportReady(context, w1, [one, two]);
    reportReady(context, w2, [three]);
  };
  return { context, stops, reportAll };
}

// Guards against a service that loses all tasks at once because a task of another step has crashed its workers: the stops of a failed job end tasks that are at work.
test("a failed job's tasks at work are stopped only within the budget", async () => {
  const { context, stops, reportAll } = await giveUpBatchTask();
  reportAll();
  await context.flush();
  // The tasks haven't been at work for the notice period yet, so that all count as away.
  assert.deepEqual(stops(), []);
  // After the cancellation, nobody needs the tasks.
  context.scheduler.cancel(JOB);
  reportAll();
  assert.equal(new Set(stops()).size, 3);
});

// Guards against stops of one round that each find the budget unused.
test("of a failed job's tasks that have been at work long enough, as many are stopped as the budget leaves", async () => {
  const { context, stops, reportAll } = await giveUpBatchTask({ noticeMs: 0 });
  reportAll();
  await context.flush();
  assert.equal(new Set(stops()).size, SERVICE.mayMiss - 1);
});

// Guards against ending a task that is at work because the response to its start was lost, while another task of the step is away.
test("an unanswered start isn't stopped beyond the budget before a report shows whether it runs", async () => {
  const context = createTestScheduler();
  const { scheduler, calls, flush, state } = context;
  const worker = context.addWorker("w1");
  state.onStart = () => ({ kind: "unknown" });
  scheduler.accept(spec([{ ...SERVICE, mayMiss: 1, taskCount: 2 }]));
  const [task] = openTasks(scheduler);
  scheduler.place(task!, worker, { run: 1, ticket: undefined });
  await flush();
  assert.equal(task!.placement?.startState, "unresolved");
  assert.deepEqual(calls.filter((call) => call.startsWith("stop")), []);
  reportReady(context, worker, [task!]);
  assert.equal(task!.placement?.startState, "running");
  assert.deepEqual(calls.filter((call) => call.startsWith("stop")), []);
});

// Guards against a task that is never placed again because the stop of its unanswered start waits for the budget: a run that isn't listed isn't at work.
test("an unanswered start that doesn't run is stopped whatever the budget", async () => {
  const context = createTestScheduler();
  const { scheduler, flush, state } = context;
  const worker = context.addWorker("w1");
  state.onStart = () => ({ kind: "unknown" });
  scheduler.accept(spec([{ ...SERVICE, mayMiss: 0, taskCount: 2 }]));
  const [task] = openTasks(scheduler);
  scheduler.place(task!, worker, { run: 1, ticket: undefined });
  await flush();
  context.report(worker, []);
  await flush();
  context.report(worker, []);
  assert.equal(task!.phase, "waiting");
});

// Guards against maintenance that waits for tasks which are only starting: a task that has just started is away already and costs the budget nothing more.
test("starting tasks hold up an order only beyond the budget", async () => {
  for (
    const [step, allowed] of [
      [{ ...SERVICE, taskCount: 2 }, true],
      [{ ...SERVICE, taskCount: 3 }, false],
      [{ longRunning: true, taskCount: 3 }, true],
      [{ taskCount: 3 }, true],
    ] as const
  ) {
    const { scheduler, addWorker, flush, state } = createTestScheduler();
    state.onStart = () => ({ kind: "unknown" });
    const worker = addWorker("w1");
    scheduler.accept(spec([step]));
    const tasks = openTasks(scheduler);
    for (const task of tasks) {
      scheduler.place(task, worker, { run: 1, ticket: undefined });
    }
    await flush();
    assert.notEqual(tasks[0]!.placement?.startState, "running");
    assert.equal(scheduler.disruptions.mayEnd(tasks, "maintenance"), allowed);
  }
});

test.run();
