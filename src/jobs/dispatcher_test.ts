import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFakeStore, type FakeStore } from "../../testing/fake_store.ts";
import { REGION } from "../../testing/fleet_simulation.ts";
import { chooseSeed, createRandom, type Random } from "../../testing/random.ts";
import { PlatformError } from "../errors.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { JobRefusedError } from "./errors.ts";
import type { JobSpec } from "./job.ts";
import { issueJobKey, type JobKey, SHARD_COUNT } from "./job_key.ts";
import { parseShard, shardKey } from "./shard.ts";
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

const seed = chooseSeed();
const SHARDS = [0, 1];
const STEPS = Number(process.env.STEPS ?? 1_500);

/**
 * Checks in every stored version of a shard that no job disappears and no
 * outcome changes.
 */
function checkHistory(store: FakeStore, shard: number): void {
  const outcomes = new Map<string, string>();
  const seen = new Set<string>();
  for (const { value } of store.history(shardKey(REGION, shard))) {
    const { jobs } = parseShard(value);
    for (const id of seen) assert.ok(jobs.has(id), `seed ${seed}: ${id} lost`);
    for (const [id, job] of jobs) {
      seen.add(id);
      const outcome = jobOutcome(job);
      const before = outcomes.get(id);
      const text = outcome && JSON.stringify(outcome);
      if (before !== undefined) assert.is(text, before, `seed ${seed}: ${id}`);
      if (text !== undefined) outcomes.set(id, text);
    }
  }
}

interface Accepted {
  readonly key: JobKey;
  readonly spec: JobSpec;
  notRun: boolean;
}

function randomSpec(random: Random): JobSpec {
  const runMs = 1_000 + random.nextInteger(40_000);
  const kind = random.nextInteger(20);
  return createJobSpec({
    jobClass: `c${random.nextInteger(4)}`,
    command: `${kind === 0 ? "fail" : "run"} ${runMs} ${
      1 + random.nextInteger(4)
    }`,
    cores: kind === 1 ? 64 : 1 + random.nextInteger(6),
    priority: random.nextInteger(10) === 0 ? "urgent" : "normal",
    idempotent: random.nextInteger(2) === 0,
  });
}

function injectFault(jobs: JobSimulation, random: Random): void {
  const workers = [...jobs.workers.values()];
  const worker = workers[random.nextInteger(workers.length)]!;
  switch (random.nextInteger(4)) {
    case 0:
      worker.responding = !worker.responding;
      break;
    case 1:
      if (random.nextInteger(4) === 0) jobs.replaceWorker(worker);
      break;
    case 2: // The controller drains the worker and checkpoints its tasks.
      jobs.publish({ [worker.vm.id]: "draining" });
      for (const task of worker.tasks.values()) {
        if (task.state === "running") task.state = "checkpointed";
      }
      break;
    default:
      jobs.publish();
  }
}

