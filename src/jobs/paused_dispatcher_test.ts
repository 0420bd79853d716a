import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFakeStore } from "../../testing/fake_store.ts";
import { REGION } from "../../testing/fleet_simulation.ts";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { readBusyWorkers } from "./busy_workers.ts";
import { createObservable } from "../observable.ts";
import { issueJobKey } from "./job_key.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { JobSpec } from "./job.ts";
import { type JobReply, JOBS_PATH } from "./job_reply.ts";
import { JobRoutes } from "./routes.ts";
import { createShardRecord, ShardDraft, shardKey } from "./shard.ts";
import { cancelJob, submitJob } from "./submission.ts";
import { JobSimulation } from "../../testing/job_simulation.ts";
import {
  createJobSpec,
  issueKeyForShard,
  jobOutcome,
  runSteps,
  storedJobs,
  submit,
} from "../../testing/job_helpers.ts";

const LEASE = shardKey(REGION, 0);
const nextTurn = () => new Promise((resolve) => setTimeout(resolve, 0));

/**
 * Creates two dispatchers of one shard on different entries. Calls can be
 * blocked to freeze one of them.
 */
function createPair() {
  const gates = new Map<string, Promise<void>>();
  let openGate = () => {};
  const waitAtGate = (name: string) => {
    const gate = gates.get(name);
    gates.delete(name);
    return gate;
  };
  const store = createFakeStore({
    beforeCall: ({ method, key }) =>
      key === LEASE ? waitAtGate(method) : undefined,
  });
  const jobs = new JobSimulation({
    store,
    workerCount: 2,
    beforeCall: waitAtGate,
  });
  const [first] = jobs.createEntryDispatchers("first", [0]);
  const [second] = jobs.createEntryDispatchers("second", [0]);
  return {
    store,
    jobs,
    first: first!,
    second: second!,
    /** Blocks the next call of this method until `resume`. */
    freezeAt(name: string) {
      gates.set(name, new Promise((resolve) => openGate = resolve));
    },
    async resume() {
      openGate();
      for (let count = 0; count < 5; count++) await nextTurn();
    },
  };
}

/**
 * Submits a job and freezes its dispatcher between writing the assignment and
 * sending the command.
 */
async function freezeBeforeRun(pair: ReturnType<typeof createPair>) {
  const { jobs, first, freezeAt } = pair;
  await first.step();
  const key = issueKeyForShard(0, jobs.nowMs);
  await submit(first, key, createJobSpec({ command: "run 5000" }));
  jobs.tick(1_000);
  freezeAt("runTask");
  await first.step();
  assert.is(jobs.statistics.starts.size, 0, "frozen before the command");
  const kind = storedJobs(pair.store, 0).get(key.key)?.state.kind;
  assert.is(kind, "assigned", "written before the command");
  jobs.tick(4_000);
  return key;
}

// Guards against a second run, started by the command of a paused dispatcher
// that arrives after the first run has ended.
test("a delayed command of a paused dispatcher doesn't start the task again", async () => {
  const pair = createPair();
  const { jobs, second, store } = pair;
  const key = await freezeBeforeRun(pair);
  // A drain has to wait for a task that isn't in any report yet.
  const busy = await readBusyWorkers(store, REGION);
  assert.equal([...busy.values()], [1]);
  await runSteps(jobs, second, 30);
  assert.is((await readBusyWorkers(store, REGION)).size, 0);
  const outcome = jobOutcome(storedJobs(store, 0).get(key.key));
  assert.equal(outcome, { kind: "succeeded" });
  // The worker drops tasks that ended long ago.
  for (const worker of jobs.workers.values()) worker.tasks.clear();
  await pair.resume();
  assert.is(jobs.statistics.starts.get(key.key), 1);
});

// Guards against a run on the replacement of a worker after the job's outcome
// was recorded.
test("a paused dispatcher's command doesn't start on a replaced worker", async () => {
  const pair = createPair();
  const { jobs, second, store } = pair;
  const key = await freezeBeforeRun(pair);
  for (const worker of jobs.workers.values()) jobs.replaceWorker(worker);
  await runSteps(jobs, second, 10);
  const outcome = jobOutcome(storedJobs(store, 0).get(key.key));
  assert.equal(outcome, { kind: "outcome_unknown", reason: "worker_gone" });
  await pair.resume();
  assert.is(jobs.statistics.starts.size, 0);
});

