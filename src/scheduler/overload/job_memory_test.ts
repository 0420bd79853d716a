import { test } from "uvu";
import * as assert from "uvu/assert";
import { spec } from "../../../testing/scheduler_helpers.ts";
import { createJobState } from "../job_state.ts";
import type { JobSpec } from "../model.ts";
import { createJobMemory, estimateJobBytes, isLargeJob } from "./job_memory.ts";

function createJob(jobId: string, taskCount: number): JobSpec {
  return { ...spec([{ taskCount }]), jobId };
}

function createMemory(memoryMb: number) {
  let nowMs = 0;
  const jobs = new Map<string, ReturnType<typeof createJobState>>();
  const memory = createJobMemory({
    jobs,
    memoryMb,
    clock: { monotonicMs: () => nowMs },
  });
  return {
    memory,
    add(job: JobSpec) {
      jobs.set(job.jobId, createJobState(job));
      nowMs += 1_000;
    },
    remove(job: JobSpec) {
      jobs.delete(job.jobId);
      nowMs += 1_000;
    },
  };
}

test("an owner takes no more jobs than its memory holds, and others once they have ended", () => {
  const { memory, add, remove } = createMemory(100);
  const jobs = [1, 2, 3, 4].map((id) => createJob(String(id), 20_000));
  const bytes = estimateJobBytes(jobs[0]!);
  const admitted = jobs.filter((job) => {
    const hasRoom = memory.hasRoomFor(bytes);
    if (hasRoom) add(job);
    return hasRoom;
  });
  assert.is(admitted.length, 2);
  remove(admitted[0]!);
  assert.ok(memory.hasRoomFor(bytes));
});

// Guards against many entries that ask for room before any of their jobs is stored.
test("jobs that are admitted at the same moment don't exceed the memory together", () => {
  const { memory } = createMemory(100);
  const bytes = estimateJobBytes(createJob("1", 20_000));
  const answers = Array.from({ length: 5 }, () => memory.hasRoomFor(bytes));
  assert.equal(answers, [true, true, false, false, false]);
});

test("ordinary jobs are stored without asking the owner", () => {
  assert.not(isLargeJob(createJob("1", 16)));
  assert.ok(isLargeJob(createJob("1", 20_000)));
});

test.run();