// Guards against lost jobs, changed outcomes and repeated runs when the
// dispatchers of a shard are paused, replaced or killed at any point.
test("each accepted job ends once, non-idempotent ones run at most once", async () => {
  const random = createRandom(seed);
  let faulty = true;
  const pause = async () => {
    if (!faulty) return;
    for (let turns = random.nextInteger(6); turns > 0; turns--) {
      await Promise.resolve();
    }
  };
  // Simulates a frozen entry: a call may block here for several steps.
  const frozen: (() => void)[] = [];
  const freeze = async () => {
    await pause();
    if (faulty && random.nextInteger(150) === 0) {
      await new Promise<void>((resolve) => frozen.push(resolve));
    }
  };
  const failRandomly = (percent: number) => {
    if (faulty && random.nextInteger(100) < percent) {
      throw new PlatformError("worker_agent", "The call was lost");
    }
  };
  const store = createFakeStore({
    random: {
      seed,
      unavailablePercent: 2,
      lostAnswerPercent: 4,
      droppedWritePercent: 2,
      staleReadPercent: 10,
      expiredLeasePercent: 30,
    },
    beforeCall: freeze,
  });
  const jobs = new JobSimulation({
    store,
    workerCount: 20,
    reportLagMs: 2_000,
    async beforeCall() {
      await freeze();
      failRandomly(3);
    },
    afterCall: () => failRandomly(3),
  });
  for (const id of ["w3", "w11"]) jobs.workers.get(id)!.failsTasks = true;
  let entryCount = 0;
  const start = () => jobs.createEntryDispatchers(`e${entryCount++}`, SHARDS);
  const entries = [start(), start()];
  const busy = new Set<Dispatcher>();
  const accepted = new Map<string, Accepted>();
  const refused = new Set<string>();

  function step(dispatcher: Dispatcher): void {
    // Commits run concurrently with the steps, as in `runDispatcher`.
    void dispatcher.writer.flush();
    if (busy.has(dispatcher)) return;
    busy.add(dispatcher);
    dispatcher.step().finally(() => busy.delete(dispatcher));
  }
  function submitOne(dispatcher: Dispatcher, shard: number): void {
    const key = issueKeyForShard(shard, jobs.nowMs);
    const spec = randomSpec(random);
    submit(dispatcher, key, spec).then(
      () => accepted.set(key.key, { key, spec, notRun: false }),
      (error) => {
        if (error instanceof JobRefusedError) refused.add(key.key);
      },
    );
  }
  function cancelOne(dispatcher: Dispatcher, shard: number): void {
    const ids = [...accepted.values()].filter(({ key }) => key.shard === shard);
    const chosen = ids[random.nextInteger(ids.length)];
    if (chosen === undefined) return;
    dispatcher.writer.change(
      (draft) => cancelJob(draft, chosen.key.key),
      { deadlineMs: 2_000 },
    ).then((result) => {
      if (result.kind === "not_run") chosen.notRun = true;
    }, () => {});
  }
  const settle = () => new Promise((resolve) => setTimeout(resolve, 0));

  for (let count = 0; count < STEPS; count++) {
    jobs.tick(random.nextInteger(20) === 0 ? 5_000 : 500);
    if (random.nextInteger(15) === 0) injectFault(jobs, random);
    for (const shard of SHARDS) {
      const dispatcher = entries[random.nextInteger(2)]![shard]!;
      if (random.nextInteger(4) === 0) submitOne(dispatcher, shard);
      if (random.nextInteger(40) === 0) cancelOne(dispatcher, shard);
    }
    // Calls of a killed entry may still arrive. Its replacement starts without
    // any state.
    if (random.nextInteger(120) === 0) entries[random.nextInteger(2)] = start();
    for (const dispatcher of entries.flat()) {
      if (random.nextInteger(4) > 0) step(dispatcher);
    }
    if (random.nextInteger(8) === 0) {
      for (const wake of frozen.splice(0)) wake();
    }
    await settle();
  }
  faulty = false;
  for (const wake of frozen.splice(0)) wake();
  for (const worker of jobs.workers.values()) worker.responding = true;
  jobs.publish();
  const ended = () =>
    SHARDS.every((shard) =>
      [...storedJobs(store, shard).values()].every(jobOutcome)
    );
  for (let count = 0; count < 4_000 && !ended(); count++) {
    jobs.tick(1_000);
    for (const dispatcher of entries.flat()) step(dispatcher);
    await settle();
  }

  const counts: Record<string, number> = {};
  for (const { key, spec, notRun } of accepted.values()) {
    const job = storedJobs(store, key.shard).get(key.key);
    const outcome = jobOutcome(job);
    const label = `seed ${seed}: ${JSON.stringify(job)}`;
    assert.ok(outcome, label);
    const starts = jobs.statistics.starts.get(key.key) ?? 0;
    if (!spec.idempotent) {
      assert.ok(starts <= 1, `${label} ran ${starts} times`);
    }
    if (notRun) assert.is(outcome.kind, "not_run", label);
    if (outcome.kind === "not_run") assert.is(starts, 0, label);
    if (outcome.kind === "succeeded") {
      assert.ok(jobs.statistics.successes.has(key.key), label);
    }
    counts[outcome.kind] = (counts[outcome.kind] ?? 0) + 1;
  }
  for (const id of refused) {
    assert.not(storedJobs(store, Number.parseInt(id[0]!, 16)).has(id), id);
  }
  for (const shard of SHARDS) checkHistory(store, shard);
  console.log(`${accepted.size} accepted, ${refused.size} refused`, counts);
  assert.ok(accepted.size > STEPS / 10);
});

