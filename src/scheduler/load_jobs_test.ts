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
  finishTask,
  type JobState,
} from "./job_state.ts";
import { encodeProgress, restoreJob } from "./progress_record.ts";
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

function createFixture(usedJournal = journal) {
  const store = new FakeRecordStore(createRandom(1));
  const scheduler = createScheduler({
    journal: usedJournal,
    clock: systemClock,
    log: silentLogger,
    config: () => undefined,
    mayOrder: () => true,
    isOrdered: () => false,
    onChange() {},
  });
  let nextJob = 1;
  return {
    store,
    scheduler,
    /** Stores a job, with a progress record if `update` sets the state that an earlier owner has stored. */
    write(update?: (job: JobState) => void): string {
      const jobId = (nextJob++).toString(16).padStart(16, "0");
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
      if (update === undefined) return jobId;
      const job = createJobState(spec);
      createDueOccurrences(job, Date.now());
      update(job);
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

/** Marks the first task of a job as placed by an earlier owner. */
function placeFirstTask(job: JobState): void {
  const task = job.occurrences[0]!.steps[0]![0]!;
  task.phase = "placed";
  task.run = 1;
  task.placement = {
    workerId: "w1",
    bornAtMs: 7,
    vmId: "vm-1",
    run: 1,
    inherited: false,
    unansweredAttempts: 0,
    startState: "running",
    stopReason: undefined,
    placedAtMs: 0,
    confirmedAtMs: 0,
    stopConfirmedAtMs: undefined,
    percent: 0,
    reportedAtMs: undefined,
    loadMetric: 0,
  };
}

// Guards against a new owner that spends time on ended jobs when it starts, or runs one of them again.
test("of ended jobs only the status is loaded, unless they still have runs", async () => {
  const fixture = createFixture();
  const waiting = fixture.write();
  const running = fixture.write(placeFirstTask);
  const completed = fixture.write((job) => job.status = "completed");
  const cancelled = fixture.write((job) => {
    placeFirstTask(job);
    job.status = "cancelled";
  });
  const cancelledEarly = fixture.write();
  fixture.store.write(STORE_KEYS.cancelPrefix + cancelledEarly, "{}");
  const { records, revision } = await fixture.load();
  fixture.store.close();
  assert.equal(records, 6);
  assert.ok(revision > 0);
  const { scheduler } = fixture;
  assert.deepEqual(
    [waiting, running, completed, cancelled, cancelledEarly].map((id) =>
      scheduler.status(id)
    ),
    ["queued", "running", "completed", "cancelled", "cancelled"],
  );
  assert.equal(scheduler.jobs.has(completed), false);
  assert.equal(scheduler.hasJob(completed), true);
  // The new owner still has to stop the cancelled job's run, which uses the worker's capacity until then.
  const instance = scheduler.workers.find("w1", 7)!;
  assert.deepEqual(
    [...instance.tasks].map((task) => task.job.spec.jobId),
    [running, cancelled],
  );
});

// Guards against a new owner that gives away the resources of a run which its predecessor was stopping because another run had completed the task.
test("the run of a task that is done is loaded to be stopped", async () => {
  const fixture = createFixture();
  const job = fixture.write((state) => {
    placeFirstTask(state);
    finishTask(state.occurrences[0]!.steps[0]![0]!);
  });
  await fixture.load();
  fixture.store.close();
  assert.equal(fixture.scheduler.status(job), "running");
  const [task, ...others] = fixture.scheduler.workers.find("w1", 7)!.tasks;
  assert.deepEqual(others, []);
  assert.equal(task?.phase, "done");
  assert.equal(task?.placement?.stopReason, "the task is done");
});

// Guards against tasks that run again after an update: an earlier version stored the tasks of a large job with its status.
test("the tasks of a large job in one record are moved to parts before the record loses them", async () => {
  const store = new FakeRecordStore(createRandom(1));
  const spec = jobSpecSchema.parse({
    jobId: "00000000000000aa",
    queue: "quotes",
    service: "quoting",
    maximumAttempts: 2,
    specification: "",
    steps: [{ taskCount: 500 }],
    acceptedAtMs: 1,
  });
  const before = createJobState(spec);
  before.hasInlineTasks = true;
  createDueOccurrences(before, Date.now());
  for (const task of before.occurrences[0]!.tasks.slice(0, 450)) {
    finishTask(task);
  }
  const jobKey = STORE_KEYS.progressPrefix + spec.jobId;
  store.write(STORE_KEYS.jobPrefix + spec.jobId, JSON.stringify(spec));
  store.write(jobKey, encodeProgress(before, 1));
  const flushes: (() => void)[] = [];
  const { scheduler } = createFixture({
    ...journal,
    put({ key, encode, onStored }) {
      store.write(key, encode() ?? "");
      onStored?.();
      checkProgress();
    },
    afterFlush: (callback) => flushes.push(callback),
  });
  /** Restores the job from what is stored, as the next owner would at any moment. */
  function checkProgress(): void {
    const parts = [...store.items.values()].filter(({ key }) =>
      key.startsWith(`${jobKey}/`)
    );
    const progress = store.items.get(jobKey)!.value;
    const { remaining } = restoreJob(spec, progress, 0, parts).occurrences[0]!;
    assert.deepEqual(remaining, [50]);
  }
  await run(() =>
    loadJobs({
      store: store.client("entry-1"),
      scheduler,
      clock: systemClock,
      log: silentLogger,
      earlierLeasesEndMs: 0,
    })
  );
  assert.equal(flushes.length, 1);
  for (const callback of flushes) callback();
  checkProgress();
  assert.deepEqual(JSON.parse(store.items.get(jobKey)!.value).tasks, []);
  store.close();
});

// Guards against one invalid record that prevents an owner from starting.
test("an invalid record is ignored", async () => {
  const fixture = createFixture();
  const valid = fixture.write();
  const invalidSpec = fixture.write();
  fixture.store.write(STORE_KEYS.jobPrefix + invalidSpec, "{");
  const invalidProgress = fixture.write();
  fixture.store.write(STORE_KEYS.progressPrefix + invalidProgress, "[]");
  await fixture.load();
  fixture.store.close();
  assert.equal(fixture.scheduler.status(valid), "queued");
  assert.equal(fixture.scheduler.hasJob(invalidSpec), false);
  assert.equal(fixture.scheduler.hasJob(invalidProgress), false);
});

test.run();
