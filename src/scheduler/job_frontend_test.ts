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
import {
  createDueOccurrences,
  encodeProgress,
  restoreJob,
} from "./job_state.ts";
import { jobSpecSchema } from "./model.ts";
import { EntryCallError, type EntryClient } from "./entry_client.ts";
import { STORE_KEYS } from "./ownership.ts";
import { createStoreHealth } from "./store_health.ts";

const test = suite("front");

const JOB = "0123456789abcdef";
const submission = {
  jobId: JOB,
  specification: "",
  steps: [{ taskCount: 1 }],
} as never;

function createWorld(owner?: Partial<EntryClient>) {
  const store = new FakeRecordStore(createRandom(7));
  const moved: string[] = [];
  const refuse = () => Promise.reject(new EntryCallError("away", "no_answer"));
  const client = {
    isLocal: false,
    accepted: refuse,
    submit: refuse,
    cancelled: refuse,
    cancel: refuse,
    status: refuse,
    waitingJobs: refuse,
    owner: refuse,
    close() {},
    ...owner,
  } as EntryClient;
  const front = createJobFrontend({
    store: store.client("entry-1"),
    health: createStoreHealth(systemClock),
    clock: systemClock,
    log: silentLogger,
    config: () => undefined,
    ownerClient: () => owner === undefined ? undefined : client,
    onOwnerAnswer() {},
    onOwnerUnresponsive() {},
    onOwnerChanged: () => moved.push("moved"),
  });
  const context = (budgetMs = 700) => ({
    requestId: "r",
    deadlineMs: performance.now() + budgetMs,
  });
  return { store, front, context, moved };
}

// Guards against telling a caller that its job never runs although it may be stored.
test("a submission is refused only when nothing can be stored, and without an answer it is unresolved", async () => {
  const away = createWorld();
  away.store.faults.down = true;
  const refused = await away.front.submit(QUEUE, submission, away.context());
  assert.equal(refused.kind, "refused");
  assert.ok(refused.kind === "refused" && refused.retryAfterMs > 0);

  const late = createWorld();
  late.store.faults.lateShare = 1;
  late.store.faults.lateMs = 5_000;
  assert.deepEqual(
    await late.front.submit(QUEUE, submission, late.context()),
    { kind: "unresolved" },
  );
});

// Guards against callers that are told "unknown" where the owner knows that nothing was stored, so that they don't learn when to come back.
test("a submission is refused when neither the entry nor the owner reached the store", async () => {
  const world = createWorld({ submit: () => Promise.resolve("not_stored") });
  world.store.faults.down = true;
  const refused = await world.front.submit(
    QUEUE,
    submission,
    world.context(),
  );
  assert.equal(refused.kind, "refused");

  const unclear = createWorld({ submit: () => Promise.resolve("unresolved") });
  unclear.store.faults.down = true;
  assert.deepEqual(
    await unclear.front.submit(QUEUE, submission, unclear.context()),
    { kind: "unresolved" },
  );
});

// Guards against callers that are held until their deadline although the store is known to be away.
test("while the store is away a request gets its final answer at once", async () => {
  const world = createWorld();
  world.store.faults.down = true;
  const startedAtMs = performance.now();
  const answers = await Promise.all([
    world.front.submit(QUEUE, submission, world.context(30_000)),
    world.front.status(JOB, world.context(30_000)),
    world.front.countWaiting(QUEUE.name, world.context(30_000)),
  ]);
  assert.deepEqual(answers.map(({ kind }) => kind), [
    "refused",
    "unavailable",
    "unavailable",
  ]);
  // Ten times the limit of 0.4 s; held requests would take 30 s.
  assert.ok(performance.now() - startedAtMs < 4_000);
});

// Guards against an entry cut off from the store that goes on asking an owner of the past.
test("an entry that is told that the owner isn't the owner looks for the new one", async () => {
  let current = false;
  const world = createWorld({
    submit: () => Promise.resolve(current ? "stored" : "not_owner"),
    accepted: () => Promise.resolve(),
  });
  world.store.faults.refused.add("entry-1");
  const answer = world.front.submit(QUEUE, submission, world.context(3_000));
  await waitFor("the entry looks for the owner", () => world.moved.length > 0);
  current = true;
  assert.deepEqual(await answer, { kind: "accepted" });
});

