import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import {
  createTestScheduler,
  JOB,
  spec,
} from "../../testing/scheduler_helpers.ts";
import { SchedulerCluster } from "../../testing/scheduler_cluster.ts";
import { waitFor } from "../../testing/wait.ts";
import { STORE_KEYS } from "./ownership.ts";

const test = suite("removed jobs");
const seed = chooseSeed();

const JOB_COUNT = 60;
const KEEP_ENDED_MS = 2_000;
const STEPS = [{ taskCount: 1, cpuMillis: 100, estimatedMs: 20 }];

// Guards against completed jobs that run again because the store drops its history while the owner deletes their records, so that it reads them all again.
test("completed jobs don't run again when the queue is read during their removal", async () => {
  const cluster = new SchedulerCluster(createRandom(seed));
  const { store, invariants } = cluster;
  const countJobRecords = () =>
    [...store.items.keys()].filter((key) =>
      key.startsWith(STORE_KEYS.jobPrefix)
    ).length;
  cluster.keepEndedMs = KEEP_ENDED_MS;
  try {
    for (let index = 0; index < 3; index++) cluster.addWorker(index);
    for (let index = 0; index < 2; index++) cluster.startEntry();
    const jobs = await Promise.all(
      Array.from({ length: JOB_COUNT }, () => cluster.submit(STEPS)),
    );
    for (const job of jobs) await cluster.waitForStatus(job, "completed");
    assert.equal(countJobRecords(), JOB_COUNT);
    // Workers that have run the tasks would refuse to start them again.
    for (const worker of [...cluster.workers.workers.values()]) {
      cluster.workers.crash(worker);
    }
    for (let index = 3; index < 6; index++) cluster.addWorker(index);
    const endMs = performance.now() + KEEP_ENDED_MS * 2;
    store.faults.lateChangeRate = 1;
    while (performance.now() < endMs) {
      // Only a watch that lags behind the dropped history has to read the queue again.
      store.write("unrelated", "");
      store.compactHistory();
      await delay(20);
    }
    store.faults.lateChangeRate = 0;
    await waitFor("all records are deleted", () => countJobRecords() === 0);
    await delay(1_000);
    assert.equal(invariants.starts, JOB_COUNT, `seed ${seed}`);
    assert.deepEqual(invariants.violations, [], `seed ${seed}`);
  } finally {
    await cluster.close();
  }
});

// Guards against a status that callers no longer get because the time of day jumps on the owner's VM.
test("a jump of the time of day removes no job", async () => {
  const nowMs = { monotonic: 5_000, wall: 1_000_000 };
  const { scheduler, flush } = createTestScheduler({
    clock: {
      monotonicMs: () => nowMs.monotonic,
      wallMs: () => nowMs.wall,
    },
  });
  scheduler.accept(spec());
  scheduler.cancel(JOB);
  await flush();
  const keepMs = 120_000;
  nowMs.wall += 10 * keepMs;
  scheduler.removeEnded(keepMs, () => true);
  assert.equal(scheduler.status(JOB), "cancelled");
  nowMs.monotonic += keepMs;
  nowMs.wall -= 20 * keepMs;
  scheduler.removeEnded(keepMs, () => true);
  assert.equal(scheduler.status(JOB), undefined);
});

test.run();
