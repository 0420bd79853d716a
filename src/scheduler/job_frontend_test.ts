import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { createRandom } from "../../testing/random.ts";
import { QUEUE } from "../../testing/scheduler_cluster.ts";
import { waitFor } from "../../testing/wait.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { createJobFrontend } from "./job_frontend.ts";
import { createDueOccurrences } from "./job_state.ts";
import { encodeProgress, restoreJob } from "./progress_record.ts";
import { jobSpecSchema } from "./model.ts";
import { EntryCallError, type EntryClient } from "./entry_client.ts";
import { STORE_KEYS } from "./ownership.ts";
import { createWithdrawals } from "./withdrawals.ts";
import { createStoreHealth } from "./store_health.ts";

const test = suite("job frontend");

const JOB = "0123456789abcdef";
const submission = {
  jobId: JOB,
  specification: "",
  steps: [{ taskCount: 1 }],
} as never;

function createFixture(owner?: Partial<EntryClient>) {
  const store = new FakeRecordStore(createRandom(7));
  const ownerChanges: string[] = [];
  const fail = () => Promise.reject(new EntryCallError("away", "no_answer"));
  const client = {
    isLocal: false,
    accepted: fail,
    submit: fail,
    cancelled: fail,
    cancel: fail,
    status: fail,
    waitingJobs: fail,
    owner: fail,
    close() {},
    ...owner,
  } as EntryClient;
  const storeClient = store.client("entry-1");
  const frontend = createJobFrontend({
    store: storeClient,
    withdrawals: createWithdrawals({ store: storeClient }),
    health: createStoreHealth(systemClock),
    clock: systemClock,
    log: silentLogger,
    config: () => undefined,
    ownerClient: () => owner === undefined ? undefined : client,
    onOwnerResponse() {},
    onOwnerUnresponsive() {},
    onOwnerChanged: () => ownerChanges.push("changed"),
  });
  const context = (budgetMs = 700) => ({
    requestId: "r",
    deadlineMs: performance.now() + budgetMs,
  });
  return { store, frontend, context, ownerChanges };
}

// Guards against callers that send a job again and again because they are told to come back, although the store will never take it; and against refusing other jobs as if the store were away.
test("a job that can't be stored is invalid, and other jobs are accepted", async () => {
  const { store, frontend, context } = createFixture();
  const submit = (jobId: string, steps: unknown[]) =>
    frontend.submit(
      QUEUE,
      { jobId, specification: "", steps } as never,
      context(),
    );
  const manySteps = Array.from({ length: 5_000 }, () => ({ taskCount: 1 }));
  assert.equal((await submit("00000000000000a1", manySteps)).kind, "invalid");
  store.faults.maximumValueBytes = 2_000;
  assert.equal(
    (await submit("00000000000000a2", manySteps.slice(0, 20))).kind,
    "invalid",
  );
  assert.equal(
    (await submit("00000000000000a3", manySteps.slice(0, 1))).kind,
    "accepted",
  );
  assert.deepEqual([...store.items.keys()], [
    `${STORE_KEYS.jobPrefix}00000000000000a3`,
  ]);
});

// Guards against telling a caller that its job will never run although it may be stored.
test("a submission is refused only if it can't be stored; after a timeout it is unresolved", async () => {
  const unavailable = createFixture();
  unavailable.store.faults.down = true;
  const refused = await unavailable.frontend.submit(
    QUEUE,
    submission,
    unavailable.context(),
  );
  assert.equal(refused.kind, "refused");
  assert.ok(refused.kind === "refused" && refused.retryAfterMs > 0);

  const late = createFixture();
  late.store.faults.lateChangeRate = 1;
  late.store.faults.lateMs = 5_000;
  assert.deepEqual(
    await late.frontend.submit(QUEUE, submission, late.context()),
    { kind: "unresolved" },
  );
});

// Guards against answering "unresolved" when the owner knows that nothing was stored, because then the
// caller gets no retry time.
test("a submission is refused if neither the entry nor the owner can reach the store", async () => {
  const fixture = createFixture({
    submit: () => Promise.resolve("not_stored"),
  });
  fixture.store.faults.down = true;
  const refused = await fixture.frontend.submit(
    QUEUE,
    submission,
    fixture.context(),
  );
  assert.equal(refused.kind, "refused");

  const unresolved = createFixture({
    submit: () => Promise.resolve("unresolved"),
  });
  unresolved.store.faults.down = true;
  assert.deepEqual(
    await unresolved.frontend.submit(QUEUE, submission, unresolved.context()),
    { kind: "unresolved" },
  );
});

