import assert from "node:assert/strict";
import process from "node:process";
import fc from "fast-check";
import { suite } from "uvu";
import {
  createDueOccurrences,
  createJobState,
  finishTask,
  type JobState,
  listRunnableSteps,
  releaseTask,
} from "./job_state.ts";
import {
  encodePart,
  encodeProgress,
  partKey,
  partOf,
  restoreJob,
  TASKS_PER_RECORD,
} from "./progress_record.ts";
import { type JobSpec, jobSpecSchema, listJobIssues } from "./model.ts";

const test = suite("job state");
const seed = Number(process.env.SEED ?? 1);

function spec(fields: Partial<JobSpec> = {}): JobSpec {
  return jobSpecSchema.parse({
    jobId: "0123456789abcdef",
    queue: "quotes",
    service: "quoting",
    maximumAttempts: 3,
    specification: "",
    steps: [
      { taskCount: 3, cpuMillis: 100 },
      { taskCount: 2, cpuMillis: 100, after: [0] },
      { taskCount: 1, cpuMillis: 100 },
    ],
    acceptedAtMs: 1_000,
    ...fields,
  });
}

function describe(job: JobState) {
  return {
    status: job.status,
    occurrences: job.occurrences.map(({ remaining, steps }) => ({
      remaining,
      tasks: steps.flat().map((task) => [
        task.taskId,
        task.phase,
        task.phase === "done" ? 0 : task.run,
        task.phase === "done" ? [] : [...task.failedRuns],
        task.placement?.workerId,
        task.placement?.bornAtMs,
      ]),
    })),
  };
}

// Guards against losing state in a takeover: a new owner must restore everything that its predecessor stored.
test("a new owner restores exactly what was stored, for any history", () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          index: fc.nat(5),
          event: fc.constantFrom("place", "done", "fail"),
        }),
        { maxLength: 40 },
      ),
      (events) => {
        const job = createJobState(spec());
        createDueOccurrences(job, 2_000);
        const tasks = job.occurrences[0]!.steps.flat();
        for (const { index, event } of events) {
          const task = tasks[index]!;
          if (task.phase === "done") continue;
          if (event === "place" && task.phase === "waiting") {
            task.phase = "placed";
            task.run++;
            task.placement = {
              workerId: `w${index}`,
              bornAtMs: 7,
              vmId: "vm",
              run: task.run,
              inherited: false,
              unansweredAttempts: 0,
              startState: "running",
              stopReason: undefined,
              placedAtMs: 0,
              confirmedAtMs: undefined,
              stopConfirmedAtMs: undefined,
              percent: 0,
              reportedAtMs: undefined,
              loadMetric: 0,
            };
          } else if (event === "done" && task.phase === "placed") {
            finishTask(task);
          } else if (event === "fail" && task.phase === "placed") {
            task.failedRuns = [...task.failedRuns, task.run];
            task.phase = "waiting";
            task.placement = undefined;
          }
        }
        if (job.status !== "active") return;
        const restored = restoreJob(spec(), encodeProgress(job, 0), 0);
        assert.deepEqual(describe(restored), describe(job));
      },
    ),
    { seed, numRuns: 300 },
  );
});

// Guards against losing tasks of a job whose progress takes several records, or losing its end because the owner was killed before it stored the status.
test("a partitioned job is restored from its parts, and completed if they show so", () => {
  const large = spec({
    steps: jobSpecSchema.shape.steps.parse([
      { taskCount: 150 },
      { taskCount: 2 * TASKS_PER_RECORD },
    ]),
  });
  const job = createJobState(large);
  createDueOccurrences(job, 2_000);
  const { tasks } = job.occurrences[0]!;
  const status = encodeProgress(job, 0);
  const encodeParts = () =>
    [
      ...new Map(tasks.map((task) => {
        const part = partOf(task)!;
        return [partKey(large.jobId, part), part];
      })),
    ].map(([key, part]) => ({ key, value: encodePart(part) }));
  for (const index of [0, 149, 150, 199, 200, 549]) finishTask(tasks[index]!);
  tasks[399]!.run = 2;
  tasks[399]!.failedRuns = [1];
  assert.equal(encodeParts().length, 3);
  const restored = restoreJob(large, status, 0, encodeParts());
  assert.deepEqual(describe(restored), describe(job));
  for (const task of tasks) finishTask(task);
  const completed = restoreJob(large, status, 0, encodeParts());
  assert.equal(completed.status, "completed");
  assert.equal(completed.recordedStatus, "active");
});

// Guards against starting a step before the steps it depends on.
test("a step is runnable once every step it depends on is done", () => {
  const job = createJobState(spec());
  createDueOccurrences(job, 2_000);
  const occurrence = job.occurrences[0]!;
  const open = () =>
    listRunnableSteps(job, occurrence).map((tasks) => tasks[0]!.stepIndex);
  assert.deepEqual(open(), [0, 2]);
  for (const task of occurrence.steps[0]!) finishTask(task);
  assert.deepEqual(open(), [1, 2]);
});

