import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  JOB,
  openTasks,
  spec,
  TASK,
} from "../../../testing/scheduler_helpers.ts";
import { createJobState } from "../job_state.ts";
import { PlacedTasks } from "../placed_tasks.ts";
import { encodeProgress, restoreJob } from "../progress_record.ts";
import type { VmInfo } from "../ports.ts";
import type { InstanceEnd } from "./instance_end.ts";

const test = suite("crash tracker");

/** Starts the tasks of a job on a worker, as run 1. */
async function startTasks(step: Parameters<typeof spec>[0] = [{}]) {
  const context = createTestScheduler();
  const worker = context.addWorker("w1");
  context.scheduler.accept(spec(step));
  const tasks = openTasks(context.scheduler);
  for (const task of tasks) {
    context.scheduler.place(task, worker, { run: 1, ticket: undefined });
  }
  await context.flush();
  return { ...context, worker, tasks, task: tasks[0]! };
}

const vmInfo = (fields: Partial<VmInfo>) =>
  new Map([["vm-w1", { vmId: "vm-w1", state: "up", ...fields } as VmInfo]]);

// Guards against a crash that isn't counted, or an end that is blamed on a task, because of the way in which it is learned.
test("each way to learn of an end counts as what it proves", async () => {
  const expected: [InstanceEnd, boolean | undefined][] = [
    ["restarted", true],
    ["replaced", true],
    ["vm_down", true],
    ["vm_unlisted", true],
    ["vm_reassigned", true],
    ["leases_expired", false],
    ["vm_ordered", undefined],
    ["unused", undefined],
  ];
  for (const [end, proven] of expected) {
    const { scheduler, worker, task } = await startTasks();
    scheduler.removeInstance(worker, end);
    assert.equal(task.losses[0]?.proven, proven, end);
    // The task on a process that announced its end isn't blamed for it.
    const drained = await startTasks();
    drained.worker.draining = true;
    drained.scheduler.removeInstance(drained.worker, end);
    assert.equal(drained.task.losses.length, 0, `draining, ${end}`);
  }
});

// Guards against one crash that counts twice, as a task stays assumed on the worker's next process until its start is disproved.
test("one crash counts once", async () => {
  const { scheduler, worker, task } = await startTasks();
  task.placement!.startState = "unresolved";
  task.placement!.confirmedAtMs = undefined;
  let previous = worker;
  for (const bornAtMs of [2, 3, 4]) {
    const successor = { ...worker, bornAtMs, tasks: new PlacedTasks() };
    scheduler.workers.add(successor);
    scheduler.replaceInstance(
      previous,
      () => successor,
      "restarted",
    );
    previous = successor;
  }
  assert.equal(task.losses.length, 1);
  assert.equal(task.job.status, "active");
});

// Guards against a task that is blamed for a worker which it never reached.
test("a task whose order was never sent isn't blamed", () => {
  const { scheduler, addWorker } = createTestScheduler();
  const worker = addWorker("w1");
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  scheduler.place(task!, worker, { run: 1, ticket: undefined });
  scheduler.removeInstance(worker, "vm_down");
  assert.equal(task!.losses.length, 0);
});

// Guards against blame for a worker that was cut off and runs on, and against a crash that is forgotten because it was first taken for a cut.
test("the loss with an unreachable worker counts once its process is known to have ended", async () => {
  for (
    const [settle, losses] of [
      ["the same process", 0],
      ["a later process", 1],
      ["the VM is down", 1],
      ["the VM runs it", undefined],
    ] as const
  ) {
    const { scheduler, worker, task } = await startTasks();
    scheduler.removeInstance(worker, "leases_expired");
    if (settle === "the same process") {
      scheduler.crashes.settleByProcess("w1", 1);
    }
    if (settle === "a later process") {
      scheduler.crashes.settleByProcess("w1", 2);
    }
    if (settle === "the VM is down") {
      scheduler.crashes.settleByVms(vmInfo({ state: "down" }));
    }
    if (settle === "the VM runs it") {
      scheduler.crashes.settleByVms(vmInfo({ workerId: "w1" }));
    }
    const proven = task.losses.filter((loss) => loss.proven).length;
    assert.equal(proven, losses ?? 0, settle);
    assert.equal(task.losses.length, losses ?? 1, settle);
  }
});

// Guards against ten tasks of which nine are blamed for what one has done.
test("of ten tasks lost together only the one that crashes its next worker is given up", async () => {
  const context = await startTasks([{ taskCount: 10 }]);
  const { scheduler, worker, tasks } = context;
  scheduler.removeInstance(worker, "vm_down");
  for (const [index, task] of tasks.entries()) {
    const next = context.addWorker(`next-${index}`);
    scheduler.place(task, next, { run: 2, ticket: undefined });
    await context.flush();
    if (index < 9) {
      context.report(next, [{
        number: 1,
        taskId: task.taskId,
        run: 2,
        ending: "done",
        checkpoint: "",
      }]);
      assert.equal(task.phase, "done");
    } else scheduler.removeInstance(next, "vm_down");
  }
  const { job } = tasks[9]!;
  assert.equal(job.status, "failed");
  assert.match(job.failureReason!, new RegExp(`${JOB}.0.0.9 .*w1.*next-9`));
});

// Guards against a count that is lost with the owner.
test("losses and the reason of a failure are restored", async () => {
  const { scheduler, worker, task } = await startTasks();
  scheduler.removeInstance(worker, "vm_down");
  const active = restoreJob(spec(), encodeProgress(task.job, 0), 0);
  assert.deepEqual(active.occurrences[0]!.steps[0]![0]!.losses, task.losses);
  const failed = createJobState(spec());
  failed.status = "failed";
  failed.failureReason = "the reason";
  assert.equal(
    restoreJob(spec(), encodeProgress(failed, 0), 0).failureReason,
    "the reason",
  );
});

// Guards against a task that lasts all day and is given up because workers crash by themselves now and then.
test("a long-running task is cleared once a run has lasted", async () => {
  const context = await startTasks([{ longRunning: true }]);
  const { scheduler, worker, task } = context;
  scheduler.removeInstance(worker, "vm_down");
  assert.equal(task.losses.length, 1);
  const next = context.addWorker("w2");
  scheduler.place(task, next, { run: 2, ticket: undefined });
  await context.flush();
  task.placement!.confirmedAtMs! -= 11_000;
  context.report(next, [], [{
    taskId: TASK,
    run: 2,
    checkpoint: "",
    percent: 100,
    loadMetric: 0,
  }]);
  assert.equal(task.losses.length, 0);
  scheduler.removeInstance(next, "vm_down");
  assert.equal(task.losses.length, 0);
});

test.run();