// Guards against an owner that forgets after the removal of a queue how its jobs have to be run.
test("a stored job holds what its queue requires", async () => {
  const fixture = createFixture();
  const queue = { ...QUEUE, service: "cutting", needsAdvice: true };
  await fixture.frontend.submit(queue, submission, fixture.context());
  const { value } = fixture.store.items.get(STORE_KEYS.jobPrefix + JOB)!;
  const { service, maximumAttempts, needsAdvice } = jobSpecSchema.parse(
    JSON.parse(value),
  );
  assert.deepEqual(
    { service, maximumAttempts, needsAdvice },
    { service: "cutting", maximumAttempts: 3, needsAdvice: true },
  );
});

// Guards against requests that wait until their deadline although the store is known to be unavailable.
test("while the store is unavailable, requests get their final response at once", async () => {
  const fixture = createFixture();
  fixture.store.faults.down = true;
  const startedAtMs = performance.now();
  const results = await Promise.all([
    fixture.frontend.submit(QUEUE, submission, fixture.context(30_000)),
    fixture.frontend.status(JOB, fixture.context(30_000)),
    fixture.frontend.countWaiting(QUEUE.name, fixture.context(30_000)),
  ]);
  assert.deepEqual(results.map(({ kind }) => kind), [
    "refused",
    "unavailable",
    "unavailable",
  ]);
  // Ten times the retry limit of 0.4 s; requests that wait until their deadline would take 30 s.
  assert.ok(performance.now() - startedAtMs < 4_000);
});

// Guards against an entry that can't reach the store and keeps calling a former owner.
test("an entry whose known owner replies that it isn't the owner looks for the new one", async () => {
  let current = false;
  const fixture = createFixture({
    submit: () => Promise.resolve(current ? "stored" : "not_owner"),
    accepted: () => Promise.resolve(true),
  });
  fixture.store.faults.refusedClients.add("entry-1");
  const result = fixture.frontend.submit(
    QUEUE,
    submission,
    fixture.context(3_000),
  );
  await waitFor(
    "the entry looks for the owner",
    () => fixture.ownerChanges.length > 0,
  );
  current = true;
  assert.deepEqual(await result, { kind: "accepted" });
});

// Guards against an outage in which every caller's write is sent to the unresponsive store: it may still
// be executed later, so the caller can't be told to retry.
test("once the store stops responding, further submissions are refused at once", async () => {
  const fixture = createFixture({
    submit: () => Promise.resolve("not_stored"),
  });
  fixture.store.faults.lateChangeRate = 1;
  fixture.store.faults.lateMs = 60_000;
  const submit = (jobId: string) =>
    fixture.frontend.submit(
      QUEUE,
      { ...(submission as object), jobId } as never,
      fixture.context(3_000),
    );
  const first = submit("00000000000000f0");
  await delay(50);
  const startedAtMs = performance.now();
  const later = await Promise.all(
    Array.from(
      { length: 20 },
      (_, index) => submit(`00000000000001${10 + index}`),
    ),
  );
  const refused = later.filter(({ kind }) => kind === "refused");
  assert.ok(refused.length >= 18, `${refused.length} of 20`);
  // Far above the few milliseconds of a call to the owner; leaves time for one probe of the store.
  assert.ok(performance.now() - startedAtMs < 2_000);
  assert.deepEqual(await first, { kind: "unresolved" });
  fixture.store.faults.lateChangeRate = 0;
  await delay(300);
  assert.deepEqual(await submit("00000000000000f1"), { kind: "accepted" });
});

// Guards against the owner's entry giving up after one lost response of the store.
test("the owner's entry retries a submission whose response was lost", async () => {
  const fixture = createFixture({ isLocal: true });
  fixture.store.faults.lostAnswerRate = 1;
  const first = fixture.frontend.submit(
    QUEUE,
    submission,
    fixture.context(3_000),
  );
  await waitFor("the job is stored", () => fixture.store.items.size > 0);
  fixture.store.faults.lostAnswerRate = 0;
  assert.deepEqual(await first, { kind: "accepted" });
});

// Guards against a job that is stored twice, or refused, because the store's first response was lost.
test("a submission whose response was lost is accepted once it is found in the store", async () => {
  const fixture = createFixture();
  fixture.store.faults.lostAnswerRate = 1;
  const first = fixture.frontend.submit(
    QUEUE,
    submission,
    fixture.context(3_000),
  );
  await waitFor("the job is stored", () => fixture.store.items.size > 0);
  fixture.store.faults.lostAnswerRate = 0;
  assert.deepEqual(await first, { kind: "accepted" });
  assert.deepEqual(
    await fixture.frontend.submit(QUEUE, submission, fixture.context()),
    { kind: "accepted" },
  );
});

