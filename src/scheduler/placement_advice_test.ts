import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import {
  createTestScheduler,
  JOB,
  openTasks,
  registrationOf,
  spec,
  YOUNG_LOSS,
} from "../../testing/scheduler_helpers.ts";
import { type Clock, systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { createTrialWorkers } from "./crashes/trial_workers.ts";
import type { TaskState } from "./job_state.ts";
import { planPlacements } from "./placement_planner.ts";
import type { SchedulerConfig } from "./ports.ts";
import { createTicketCache } from "./ticket_cache.ts";
import { createFairShare } from "./workspaces/fair_share.ts";

const test = suite("placement with advice");

/** Number of test tasks that a worker has room for. */
const TASKS_PER_WORKER = 10;
const VALIDITY_MS = 3_000;
const CONFIG: SchedulerConfig = {
  version: 1,
  queues: [{
    name: "quotes",
    host: "",
    pathPrefix: "/quotes/",
    service: "quoting",
    priority: 0,
    maximumAttempts: 2,
    stretch: 2,
    targetDurationMs: 500,
    needsAdvice: true,
  }],
  sparePools: [],
  services: ["quoting"],
  maximumBodyBytes: 100_000,
};

/** Creates workers, an advice service that allows some of them, and a planner whose clock the test advances. */
function createFixture(
  workerCount: number,
  allowed: readonly string[],
  config: SchedulerConfig | "not read yet" = CONFIG,
) {
  const context = createTestScheduler({
    onTicketRefused: (stepId, workerId) => tickets.drop(stepId, workerId),
  });
  const { scheduler } = context;
  const addWorker = (workerId: string) => {
    const instance = context.addWorker(workerId);
    instance.registration = { ...registrationOf(1, ""), workerId };
    return instance;
  };
  for (let index = 1; index <= workerCount; index++) addWorker(`w${index}`);
  let advancedMs = 0;
  const clock: Clock = {
    ...systemClock,
    monotonicMs: () => systemClock.monotonicMs() + advancedMs,
  };
  /** Workers of each request to the advice service. */
  const requests: string[][] = [];
  const advisor = {
    /** Called before each response. */
    onRequest: () => {},
    responds: true,
  };
  const tickets = createTicketCache({
    advice: {
      async advise(stepId, workerIds) {
        requests.push([...workerIds]);
        await delay(1);
        advisor.onRequest();
        if (!advisor.responds) return undefined;
        const good = workerIds.filter((id) => allowed.includes(id));
        return {
          tickets: good.map((workerId) => ({
            workerId,
            ticket: `${stepId}/${workerId}`,
          })),
          validityMs: VALIDITY_MS,
        };
      },
    },
    clock,
    log: silentLogger,
    onChange() {},
  });
  const cordoned = new Set<string>();
  const trialWorkers = createTrialWorkers();
  const planOnce = () =>
    planPlacements({
      scheduler,
      tickets,
      clock,
      log: silentLogger,
      fairShare: createFairShare({ nowMs: clock.monotonicMs }),
      waitLog: { note() {} },
      isCordoned: (vmId) => cordoned.has(vmId),
      isScarce: () => false,
      countArriving: () => new Map(),
      trialWorkers,
    }, config === "not read yet" ? undefined : config);
  return {
    ...context,
    tickets,
    requests,
    advisor,
    cordoned,
    trialWorkers,
    addWorker,
    planOnce,
    advance: (ms: number) => advancedMs += ms,
    /** Runs some planning rounds with time for the responses of the advice service in between. */
    async plan() {
      for (let round = 0; round < 6; round++) {
        planOnce();
        await delay(4);
      }
    },
    /** Ends a worker with its runs; its next process has the same ID. */
    restartWorker(workerId: string) {
      const [instance] = scheduler.workers.listByWorker(workerId);
      scheduler.removeInstance(instance!, "replaced");
      tickets.forgetWorker(workerId);
      return addWorker(workerId);
    },
  };
}

/** Number of placed tasks by worker. */
function countByWorker(tasks: readonly TaskState[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { placement } of tasks) {
    const workerId = placement?.workerId;
    if (workerId !== undefined) counts[workerId] = (counts[workerId] ?? 0) + 1;
  }
  return counts;
}

// Guards against tasks that are never started again because another worker has a ticket, though it is full.
test("the tasks of a crashed worker run on its next process", async () => {
  for (const step of [{ longRunning: true }, {}]) {
    const { scheduler, plan, restartWorker, advance } = createFixture(6, [
      "w1",
      "w2",
    ]);
    scheduler.accept(spec([{ taskCount: 20, ...step }]));
    const tasks = openTasks(scheduler);
    await plan();
    const full = { w1: TASKS_PER_WORKER, w2: TASKS_PER_WORKER };
    assert.deepEqual(countByWorker(tasks), full);
    // The lost runs aren't taken for the cause of the crash.
    for (const task of tasks) task.placement!.startState = "unrecorded";
    restartWorker("w2");
    await plan();
    assert.deepEqual(countByWorker(tasks), full);
    restartWorker("w2");
    advance(VALIDITY_MS);
    await plan();
    assert.deepEqual(countByWorker(tasks), full, "the tickets have expired");
  }
});

// Guards against tasks that wait although a worker has room, as the service has more workers than one request names.
test("all workers are asked about while the allowed ones are full", async () => {
  const { scheduler, plan } = createFixture(70, ["w3", "w40", "w66"]);
  scheduler.accept(spec([{ taskCount: 30 }]));
  const tasks = openTasks(scheduler);
  await plan();
  assert.deepEqual(countByWorker(tasks), {
    w3: TASKS_PER_WORKER,
    w40: TASKS_PER_WORKER,
    w66: TASKS_PER_WORKER,
  });
});

// Guards against tasks that wait because an allowed worker got no tasks when the service was asked first.
test("a worker that becomes usable later is asked about", async () => {
  const { scheduler, plan, cordoned } = createFixture(3, ["w1", "w2"]);
  cordoned.add("vm-w2");
  scheduler.accept(spec([{ taskCount: 20, longRunning: true }]));
  const tasks = openTasks(scheduler);
  await plan();
  assert.deepEqual(countByWorker(tasks), { w1: TASKS_PER_WORKER });
  cordoned.clear();
  await plan();
  assert.deepEqual(countByWorker(tasks), {
    w1: TASKS_PER_WORKER,
    w2: TASKS_PER_WORKER,
  });
});

// Guards against a gang that waits because the workers with a ticket have room for a part of it only.
test("a gang gets tickets for as many workers as it needs", async () => {
  const { scheduler, plan, cordoned } = createFixture(3, ["w1", "w2"]);
  cordoned.add("vm-w2");
  scheduler.accept(spec([{ taskCount: 15, gang: true }]));
  const tasks = openTasks(scheduler);
  await plan();
  assert.deepEqual(countByWorker(tasks), {});
  cordoned.clear();
  await plan();
  assert.equal(tasks.filter(({ placement }) => placement).length, 15);
});

// Guards against a suspect that waits for ever because the only worker that may run it was emptied for it.
test("a suspect runs on an allowed worker that is reserved for it", async () => {
  const { scheduler, plan, trialWorkers } = createFixture(3, ["w1"]);
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  task!.losses = [YOUNG_LOSS, { ...YOUNG_LOSS, run: 2, born: 2 }];
  trialWorkers.reserve(
    "quoting",
    scheduler.workers.listByWorker("w1"),
    { count: 1, busyCount: 0 },
  );
  await plan();
  assert.equal(task!.placement?.workerId, "w1");
});

// Guards against a gang that never starts again after a crash because fewer workers may run it than it has members.
test("a gang of suspects shares the only allowed worker", async () => {
  const { scheduler, plan, advance } = createFixture(3, ["w2"]);
  scheduler.accept(spec([{ taskCount: 5, gang: true }]));
  const tasks = openTasks(scheduler);
  for (const task of tasks) task.losses = [YOUNG_LOSS];
  await plan();
  advance(250);
  await plan();
  assert.deepEqual(countByWorker(tasks), { w2: 5 });
});

// Guards against start orders with the ticket of an ended process, which its successor rejects until the ticket expires.
test("a response that arrives after a worker's end isn't applied to its next process", async () => {
  const { scheduler, plan, planOnce, advisor, tickets, requests } =
    createFixture(1, ["w1"]);
  advisor.onRequest = () => tickets.forgetWorker("w1");
  scheduler.accept(spec());
  const tasks = openTasks(scheduler);
  planOnce();
  await delay(4);
  advisor.onRequest = () => {};
  planOnce();
  assert.deepEqual(countByWorker(tasks), {});
  await plan();
  assert.deepEqual(countByWorker(tasks), { w1: 1 });
  assert.equal(requests.length, 2);
});

// Guards against start orders that are rejected again and again, as the owner was suspended and takes a ticket for valid that has expired.
test("a ticket that a worker has refused is requested again", async () => {
  const { scheduler, plan, flush, state, requests, calls } = createFixture(1, [
    "w1",
  ]);
  state.onStart = (attempt) =>
    attempt === 1
      ? { kind: "refused", reason: "ticket" }
      : { kind: "done", clockMs: 0 };
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  await plan();
  await flush();
  assert.equal(task!.phase, "waiting");
  await plan();
  await flush();
  assert.equal(task!.placement?.startState, "running");
  assert.equal(requests.length, 2);
  assert.equal(calls.length, 2);
});

// Guards against an accepted job that never runs on after its queue was removed, or while its owner has no configuration: each start order without a ticket is refused.
test("a job needs tickets as configured when it was accepted", async () => {
  for (const config of [{ ...CONFIG, queues: [] }, "not read yet"] as const) {
    const { scheduler, plan, flush, requests, tickets } = createFixture(
      2,
      ["w2"],
      config,
    );
    scheduler.accept({ ...spec(), needsAdvice: true });
    const tasks = openTasks(scheduler);
    await plan();
    await flush();
    assert.deepEqual(countByWorker(tasks), { w2: 1 });
    assert.equal(tickets.find(`${JOB}.0.0`, "w2"), `${JOB}.0.0/w2`);
    assert.equal(requests.length, 1);
  }
});

// Guards against start orders that are repeated without a pause although the next one can only be refused as well.
test("a start without a ticket that was refused for it is delayed", async () => {
  const { scheduler, plan, flush, state, calls, advance } = createFixture(
    1,
    [],
    { ...CONFIG, queues: [] },
  );
  state.onStart = () => ({ kind: "refused", reason: "ticket" });
  scheduler.accept(spec());
  openTasks(scheduler);
  for (let round = 0; round < 5; round++) {
    await plan();
    await flush();
  }
  assert.equal(calls.length, 1);
  advance(2_000);
  await plan();
  await flush();
  assert.equal(calls.length, 2);
});

// Guards against requests that use up the advice service, which handles one at a time.
test("a worker is asked about once as long as its ticket is valid", async () => {
  const { scheduler, plan, planOnce, requests, advance } = createFixture(6, [
    "w1",
  ]);
  scheduler.accept(spec([{ taskCount: 20, longRunning: true }]));
  openTasks(scheduler);
  planOnce();
  planOnce();
  await plan();
  assert.deepEqual(requests, [["w1", "w2", "w3", "w4", "w5", "w6"]]);
  // Without a ticket, the next one is requested before there is room.
  advance(VALIDITY_MS);
  await plan();
  assert.deepEqual(requests.slice(1), [["w1"]]);
});

// Guards against an owner whose memory grows with each step that has ever run.
test("the tickets of finished steps are dropped", async () => {
  const { scheduler, plan, tickets, advance } = createFixture(2, ["w1"]);
  for (let index = 0; index < 5; index++) {
    scheduler.accept({ ...spec(), jobId: `${index}`.padStart(16, "0") });
    await plan();
    advance(10_000);
  }
  assert.equal(tickets.size(), 5);
  advance(45_000);
  scheduler.accept(spec());
  await plan();
  assert.equal(tickets.size(), 2);
});

// Guards against a step that waits for ever after a failed request, or sends requests without a pause.
test("a failed request is repeated after a pause", async () => {
  const { scheduler, plan, advisor, requests, advance } = createFixture(2, [
    "w1",
  ]);
  advisor.responds = false;
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  await plan();
  assert.equal(requests.length, 1);
  advisor.responds = true;
  advance(300);
  await plan();
  assert.equal(requests.length, 2);
  assert.equal(task!.placement?.workerId, "w1");
});

test.run();
