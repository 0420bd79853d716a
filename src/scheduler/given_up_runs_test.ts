import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { run } from "effection";
import { suite } from "uvu";
import {
  createTestJournal,
  createTestRegistry,
  createTestScheduler,
  ended,
  JOB,
  openTasks,
  spec,
  TASK,
} from "../../testing/scheduler_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import type {
  ActiveRunReport,
  OrderOutcome,
  WorkerControl,
  WorkerRegistration,
} from "./ports.ts";
import { createScheduler } from "./scheduler.ts";
import type { WorkerInstance } from "./worker_table.ts";

const test = suite("runs that were given up");

// Guards against a reservation that is never released because an earlier run of the task has succeeded (LOST; a worker with less and less room).
test("a run that another run's success made superfluous releases its resources when it ends", async () => {
  for (const gang of [false, true]) {
    const context = createTestScheduler();
    const { scheduler, report } = context;
    const [first, second, third] = ["w1", "w2", "w3"].map(
      context.addWorker,
    ) as [WorkerInstance, WorkerInstance, WorkerInstance];
    scheduler.accept(spec([{ taskCount: gang ? 2 : 1, gang }]));
    const tasks = openTasks(scheduler);
    for (const task of tasks) {
      scheduler.place(task, first, { run: 1, ticket: undefined });
    }
    await context.flush();
    // The worker is cut off until its leases have expired; the run has succeeded there in time.
    scheduler.removeInstance(first, "leases_expired");
    tasks.forEach((task, index) =>
      scheduler.place(task, index === 0 ? second : third, {
        run: 2,
        ticket: undefined,
      })
    );
    await context.flush();
    const returned = context.addWorker("w1");
    report(returned, [ended(1, 1, "done")]);
    await context.flush();
    assert.ok(context.calls.includes(`stop w2 ${TASK} 2`));
    report(second, [ended(1, 2, "stopped")]);
    if (gang) report(third, [ended(1, 2, "broken", `${JOB}.0.0.1`)]);
    await context.flush();
    assert.equal(second.tasks.size, 0, `gang: ${gang}`);
    assert.equal(third.tasks.size, 0, `gang: ${gang}`);
    assert.equal(second.tasks.reserved.cpuMillis, 0, `gang: ${gang}`);
  }
});

// Guards against starting a task again although it has succeeded (TWICE): a worker lists at most 500 ends at a time, so that a run may have ended without being listed.
test("a run that a full list of ends doesn't name is not taken as gone", async () => {
  const fullList = Array.from(
    { length: 500 },
    (_, index) => ended(index + 1, 1, "done", `ffffffffffffffff.0.0.${index}`),
  );
  for (const answered of [true, false]) {
    const context = createTestScheduler();
    const { scheduler } = context;
    const worker = context.addWorker("w1");
    if (!answered) context.state.onStart = () => ({ kind: "unknown" });
    scheduler.accept(spec());
    const [task] = openTasks(scheduler);
    scheduler.place(task!, worker, { run: 1, ticket: undefined });
    await context.flush();
    context.report(worker, fullList, [], true);
    assert.equal(task!.phase, "placed", `start answered: ${answered}`);
  }
});