// Guards against a cancellation that is reported as unknown, or stored twice, because the store's first response was lost.
test("a cancellation whose response was lost is acknowledged once it is found in the store", async () => {
  const fixture = createFixture();
  await fixture.frontend.submit(QUEUE, submission, fixture.context());
  fixture.store.faults.lostAnswerRate = 1;
  const first = fixture.frontend.cancel(JOB, fixture.context(3_000));
  await waitFor(
    "the cancellation is stored",
    () => fixture.store.items.has(STORE_KEYS.cancelPrefix + JOB),
  );
  fixture.store.faults.lostAnswerRate = 0;
  assert.deepEqual(await first, { kind: "cancelled" });
});

// Guards against telling a caller that its job may have been stored when nothing has left this entry: the caller would not know that a retry is safe.
test("a submission that reached neither the store nor the owner is refused with a time to come back", async () => {
  const unreachable = () =>
    Promise.reject(new EntryCallError("no connection", "not_sent"));
  const fixture = createFixture({ submit: unreachable });
  fixture.store.faults.refusedClients.add("entry-1");
  const refused = await fixture.frontend.submit(
    QUEUE,
    submission,
    fixture.context(),
  );
  assert.equal(refused.kind, "refused");
  const silent = createFixture({});
  silent.store.faults.refusedClients.add("entry-1");
  const unresolved = await silent.frontend.submit(
    QUEUE,
    submission,
    silent.context(),
  );
  assert.equal(unresolved.kind, "unresolved");
});

// Guards against refusing callers on an entry that is the only one the store rejects.
test("an entry that the store rejects stores through the owner", async () => {
  const submitted: string[] = [];
  const fixture = createFixture({
    submit: (spec) => {
      submitted.push(spec.jobId);
      return Promise.resolve("stored");
    },
    accepted: () => Promise.resolve(true),
  });
  fixture.store.faults.refusedClients.add("entry-1");
  assert.deepEqual(
    await fixture.frontend.submit(QUEUE, submission, fixture.context()),
    { kind: "accepted" },
  );
  assert.deepEqual(submitted, [JOB]);
});

// Guards against reporting a job as unknown because the owner doesn't know it yet, or reporting a made-up
// status because the owner is unavailable.
test("the status is read from the owner, otherwise from the store; the reason of a failure from the store", async () => {
  const unknown = createFixture({ status: () => Promise.resolve(undefined) });
  assert.deepEqual(
    await unknown.frontend.status(JOB, unknown.context()),
    { kind: "unknown_job" },
  );
  await unknown.frontend.submit(QUEUE, submission, unknown.context());
  assert.deepEqual(
    await unknown.frontend.status(JOB, unknown.context()),
    { kind: "status", status: "queued" },
  );

  const fixture = createFixture();
  await fixture.frontend.submit(QUEUE, submission, fixture.context());
  const spec = jobSpecSchema.parse(
    JSON.parse(fixture.store.items.get(STORE_KEYS.jobPrefix + JOB)!.value),
  );
  const job = restoreJob(spec, undefined, 0);
  createDueOccurrences(job, spec.acceptedAtMs);
  job.status = "completed";
  fixture.store.write(STORE_KEYS.progressPrefix + JOB, encodeProgress(job, 0));
  assert.deepEqual(
    await fixture.frontend.status(JOB, fixture.context()),
    { kind: "status", status: "completed" },
  );
  assert.equal(await fixture.frontend.failureReason(JOB), undefined);
  job.status = "failed";
  job.failureReason = "the reason";
  fixture.store.write(STORE_KEYS.progressPrefix + JOB, encodeProgress(job, 0));
  assert.equal(await fixture.frontend.failureReason(JOB), "the reason");
  fixture.store.faults.down = true;
  const result = await fixture.frontend.status(JOB, fixture.context());
  assert.equal(result.kind, "unavailable");
  assert.equal(await fixture.frontend.failureReason(JOB), undefined);
});

// Guards against a cancellation that is acknowledged before it is stored and so may be lost.
test("a cancellation is acknowledged once it is stored; an unknown job can't be cancelled", async () => {
  const fixture = createFixture();
  assert.deepEqual(
    await fixture.frontend.cancel("00000000000000c1", fixture.context()),
    { kind: "unknown_job" },
  );
  await fixture.frontend.submit(QUEUE, submission, fixture.context());
  assert.deepEqual(
    await fixture.frontend.cancel(JOB, fixture.context()),
    { kind: "cancelled" },
  );
  assert.ok(fixture.store.items.has(STORE_KEYS.cancelPrefix + JOB));
  assert.deepEqual(
    await fixture.frontend.status(JOB, fixture.context()),
    { kind: "status", status: "cancelled" },
  );
});