// Guards against an outage in which every caller's write is sent into silence, so that it may still be carried out and the caller can't be told to come back.
test("once the store has gone silent, further submissions are refused at once", async () => {
  const world = createWorld({ submit: () => Promise.resolve("not_stored") });
  world.store.faults.lateShare = 1;
  world.store.faults.lateMs = 60_000;
  const submit = (jobId: string) =>
    world.front.submit(
      QUEUE,
      { ...(submission as object), jobId } as never,
      world.context(3_000),
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
  // Ten times the few milliseconds of a call to the owner, with room for the probe.
  assert.ok(performance.now() - startedAtMs < 2_000);
  assert.deepEqual(await first, { kind: "unresolved" });
  world.store.faults.lateShare = 0;
  await delay(300);
  assert.deepEqual(await submit("00000000000000f1"), { kind: "accepted" });
});

// Guards against an owner's entry that gives up after one lost answer of its store.
test("the owner's entry looks again for a submission whose answer was lost", async () => {
  const world = createWorld({ isLocal: true });
  world.store.faults.lostShare = 1;
  const first = world.front.submit(QUEUE, submission, world.context(3_000));
  await waitFor("the job is stored", () => world.store.items.size > 0);
  world.store.faults.lostShare = 0;
  assert.deepEqual(await first, { kind: "accepted" });
});

// Guards against a job that is stored twice, or refused, because its first answer was lost.
test("a submission whose answer was lost is accepted once it is found stored", async () => {
  const world = createWorld();
  world.store.faults.lostShare = 1;
  const first = world.front.submit(QUEUE, submission, world.context(3_000));
  await waitFor("the job is stored", () => world.store.items.size > 0);
  world.store.faults.lostShare = 0;
  assert.deepEqual(await first, { kind: "accepted" });
  assert.deepEqual(
    await world.front.submit(QUEUE, submission, world.context()),
    { kind: "accepted" },
  );
});

// Guards against callers that are turned away by an entry that only the store refuses.
test("an entry that the store refuses stores through the owner", async () => {
  const asked: string[] = [];
  const world = createWorld({
    submit: (spec) => {
      asked.push(spec.jobId);
      return Promise.resolve("stored");
    },
    accepted: () => Promise.resolve(),
  });
  world.store.faults.refused.add("entry-1");
  assert.deepEqual(
    await world.front.submit(QUEUE, submission, world.context()),
    { kind: "accepted" },
  );
  assert.deepEqual(asked, [JOB]);
});

// Guards against a job that is denied because the owner hasn't heard of it, or guessed at because the owner is away.
test("the status comes from the owner, else from the store", async () => {
  const unknown = createWorld({ status: () => Promise.resolve(undefined) });
  assert.deepEqual(
    await unknown.front.status(JOB, unknown.context()),
    { kind: "unknown_job" },
  );
  await unknown.front.submit(QUEUE, submission, unknown.context());
  assert.deepEqual(
    await unknown.front.status(JOB, unknown.context()),
    { kind: "status", status: "queued" },
  );

  const world = createWorld();
  await world.front.submit(QUEUE, submission, world.context());
  const spec = jobSpecSchema.parse(
    JSON.parse(world.store.items.get(STORE_KEYS.jobPrefix + JOB)!.value),
  );
  const job = restoreJob(spec, undefined, 0);
  createDueOccurrences(job, spec.acceptedAtMs);
  job.status = "completed";
  world.store.write(STORE_KEYS.progressPrefix + JOB, encodeProgress(job, 0));
  assert.deepEqual(
    await world.front.status(JOB, world.context()),
    { kind: "status", status: "completed" },
  );
  world.store.faults.down = true;
  const away = await world.front.status(JOB, world.context());
  assert.equal(away.kind, "unavailable");
});

// Guards against a cancellation that is acknowledged before it is stored.
test("a cancellation is acknowledged once it is stored; an unknown job isn't cancelled", async () => {
  const world = createWorld();
  assert.deepEqual(
    await world.front.cancel(JOB, world.context()),
    { kind: "unknown_job" },
  );
  await world.front.submit(QUEUE, submission, world.context());
  assert.deepEqual(
    await world.front.cancel(JOB, world.context()),
    { kind: "cancelled" },
  );
  assert.ok(world.store.items.has(STORE_KEYS.cancelPrefix + JOB));
  assert.deepEqual(
    await world.front.status(JOB, world.context()),
    { kind: "status", status: "cancelled" },
  );
});

// Guards against a malformed job that reaches the store.
test("a job that can't be run is refused with every problem", async () => {
  const world = createWorld();
  const answer = await world.front.submit(
    QUEUE,
    {
      jobId: JOB,
      specification: "",
      steps: [{ taskCount: 1, after: [0] }],
    } as never,
    world.context(),
  );
  assert.equal(answer.kind, "invalid");
  assert.equal(world.store.items.size, 0);
});

test.run();
