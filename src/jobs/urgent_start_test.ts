import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobSimulation } from "../../testing/job_simulation.ts";
import { createFakeStore } from "../../testing/fake_store.ts";
import {
  createJobSpec,
  issueKeyForShard,
  runSteps,
  submit,
} from "../../testing/job_helpers.ts";

/**
 * Returns the longest wait among consecutive urgent jobs. Each of them is
 * submitted when the task that it preempts has just started or resumed.
 */
async function measureUrgentWait(): Promise<number> {
  const store = createFakeStore();
  const jobs = new JobSimulation({ store, workerCount: 1, reportLagMs: 2_000 });
  const [dispatcher] = jobs.createEntryDispatchers("entry", [0]);
  assert.ok(dispatcher);
  const add = async (overrides: Parameters<typeof createJobSpec>[0]) => {
    const key = issueKeyForShard(0, jobs.nowMs);
    await submit(dispatcher, key, createJobSpec({ cores: 12, ...overrides }));
    return key.key;
  };
  await runSteps(jobs, dispatcher, 8);
  const normal = await add({ command: "run 200000", idempotent: true });
  await runSteps(jobs, dispatcher, 1);
  let longestMs = 0;
  for (let round = 0; round < 4; round++) {
    const sentAtMs = jobs.nowMs;
    const id = await add({ command: "run 1000", priority: "urgent" });
    for (let step = 0; !jobs.statistics.firstStartMs.has(id); step++) {
      assert.ok(step < 60, "the urgent job isn't started");
      await runSteps(jobs, dispatcher, 1);
    }
    const startedAtMs = jobs.statistics.firstStartMs.get(id)!;
    longestMs = Math.max(longestMs, startedAtMs - sentAtMs);
    const stateOf = () => dispatcher.jobs?.get(normal)?.state;
    for (let step = 0; stateOf()?.kind !== "assigned"; step++) {
      assert.ok(step < 60, "the preempted job isn't resumed");
      await runSteps(jobs, dispatcher, 1);
    }
  }
  return longestMs;
}

// Guards against urgent jobs that wait until the lagging reports show the
// checkpoint of a task that had just started or resumed.
test("an urgent job preempts a task that has just started", async () => {
  const longestMs = await measureUrgentWait();
  assert.ok(longestMs <= 2_000, `an urgent job waited ${longestMs} ms`);
});

test.run();
