import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  openTasks,
  registrationOf,
  spec,
  YOUNG_LOSS,
} from "../../../testing/scheduler_helpers.ts";
import { type Clock, systemClock } from "../../clock.ts";
import { silentLogger } from "../../logger.ts";
import type { TaskState } from "../job_state.ts";
import { planPlacements } from "../placement_planner.ts";
import type { TicketCache } from "../ticket_cache.ts";
import { createFairShare } from "../workspaces/fair_share.ts";
import { createTrialWorkers } from "./trial_workers.ts";

const test = suite("trial workers");

/** Creates workers with room for ten tasks each, and a planner whose clock the test advances. */
function createPlanner(workerCount: number) {
  const context = createTestScheduler();
  const workers = Array.from({ length: workerCount }, (_, index) => {
    const worker = context.addWorker(`w${index + 1}`);
    worker.registration = registrationOf(1, "");
    return worker;
  });
  let advancedMs = 0;
  const clock: Clock = {
    ...systemClock,
    monotonicMs: () => systemClock.monotonicMs() + advancedMs,
  };
  const trialWorkers = createTrialWorkers();
  const plan = () =>
    planPlacements({
      scheduler: context.scheduler,
      tickets: { find: () => undefined } as unknown as TicketCache,
      clock,
      log: silentLogger,
      fairShare: createFairShare({ nowMs: clock.monotonicMs }),
      waitLog: { note() {} },
      isCordoned: () => false,
      isScarce: () => false,
      countArriving: () => new Map(),
      trialWorkers,
    }, undefined);
  return {
    ...context,
    workers,
    plan,
    advance: (ms: number) => advancedMs += ms,
  };
}

/** Marks tasks as lost; each entry of `counts` is the number of losses of one task. */
function lose(tasks: readonly TaskState[], counts: readonly number[]): void {
  counts.forEach((count, index) => {
    tasks[index]!.losses = Array.from({ length: count }, (_, number) => ({
      ...YOUNG_LOSS,
      born: number + 1,
    }));
  });
}

/** ID of a second job. */
const OTHER_JOB = "fedcba9876543210";
/** ID of a third job. */
const THIRD_JOB = "00000000deadbeef";

const workerOf = (task: TaskState) => task.placement?.workerId;

// Guards against suspects that share a worker, so that the crash of one convicts the others, and against healthy tasks beside them.
test("each suspect starts on a worker of its own", () => {
  const { scheduler, plan } = createPlanner(4);
  scheduler.accept(spec([{ taskCount: 6 }]));
  const tasks = openTasks(scheduler);
  lose(tasks, [1, 1, 1]);
  plan();
  const suspectWorkers = tasks.slice(0, 3).map(workerOf);
  assert.equal(new Set(suspectWorkers).size, 3);
  assert.equal(suspectWorkers.includes(undefined), false);
  for (const task of tasks.slice(3)) {
    assert.equal(suspectWorkers.includes(workerOf(task)), false);
  }
});

// Guards against a worker that stays closed after its suspect has proven harmless, or for an order without an answer.
test("a worker takes other tasks once its suspect has run for a while", () => {
  for (const outcome of ["survived", "unanswered"] as const) {
    const { scheduler, workers, plan, advance } = createPlanner(1);
    scheduler.accept(spec([{ taskCount: 3 }]));
    const tasks = openTasks(scheduler);
    lose(tasks, [1]);
    plan();
    assert.equal(workers[0]!.tasks.size, 1);
    plan();
    assert.equal(workers[0]!.tasks.size, 1, "the suspect is on trial");
    if (outcome === "survived") {
      const { placement } = tasks[0]!;
      placement!.confirmedAtMs = systemClock.monotonicMs();
      placement!.reportedAtMs = placement!.confirmedAtMs + 150;
    } else advance(1_100);
    plan();
    assert.equal(workers[0]!.tasks.size, 3, outcome);
  }
});

// Guards against a suspect that waits for ever because no worker becomes idle.
test("a suspect waits a limited time for an idle worker", () => {
  for (const [losses, waitMs] of [[1, 250], [2, 1_600]] as const) {
    const { scheduler, workers, plan, advance } = createPlanner(2);
    scheduler.accept(spec([{ taskCount: 4, longRunning: true }]));
    const tasks = openTasks(scheduler);
    tasks.slice(0, 2).forEach((task, index) =>
      scheduler.place(task, workers[index]!, { run: 1, ticket: undefined })
    );
    lose(tasks.slice(2), [losses]);
    plan();
    assert.equal(workerOf(tasks[2]!), undefined);
    advance(waitMs);
    plan();
    assert.notEqual(workerOf(tasks[2]!), undefined, `${losses} losses`);
  }
});