// Guards against reporting a job as completed while a task is unfinished, for instance because a repeated end is counted twice.
test("a job completes exactly when its last task is done", () => {
  const job = createJobState(spec());
  createDueOccurrences(job, 2_000);
  const tasks = job.occurrences[0]!.steps.flat();
  for (const task of tasks.slice(1)) finishTask(task);
  finishTask(tasks[1]!);
  assert.equal(job.status, "active");
  finishTask(tasks[0]!);
  assert.equal(job.status, "completed");
});

// Guards against starting occurrences early, and against skipping those that became due while there was no owner.
test("occurrences are created when due, several at once after a pause", () => {
  const job = createJobState(
    spec({ repeatCount: 4, firstRunMs: 5_000, intervalMs: 1_000 }),
  );
  assert.equal(createDueOccurrences(job, 4_999), false);
  createDueOccurrences(job, 5_000);
  assert.equal(job.occurrences.length, 1);
  createDueOccurrences(job, 7_500);
  assert.equal(job.occurrences.length, 3);
  createDueOccurrences(job, 60_000);
  assert.equal(job.occurrences.length, 4);
});

// Guards against an owner that runs out of memory because it holds the tasks of thousands of overdue occurrences, or of finished ones.
test("a schedule has state only for occurrences that run or are placed soon", () => {
  const schedule = spec({
    repeatCount: 10_080,
    firstRunMs: 60_000,
    intervalMs: 60_000,
    steps: jobSpecSchema.shape.steps.parse([{ taskCount: 24 }]),
  });
  let job = createJobState(schedule);
  let finished = 0;
  let mostTasks = 0;
  const wallMs = 60_000 * 20_000;
  while (job.status === "active") {
    createDueOccurrences(job, wallMs);
    mostTasks = Math.max(
      mostTasks,
      job.occurrences.reduce((sum, { tasks }) => sum + tasks.length, 0),
    );
    // Later ones may finish before earlier ones.
    const occurrence = job.occurrences[
      Math.min(job.occurrences.length - 1, finished % 5)
    ]!;
    for (const task of occurrence.tasks) finishTask(task);
    finished++;
    if (finished % 1_000 === 0) {
      const parts = job.occurrences.map((occurrence) => ({
        key: partKey(schedule.jobId, { occurrence, number: 0 }),
        value: encodePart({ occurrence, number: 0 }),
      }));
      const restored = restoreJob(schedule, encodeProgress(job, 0), 0, parts);
      assert.deepEqual(describe(restored), describe(job));
      assert.equal(restored.openedOccurrences, job.openedOccurrences);
      job = restored;
    }
  }
  assert.equal(job.status, "completed");
  assert.equal(finished, 10_080);
  assert.ok(mostTasks <= 600, `${mostTasks} tasks in memory`);
});

// Guards against dropping an occurrence while one of its runs still has to be stopped, and against a finished one that starts again with the next owner.
test("a finished occurrence is dropped once it has no runs, and stays finished", () => {
  const schedule = spec({ repeatCount: 3, firstRunMs: 1, intervalMs: 1 });
  const job = createJobState(schedule);
  createDueOccurrences(job, 2);
  const [first] = job.occurrences;
  const [twin] = first!.tasks;
  twin!.placement = { workerId: "w", bornAtMs: 1, vmId: "", run: 2 } as never;
  for (const task of first!.tasks) finishTask(task);
  assert.equal(job.occurrences.length, 2);
  releaseTask(twin!);
  assert.deepEqual(job.occurrences.map(({ number }) => number), [1]);
  const restored = restoreJob(schedule, encodeProgress(job, 0), 0);
  assert.deepEqual(restored.occurrences.map(({ number }) => number), [1]);
  createDueOccurrences(restored, 10);
  for (const { tasks } of [...restored.occurrences]) {
    for (const task of tasks) finishTask(task);
  }
  assert.equal(restored.status, "completed");
});

// Guards against occurrences of a schedule that overlap as they are meant to, but wait for each other.
test("further occurrences are opened as soon as the tasks of earlier ones are placed", () => {
  const job = createJobState(
    spec({
      repeatCount: 100,
      firstRunMs: 1,
      intervalMs: 1,
      steps: jobSpecSchema.shape.steps.parse([{ taskCount: 200 }]),
    }),
  );
  createDueOccurrences(job, 1_000);
  const opened = job.occurrences.length;
  assert.ok(opened >= 2 && opened < 5, `${opened} occurrences`);
  for (const { tasks } of job.occurrences) {
    for (const task of tasks) task.phase = "placed";
  }
  createDueOccurrences(job, 1_000);
  assert.equal(job.occurrences.length, 2 * opened);
});

// Guards against a schedule of long-running tasks, each of whose occurrences would stay in memory for good.
test("a schedule may not have more long-running tasks than a job may have tasks", () => {
  const steps = jobSpecSchema.shape.steps.parse([
    { taskCount: 5, longRunning: true },
  ]);
  assert.deepEqual(listJobIssues(spec({ steps, repeatCount: 4_000 })), []);
  assert.equal(listJobIssues(spec({ steps, repeatCount: 4_001 })).length, 1);
});

test.run();
