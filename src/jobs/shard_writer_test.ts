import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFakeStore, type FakeStore } from "../../testing/fake_store.ts";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { StoreError } from "../errors.ts";
import { JobOutcomeUnknownError, JobRefusedError } from "./errors.ts";
import { endJob, type JobSpec, jobSpecSchema } from "./job.ts";
import {
  CLOCK_SKEW_MS,
  issueJobKey,
  JOB_KEY_LIFETIME_MS,
  parseJobKey,
} from "./job_key.ts";
import { parseShard } from "./shard.ts";
import { ShardWriter } from "./shard_writer.ts";
import { cancelJob, submitJob } from "./submission.ts";

const KEY = "jobs/north/0";
const DEADLINE_MS = 2_000;
const SPEC: JobSpec = jobSpecSchema.parse({
  pool: "a",
  team: "t",
  jobClass: "c",
  command: "run 1",
  cores: 1,
  memoryMb: 1,
  runTimeMs: 1,
});
let nowMs = 1_700_000_000_000;
const clock = { wallMs: () => nowMs, monotonicMs: () => nowMs };

async function createWriter(store: FakeStore): Promise<ShardWriter> {
  const writer = new ShardWriter({ store, key: KEY, clock });
  await writer.load();
  return writer;
}

function submit(writer: ShardWriter, key = issueJobKey(nowMs), spec = SPEC) {
  const options = { deadlineMs: DEADLINE_MS, jobId: key.key };
  return writer.change((draft) => submitJob(draft, key, spec), options);
}

const stored = (store: FakeStore) =>
  parseShard(store.history(KEY).at(-1)!.value).jobs;
const writes = (store: FakeStore) =>
  store.calls.filter((call) => call.method === "compareAndSwap").length;
const kindOf = (promise: Promise<unknown>) =>
  promise.then(() => "done", (error: { kind: string }) => error.kind);

// Guards against accepted jobs that are lost and rejected jobs that are stored.
// Covers lost responses, outages, stale reads and a second owner.
test("each accepted job is stored and each refused one is not", async () => {
  const seed = chooseSeed();
  const random = createRandom(seed);
  const store = createFakeStore({
    random: {
      seed,
      unavailablePercent: 5,
      lostAnswerPercent: 10,
      droppedWritePercent: 10,
      staleReadPercent: 20,
    },
  });
  const writers = [0, 1].map(() => new ShardWriter({ store, key: KEY, clock }));
  const results = { accepted: 0, refused: 0, unknown: 0 };
  const checks: (() => void)[] = [];
  let open = 0;
  for (let step = 0; step < 2_000; step++) {
    nowMs += 300;
    const writer = writers[random.nextInteger(10) === 0 ? 1 : 0]!;
    if (writer.record === undefined) await writer.load().catch(() => {});
    for (let count = random.nextInteger(4); count > 0; count--) {
      const key = issueJobKey(nowMs);
      open++;
      submit(writer, key).finally(() => open--).then(() => {
        results.accepted++;
        checks.push(() =>
          assert.ok(stored(store).has(key.key), `seed ${seed}`)
        );
      }, (error) => {
        if (error instanceof JobOutcomeUnknownError) return results.unknown++;
        assert.instance(error, JobRefusedError);
        results.refused++;
        checks.push(() =>
          assert.not(stored(store).has(key.key), `seed ${seed}`)
        );
      });
    }
    await writer.flush();
    // Keeps the shard below its size limit.
    if (step % 400 === 399) {
      // A submission that is confirmed after the time jump would be ended and
      // removed with its expired key in the same write.
      while (open > 0) {
        nowMs += 300;
        for (const one of writers) {
          if (one.record === undefined) await one.load().catch(() => {});
          await one.flush();
        }
      }
      nowMs += JOB_KEY_LIFETIME_MS + CLOCK_SKEW_MS;
      for (const check of checks.splice(0)) check();
      for (const one of writers) {
        await one.load().catch(() => {});
        one.change((draft) => {
          for (const job of draft.jobs.values()) {
            draft.replace(endJob(job, { kind: "succeeded" }, nowMs));
          }
        }, { deadlineMs: 1, allowDuringOutage: true }).catch(() => {});
        await one.flush();
      }
    }
  }
  for (const check of checks) check();
  console.log(results);
  assert.ok(results.accepted > 500 && results.refused > 50);
});

// Guards against submissions that hang during an outage instead of being
// rejected with a retry hint.
test("submissions are rejected at once during an outage", async () => {
  const store = createFakeStore();
  const writer = await createWriter(store);
  store.faults.unavailable = true;
  const first = submit(writer).catch((error) => error);
  await writer.flush();
  assert.is((await first).kind, "store_unavailable");
  const calls = store.calls.length;
  const refused = await submit(writer).catch((error) => error);
  assert.is(refused.kind, "store_unavailable");
  assert.ok(refused.retryAfterMs > 0);
  assert.is(store.calls.length, calls, "rejected without a call to the store");
  store.faults.unavailable = false;
  nowMs += refused.retryAfterMs;
  const again = submit(writer);
  await writer.flush();
  assert.is((await again).state.kind, "queued");
});

