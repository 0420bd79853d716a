import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  ended,
  openTasks,
  spec,
} from "../../testing/scheduler_helpers.ts";
import { encodeProgress } from "./progress_record.ts";

const test = suite("restarts of long-running tasks");

/** Creates a long-running task whose runs end by themselves after a time. */
function createTask() {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const { scheduler, addWorker, flush, report } = createTestScheduler({
    clock,
  });
  scheduler.accept(spec([{ longRunning: true }]));
  const [task] = openTasks(scheduler);
  const worker = addWorker("w1");
  let run = 0;
  return {
    task: task!,
    /** Runs the task as soon as it may start; returns the delay before the next run, in ms. */
    async endAfter(durationMs: number, ending: "failed" | "done") {
      nowMs = Math.max(nowMs, task!.notBeforeMs);
      scheduler.place(task!, worker, { run: ++run, ticket: undefined });
      await flush();
      nowMs += durationMs;
      report(worker, [ended(run, run, ending)]);
      return Math.max(0, task!.notBeforeMs - nowMs);
    },
  };
}

// Guards against an owner that is kept busy by tasks that end right after each start, and against a record that grows with each of their runs.
test("runs that end soon after their start are delayed more and more, and leave the record as small as it was", async () => {
  const { task, endAfter } = createTask();
  assert.equal(await endAfter(20, "failed"), 0);
  const bytes = encodeProgress(task.job, 0).length;
  const delaysMs: number[] = [];
  for (let index = 0; index < 8; index++) {
    delaysMs.push(await endAfter(20, index % 2 === 0 ? "failed" : "done"));
  }
  assert.deepEqual(delaysMs, [
    100,
    200,
    400,
    800,
    1_600,
    3_200,
    3_200,
    3_200,
  ]);
  for (let index = 0; index < 90; index++) await endAfter(20, "failed");
  assert.ok(encodeProgress(task.job, 0).length <= bytes + 2);
});

// Guards against a delay for a service that fails once in a while.
test("a task whose run has lasted starts again at once", async () => {
  const { endAfter } = createTask();
  for (let index = 0; index < 4; index++) await endAfter(20, "failed");
  assert.equal(await endAfter(6_000, "failed"), 0);
  assert.equal(await endAfter(20, "failed"), 0);
  assert.equal(await endAfter(20, "failed"), 100);
});

test.run();
