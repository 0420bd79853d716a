import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import type { FakeTaskWorker } from "../../testing/fake_task_workers.ts";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { SchedulerCluster } from "../../testing/scheduler_cluster.ts";
import { waitFor } from "../../testing/wait.ts";

const test = suite("late calls that a worker's next process executes");
const seed = chooseSeed();

/** Time from a worker's crash to the start of its next process, in ms. */
const RESTART_MS = 100;

async function withCluster(
  body: (cluster: SchedulerCluster) => Promise<void>,
): Promise<void> {
  const cluster = new SchedulerCluster(createRandom(seed));
  cluster.restartCrashedAfterMs = RESTART_MS;
  cluster.workers.faults.holdsPollsOfCrashed = true;
  try {
    cluster.startEntry();
    cluster.addWorker(0);
    await body(cluster);
    assert.deepEqual(cluster.invariants.violations, [], `seed ${seed}`);
  } finally {
    await cluster.close();
  }
}

/** Returns the process that runs under the only worker's ID now. */
function currentProcess({ workers }: SchedulerCluster) {
  return workers.workers.get("worker-0")!;
}

/** Crashes the only worker; returns its next process, whose clock starts anew, so that lease ends in earlier calls lie far ahead. */
async function restart(cluster: SchedulerCluster): Promise<FakeTaskWorker> {
  const { workers } = cluster;
  const process = currentProcess(cluster);
  workers.crash(process);
  workers.faults.holdsStarts.clear();
  await waitFor(
    "the next process",
    () => currentProcess(cluster) !== process,
  );
  const next = currentProcess(cluster);
  Object.assign(next, { clockOffsetMs: process.clockOffsetMs - 100_000 });
  return next;
}

/** Like `restart`, but the next process is cut off from its start. */
function restartCutOff(cluster: SchedulerCluster): Promise<FakeTaskWorker> {
  cluster.workers.faults.unreachable.add("worker-0");
  return restart(cluster);
}

/** Submits a job whose only task's start order gets no answer. */
async function submitUnanswered(
  cluster: SchedulerCluster,
  estimatedMs: number,
): Promise<string> {
  const { workers } = cluster;
  workers.faults.holdsStarts.add("worker-0");
  const job = await cluster.submit([{ taskCount: 1, estimatedMs }]);
  await waitFor("the start is sent", () => workers.heldCalls > 0);
  return job;
}

// Guards against a task that starts again after its end: the next process executes an unanswered start, and then
// a poll that acknowledges the earlier process's ends by numbers that the new end has as well.
test("a poll from before an unanswered start doesn't make the next process forget that run's end", async () => {
  await withCluster(async (cluster) => {
    const { workers, invariants } = cluster;
    const first = currentProcess(cluster);
    await cluster.waitForStatus(
      await cluster.submit([{ taskCount: 3, estimatedMs: 30 }]),
      "completed",
    );
    await waitFor(
      "an acknowledging poll waits",
      () => first.ended.length === 0 && first.waiters.size > 0,
    );
    const job = await submitUnanswered(cluster, 200);
    const next = await restartCutOff(cluster);
    workers.executeHeldCalls("start");
    await waitFor("the task has ended", () => next.ended.length > 0);
    workers.executeHeldCalls("poll");
    workers.faults.unreachable.clear();
    await cluster.waitForStatus(job, "completed");
    assert.equal(invariants.starts, 4);
  });
});

// Guards against the same loss by a poll that was sent after the start.
test("a poll from after an unanswered start doesn't make the next process forget that run's end", async () => {
  await withCluster(async (cluster) => {
    const { workers, invariants } = cluster;
    const first = currentProcess(cluster);
    const before = await cluster.submit([{
      taskCount: 3,
      estimatedMs: 60_000,
    }]);
    await waitFor("the tasks run", () => first.running.size === 3);
    workers.faults.heldStartTimeoutMs = 5_000;
    const job = await submitUnanswered(cluster, 200);
    for (const taskId of [...first.running.keys()]) first.end(taskId, "done");
    await cluster.waitForStatus(before, "completed");
    // The ends are stored, and a poll that acknowledges them would be sent at once.
    await delay(300);
    const next = await restartCutOff(cluster);
    workers.executeHeldCalls("start");
    await waitFor("the task has ended", () => next.ended.length > 0);
    workers.executeHeldCalls("poll");
    workers.faults.unreachable.clear();
    await cluster.waitForStatus(job, "completed");
    assert.equal(invariants.starts, 4);
  });
});

// Guards against two runs at once: a late poll renews the lease of a run on a process that has never responded to the owner.
test("a task that the next process may run waits until no late call can renew its lease", async () => {
  await withCluster(async (cluster) => {
    const { workers } = cluster;
    const first = currentProcess(cluster);
    await waitFor("a poll waits", () => first.waiters.size > 0);
    const job = await submitUnanswered(cluster, 60_000);
    const next = await restartCutOff(cluster);
    cluster.addWorker(1);
    workers.executeHeldCalls("start");
    assert.ok(next.running.has(`${job}.0.0.0`));
    await delay(6_000);
    workers.executeHeldCalls("poll");
    await delay(7_500);
    assert.ok(next.running.has(`${job}.0.0.0`));
    assert.equal(cluster.invariants.starts, 1);
  });
});

// Guards against two runs at once: the owner counts only the leases that it has granted to a process that restarted with a longer one.
test("a process that may hold a lease of its predecessor's calls is given up only after it", async () => {
  await withCluster(async (cluster) => {
    const { workers } = cluster;
    cluster.restartCrashedAfterMs = 1_500;
    const first = currentProcess(cluster);
    await waitFor("a poll waits", () => first.waiters.size > 0);
    const next = await restart(cluster);
    workers.executeHeldCalls("poll");
    const job = await cluster.submit([{ taskCount: 1, estimatedMs: 60_000 }]);
    await waitFor(
      "the task runs",
      () => next.running.has(`${job}.0.0.0`),
    );
    workers.faults.unreachable.add("worker-0");
    cluster.addWorker(1);
    await waitFor(
      "the lease has lapsed",
      () => next.running.size === 0,
      { timeoutMs: 15_000 },
    );
    await waitFor(
      "the task runs again",
      () => workers.workers.get("worker-1")!.running.size === 1,
      { timeoutMs: 15_000 },
    );
  });
});

test.run();
