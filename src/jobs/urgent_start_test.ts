import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeJobs } from "../../testing/fake_jobs.ts";
import { createFakeStore } from "../../testing/fake_store.ts";
import { createSpec, keyOf, runFor, submit } from "../../testing/job_steps.ts";

/** Returns the longest wait of urgent jobs that come one after the other, each while the task that it preempts has just started or continued. */
async function measureUrgentWait(): Promise<number> {
  const store = createFakeStore();
  const jobs = new FakeJobs({ store, workers: 1, reportLagMs: 2_000 });
  const [dispatcher] = jobs.createEntry("entry", [0]);
  assert.ok(dispatcher);
  const add = async (overrides: Parameters<typeof createSpec>[0]) => {
    const key = keyOf(0, jobs.nowMs);
    await submit(dispatcher, key, createSpec({ cores: 12, ...overrides }));
    return key.key;
  };
  await runFor(jobs, dispatcher, 8);
  const normal = await add({ command: "run 200000", idempotent: true });
  await runFor(jobs, dispatcher, 1);
  let longestMs = 0;
  for (let round = 0; round < 4; round++) {
    const sentAtMs = jobs.nowMs;
    const id = await add({ command: "run 1000", priority: "urgent" });
    for (let step = 0; !jobs.journal.firstStartMs.has(id); step++) {
      assert.ok(step < 60, "the urgent job doesn't start");
      await runFor(jobs, dispatcher, 1);
    }
    const startedAtMs = jobs.journal.firstStartMs.get(id)!;
    longestMs = Math.max(longestMs, startedAtMs - sentAtMs);
    const stateOf = () => dispatcher.jobs?.get(normal)?.state;
    for (let step = 0; stateOf()?.kind !== "assigned"; step++) {
      assert.ok(step < 60, "the preempted job doesn't continue");
      await runFor(jobs, dispatcher, 1);
    }
  }
  return longestMs;
}

// Guards against urgent jobs that wait until the reports show that a task, which had just started or continued, was checkpointed.
test("an urgent job preempts a task that has just started", async () => {
  const longestMs = await measureUrgentWait();
  assert.ok(longestMs <= 2_000, `an urgent job waited ${longestMs} ms`);
});

test.run();