async function startOne(store = createFakeStore(), workers = 4) {
  const jobs = new JobSimulation({ store, workerCount: workers });
  const [dispatcher] = jobs.createEntryDispatchers("e", [0]);
  await dispatcher!.step();
  return { store, jobs, dispatcher: dispatcher! };
}

// Guards against urgent jobs that wait until running tasks end, and against
// preempted tasks that lose their progress.
test("an urgent job starts within 5.4 s by preempting tasks, which resume later", async () => {
  const { store, jobs, dispatcher } = await startOne();
  const normal = Array.from(
    { length: 32 },
    () => issueKeyForShard(0, jobs.nowMs),
  );
  for (const key of normal) {
    const command = "run 60000";
    await submit(dispatcher, key, createJobSpec({ idempotent: true, command }));
  }
  await runSteps(jobs, dispatcher, 6);
  const urgent = issueKeyForShard(0, jobs.nowMs);
  const spec = createJobSpec({ priority: "urgent", cores: 5 });
  await submit(dispatcher, urgent, spec);
  const acceptedAtMs = jobs.nowMs;
  await runSteps(jobs, dispatcher, 11);
  const startMs = jobs.statistics.firstStartMs.get(urgent.key) ?? Infinity;
  console.log(`urgent start after ${startMs - acceptedAtMs} ms`);
  assert.ok(startMs - acceptedAtMs <= 5_400);
  await runSteps(jobs, dispatcher, 200);
  for (const key of [...normal, urgent]) {
    assert.is(jobOutcome(storedJobs(store, 0).get(key.key))?.kind, "succeeded");
  }
  const starts = [...jobs.statistics.starts.values()];
  assert.is(starts.length, 33);
  assert.ok(
    starts.every((count) => count === 1),
    "preempted tasks resume instead of starting over",
  );
});