// Guards against a job that runs although its caller was told that it doesn't exist: its write was still on its way to the store.
test("a job whose cancellation found it unknown is never stored by a late write", async () => {
  const fixture = createFixture();
  fixture.store.faults.lateChangeRate = 1;
  fixture.store.faults.lateMs = 1_500;
  const submitted = await fixture.frontend.submit(
    QUEUE,
    submission,
    fixture.context(),
  );
  assert.deepEqual(submitted, { kind: "unresolved" });
  fixture.store.faults.lateChangeRate = 0;
  assert.equal(
    fixture.store.items.has(STORE_KEYS.jobPrefix + JOB),
    false,
    "the late write comes after the cancellation",
  );
  assert.deepEqual(
    await fixture.frontend.cancel(JOB, fixture.context()),
    { kind: "unknown_job" },
  );
  await delay(1_500);
  assert.equal(fixture.store.items.has(STORE_KEYS.jobPrefix + JOB), false);
});

// Guards against the same for a submission that another entry sends after the cancellation, as it was suspended or its connection was slow.
test("a job that was cancelled before it is submitted is refused, and stays unknown", async () => {
  const fixture = createFixture();
  const { frontend, context, store } = fixture;
  assert.deepEqual(await frontend.cancel(JOB, context()), {
    kind: "unknown_job",
  });
  assert.deepEqual(await frontend.submit(QUEUE, submission, context()), {
    kind: "withdrawn",
  });
  assert.deepEqual(await frontend.status(JOB, context()), {
    kind: "unknown_job",
  });
  assert.deepEqual(await frontend.cancel(JOB, context()), {
    kind: "unknown_job",
  });
  assert.equal(store.items.has(STORE_KEYS.jobPrefix + JOB), false);
});

// Guards against a caller that keeps another workspace's job from running, or learns that it exists.
test("the cancellation of an unknown job has no effect on another workspace's job", async () => {
  const { frontend, context } = createFixture();
  const as = (workspace: string) => ({ ...context(), workspace });
  assert.deepEqual(await frontend.cancel(JOB, as("a")), {
    kind: "unknown_job",
  });
  assert.deepEqual(await frontend.submit(QUEUE, submission, as("b")), {
    kind: "accepted",
  });
  assert.deepEqual(await frontend.cancel(JOB, as("a")), {
    kind: "unknown_job",
  });
  assert.deepEqual(await frontend.status(JOB, as("b")), {
    kind: "status",
    status: "queued",
  });
});

// Guards against a job that stays because it was stored between the reading of its status and its cancellation.
test("a job that turns out to be stored when it is withdrawn is cancelled", async () => {
  const calls: string[] = [];
  const { frontend, context, store } = createFixture({
    status: () => Promise.resolve(undefined),
    withdraw: ({ jobId }) => {
      calls.push(`withdraw ${jobId}`);
      return Promise.resolve("existing");
    },
    cancel: (jobId) => {
      calls.push(`cancel ${jobId}`);
      return Promise.resolve("stored");
    },
  });
  store.faults.refusedClients.add("entry-1");
  assert.deepEqual(await frontend.cancel(JOB, context(2_000)), {
    kind: "cancelled",
  });
  assert.deepEqual(calls, [`withdraw ${JOB}`, `cancel ${JOB}`]);
});

// Guards against answering that a job will never run while the store may still take it.
test("the cancellation of an unknown job is unresolved while it can't be stored", async () => {
  const { frontend, context, store } = createFixture({
    status: () => Promise.resolve(undefined),
    withdraw: () => Promise.resolve("not_stored"),
  });
  store.faults.lateChangeRate = 1;
  store.faults.lateMs = 60_000;
  assert.deepEqual(await frontend.cancel(JOB, context()), {
    kind: "unresolved",
  });
});

// Guards against an invalid job that is written to the store.
test("an invalid job is refused and not stored", async () => {
  const fixture = createFixture();
  const result = await fixture.frontend.submit(
    QUEUE,
    {
      jobId: JOB,
      specification: "",
      steps: [{ taskCount: 1, after: [0] }],
    } as never,
    fixture.context(),
  );
  assert.equal(result.kind, "invalid");
  assert.equal(fixture.store.items.size, 0);
});

test.run();
