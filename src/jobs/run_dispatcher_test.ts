import { run } from "effection";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobSimulation } from "../../testing/job_simulation.ts";
import { createFakeStore } from "../../testing/fake_store.ts";
import {
  createJobSpec,
  issueKeyForShard,
  storedJobs,
} from "../../testing/job_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import { runDispatcher } from "./run_dispatcher.ts";
import { submitJob } from "./submission.ts";

// Guards against idle shards that wake up several times per second, and against
// changes that aren't written because nothing wakes up.
test("an idle shard waits for changes; each change is written and started", async () => {
  const store = createFakeStore();
  const jobs = new JobSimulation({ store, workerCount: 2 });
  const dispatcher = jobs.createEntryDispatchers("e", [0])[0]!;
  const { writer } = dispatcher;
  const counts = { steps: 0, flushes: 0 };
  const step = dispatcher.step.bind(dispatcher);
  const flush = writer.flush.bind(writer);
  dispatcher.step = () => {
    counts.steps++;
    return step();
  };
  writer.flush = () => {
    counts.flushes++;
    return flush();
  };
  const task = run(() => runDispatcher(dispatcher));
  task.catch(() => {});
  try {
    await waitFor("the shard is taken over", () => counts.steps >= 2);
    const before = { ...counts };
    await waitFor("four more steps", () => counts.steps >= before.steps + 4);
    // Each step flushes once; a timer of 200 ms would add five flushes per
    // second.
    assert.ok(counts.flushes - before.flushes <= 6, JSON.stringify(counts));
    for (const lostAnswers of [0, 2]) {
      const key = issueKeyForShard(0, jobs.nowMs);
      store.faults.loseAnswers = lostAnswers;
      const submitted = writer.change(
        (draft) => submitJob(draft, key, createJobSpec()),
        { deadlineMs: 2_000, jobId: key.key },
      );
      await submitted;
      assert.ok(storedJobs(store, 0).has(key.key));
      await waitFor("the job starts", () => {
        jobs.tick(100);
        return jobs.statistics.starts.has(key.key);
      });
    }
  } finally {
    await task.halt();
  }
});

test.run();