// Guards against a full pool in which a suspect never finds an idle worker, and against other tasks that are all held up for it.
test("one worker of a busy pool is emptied for a task that was lost twice", () => {
  const { scheduler, workers, plan } = createPlanner(4);
  scheduler.accept(spec([{ taskCount: 41 }]));
  const tasks = openTasks(scheduler);
  tasks.slice(0, 4).forEach((task, index) =>
    scheduler.place(task, workers[index]!, { run: 1, ticket: undefined })
  );
  for (const task of tasks.slice(5)) task.notBeforeMs = Infinity;
  lose(tasks.slice(4), [2]);
  plan();
  assert.equal(workerOf(tasks[4]!), undefined);
  for (const task of tasks.slice(5)) task.notBeforeMs = 0;
  plan();
  // Nine of the waiting tasks fit on each of the other workers.
  const emptied = workers.filter(({ tasks }) => tasks.size === 1);
  assert.equal(emptied.length, 1);
  assert.equal(tasks.slice(5).filter(workerOf).length, 27);
  // Its last task ends.
  const last = tasks.find((task) => workerOf(task) === emptied[0]!.workerId);
  emptied[0]!.tasks.delete(last!);
  last!.placement = undefined;
  last!.phase = "done";
  plan();
  assert.equal(workerOf(tasks[4]!), emptied[0]!.workerId);
});

// Guards against a gang that never starts again, or starts under several run numbers, because one member is a suspect.
test("a gang starts as one with each suspect on a worker of its own", () => {
  const { scheduler, plan } = createPlanner(2);
  scheduler.accept(spec([{ taskCount: 4, gang: true }]));
  const tasks = openTasks(scheduler);
  lose(tasks, [1]);
  tasks[0]!.run = 1;
  plan();
  assert.deepEqual(tasks.map(({ run }) => run), [2, 2, 2, 2]);
  const others = new Set(tasks.slice(1).map(workerOf));
  assert.equal(others.has(workerOf(tasks[0]!)), false);
  assert.equal(others.has(undefined), false);
});

// Guards against a gang that never starts again after the crash of its only worker, as it has more suspects than its service has workers.
test("suspects of a gang share idle workers after a wait", () => {
  for (const [losses, waitMs] of [[1, 250], [2, 1_600]] as const) {
    const { scheduler, workers, plan, advance } = createPlanner(3);
    scheduler.accept({ ...spec([{ taskCount: 2 }]), jobId: OTHER_JOB });
    openTasks(scheduler, OTHER_JOB).forEach((task) =>
      scheduler.place(task, workers[0]!, { run: 1, ticket: undefined })
    );
    scheduler.accept(spec([{ taskCount: 8, gang: true }]));
    const gang = openTasks(scheduler);
    lose(gang, gang.map(() => losses));
    plan();
    assert.equal(gang.some(workerOf), false);
    advance(waitMs);
    plan();
    assert.deepEqual(gang.map(({ run }) => run), gang.map(() => 1));
    assert.equal(gang.every(workerOf), true);
    assert.equal(workers[0]!.tasks.size, 2, "the busy worker");
  }
});

// Guards against a gang with suspects that waits for ever because no worker becomes idle.
test("a gang of suspects starts beside other tasks if no worker is idle", () => {
  const { scheduler, workers, plan, advance } = createPlanner(2);
  scheduler.accept({
    ...spec([{ taskCount: 2, longRunning: true }]),
    jobId: OTHER_JOB,
  });
  openTasks(scheduler, OTHER_JOB).forEach((task, index) =>
    scheduler.place(task, workers[index]!, { run: 1, ticket: undefined })
  );
  scheduler.accept(spec([{ taskCount: 8, gang: true }]));
  const gang = openTasks(scheduler);
  lose(gang, [1, 1, 1]);
  plan();
  advance(250);
  plan();
  assert.equal(gang.every(workerOf), true);
});

// Guards against a service that fails and loses all its tasks because one of them was lost beside a task that crashes its workers.
test("a long-running task that was lost with three workers waits 5 s and starts on a worker of its own", async () => {
  const context = createPlanner(3);
  const { scheduler, workers, calls, flush, plan, advance } = context;
  scheduler.accept(spec([{ taskCount: 3, longRunning: true, mayMiss: 3 }]));
  scheduler.accept({ ...spec(), jobId: OTHER_JOB });
  const [lost, ...siblings] = openTasks(scheduler);
  const [deadly] = openTasks(scheduler, OTHER_JOB);
  siblings.forEach((task, index) =>
    scheduler.place(task, workers[index]!, { run: 1, ticket: undefined })
  );
  for (let run = 1; run <= 3; run++) {
    const worker = context.addWorker(`crashing-${run}`);
    for (const task of [lost!, deadly!]) {
      scheduler.place(task, worker, { run, ticket: undefined });
    }
    await flush();
    scheduler.removeInstance(worker, "restarted");
  }
  assert.equal(deadly!.job.status, "failed");
  assert.equal(lost!.job.status, "active");
  assert.deepEqual(calls.filter((call) => call.startsWith("stop")), []);
  advance(4_900);
  plan();
  assert.equal(workerOf(lost!), undefined);
  // The tasks of a later job are placed in the same round, on the
  // other two workers, which have room for nine each.
  scheduler.accept({
    ...spec([{ taskCount: 20 }]),
    jobId: THIRD_JOB,
    acceptedAtMs: Date.now(),
  });
  advance(1_000);
  plan();
  assert.equal(workerOf(lost!), workers[2]!.workerId);
  assert.equal(workers[2]!.tasks.size, 1);
  assert.equal(openTasks(scheduler, THIRD_JOB).filter(workerOf).length, 18);
});

test.run();