// Guards against a second run on a worker that has run and dropped the task
// while it didn't answer.
test("a task isn't sent again to a worker that was silent", async () => {
  for (const reported of [false, true]) {
    const { jobs, first, store } = createPair();
    await first.step();
    const key = issueKeyForShard(0, jobs.nowMs);
    await submit(first, key, createJobSpec({ command: "run 5000" }));
    if (reported) await runSteps(jobs, first, 3);
    else {
      jobs.tick(1_000);
      await first.step();
    }
    assert.is(jobs.statistics.starts.get(key.key), 1);
    for (const worker of jobs.workers.values()) worker.responding = false;
    await runSteps(jobs, first, 400);
    for (const worker of jobs.workers.values()) worker.responding = true;
    await runSteps(jobs, first, 40);
    assert.is(jobs.statistics.starts.get(key.key), 1);
    const outcome = jobOutcome(storedJobs(store, 0).get(key.key));
    assert.equal(outcome, { kind: "outcome_unknown", reason: "task_lost" });
  }
});

// Guards against a task started by a dispatcher whose shard was taken over
// before it wrote the assignment.
test("a replaced dispatcher starts nothing", async () => {
  const pair = createPair();
  const { jobs, first, second, store } = pair;
  await first.step();
  const key = issueKeyForShard(0, jobs.nowMs);
  await submit(first, key, createJobSpec());
  jobs.tick(1_000);
  pair.freezeAt("compareAndSwap");
  const frozen = first.step();
  await nextTurn();
  store.expireLease(LEASE);
  // Without reports, the second dispatcher assigns nothing before the
  // cancellation.
  for (const worker of jobs.workers.values()) worker.responding = false;
  await second.step();
  for (const worker of jobs.workers.values()) worker.responding = true;
  const cancelled = second.writer.change(
    (draft) => cancelJob(draft, key.key),
    { deadlineMs: 1_000 },
  );
  await second.writer.flush();
  assert.equal(await cancelled, { kind: "not_run" });
  await pair.resume();
  await frozen;
  assert.is(jobs.statistics.starts.get(key.key) ?? 0, 0);
});

// Guards against a cancellation that returns `not_run` although the same write
// assigns the job.
test("a cancellation takes precedence over an assignment in the same write", async () => {
  const pair = createPair();
  const { jobs, first, store } = pair;
  await first.step();
  const key = issueKeyForShard(0, jobs.nowMs);
  await submit(first, key, createJobSpec());
  jobs.tick(1_000);
  pair.freezeAt("report");
  const step = first.step();
  await nextTurn();
  const cancelled = first.writer.change(
    (draft) => cancelJob(draft, key.key),
    { deadlineMs: 1_000 },
  );
  await pair.resume();
  await step;
  assert.equal(await cancelled, { kind: "not_run" });
  await runSteps(jobs, first, 4);
  assert.is(jobs.statistics.starts.size, 0);
  const outcome = jobOutcome(storedJobs(store, 0).get(key.key));
  assert.equal(outcome, { kind: "not_run", reason: "cancelled" });
});

// Guards against `not_run` for a job that has already run and is queued for its
// second attempt.
test("a job that was sent once isn't cancelled as not_run", () => {
  const draft = new ShardDraft(createShardRecord(), 0);
  const key = issueJobKey(0);
  const job = submitJob(draft, key, createJobSpec());
  draft.replace({ ...job, attempts: 1 });
  assert.is(cancelJob(draft, key.key).kind, "ended");
  assert.equal(jobOutcome(draft.jobs.get(key.key)), { kind: "cancelled" });
});

// Guards against a dispatcher that continues with outdated state after its
// lease has expired.
test("a dispatcher reloads its shard after its lease has expired", async () => {
  const { jobs, first, second, store } = createPair();
  await first.step();
  store.expireLease(LEASE);
  await second.step();
  const key = issueKeyForShard(0, jobs.nowMs);
  await submit(second, key, createJobSpec());
  store.expireLease(LEASE);
  jobs.tick(1_000);
  await first.step();
  assert.ok(first.writer.record?.jobs.has(key.key));
});

/** Submits a job through the job API of an entry with one dispatcher. */
async function submitByRoute(
  jobs: JobSimulation,
  dispatcher: Dispatcher,
  key: string,
  spec: JobSpec,
): Promise<JobReply> {
  const routes = new JobRoutes({
    entryId: "first",
    region: REGION,
    entries: createObservable([]),
    config: jobs.config,
    dispatcherOf: () => dispatcher,
    clock: jobs.clock,
  });
  const reply = routes.handle({
    method: "POST",
    url: JOBS_PATH,
    body: Buffer.from(JSON.stringify(spec)),
    key,
    forwardedBy: undefined,
    deadlineAtMs: undefined,
  });
  await dispatcher.writer.flush();
  return await reply;
}