// Guards against an order of a former owner that outlives the bound that the next owner waits for (TWICE).
test("an unanswered start is not sent again once the owner may not order", async () => {
  const context = createTestScheduler();
  const { scheduler, state } = context;
  const worker = context.addWorker("w1");
  state.onStart = () => {
    state.mayOrder = false;
    return { kind: "unknown" };
  };
  scheduler.accept(spec());
  scheduler.place(openTasks(scheduler)[0]!, worker, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  assert.deepEqual(context.calls, [`start w1 ${TASK} 1`]);
});

// Guards against starting a task of a job that was cancelled while the first attempt was unanswered.
test("an unanswered start is not sent again once the run is to be stopped", async () => {
  const context = createTestScheduler();
  const { scheduler, state } = context;
  const worker = context.addWorker("w1");
  state.stop = { kind: "unknown" };
  state.onStart = (attempt) => {
    if (attempt === 1) scheduler.cancel(JOB);
    return { kind: "unknown" };
  };
  scheduler.accept(spec());
  scheduler.place(openTasks(scheduler)[0]!, worker, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  assert.deepEqual(
    context.calls.filter((call) => call.startsWith("start")),
    [`start w1 ${TASK} 1`],
  );
});

// Guards against a second run while a start order that is superseded after an unanswered attempt, or whose stop has no answer, is still open.
test("without a confirmed stop, a report doesn't free an unresolved run", async () => {
  for (
    const latest of [
      { kind: "refused", reason: "superseded" },
      { kind: "refused", reason: "unhealthy" },
      { kind: "unknown" },
    ] satisfies OrderOutcome[]
  ) {
    for (
      const stop of [
        { kind: "unknown" },
        { kind: "refused", reason: "unhealthy" },
        { kind: "not_sent" },
      ] satisfies OrderOutcome[]
    ) {
      const context = createTestScheduler();
      const { scheduler, state } = context;
      const worker = context.addWorker("w1");
      state.stop = stop;
      state.onStart = (attempt) => attempt === 1 ? { kind: "unknown" } : latest;
      scheduler.accept(spec());
      const [task] = openTasks(scheduler);
      scheduler.place(task!, worker, { run: 1, ticket: undefined });
      await context.flush();
      context.report(worker, []);
      await context.flush();
      context.report(worker, []);
      assert.equal(task!.phase, "placed", JSON.stringify({ latest, stop }));
      assert.equal(worker.tasks.size, 1);
    }
  }
});

// Guards against a second run (TWICE) of a task whose start order reached the next process of its worker, which keeps its ID: the expected instance that an order names is only this ID.
test("a start that the worker's next process has carried out is not taken as gone with the earlier one", async () => {
  const { journal, flush } = createTestJournal();
  const scheduler = createScheduler({
    journal,
    clock: systemClock,
    log: silentLogger,
    config: () => undefined,
    mayOrder: () => true,
    isOrdered: () => false,
    onChange() {},
  });
  const runs: ActiveRunReport[] = [];
  let bornAtMs = 1;
  const stoppedRuns: number[] = [];
  let registration: WorkerRegistration = {
    workerId: "w1",
    vmId: "vm-1",
    service: "quoting",
    address: "w1:1",
    dataCentre: "dc-1",
    state: "ready",
    capacity: { cpuMillis: 1_000, memoryMb: 1_000, gpuCount: 0 },
    labels: [],
    rack: "",
    bornAtMs,
    remainingMs: undefined,
  };
  const control: WorkerControl = {
    start: (_, { taskId, run: runNumber }) => {
      runs.push({
        taskId,
        run: runNumber,
        checkpoint: "",
        percent: 0,
        loadMetric: 0,
      });
      return Promise.resolve({ kind: "done", clockMs: 1 });
    },
    stop: (_, { run: runNumber }) => {
      stoppedRuns.push(runNumber);
      return Promise.resolve({ kind: "done", clockMs: 1 });
    },
    throttle: () => Promise.resolve({ kind: "unknown" }),
    renewAndPoll: () =>
      delay(100).then(() => ({
        kind: "done",
        clockMs: 1,
        bornAtMs,
        running: [...runs],
        ended: [],
        hasMoreEnded: false,
      })),
    close() {},
  };
  const registry = createTestRegistry(scheduler, control, () => registration);
  const links = run(() => registry.run());
  try {
    registry.syncItem({ key: "servers/w1", value: "", revision: 1 });
    const instance = scheduler.workers.find("w1", 1)!;
    await waitFor("a response", () => instance.link!.hasResponded);
    scheduler.accept(spec());
    const [task] = openTasks(scheduler);
    bornAtMs = 2;
    scheduler.place(task!, instance, { run: 1, ticket: undefined });
    await flush();
    assert.equal(runs.length, 1);
    await waitFor(
      "the end of the earlier process",
      () => scheduler.workers.find("w1", 1) === undefined,
    );
    assert.notEqual(task!.phase, "waiting");
    // Once the next process has registered, its reports show whether it has carried out the start.
    registration = { ...registration, bornAtMs };
    registry.syncItem({ key: "servers/w1", value: "", revision: 2 });
    assert.equal(scheduler.workers.listByWorker("w1").length, 1);
    await waitFor(
      "the run is known",
      () => task!.placement?.startState === "running",
    );
    assert.deepEqual(stoppedRuns, []);
    runs.splice(0);
    await waitFor("the next run", () => task!.phase === "waiting");
    assert.equal(scheduler.workers.find("w1", 2)!.tasks.size, 0);
  } finally {
    await links.halt();
  }
});

// Guards against a task that is never placed again, or that is placed again too early, after its worker has restarted under the same ID.
test("of the runs of a restarted worker, those that its next process may start are stopped there first", async () => {
  const context = createTestScheduler();
  const { scheduler, state, report } = context;
  const first = context.addWorker("w1");
  scheduler.accept(spec([{ taskCount: 3 }]));
  const [listed, confirmed, unanswered] = openTasks(scheduler);
  scheduler.place(listed!, first, { run: 1, ticket: undefined });
  await context.flush();
  report(first, [], [
    { taskId: TASK, run: 1, checkpoint: "", percent: 10, loadMetric: 0 },
  ]);
  scheduler.place(confirmed!, first, { run: 1, ticket: undefined });
  await context.flush();
  state.onStart = () => ({ kind: "unknown" });
  scheduler.place(unanswered!, first, { run: 1, ticket: undefined });
  await context.flush();
  const successor: WorkerInstance = {
    ...first,
    bornAtMs: 2,
    tasks: new PlacedTasks(),
  };
  scheduler.workers.add(successor);
  scheduler.replaceInstance(first, () => successor, "restarted");
  assert.equal(listed!.phase, "waiting");
  assert.deepEqual([...successor.tasks], [confirmed, unanswered]);
  assert.equal(scheduler.workers.find("w1", 1), undefined);
  context.calls.length = 0;
  report(successor, []);
  assert.deepEqual(context.calls, [
    `stop w1 ${JOB}.0.0.1 1`,
    `stop w1 ${JOB}.0.0.2 1`,
  ]);
  assert.equal(confirmed!.phase, "placed");
  await context.flush();
  report(successor, []);
  assert.equal(confirmed!.phase, "waiting");
  assert.equal(unanswered!.phase, "waiting");
  assert.equal(successor.tasks.size, 0);
});

// Guards against tasks that wait for the end of a long poll before they are placed again.
test("a worker with a start that may be carried out late is polled at short intervals", async () => {
  const context = createTestScheduler();
  const { scheduler, state } = context;
  const worker = context.addWorker("w1");
  const registry = createTestRegistry(
    scheduler,
    {} as WorkerControl,
    () => ({}) as WorkerRegistration,
  );
  state.onStart = () => ({ kind: "unknown" });
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  scheduler.place(task!, worker, { run: 1, ticket: undefined });
  registry.checkInstances();
  assert.equal(worker.link!.needsFrequentPolls, false);
  await context.flush();
  registry.checkInstances();
  assert.equal(worker.link!.needsFrequentPolls, true);
  context.report(worker, []);
  assert.equal(task!.phase, "waiting");
  registry.checkInstances();
  assert.equal(worker.link!.needsFrequentPolls, false);
});

// Guards against new tasks on a worker that is known to run something else already (LIMIT): the run occupies its resources until it has ended.
test("an unwanted run occupies its resources until it has ended", async () => {
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
  context.report(worker, [], [{
    taskId: TASK,
    run: 1,
    checkpoint: "",
    percent: 10,
    loadMetric: 0,
  }]);
  assert.deepEqual(context.calls.slice(1), [`stop w1 ${TASK} 1`]);
  assert.equal(worker.tasks.reserved.cpuMillis, 100);
  context.report(worker, [ended(1, 1, "stopped")]);
  assert.equal(worker.tasks.reserved.cpuMillis, 0);
});

// Guards against gang members that resume from different checkpoints after the worker of one of them has crashed without reporting the end.
test("all members of a gang start from the same checkpoint", async () => {
  const context = createTestScheduler();
  const { scheduler, report } = context;
  const first = context.addWorker("w1");
  const second = context.addWorker("w2");
  scheduler.accept(spec([{ taskCount: 2, gang: true, checkpointing: true }]));
  const tasks = openTasks(scheduler);
  const place = (run: number, workers: WorkerInstance[]) =>
    tasks.forEach((task, index) =>
      scheduler.place(task, workers[index]!, { run, ticket: undefined })
    );
  place(1, [first, second]);
  await context.flush();
  const fields = { run: 1, percent: 10, loadMetric: 0 };
  report(first, [], [{ taskId: TASK, checkpoint: "a", ...fields }]);
  report(second, [{
    ...ended(1, 1, "broken", `${JOB}.0.0.1`),
    checkpoint: "b",
  }]);
  scheduler.removeInstance(first, "restarted");
  context.checkpoints.length = 0;
  place(2, [second, second]);
  await context.flush();
  assert.equal(context.checkpoints.length, 2);
  assert.equal(context.checkpoints[0], context.checkpoints[1]);
});

test.run();
