import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { SchedulerCluster } from "../../testing/scheduler_cluster.ts";
import { waitFor } from "../../testing/wait.ts";

const test = suite("expired starts");

// Guards against tasks that wait 7 s for the end of the leases, or run twice, while half of the starts and all stops are executed late, some of them just within their validity.
test("starts that are executed late neither run twice nor hold up their tasks", async () => {
  const seed = chooseSeed();
  const cluster = new SchedulerCluster(createRandom(seed));
  const { faults } = cluster.workers;
  cluster.startValidityMs = 1_500;
  try {
    for (let index = 0; index < 6; index++) cluster.addWorker(index);
    cluster.startEntry();
    await waitFor("an owner", () => cluster.owner() !== undefined);
    // Starts have a short validity once a long poll of the idle worker was answered.
    await delay(2_500);
    const late = { lateOrderRate: 0.5, lateStopRate: 1, latePollRate: 0 };
    Object.assign(faults, { ...late, lateMinimumMs: 300, lateMs: 6_500 });
    const startedAtMs = performance.now();
    const step = { taskCount: 2, cpuMillis: 500, estimatedMs: 60 };
    const jobs = await Promise.all(
      Array.from(
        { length: 24 },
        (_, index) => cluster.submit([{ ...step, gang: index % 4 === 0 }]),
      ),
    );
    await delay(1_000);
    faults.lateOrderRate = 0;
    for (const job of jobs) await cluster.waitForStatus(job, "completed");
    const tookMs = performance.now() - startedAtMs;
    assert.ok(tookMs < 5_000, `took ${Math.round(tookMs)} ms, seed ${seed}`);
    const { scheduler } = cluster.owner()!.election.localOwner()!;
    assert.ok(scheduler.counters.expiredStarts > 0);
    await delay(faults.lateMinimumMs + faults.lateMs);
    assert.deepEqual(cluster.invariants.violations, [], `seed ${seed}`);
  } finally {
    await cluster.close();
  }
});

test.run();