// Guards against a caller that is told its job isn't stored, by an entry that
// lost the shard without noticing, and that submits it again with another key.
test("an entry whose lease has expired doesn't prove that a job isn't stored", async () => {
  const { jobs, first, second, store } = createPair();
  await first.step();
  const spec = createJobSpec();
  const submitToFirst = async (key: string) =>
    (await submitByRoute(jobs, first, key, spec)).outcome;
  store.faults.unavailable = true;
  const { key: unusedKey } = issueKeyForShard(0, jobs.nowMs);
  assert.is(await submitToFirst(unusedKey), "not_run");

  jobs.tick(4_000);
  store.faults.unavailable = false;
  await second.step();
  const key = issueKeyForShard(0, jobs.nowMs);
  await submit(second, key, spec);
  store.faults.unavailable = true;
  assert.is(await submitToFirst(key.key), "outcome_unknown");
});

// Guards against a repeated submission that is refused as not run, because the
// configuration has changed since the job was accepted.
test("a stored job is found after its team was removed", async () => {
  const { jobs, first } = createPair();
  await first.step();
  const { key } = issueKeyForShard(0, jobs.nowMs);
  const spec = createJobSpec();
  const submitNow = async (submittedKey: string) => {
    const { status, outcome } = await submitByRoute(
      jobs,
      first,
      submittedKey,
      spec,
    );
    return { status, outcome };
  };
  assert.equal(await submitNow(key), { status: 201, outcome: "answer" });
  const applied = jobs.config.get()!;
  jobs.config.set({
    ...applied,
    config: { ...applied.config, teams: [] },
  });
  assert.equal(await submitNow(key), { status: 200, outcome: "answer" });
  const { key: unusedKey } = issueKeyForShard(0, jobs.nowMs);
  assert.equal(
    await submitNow(unusedKey),
    { status: 422, outcome: "not_run" },
  );
});

// Guards against idle entries that keep polling every worker of the region.
test("a shard without open jobs polls no workers", async () => {
  let reports = 0;
  const jobs = new JobSimulation({
    store: createFakeStore(),
    workerCount: 4,
    beforeCall(method) {
      if (method === "report") reports++;
    },
  });
  const [dispatcher] = jobs.createEntryDispatchers("e", [0]);
  await runSteps(jobs, dispatcher!, 10);
  assert.is(reports, 0);
  const spec = createJobSpec({ command: "run 1000" });
  await submit(dispatcher!, issueKeyForShard(0, jobs.nowMs), spec);
  await runSteps(jobs, dispatcher!, 10);
  const reportsWhileBusy = reports;
  assert.ok(reportsWhileBusy > 0);
  await runSteps(jobs, dispatcher!, 10);
  assert.is(reports, reportsWhileBusy);
});

// Guards against broken workers that use up the attempts of many jobs, and
// against jobs that fail because of them.
test("jobs succeed while a tenth of the workers fails every task", async () => {
  const random = createRandom(chooseSeed());
  const store = createFakeStore();
  const jobs = new JobSimulation({ store, workerCount: 20 });
  const bad = ["w3", "w11"].map((id) => jobs.workers.get(id)!);
  for (const worker of bad) worker.failsTasks = true;
  const [dispatcher] = jobs.createEntryDispatchers("e", [0]);
  await dispatcher!.step();
  const keys = Array.from(
    { length: 600 },
    () => issueKeyForShard(0, jobs.nowMs),
  );
  for (const key of keys) {
    const spec = createJobSpec({
      command: `run ${1_000 + random.nextInteger(10_000)}`,
      jobClass: `c${random.nextInteger(4)}`,
      idempotent: true,
    });
    await submit(dispatcher!, key, spec);
  }
  const ended = () => [...storedJobs(store, 0).values()].every(jobOutcome);
  for (let step = 0; step < 100 && !ended(); step++) {
    await runSteps(jobs, dispatcher!, 4);
  }
  for (const job of storedJobs(store, 0).values()) {
    assert.is(jobOutcome(job)?.kind, "succeeded", JSON.stringify(job));
  }
  const runs = [...jobs.statistics.starts.values()].reduce((a, b) => a + b, 0);
  console.log(`${runs - keys.length} of ${runs} runs failed`);
  // Without quarantines, about 370 runs fail. 64 runs fail before the first
  // success shows that the classes work on other workers.
  assert.ok(runs - keys.length < 120);
});

test.run();
