import assert from "node:assert/strict";
import { suite } from "uvu";
import { createDueOccurrences, createJobState } from "./job_state.ts";
import { jobSpecSchema } from "./model.ts";
import { createStartLimit } from "./start_limit.ts";

const test = suite("start limit");

function createTasks(jobId: string, taskCount: number) {
  const job = createJobState(jobSpecSchema.parse({
    jobId,
    queue: "quotes",
    service: "quoting",
    maximumAttempts: 3,
    specification: "",
    steps: [{ taskCount }],
    acceptedAtMs: 1,
  }));
  createDueOccurrences(job, 2);
  return job.occurrences[0]!.tasks;
}

// Guards against an owner that runs out of memory because it sends thousands of start orders at once, and against a large job that takes all of them.
test("a job gets further starts once earlier ones have an outcome, and leaves room for other jobs", () => {
  const limit = createStartLimit();
  const startAll = (tasks: ReturnType<typeof createTasks>) => {
    limit.refresh();
    let count = 0;
    for (const task of tasks) {
      if (task.placement !== undefined || !limit.allows(task.job, 1)) continue;
      task.placement = { startState: "unrecorded" } as never;
      limit.add(task);
      count++;
    }
    return count;
  };
  const large = createTasks("000000000000000a", 12_000);
  const small = createTasks("000000000000000b", 6);
  const first = startAll(large);
  assert.ok(first > 0 && first < 1_000, `${first} starts`);
  assert.equal(startAll(large), 0);
  assert.equal(startAll(small), 6);
  for (const task of large.slice(0, 10)) task.placement!.startState = "running";
  for (const task of large.slice(10, 15)) task.placement = undefined;
  assert.equal(startAll(large), 15);
  for (let index = 16; index < 60; index++) {
    startAll(createTasks(index.toString(16).padStart(16, "0"), 500));
  }
  assert.equal(startAll(createTasks("00000000000000ff", 6)), 0);
});

// Guards against a gang that never starts because it is larger than the limit.
test("a gang larger than the limit is placed once its job has no starts in progress", () => {
  const limit = createStartLimit();
  const gang = createTasks("000000000000000a", 1_000);
  assert.ok(limit.allows(gang[0]!.job, 1_000));
  gang[0]!.placement = { startState: "sending" } as never;
  limit.add(gang[0]!);
  assert.equal(limit.allows(gang[0]!.job, 1_000), false);
});

test.run();