// Guards against cancellations that are lost, that take one write each, or that
// stop a task twice.
test("5,000 cancellations during and after a store outage", async () => {
  const store = createFakeStore();
  const jobs = new JobSimulation({
    store,
    workerCount: 20,
    reportLagMs: 2_000,
  });
  const shards = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);
  const dispatchers = jobs.createEntryDispatchers("e", shards);
  for (const dispatcher of dispatchers) await dispatcher.step();
  const keys = Array.from({ length: 5_000 }, () => issueJobKey(jobs.nowMs));
  const spec = createJobSpec({ command: "run 600000", runTimeMs: 600_000 });
  const submits = keys.map((key) =>
    dispatchers[key.shard]!.writer.change(
      (draft) => submitJob(draft, key, spec),
      { deadlineMs: 2_000, jobId: key.key },
    )
  );
  for (const { writer } of dispatchers) await writer.flush();
  await Promise.all(submits);
  for (let step = 0; step < 4; step++) {
    jobs.tick(500);
    for (const dispatcher of dispatchers) await dispatcher.step();
  }
  const started = new Set(jobs.statistics.starts.keys());
  assert.is(started.size, 160, "every core is used");
  store.faults.unavailable = true;
  const cancel = () =>
    keys.map((key) =>
      dispatchers[key.shard]!.writer.change(
        (draft) => cancelJob(draft, key.key),
        { deadlineMs: 2_000 },
      ).then((result) => result.kind, (error: JobRefusedError) => {
        assert.is(error.kind, "store_unavailable");
        assert.ok(error.retryAfterMs! > 0);
        return "refused" as const;
      })
    );
  const refused = cancel();
  for (let step = 0; step < 60; step++) {
    jobs.tick(500);
    for (const dispatcher of dispatchers) await dispatcher.step();
  }
  for (const kind of await Promise.all(refused)) assert.is(kind, "refused");
  store.faults.unavailable = false;
  for (const dispatcher of dispatchers) await dispatcher.step();
  const before = store.calls.length;
  const results = cancel();
  for (let step = 0; step < 20; step++) {
    for (const dispatcher of dispatchers) await dispatcher.step();
    jobs.tick(500);
  }
  const kinds = await Promise.all(results);
  const shardWrites =
    store.calls.slice(before).filter(({ method, key }) =>
      method === "compareAndSwap" && key !== `jobs/${REGION}/fencing`
    ).length;
  console.log(`5,000 cancellations took ${shardWrites} writes`);
  assert.ok(shardWrites <= 4 * SHARD_COUNT);
  keys.forEach((key, index) => {
    const kind = jobOutcome(storedJobs(store, key.shard).get(key.key))?.kind;
    assert.is(kind, started.has(key.key) ? "cancelled" : "not_run");
    assert.is(kinds[index], started.has(key.key) ? "stopping" : "not_run");
  });
  for (const id of started) assert.is(jobs.statistics.stops.get(id), 1, id);
  assert.is(jobs.statistics.stops.size, started.size);
});

// Guards against jobs that can never run but stay queued, and against a failing
// job that is retried on every worker.
test("jobs that can never run end at once with a reason", async () => {
  const { store, jobs, dispatcher } = await startOne();
  const specs = [
    createJobSpec({ cores: 64 }),
    createJobSpec({ accelerators: 1 }),
    createJobSpec({ memoryMb: 1_000_000 }),
  ];
  const keys = specs.map(() => issueKeyForShard(0, jobs.nowMs));
  for (const [index, spec] of specs.entries()) {
    await submit(dispatcher, keys[index]!, spec);
  }
  await runSteps(jobs, dispatcher, 2);
  for (const key of keys) {
    const outcome = jobOutcome(storedJobs(store, 0).get(key.key));
    assert.equal(outcome, { kind: "not_run", reason: "fits_no_worker" });
  }
  // Workers count as healthy once a job of another class has succeeded on them.
  for (let count = 0; count < 8; count++) {
    const spec = createJobSpec({
      command: "run 900",
      cores: 8,
      jobClass: "ok",
    });
    await submit(dispatcher, issueKeyForShard(0, jobs.nowMs), spec);
  }
  await runSteps(jobs, dispatcher, 10);
  const bad = issueKeyForShard(0, jobs.nowMs);
  const spec = createJobSpec({ command: "fail 100", idempotent: true });
  await submit(dispatcher, bad, spec);
  await runSteps(jobs, dispatcher, 20);
  assert.equal(jobOutcome(storedJobs(store, 0).get(bad.key)), {
    kind: "failed",
    reason: "failed_on_three_workers",
  });
  assert.is(jobs.statistics.starts.get(bad.key), 3);
});

// Guards against running tasks whose leases expire because the store is
// unavailable.
test("tasks keep running during a store outage", async () => {
  const { store, jobs, dispatcher } = await startOne();
  const key = issueKeyForShard(0, jobs.nowMs);
  const command = "run 300000";
  await submit(dispatcher, key, createJobSpec({ command }));
  await runSteps(jobs, dispatcher, 4);
  store.faults.unavailable = true;
  await runSteps(jobs, dispatcher, 560);
  store.faults.unavailable = false;
  await runSteps(jobs, dispatcher, 40);
  const outcome = jobOutcome(storedJobs(store, 0).get(key.key));
  assert.equal(outcome, { kind: "succeeded" });
});

test.run();
