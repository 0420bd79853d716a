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
} from "./job_state.ts";
import {
  encodePart,
  encodeProgress,
  partKey,
  partOf,
  restoreJob,
  TASKS_PER_RECORD,
} from "./progress_record.ts";
import { type JobSpec, jobSpecSchema } from "./model.ts";

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
            task.failedRuns.add(task.run);
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
    [...new Set(tasks.map((task) => partKey(large.jobId, partOf(task))))].map(
      (key) => {
        const part = tasks.map(partOf).find((other) =>
          partKey(large.jobId, other) === key
        )!;
        return { key, value: encodePart(part) };
      },
    );
  for (const index of [0, 149, 150, 199, 200, 549]) finishTask(tasks[index]!);
  tasks[399]!.run = 2;
  tasks[399]!.failedRuns.add(1);
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

test.run();