// Guards against a repeated submission that is answered with `not_run` while the
// first one, whose caller has given up, is still to be written.
test("a shard may contain a job whose submission is pending", async () => {
  let endOutage = () => {};
  const outage = new Promise<void>((resolve) => endOutage = resolve);
  let failing = false;
  const store = createFakeStore({
    beforeCall: async ({ method }) => {
      if (!failing || method !== "compareAndSwap") return;
      await outage;
      failing = false;
      throw new StoreError("unavailable", "The store is unavailable");
    },
  });
  const writer = await createWriter(store);
  failing = true;
  const refused = kindOf(submit(writer));
  const flushed = writer.flush();
  const key = issueJobKey(nowMs);
  const first = kindOf(submit(writer, key));
  endOutage();
  await flushed;
  assert.is(await refused, "store_unavailable");
  assert.is(await kindOf(submit(writer, key)), "store_unavailable");
  assert.is(writer.lacksJob(key.key), false);
  await writer.flush();
  assert.is(await first, "done");
  assert.ok(stored(store).has(key.key));
});

// Guards against a submission that waits for a lost response beyond its
// deadline.
test("an unconfirmed submission ends with outcome_unknown at its deadline", async () => {
  const store = createFakeStore();
  const writer = await createWriter(store);
  store.faults.dropWrites = 2;
  const key = issueJobKey(nowMs);
  const kind = kindOf(submit(writer, key));
  await writer.flush();
  nowMs += DEADLINE_MS;
  store.faults.unavailable = true;
  await writer.flush();
  assert.is(await kind, "outcome_unknown");
  store.faults.unavailable = false;
  await writer.flush();
  assert.ok(
    stored(store).has(key.key),
    "the outcome of the write is still determined",
  );
});

// Guards against duplicate jobs for one key, and against one write per
// cancellation.
test("repeated submissions return the job; 5,000 cancellations take one write", async () => {
  const store = createFakeStore();
  const writer = await createWriter(store);
  const keys = Array.from({ length: 1_000 }, () => issueJobKey(nowMs));
  const accepted = [...keys, ...keys].map((key) => submit(writer, key));
  const reused = kindOf(submit(writer, keys[0], { ...SPEC, cores: 2 }));
  await writer.flush();
  await Promise.all(accepted);
  assert.is(await reused, "key_reused");
  assert.is(stored(store).size, 1_000);
  const before = writes(store);
  const results = Array.from(
    { length: 5_000 },
    (_, index) =>
      writer.change((draft) => cancelJob(draft, keys[index % 1_000]!.key), {
        deadlineMs: DEADLINE_MS,
      }),
  );
  await writer.flush();
  for (const result of await Promise.all(results)) {
    assert.equal(result, { kind: "not_run" });
  }
  assert.is(writes(store) - before, 1);
});

// Guards against records above the store's size limit, lost running jobs, and
// keys that can be used again after their job was removed.
test("a full shard rejects jobs until expired ones are removed", async () => {
  const store = createFakeStore();
  const writer = await createWriter(store);
  const keys = Array.from({ length: 3_000 }, () => issueJobKey(nowMs));
  const kinds = keys.map((key) => kindOf(submit(writer, key)));
  await writer.flush();
  const done = (await Promise.all(kinds)).filter((kind) => kind === "done");
  assert.ok(done.length > 1_000 && done.length < 3_000, `${done.length}`);
  const cancelled = writer.change((draft) => cancelJob(draft, keys[0]!.key), {
    deadlineMs: DEADLINE_MS,
  });
  await writer.flush();
  await cancelled;
  nowMs += JOB_KEY_LIFETIME_MS + 2 * CLOCK_SKEW_MS;
  const next = submit(writer);
  const late = kindOf(submit(writer, keys[0]));
  await writer.flush();
  assert.is((await next).state.kind, "queued");
  assert.is(
    await late,
    "done",
    "an old job is still found until it is removed",
  );
  assert.is(await kindOf(lateSubmit(writer, keys[0]!)), "expired_key");
  assert.is(stored(store).size, done.length);
});

async function lateSubmit(writer: ShardWriter, key = issueJobKey(nowMs)) {
  const result = submit(writer, key);
  await writer.flush();
  return await result;
}

test("malformed job keys are rejected", () => {
  const key = issueJobKey(nowMs);
  assert.equal(parseJobKey(key.key), key);
  for (const text of ["", "x", `${key.key}0`, `g${key.key.slice(1)}`]) {
    assert.is(parseJobKey(text), undefined);
  }
});

test.run();
