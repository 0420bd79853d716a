import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { systemClock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { createDueOccurrences } from "./job_state.ts";
import { encodeProgress, restoreJob } from "./progress_record.ts";
import type { Journal, JournalRecord } from "./journal.ts";
import { type JobSpec, jobSpecSchema } from "./model.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import type { ActiveRunReport, EndedRunReport, OrderOutcome } from "./ports.ts";
import type { WorkerInstance } from "./worker_table.ts";
import { createScheduler } from "./scheduler.ts";
import type { WorkerLink } from "./worker_link.ts";

const test = suite("scheduler");

const JOB = "0123456789abcdef";

function spec(fields: Partial<JobSpec> = {}): JobSpec {
  return jobSpecSchema.parse({
    jobId: JOB,
    queue: "quotes",
    service: "quoting",
    maximumAttempts: 2,
    specification: "",
    steps: [{ taskCount: 1, cpuMillis: 100, estimatedMs: 100 }],
    acceptedAtMs: 0,
    ...fields,
  });
}

/** Creates a logger that keeps the lines from level `info` on. */
function createRecordingLogger() {
  const lines: Record<string, unknown>[] = [];
  const record = (msg: string, fields?: Record<string, unknown>) =>
    void lines.push({ msg, ...fields });
  const log: Logger = {
    debug() {},
    info: record,
    warn: record,
    error: record,
  };
  return { log, lines };
}

/** Creates a scheduler with one worker; the test decides when records are stored and how the worker responds. */
function createTestScheduler() {
  const { log, lines } = createRecordingLogger();
  const pendingRecords: JournalRecord[] = [];
  const journal: Journal = {
    put: (record) => void pendingRecords.push(record),
    afterFlush: (callback) => callback(),
    pending: () => pendingRecords.length,
    *run() {},
  };
  const calls: string[] = [];
  const responses = {
    start: { kind: "done", clockMs: 0 } as OrderOutcome,
    /** Outcomes of the first attempts to send a start order, before `start`. */
    firstStarts: [] as OrderOutcome[],
  };
  const scheduler = createScheduler({
    journal,
    clock: systemClock,
    log,
    config: () => undefined,
    mayOrder: () => true,
    isOrdered: () => false,
    onChange() {},
  });
  const link = {
    start: (order: { taskId: string; run: number }) => {
      calls.push(`start ${order.taskId} ${order.run}`);
      return Promise.resolve(responses.firstStarts.shift() ?? responses.start);
    },
    stop: (taskId: string, run: number) => {
      calls.push(`stop ${taskId} ${run}`);
      return Promise.resolve({ kind: "done", clockMs: 0 });
    },
    pollNow() {},
    silentMs: () => 0,
    probe: () => Promise.resolve(),
    lastResponseAtMs: undefined,
  } as unknown as WorkerLink;
  const instance: WorkerInstance = {
    workerId: "w1",
    bornAtMs: 1,
    vmId: "vm-1",
    link,
    registration: undefined,
    missingSinceMs: undefined,
    draining: false,
    tasks: new PlacedTasks(),
    joinedAtMs: 0,
    earlierLeasesEndMs: 0,
  };
  scheduler.workers.add(instance);
  return {
    scheduler,
    instance,
    calls,
    responses,
    lines,
    /** Completes all pending writes, then waits for the resulting orders. */
    async flush() {
      for (const record of pendingRecords.splice(0)) record.onStored?.();
      await new Promise((resolve) => setTimeout(resolve, 5));
    },
    report(
      ended: EndedRunReport[],
      running: ActiveRunReport[] = [],
      sentAtMs = Infinity,
    ) {
      scheduler.onReport(
        instance,
        { clockMs: 0, bornAtMs: 1, running, ended, hasMoreEnded: false },
        sentAtMs,
      );
    },
    openTask() {
      const job = scheduler.jobs.get(JOB)!;
      createDueOccurrences(job, Date.now());
      return job.occurrences[0]!.steps[0]![0]!;
    },
  };
}

function activeRun(run: number): ActiveRunReport {
  return {
    taskId: `${JOB}.0.0.0`,
    run,
    checkpoint: "",
    percent: 0,
    loadMetric: 0,
  };
}

function endedRun(
  number: number,
  run: number,
  ending: EndedRunReport["ending"],
): EndedRunReport {
  return { number, taskId: `${JOB}.0.0.0`, run, ending, checkpoint: "" };
}

// Guards against a count of waiting jobs that leaves out jobs whose start orders are unanswered or not sent yet.
test("a job waits until a worker has confirmed a run of it", async () => {
  const { scheduler, instance, flush, responses, report, openTask } =
    createTestScheduler();
  scheduler.accept(spec());
  const { queue } = spec();
  responses.start = { kind: "unknown" };
  scheduler.place(openTask(), instance, { run: 1, ticket: undefined });
  assert.equal(scheduler.waitingJobs(queue), 1);
  await flush();
  assert.equal(scheduler.waitingJobs(queue), 1);
  report([], [activeRun(1)]);
  assert.equal(scheduler.waitingJobs(queue), 0);
});

// Guards against a started run that a new owner can't know of.
test("the start order is sent only after its record is stored", async () => {
  const context = createTestScheduler();
  context.scheduler.accept(spec());
  const task = context.openTask();
  context.scheduler.place(task, context.instance, {
    run: 1,
    ticket: undefined,
  });
  assert.deepEqual(context.calls, []);
  await context.flush();
  assert.deepEqual(context.calls, [`start ${JOB}.0.0.0 1`]);
});

// Guards against failing a job without cause: a worker reports an end that was stored but not acknowledged again to the next owner.
test("a failed run counts once, even across a change of owner", async () => {
  const first = createTestScheduler();
  first.scheduler.accept(spec());
  const task = first.openTask();
  first.scheduler.place(task, first.instance, { run: 1, ticket: undefined });
  await first.flush();
  first.report([endedRun(1, 1, "failed")]);
  assert.equal(task.failedRuns.length, 1);
  first.report([endedRun(1, 1, "failed")]);
  assert.equal(task.failedRuns.length, 1);

  const next = createTestScheduler();
  next.scheduler.addRestored(
    restoreJob(spec(), encodeProgress(task.job, 0), 0),
  );
  next.report([endedRun(1, 1, "failed")]);
  const restored = next.openTask();
  assert.equal(restored.failedRuns.length, 1);
  assert.equal(restored.job.status, "active");
  next.report([endedRun(2, 2, "failed")]);
  assert.equal(restored.job.status, "failed");
});

// Guards against a second run while the start order of the first may still be carried out.
test("an unanswered start is stopped, and the task stays placed until a report proves that the run is gone", async () => {
  const context = createTestScheduler();
  context.responses.start = { kind: "unknown" };
  context.scheduler.accept(spec());
  const task = context.openTask();
  context.scheduler.place(task, context.instance, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  assert.equal(task.placement?.startState, "unresolved");
  assert.ok(context.calls.includes(`stop ${JOB}.0.0.0 1`));
  // A report requested before the stop was confirmed proves nothing.
  context.report([], [], 0);
  assert.equal(task.phase, "placed");
  context.report([], []);
  assert.equal(task.phase, "waiting");
});

// Guards against a task that is never placed again because each report of a quiet worker is requested just before the next confirmation of its stop.
test("the first confirmation of a stop counts, however often the stop is repeated", async () => {
  const context = createTestScheduler();
  context.responses.start = { kind: "unknown" };
  context.scheduler.accept(spec());
  const task = context.openTask();
  context.scheduler.place(task, context.instance, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  let sentAtMs = 0;
  for (let poll = 0; poll < 4; poll++) {
    // Stops are repeated after 300 ms at the earliest.
    await delay(350);
    context.report([], [], sentAtMs);
    sentAtMs = systemClock.monotonicMs();
  }
  assert.equal(task.phase, "waiting");
});

// Guards against tasks that run twice and workers that are overloaded because a refusal of the second attempt to send a start order is taken as proof that the unanswered first one won't be carried out.
test("a start that is refused after an unanswered attempt stays placed until a report proves that the run is gone", async () => {
  const refusals: OrderOutcome[] = [
    { kind: "refused", reason: "no_room" },
    { kind: "refused", reason: "unhealthy" },
    { kind: "refused", reason: "expired" },
    { kind: "refused", reason: "ticket" },
    { kind: "refused", reason: "invalid" },
    { kind: "not_sent" },
  ];
  for (const refusal of refusals) {
    const context = createTestScheduler();
    const { scheduler, instance, responses } = context;
    responses.firstStarts = [{ kind: "unknown" }];
    responses.start = refusal;
    scheduler.accept(spec());
    const task = context.openTask();
    scheduler.place(task, instance, { run: 1, ticket: undefined });
    await context.flush();
    const name = JSON.stringify(refusal);
    assert.equal(task.placement?.startState, "unresolved", name);
    assert.equal(instance.tasks.size, 1, name);
    assert.equal(context.calls.at(-1), `stop ${JOB}.0.0.0 1`, name);
    context.report([]);
    assert.equal(task.phase, "waiting", name);
    assert.equal(instance.tasks.size, 0, name);
  }
});

// Guards against a task that stays placed, and occupies the worker's resources, although its start was refused.
test("a refused start frees the task at once", async () => {
  const context = createTestScheduler();
  context.responses.start = { kind: "refused", reason: "no_room" };
  context.scheduler.accept(spec());
  const task = context.openTask();
  context.scheduler.place(task, context.instance, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  assert.equal(task.phase, "waiting");
  assert.equal(context.instance.tasks.size, 0);
});

// Guards against logs that can't tell why a task was placed again, which hides the cause of a second run.
test("the log says why a run was given up and whether an attempt was unanswered", async () => {
  const context = createTestScheduler();
  const { scheduler, instance, responses, lines, report } = context;
  // The second task keeps the job active, so that its end adds no line.
  scheduler.accept(spec({ steps: [{ ...spec().steps[0]!, taskCount: 2 }] }));
  const task = context.openTask();
  async function listLines(
    run: number,
    act: () => void,
  ): Promise<Record<string, unknown>[]> {
    act();
    await context.flush();
    const fields = { task: `${JOB}.0.0.0`, run, worker: "w1" };
    return lines.splice(0).map((line) => {
      assert.deepEqual({ ...line, ...fields }, line);
      const { task: _task, run: _run, worker: _worker, ...rest } = line;
      return rest;
    });
  }
  const place = (run: number) =>
    scheduler.place(task, instance, { run, ticket: undefined });

  responses.start = { kind: "refused", reason: "no_room" };
  assert.deepEqual(await listLines(1, () => place(1)), [
    { msg: "start order refused", reason: "no_room" },
  ]);
  responses.firstStarts = [{ kind: "unknown" }];
  assert.deepEqual(await listLines(2, () => place(2)), [
    { msg: "start order not answered", unanswered: 1, latest: responses.start },
  ]);
  assert.deepEqual(await listLines(2, () => report([])), [
    { msg: "run given up", bornAtMs: 1, reason: "stopped" },
  ]);
  const [ended, wentOn] = await listLines(
    2,
    () => report([endedRun(1, 2, "done")]),
  );
  const { agoMs, ...outlived } = wentOn!;
  assert.equal(typeof agoMs, "number");
  assert.deepEqual([ended, outlived], [
    { msg: "run ended", ending: "done", current: false, failures: 0 },
    {
      msg: "a run that was taken as over went on",
      bornAtMs: 1,
      as: "done",
      reason: "stopped",
    },
  ]);
  const lost = createTestScheduler();
  lost.scheduler.accept(spec());
  lost.scheduler.place(lost.openTask(), lost.instance, {
    run: 1,
    ticket: undefined,
  });
  lost.scheduler.removeInstance(lost.instance, "vm_down");
  assert.deepEqual(lost.lines, [{
    msg: "runs are over with their worker",
    worker: "w1",
    vm: "vm-1",
    reason: "its VM is down",
    process: "crashed",
    runs: [`${JOB}.0.0.0 run 1, unrecorded`],
  }]);
});

// Guards against workers that run out of capacity, or get more than they can hold, because a run that has become needless keeps its reservation for ever or gives it up while it still runs.
test("a run that another run of its task has made needless keeps its resources until it has ended", async () => {
  for (const ending of ["stopped", "done", "failed"] as const) {
    const context = createTestScheduler();
    const { scheduler, instance, report } = context;
    scheduler.accept(spec());
    const task = context.openTask();
    scheduler.place(task, instance, { run: 2, ticket: undefined });
    await context.flush();
    report([endedRun(1, 1, "done")], [activeRun(2)]);
    assert.equal(task.phase, "done");
    assert.equal(context.calls.at(-1), `stop ${JOB}.0.0.0 2`);
    assert.equal(instance.tasks.size, 1);
    await context.flush();
    assert.equal(scheduler.status(JOB), "completed");
    // The next owner learns of the run, too.
    const next = createTestScheduler();
    next.scheduler.addRestored(
      restoreJob(spec(), encodeProgress(task.job, 0), 0),
    );
    assert.equal(next.openTask().placement?.run, 2);
    report([endedRun(2, 2, ending)]);
    assert.equal(instance.tasks.size, 0);
    assert.equal(scheduler.jobs.size, 0);
    assert.equal(scheduler.status(JOB), "completed");
  }
});

// Guards against a job that fails before its attempts are used up, because members of its gang have failed in the same run.
test("a run of a gang in which several members fail counts once", async () => {
  const context = createTestScheduler();
  const { scheduler, instance, report } = context;
  scheduler.accept(
    spec({ steps: [{ ...spec().steps[0]!, taskCount: 2, gang: true }] }),
  );
  const gang = context.openTask().job.occurrences[0]!.steps[0]!;
  let number = 0;
  for (const run of [1, 2]) {
    for (const task of gang) {
      scheduler.place(task, instance, { run, ticket: undefined });
    }
    await context.flush();
    assert.equal(scheduler.status(JOB), "running");
    report(
      gang.map(({ taskId }) => ({
        ...endedRun(++number, run, "failed"),
        taskId,
      })),
    );
    await context.flush();
  }
  assert.equal(scheduler.status(JOB), "failed");
});

// Guards against continuing work for a cancelled job.
test("a cancellation stops running tasks and sends no pending start order", async () => {
  const context = createTestScheduler();
  context.scheduler.accept(spec({
    steps: spec().steps.map((step) => ({ ...step, taskCount: 2 })),
  }));
  const tasks = context.openTask().job.occurrences[0]!.steps[0]!;
  context.scheduler.place(tasks[0]!, context.instance, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  context.scheduler.place(tasks[1]!, context.instance, {
    run: 1,
    ticket: undefined,
  });
  context.scheduler.cancel(JOB);
  await context.flush();
  assert.deepEqual(context.calls, [
    `start ${JOB}.0.0.0 1`,
    `stop ${JOB}.0.0.0 1`,
  ]);
  assert.equal(context.scheduler.status(JOB), "cancelled");
});

// Guards against losing a cancellation that arrives before its job.
test("a cancellation that arrives before its job cancels it", () => {
  const context = createTestScheduler();
  context.scheduler.cancel(JOB);
  context.scheduler.accept(spec());
  assert.equal(context.scheduler.status(JOB), "cancelled");
});

// Guards against estimates that a change of owner makes far too short, so that jobs with time left are taken for late.
test("the rest of an inherited run isn't recorded as the duration of a task", async () => {
  const first = createTestScheduler();
  first.scheduler.accept(spec());
  const task = first.openTask();
  first.scheduler.place(task, first.instance, { run: 1, ticket: undefined });
  await first.flush();
  const next = createTestScheduler();
  const { durationEstimates } = next.scheduler;
  const { queue } = spec();
  const before = durationEstimates.estimateMs(queue, 100);
  const restored = restoreJob(spec(), encodeProgress(task.job, 0), 0);
  next.scheduler.addRestored(restored);
  next.instance.tasks.add(next.openTask());
  next.report([], [activeRun(1)]);
  next.report([endedRun(1, 1, "done")]);
  assert.equal(next.openTask().phase, "done");
  assert.equal(durationEstimates.estimateMs(queue, 100), before);
  // The duration of a run that this owner started is recorded.
  first.report([endedRun(1, 1, "done")]);
  assert.notEqual(
    first.scheduler.durationEstimates.estimateMs(queue, 100),
    before,
  );
});

// Guards against reporting a final status that a power failure could revert.
test("a job is reported as completed only once that is stored", async () => {
  const context = createTestScheduler();
  context.scheduler.accept(spec());
  const task = context.openTask();
  context.scheduler.place(task, context.instance, {
    run: 1,
    ticket: undefined,
  });
  await context.flush();
  context.report([endedRun(1, 1, "done")]);
  assert.equal(context.scheduler.status(JOB), "running");
  await context.flush();
  assert.equal(context.scheduler.status(JOB), "completed");
});

// Guards against orphaned runs of an earlier owner or an ended job.
test("an unwanted run is stopped", () => {
  const context = createTestScheduler();
  context.report([], [{
    taskId: "ffffffffffffffff.0.0.0",
    run: 3,
    checkpoint: "",
    percent: 1,
    loadMetric: 0,
  }]);
  assert.deepEqual(context.calls, ["stop ffffffffffffffff.0.0.0 3"]);
});

// Guards against an ended job that runs again or changes its status, and against planning rounds that iterate over ended jobs.
test("an ended job leaves the active jobs when its last run is over and keeps its status", async () => {
  const context = createTestScheduler();
  const { scheduler } = context;
  scheduler.accept(spec());
  const task = context.openTask();
  scheduler.place(task, context.instance, { run: 1, ticket: undefined });
  await context.flush();
  scheduler.cancel(JOB);
  await context.flush();
  // The stopped run still occupies its resources.
  assert.equal(scheduler.jobs.size, 1);
  context.report([endedRun(1, 1, "stopped")]);
  assert.equal(scheduler.jobs.size, 0);
  scheduler.accept(spec());
  scheduler.cancel(JOB);
  assert.equal(scheduler.jobs.size, 0);
  assert.equal(scheduler.hasJob(JOB), true);
  assert.equal(scheduler.status(JOB), "cancelled");
  scheduler.removeEnded(0, () => true);
  assert.equal(scheduler.status(JOB), undefined);
});

test.run();
