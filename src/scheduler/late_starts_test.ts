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
import { silentLogger } from "../logger.ts";
import { createLateStarts } from "./late_starts.ts";
import type { ActiveRunReport, VmInfo } from "./ports.ts";
import { MAXIMUM_LEASE_MS } from "./worker_link.ts";
import { createWorkerLives, LATE_CALL_LIMIT_MS } from "./worker_lives.ts";
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

/** Places a task whose start gets no answer until its stop is confirmed, with a clock that the test sets. */
async function createLateStart() {
  const nowMs = { monotonic: 50_000 };
  const context = createTestScheduler({
    clock: { monotonicMs: () => nowMs.monotonic, wallMs: () => 0 },
  });
  const { scheduler, state } = context;
  const worker = context.addWorker("w1");
  const reportAt = (sentAtMs: number, running: ActiveRunReport[] = []) =>
    scheduler.onReport(worker, {
      clockMs: 0,
      bornAtMs: 1,
      running,
      ended: [],
      hasMoreEnded: false,
    }, sentAtMs);
  state.onStart = () => ({ kind: "unknown" });
  scheduler.accept(spec());
  const [task] = openTasks(scheduler);
  scheduler.place(task!, worker, { run: 1, ticket: undefined });
  await context.flush();
  reportAt(nowMs.monotonic + 1);
  return { ...context, nowMs, reportAt, task: task! };
}

// Guards against a second run (TWICE): the stop is proven for the process that has confirmed it, and the worker's next process may still execute the order.
test("a task whose start had no answer isn't started again until the order has lapsed and a later report has come", async () => {
  const { scheduler, nowMs, reportAt, task } = await createLateStart();
  assert.equal(task.phase, "waiting");
  assert.equal(scheduler.mayStart(task), false);
  nowMs.monotonic += LATE_CALL_LIMIT_MS;
  reportAt(nowMs.monotonic);
  assert.equal(scheduler.mayStart(task), false);
  reportAt(nowMs.monotonic + 1);
  assert.equal(scheduler.mayStart(task), true);
});

// Guards against a task that waits for good because its worker never responds again, and against one that is started while an unseen run of it holds a lease.
test("the order is settled by the VM list, or once its leases are over", async () => {
  for (const end of ["reassigned", "down", "leases"] as const) {
    const { scheduler, nowMs, task } = await createLateStart();
    const { lateStarts } = scheduler;
    const list = () =>
      lateStarts.settleByVms(
        new Map([[
          "vm-w1",
          {
            state: end === "down" ? "down" : "up",
            workerId: end === "reassigned" ? "w2" : undefined,
          } as VmInfo,
        ]]),
        nowMs.monotonic,
      );
    if (end !== "leases") {
      list();
      assert.equal(scheduler.mayStart(task), false, end);
    }
    nowMs.monotonic += end === "reassigned" ? 2_000 : LATE_CALL_LIMIT_MS + 1;
    if (end === "leases") {
      lateStarts.settleByLeases(() => nowMs.monotonic - 10_000);
      assert.equal(scheduler.mayStart(task), false, end);
      nowMs.monotonic += MAXIMUM_LEASE_MS;
      lateStarts.settleByLeases(() => -Infinity);
    } else list();
    assert.equal(scheduler.mayStart(task), true, end);
  }
});

// Guards against an owner that starts a task again, or acknowledges its end, because it doesn't know what the earlier owner has sent.
test("the next owner knows the start orders without an answer, and their record is deleted once they are settled", () => {
  const nowMs = 50_000;
  const records = new Map<string, string | undefined>();
  const create = () =>
    createLateStarts({
      journal: { put: ({ key, encode }) => void records.set(key, encode()) },
      clock: { monotonicMs: () => nowMs },
      log: silentLogger,
    });
  const earlier = create();
  earlier.begin(TASK, { workerId: "w1", vmId: "vm-1" }).end(false);
  earlier.begin(`${JOB}.0.0.1`, { workerId: "w1", vmId: "vm-1" }).end(true);
  const next = create();
  next.restore([...records].map(([key, value]) => ({
    key,
    value: value!,
    revision: 1,
  })));
  assert.equal(next.isSettled(TASK), false);
  assert.equal(next.isSettled(`${JOB}.0.0.1`), true);
  const life = createWorkerLives(2, () => nowMs, next.endMs).add("w1", 1);
  assert.equal(life.mayAcknowledge(), false);
  next.settleByReport("w1", nowMs + LATE_CALL_LIMIT_MS + 1);
  next.settleByLeases(() => -Infinity);
  assert.equal(next.isSettled(TASK), true);
  assert.deepEqual([...records.values()], [undefined]);
});

// Guards against two runs at once: a process that executed an order late runs the task until it has carried out the stop.
test("a task isn't started while the latest report lists an unwanted run of it", async () => {
  const { scheduler, nowMs, reportAt, task } = await createLateStart();
  nowMs.monotonic += 60_000;
  reportAt(nowMs.monotonic, [RUNNING]);
  assert.equal(scheduler.mayStart(task), false);
  reportAt(nowMs.monotonic);
  assert.equal(scheduler.mayStart(task), true);
});

test.run();
