import assert from "node:assert/strict";
import { run } from "effection";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { createRandom } from "../../testing/random.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import {
  createDueOccurrences,
  createJobState,
  encodeProgress,
  type JobState,
} from "./job_state.ts";
import type { Journal } from "./journal.ts";
import { loadJobs } from "./load_jobs.ts";
import { type JobSpec, jobSpecSchema } from "./model.ts";
import { STORE_KEYS } from "./ownership.ts";
import { createScheduler } from "./scheduler.ts";

const test = suite("load jobs");

const journal: Journal = {
  put() {},
  afterFlush() {},
  pending: () => 0,
  *run() {},
};

function createWorld() {
  const store = new FakeRecordStore(createRandom(1));
  const scheduler = createScheduler({
    journal,
    fence: 2,
    clock: systemClock,
    log: silentLogger,
    config: () => undefined,
    mayOrder: () => true,
    onChange() {},
  });
  let next = 1;
  return {
    store,
    scheduler,
    /** Stores a job whose state an earlier owner left like this. */
    write(leave?: (job: JobState) => void): string {
      const jobId = (next++).toString(16).padStart(16, "0");
      const spec: JobSpec = jobSpecSchema.parse({
        jobId,
        queue: "quotes",
        service: "quoting",
        maximumAttempts: 2,
        specification: "",
        steps: [{ taskCount: 2 }],
        acceptedAtMs: 1,
      });
      store.write(STORE_KEYS.jobPrefix + jobId, JSON.stringify(spec));
      if (leave === undefined) return jobId;
      const job = createJobState(spec);
      createDueOccurrences(job, Date.now());
      leave(job);
      store.write(STORE_KEYS.progressPrefix + jobId, encodeProgress(job, 1));
      return jobId;
    },
    load: () =>
      run(() =>
        loadJobs({
          store: store.client("entry-1"),
          scheduler,
          clock: systemClock,
          log: silentLogger,
          earlierLeasesEndMs: 0,
        })
      ),
  };
}

/** Places the first task of a job as an earlier owner did. */
function placeFirst(job: JobState): void {
  const task = job.occurrences[0]!.steps[0]![0]!;
  task.phase = "placed";
  task.run = 1;
  task.placement = {
    workerId: "w1",
    bornAtMs: 7,
    vmId: "vm-1",
    run: 1,
    startState: "running",
    stopReason: undefined,
    placedAtMs: 0,
    confirmedAtMs: 0,
    stopConfirmedAtMs: undefined,
    percent: 0,
    reportedAtMs: undefined,
    recentMetric: 0,
  };
}

// Guards against a new owner that spends its first moments on ended jobs, or takes one of them up again.
test("ended jobs are known by their state alone; those with runs left are taken over", async () => {
  const world = createWorld();
  const waiting = world.write();
  const running = world.write(placeFirst);
  const completed = world.write((job) => job.status = "completed");
  const cancelled = world.write((job) => {
    placeFirst(job);
    job.status = "cancelled";
  });
  const cancelledEarly = world.write();
  world.store.write(STORE_KEYS.cancelPrefix + cancelledEarly, "{}");
  const { records, revision } = await world.load();
  world.store.close();
  assert.equal(records, 6);
  assert.ok(revision > 0);
  const { scheduler } = world;
  assert.deepEqual(
    [waiting, running, completed, cancelled, cancelledEarly].map((id) =>
      scheduler.status(id)
    ),
    ["queued", "running", "completed", "cancelled", "cancelled"],
  );
  assert.equal(scheduler.jobs.has(completed), false);
  assert.equal(scheduler.hasJob(completed), true);
  // The next owner still has to stop this run, and its worker's room is taken until then.
  const life = scheduler.workers.find("w1", 7)!;
  assert.deepEqual(
    [...life.tasks].map((task) => task.job.spec.jobId),
    [running, cancelled],
  );
});

// Guards against one unreadable record that keeps an owner from starting.
test("a record that can't be read is set aside", async () => {
  const world = createWorld();
  const good = world.write();
  const bad = world.write();
  world.store.write(STORE_KEYS.jobPrefix + bad, "{");
  const worse = world.write();
  world.store.write(STORE_KEYS.progressPrefix + worse, "[]");
  await world.load();
  world.store.close();
  assert.equal(world.scheduler.status(good), "queued");
  assert.equal(world.scheduler.hasJob(bad), false);
  assert.equal(world.scheduler.hasJob(worse), false);
});

test.run();
