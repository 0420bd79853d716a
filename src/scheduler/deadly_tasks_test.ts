import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { SchedulerCluster } from "../../testing/scheduler_cluster.ts";
import { waitFor } from "../../testing/wait.ts";

const test = suite("deadly tasks");

const STEPS = [{ taskCount: 10, cpuMillis: 1_000, estimatedMs: 400 }];

async function withCluster(
  run: (cluster: SchedulerCluster) => Promise<void>,
): Promise<void> {
  const cluster = new SchedulerCluster(createRandom(chooseSeed()));
  cluster.restartCrashedAfterMs = 400;
  try {
    for (let index = 1; index <= 6; index++) cluster.addWorker(index);
    cluster.startEntry();
    cluster.startEntry();
    await waitFor(
      "an owner exists",
      () => cluster.owner() !== undefined,
    );
    await run(cluster);
    assert.deepEqual(cluster.invariants.violations, []);
  } finally {
    await cluster.close();
  }
}

/** Submits jobs of which one has a deadly task; returns the ID of that job and of the others. */
async function submitJobs(
  cluster: SchedulerCluster,
): Promise<{ deadlyJob: string; others: string[] }> {
  cluster.workers.faults.deadlyTasks.add("0000000000000003.0.0.4");
  const jobs: string[] = [];
  for (let index = 0; index < 5; index++) {
    jobs.push(await cluster.submit(STEPS));
  }
  return {
    deadlyJob: jobs[2]!,
    others: jobs.filter((job) => job !== jobs[2]),
  };
}

// Guards against a BUDGET: a task that ends each worker that starts it is started without limit, and its neighbours are lost or blamed with it.
test("a task that ends its workers is given up, and the tasks lost with it are not", async () => {
  await withCluster(async (cluster) => {
    const { deadlyJob, others } = await submitJobs(cluster);
    await cluster.waitForStatus(deadlyJob, "failed");
    for (const job of others) await cluster.waitForStatus(job, "completed");
    const crashes = cluster.invariants.crashes.get(`${deadlyJob}.0.0.4`) ?? 0;
    assert.equal(crashes >= 2 && crashes <= 3, true, `${crashes} crashes`);
  });
});

// Guards against a count of crashes that is lost when the owner is killed.
test("the crashes under a task count across owners", async () => {
  await withCluster(async (cluster) => {
    const { deadlyJob, others } = await submitJobs(cluster);
    for (let crash = 1; crash <= 2; crash++) {
      await waitFor(
        `crash ${crash}`,
        () =>
          (cluster.invariants.crashes.get(`${deadlyJob}.0.0.4`) ?? 0) >=
            crash,
      );
      const owner = cluster.owner();
      if (owner === undefined) continue;
      await cluster.killEntry(owner);
      cluster.startEntry();
    }
    await cluster.waitForStatus(deadlyJob, "failed");
    for (const job of others) await cluster.waitForStatus(job, "completed");
    const crashes = cluster.invariants.crashes.get(`${deadlyJob}.0.0.4`) ?? 0;
    assert.equal(crashes <= 4, true, `${crashes} crashes`);
  });
});

// Guards against innocent jobs that are given up because several workers crash at once and again.
test("plain crashes of workers fail no job", async () => {
  await withCluster(async (cluster) => {
    const jobs: string[] = [];
    for (let round = 0; round < 4; round++) {
      for (let index = 0; index < 3; index++) {
        jobs.push(await cluster.submit(STEPS));
      }
      await delay(250);
      const alive = [...cluster.workers.workers.values()].filter((worker) =>
        worker.alive
      );
      for (const worker of alive.slice(0, 2)) cluster.workers.crash(worker);
      await delay(350);
    }
    for (const job of jobs) await cluster.waitForStatus(job, "completed");
  });
});

test.run();
