import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import type { FakeTaskWorker } from "../../testing/fake_task_workers.ts";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { SchedulerCluster } from "../../testing/scheduler_cluster.ts";
import {
  createTestRegistry,
  createTestScheduler,
  openTasks,
  registrationOf,
  spec,
  TASK,
} from "../../testing/scheduler_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import { silentLogger } from "../logger.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import { createPollPacing } from "./poll_pacing.ts";
import { createWorkerLink, MAXIMUM_LEASE_MS } from "./worker_link.ts";
import { createWorkerLives, LATE_CALL_LIMIT_MS } from "./worker_lives.ts";

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

/**
 * Crashes the only worker; returns its next process, which is cut off from its
 * start. Its clock starts anew, so that lease ends in earlier calls lie far ahead.
 */
async function restartCutOff(
  cluster: SchedulerCluster,
): Promise<FakeTaskWorker> {
  const { workers } = cluster;
  const process = currentProcess(cluster);
  workers.clockOffsetMs = process.clockOffsetMs - 100_000;
  workers.crash(process);
  workers.faults.unreachable.add("worker-0");
  workers.faults.holdsStarts.clear();
  await waitFor(
    "the next process",
    () => currentProcess(cluster) !== process,
  );
  return currentProcess(cluster);
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
    const next = await restartCutOff(cluster);
    workers.executeHeldCalls("poll");
    assert.ok(next.leaseEndMs > next.clockMs() + 9_000);
    workers.faults.unreachable.clear();
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

// Guards against two runs at once: a worker that is cut off has restarted unseen, and its next process has executed a start that the owner counts on the earlier one.
test("a run that an unseen next process may have started outlasts the leases of the earlier one", async () => {
  let nowMs = 1_000;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const { scheduler, state, addWorker, flush } = createTestScheduler({
    clock,
  });
  scheduler.accept(spec([{ taskCount: 2 }]));
  const [confirmed, unanswered] = openTasks(scheduler);
  const worker = addWorker("w1");
  scheduler.place(confirmed!, worker, { run: 1, ticket: undefined });
  await flush();
  state.onStart = () => ({ kind: "unknown" });
  scheduler.place(unanswered!, worker, { run: 1, ticket: undefined });
  await flush();
  nowMs += 8_000;
  worker.link!.unseenLeasesEndMs = () => 24_000;
  scheduler.removeInstance(worker, "leases_expired");
  assert.equal(confirmed!.phase, "waiting");
  const held = scheduler.workers.find("w1", 1)!;
  assert.deepEqual([...held.tasks], [unanswered]);
  assert.equal(held.earlierLeasesEndMs, 24_000 + 200);
  nowMs = 24_300;
  scheduler.removeInstance(held, "leases_expired");
  assert.equal(unanswered!.phase, "waiting");
});

// Guards against two runs at once: a start in progress reaches neither the process that it was sent to nor the next one, but the one after that.
test("a start in progress at a restart is counted as unanswered at the next process", async () => {
  const { scheduler, state, addWorker, flush } = createTestScheduler();
  state.onStart = () => new Promise(() => {}) as never;
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  const first = addWorker("w1");
  scheduler.place(task!, first, { run: 1, ticket: undefined });
  await flush();
  const next = { ...first, bornAtMs: 2, tasks: new PlacedTasks() };
  scheduler.workers.add(next);
  scheduler.replaceInstance(first, () => next, "restarted");
  assert.equal(task!.placement?.bornAtMs, 2);
  scheduler.removeInstance(next, "vm_down");
  assert.equal(task!.phase, "placed");
});

// Guards against healthy tasks that count as the cause of a crash: the end of their process was recorded again, without what was known of their runs, once no late start could be executed.
test("the end of a process whose tasks wait for late starts counts once", async () => {
  const { scheduler, state, addWorker, flush } = createTestScheduler();
  state.onStart = () => ({ kind: "unknown" });
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  const worker = addWorker("w1");
  scheduler.place(task!, worker, { run: 1, ticket: undefined });
  await flush();
  scheduler.removeInstance(worker, "vm_down");
  assert.equal(task!.losses.length, 1);
  // Another task is found to be the cause.
  task!.losses = [];
  scheduler.removeInstance(scheduler.workers.find("w1", 1)!, "vm_reassigned");
  assert.equal(task!.phase, "waiting");
  assert.deepEqual(task!.losses, []);
});

// Guards against tasks that wait as long for a late start that a report has ruled out.
test("a run that was listed once no start could be executed any more isn't held when its leases expire", async () => {
  let nowMs = 1_000;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const { scheduler, state, addWorker, flush, report } = createTestScheduler({
    clock,
  });
  state.onStart = (attempt) =>
    attempt % 2 === 1 ? { kind: "unknown" } : { kind: "done", clockMs: 0 };
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  for (
    const [reportAfterMs, phase] of [[5_000, "placed"], [
      13_000,
      "waiting",
    ]] as const
  ) {
    const worker = addWorker("w1");
    const run = (task!.run ?? 0) + 1;
    scheduler.place(task!, worker, { run, ticket: undefined });
    await flush();
    nowMs += reportAfterMs;
    report(worker, [], [{
      taskId: TASK,
      run,
      checkpoint: "",
      percent: 10,
      loadMetric: 0,
    }]);
    nowMs += 8_000;
    worker.link!.unseenLeasesEndMs = () => nowMs + 15_000;
    scheduler.removeInstance(worker, "leases_expired");
    assert.equal(task!.phase, phase);
    nowMs += 60_000;
    const held = scheduler.workers.find("w1", 1);
    if (held !== undefined) scheduler.removeInstance(held, "leases_expired");
    assert.equal(task!.phase, "waiting");
  }
});

// Guards against leases of a next process that count from its registration and not from the last call that may extend them.
test("a process that hasn't responded may hold a lease of the latest call to its predecessor", async () => {
  let nowMs = 1_000;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const { scheduler } = createTestScheduler({ clock });
  let registration = registrationOf(1, "w1:1");
  const control = {
    start: () => Promise.resolve({ kind: "unknown" }),
    close() {},
  };
  const registry = createTestRegistry(
    scheduler,
    control as never,
    () => registration,
    { clock },
  );
  registry.syncItem({} as never);
  const order = {
    taskId: "a",
    run: 1,
    specification: "",
    checkpoint: "",
    ticket: undefined,
  };
  await scheduler.workers.find("w1", 1)!.link!.start(order);
  registration = registrationOf(2, "w1:1");
  registry.syncItem({} as never);
  const next = scheduler.workers.find("w1", 2)!.link!;
  nowMs = 1_000 + LATE_CALL_LIMIT_MS + MAXIMUM_LEASE_MS;
  assert.equal(next.leasesExpired(), false);
  nowMs++;
  assert.equal(next.leasesExpired(), true);
});

// Guards against a start that counts as confirmed by a process that has ended before.
test("an order that another process has answered counts as unanswered", async () => {
  let clockMs = 500_000;
  const clock = { monotonicMs: () => 0, wallMs: () => 0 };
  const done = () => Promise.resolve({ kind: "done", clockMs });
  const link = createWorkerLink({
    registration: registrationOf(1, "w1:1"),
    life: createWorkerLives(1, () => 0).add("w1", 1),
    control: { start: done, stop: done } as never,
    clock,
    log: silentLogger,
    events: {} as never,
    earlierLeasesEndMs: 0,
    pacing: createPollPacing(() => 0),
  });
  const order = {
    taskId: "a",
    run: 1,
    specification: "",
    checkpoint: "",
    ticket: undefined,
  };
  await link.stop("a", 1);
  assert.equal((await link.start(order)).kind, "done");
  clockMs = 499_100;
  assert.equal((await link.start(order)).kind, "done");
  clockMs = 600;
  // The answer to the stop doesn't change what is known of the clock.
  assert.equal((await link.stop("a", 1)).kind, "unknown");
  assert.equal((await link.start(order)).kind, "unknown");
});

// Guards against tasks that wait for the longest late lease although the process has shown that it executes no late calls any more.
test("the first response of a process bounds the leases that late calls may have extended", async () => {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const life = createWorkerLives(1, () => nowMs).add("w1", 1);
  const link = createWorkerLink({
    registration: registrationOf(1, "w1:1"),
    life,
    control: {
      stop: () => Promise.resolve({ kind: "done", clockMs: 1 }),
    } as never,
    clock,
    log: silentLogger,
    events: {} as never,
    earlierLeasesEndMs: 36_000,
    pacing: createPollPacing(() => 0),
  });
  nowMs = 20_000;
  assert.equal(link.leasesExpired(), false);
  nowMs = 1_000;
  await link.stop("a", 1);
  nowMs += MAXIMUM_LEASE_MS;
  assert.equal(link.leasesExpired(), false);
  nowMs += 1;
  assert.equal(link.leasesExpired(), true);
});

test.run();
