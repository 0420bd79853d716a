import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  JOB,
  spec,
} from "../../testing/scheduler_helpers.ts";
import { silentLogger } from "../logger.ts";
import { STORE_KEYS } from "./ownership.ts";
import type { StoredItem } from "./ports.ts";
import { createQueueReader } from "./queue_reader.ts";

const test = suite("queue reader");

/** Store revision at which the owner of each test has loaded the queue. */
const LOADED_REVISION = 10;

function jobItem(revision: number): StoredItem {
  const value = JSON.stringify(spec());
  return { key: STORE_KEYS.jobPrefix + JOB, value, revision };
}

function createFixture() {
  const { scheduler, flush } = createTestScheduler();
  const accepted: string[] = [];
  const queue = createQueueReader({
    scheduler,
    loadedRevision: LOADED_REVISION,
    log: silentLogger,
    onAccepted: ({ jobId }) => accepted.push(jobId),
  });
  return {
    scheduler,
    queue,
    accepted,
    flush,
    /** Cancels the job, which ends it, and removes it as far as the reader allows. */
    async endAndRemove() {
      scheduler.cancel(JOB);
      await flush();
      scheduler.removeEnded(0, queue.hasRead);
    },
  };
}

// Guards against a removed job that runs again when its record is read before the deletion is stored, or was read before and arrives later.
test("the record of a removed job doesn't add it again", async () => {
  const { scheduler, queue, accepted, endAndRemove } = createFixture();
  queue.onPut(jobItem(11));
  queue.onRevision(11);
  await endAndRemove();
  assert.equal(scheduler.hasJob(JOB), false);
  queue.onSnapshot([jobItem(11)], 12);
  queue.onSnapshot([jobItem(11)], 12);
  assert.equal(scheduler.hasJob(JOB), false);
  assert.deepEqual(accepted, [JOB]);
});

// Guards against a removed job that runs again because the entry that stored it was suspended before it told the owner.
test("a late notification doesn't add a removed job again", async () => {
  const { scheduler, queue, endAndRemove } = createFixture();
  queue.onPut(jobItem(11));
  queue.onRevision(11);
  await endAndRemove();
  queue.accept(spec(), 11);
  assert.equal(scheduler.hasJob(JOB), false);
  queue.accept(spec(), LOADED_REVISION);
  assert.equal(scheduler.hasJob(JOB), false);
});

// Guards against a removed job that runs again because the watch lags behind the notifications of entries.
test("a job stays until its record has been read", async () => {
  const { scheduler, queue, endAndRemove } = createFixture();
  queue.accept(spec(), 11);
  await endAndRemove();
  assert.equal(scheduler.status(JOB), "cancelled");
  queue.onPut(jobItem(11));
  queue.onRevision(11);
  assert.equal(scheduler.status(JOB), "cancelled");
  scheduler.removeEnded(0, queue.hasRead);
  assert.equal(scheduler.hasJob(JOB), false);
});

// Guards against a job that is lost because an earlier job had its ID.
test("a job that is stored after the removal of one with its ID is added", async () => {
  const { scheduler, queue, endAndRemove } = createFixture();
  queue.onPut(jobItem(11));
  queue.onRevision(11);
  await endAndRemove();
  queue.onSnapshot([jobItem(13)], 14);
  assert.equal(scheduler.status(JOB), "queued");
});

// Guards against a new job that is cancelled by the cancellation of a removed one.
test("the cancellation of a removed job isn't kept for later jobs", async () => {
  const { scheduler, queue, endAndRemove } = createFixture();
  const cancellation = {
    key: STORE_KEYS.cancelPrefix + JOB,
    value: "{}",
    revision: 12,
  };
  queue.onPut(jobItem(11));
  queue.onPut(cancellation);
  queue.onRevision(12);
  await endAndRemove();
  queue.onSnapshot([cancellation], 13);
  queue.accept(spec(), 14);
  assert.equal(scheduler.status(JOB), "queued");
});

// Guards against a record that is skipped because another one was stored in the same change.
test("all records of one revision are read", () => {
  const { scheduler, queue } = createFixture();
  queue.onPut({
    key: STORE_KEYS.cancelPrefix + JOB,
    value: "{}",
    revision: 11,
  });
  queue.onPut(jobItem(11));
  queue.onRevision(11);
  assert.equal(scheduler.status(JOB), "cancelled");
});

// Guards against jobs that are lost because a list is read in pages: a later page shows later records than the list's revision.
test("a record that is later than its snapshot doesn't hide earlier ones", () => {
  const { scheduler, queue } = createFixture();
  const otherId = "f".repeat(16);
  const other = JSON.stringify({ ...spec(), jobId: otherId });
  queue.onSnapshot([
    { key: STORE_KEYS.jobPrefix + otherId, value: other, revision: 15 },
  ], 12);
  queue.onPut(jobItem(13));
  assert.equal(scheduler.hasJob(otherId), true);
  assert.equal(scheduler.hasJob(JOB), true);
});

test.run();
