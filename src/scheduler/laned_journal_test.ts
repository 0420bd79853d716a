import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { run } from "effection";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { createRandom } from "../../testing/random.ts";
import { createTestScheduler } from "../../testing/scheduler_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import { systemClock } from "../clock.ts";
import { StoreError } from "../errors.ts";
import { silentLogger } from "../logger.ts";
import { createJournal, type Journal } from "./journal.ts";
import { acquireOwnership, headKey, STORE_KEYS } from "./ownership.ts";
import type { ChangeOutcome, RecordStore, StoreChange } from "./ports.ts";

const test = suite("journal with lanes");

const LEASE_TTL_MS = 60_000;

/** Intercepts a change of the first owner; `apply` executes it on the store. */
type Intercept = (
  change: StoreChange,
  apply: () => Promise<ChangeOutcome>,
) => Promise<ChangeOutcome>;

interface Context {
  readonly journal: Journal;
  readonly store: FakeRecordStore;
  /** Reasons for which the tenure was lost. */
  readonly lost: string[];
  /** Halts the journal as the end of its process does. */
  readonly kill: () => Promise<void>;
}

/** Runs a test with the journal of an owner that has `lanes` lanes. */
async function withLanes(
  lanes: number,
  body: (context: Context) => Promise<void>,
  intercept: Intercept = (_, apply) => apply(),
): Promise<void> {
  const store = new FakeRecordStore(createRandom(3));
  const client = store.client("entry-1");
  const tenure = await acquireOwnership(
    client,
    { entryId: "entry-1", address: "" },
    { leaseTtlMs: LEASE_TTL_MS, replacedRevision: 0, lanes },
  );
  const interceptedClient: RecordStore = {
    ...client,
    change: (change) => intercept(change, () => client.change(change)),
  };
  const lost: string[] = [];
  const journal = createJournal({
    store: interceptedClient,
    tenure: tenure!,
    clock: systemClock,
    log: silentLogger,
    onLost: (reason) => lost.push(reason),
    onResponse() {},
    onFailure() {},
  });
  const task = run(() => journal.run());
  const kill = async () => void await task.halt();
  try {
    await body({ journal, store, lost, kill });
  } finally {
    await kill();
    store.close();
  }
}

/** Returns the key of the head that a commit advances. */
function headOf(change: StoreChange): string {
  return change.puts[0]!.key;
}

function putNumbered(journal: Journal, count: number): void {
  for (let index = 0; index < count; index++) {
    journal.put({ key: `progress/${index}`, encode: () => String(index) });
  }
}

function listHeads(store: FakeRecordStore): string[] {
  return [...store.items.keys()].filter((key) =>
    key.startsWith(STORE_KEYS.head)
  ).sort();
}

function elect(store: FakeRecordStore, lanes: number, replacedRevision = 0) {
  return acquireOwnership(
    store.client("entry-2"),
    { entryId: "entry-2", address: "" },
    { leaseTtlMs: LEASE_TTL_MS, replacedRevision, lanes },
  );
}

// Guards against a slow store (50 times its usual response time) that holds up starts for seconds: one lane stores 110 to 150 records per second.
test("800 records per second are stored while each response takes 200 ms", async () => {
  await withLanes(6, async ({ journal, store }) => {
    store.faults.responseMs = 200;
    const waitsMs: number[] = [];
    const urgentWaitsMs: number[] = [];
    let scheduled = 0;
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < 2_000) {
      const due = (performance.now() - startedAtMs) * 0.8;
      for (; scheduled < due; scheduled++) {
        const urgent = scheduled % 4 === 0;
        const putAtMs = performance.now();
        journal.put({
          key: `progress/${scheduled}`,
          encode: () => "1",
          urgent,
          onStored: () =>
            (urgent ? urgentWaitsMs : waitsMs).push(
              performance.now() - putAtMs,
            ),
        });
      }
      await delay(5);
    }
    const stored = waitsMs.length + urgentWaitsMs.length;
    await waitFor(
      "all records are stored",
      () => waitsMs.length + urgentWaitsMs.length === scheduled,
    );
    assert.ok(stored >= 1_100, `${stored} stored within 2 s`);
    const longestMs = Math.max(...urgentWaitsMs);
    assert.ok(longestMs < 700, `an urgent record waited ${longestMs} ms`);
  });
});

// Guards against needless calls to a store that is fast enough for one commit at a time.
test("one lane is used while the store is fast", async () => {
  const heads = new Set<string>();
  await withLanes(4, async ({ journal, store }) => {
    for (let round = 0; round < 10; round++) {
      putNumbered(journal, 40);
      await delay(15);
    }
    let flushed = false;
    journal.afterFlush(() => flushed = true);
    await waitFor("all records are stored", () => flushed);
    assert.equal(store.items.get("progress/39")?.value, "39");
    assert.deepEqual([...heads], [STORE_KEYS.head]);
  }, (change, apply) => {
    heads.add(headOf(change));
    return apply();
  });
});

// Guards against records of a replaced owner that the store executes late in a lane whose head the election didn't change (TWICE), also when the new owner has another number of lanes.
for (const lanes of [1, 3, 8]) {
  test(`after the election of an owner with ${lanes} lanes, no lane of the earlier one stores anything`, async () => {
    const held: { head: string; apply: () => Promise<ChangeOutcome> }[] = [];
    await withLanes(4, async ({ journal, store, lost }) => {
      putNumbered(journal, 200);
      await waitFor(
        "a commit in flight in each lane",
        () => new Set(held.map(({ head }) => head)).size === 4,
      );
      const owner = store.items.get(STORE_KEYS.owner)!;
      const tenure = await elect(store, lanes, owner.revision);
      assert.equal(tenure?.epoch, 2);
      const heads = Array.from({ length: lanes }, (_, lane) => headKey(lane));
      assert.deepEqual(listHeads(store), heads);
      const outcomes = await Promise.all(held.map(({ apply }) => apply()));
      assert.deepEqual(
        outcomes.filter(({ kind }) => kind !== "conflict"),
        [],
      );
      assert.equal(
        [...store.items.keys()].some((key) => key.startsWith("progress/")),
        false,
      );
      await waitFor("the tenure is lost", () => lost.length > 0);
    }, async (change, apply) => {
      const result = new Promise<ChangeOutcome>((resolve) => {
        held.push({
          head: headOf(change),
          async apply() {
            const outcome = await apply();
            resolve(outcome);
            return outcome;
          },
        });
      });
      return await result;
    });
  });
}

// Guards against an owner that commits in further lanes after an entry of a version with one lane, which doesn't change their heads, was elected.
test("a further lane stores nothing after the owner's key has changed", async () => {
  let release = (): void => undefined;
  const released = new Promise<void>((resolve) => release = resolve);
  let furtherCommits = 0;
  await withLanes(2, async ({ journal, store, lost }) => {
    putNumbered(journal, 60);
    await waitFor("a commit in the further lane", () => furtherCommits > 0);
    store.write(STORE_KEYS.owner, "{}");
    store.write(STORE_KEYS.head, "{}");
    release();
    await waitFor("the tenure is lost", () => lost.length > 0);
    await delay(20);
    assert.equal(
      [...store.items.keys()].some((key) => key.startsWith("progress/")),
      false,
    );
  }, async (change, apply) => {
    if (headOf(change) !== STORE_KEYS.head) furtherCommits++;
    await released;
    return await apply();
  });
});

// Guards against an election that loses to itself or leaves a head behind when owners with different settings follow each other.
test("each election replaces the heads of all earlier lanes", async () => {
  await withLanes(5, async ({ store }) => {
    for (const [index, lanes] of [2, 8, 1, 3].entries()) {
      const { revision } = store.items.get(STORE_KEYS.owner)!;
      const tenure = await elect(store, lanes, revision);
      assert.equal(tenure?.epoch, index + 2);
      assert.equal(listHeads(store).length, lanes);
      for (const key of listHeads(store)) {
        assert.equal(store.items.get(key)!.revision, tenure?.headRevision);
      }
    }
  });
});

// Guards against a lane that stops, or that takes its own commit for another owner's, after a lost response.
test("a lost response in one lane holds up only the records of its commit", async () => {
  let lostResponses = 0;
  await withLanes(3, async ({ journal, store, lost }) => {
    store.faults.responseMs = 80;
    let stored = 0;
    let flushed = false;
    for (let index = 0; index < 150; index++) {
      journal.put({
        key: `progress/${index}`,
        encode: () => String(index),
        onStored: () => stored++,
      });
    }
    journal.afterFlush(() => {
      flushed = true;
      assert.equal(stored, 150);
    });
    await waitFor("everything is stored", () => flushed);
    assert.ok(lostResponses > 0);
    assert.deepEqual(lost, []);
  }, async (change, apply) => {
    const outcome = await apply();
    if (headOf(change) === headKey(1) && lostResponses < 3) {
      lostResponses++;
      throw new StoreError("unknown_outcome", "The response was lost");
    }
    return outcome;
  });
});

// Guards against an older record that replaces a newer one of the same key, and against a callback of `afterFlush` that runs while a commit with earlier records is in flight.
test("records of one key are stored in order, and a flush waits for all lanes", async () => {
  const values: string[] = [];
  await withLanes(4, async ({ journal, store }) => {
    let latest = 0;
    const flushedAt: { scheduled: number; stored: number }[] = [];
    for (let round = 0; round < 40; round++) {
      latest++;
      const value = String(latest);
      journal.put({
        key: "progress/a",
        encode: () => value,
        urgent: round % 3 === 0,
      });
      putNumbered(journal, 20);
      const scheduled = latest;
      journal.afterFlush(() =>
        flushedAt.push({
          scheduled,
          stored: Number(store.items.get("progress/a")?.value),
        })
      );
      await delay(15);
    }
    await waitFor("all flushes", () => flushedAt.length === 40);
    assert.equal(store.items.get("progress/a")?.value, String(latest));
    assert.deepEqual(
      flushedAt.filter(({ scheduled, stored }) => stored < scheduled),
      [],
    );
    const numbers = values.map(Number);
    assert.deepEqual(numbers, [...numbers].sort((a, b) => a - b));
  }, async (change, apply) => {
    // Lanes respond at different speeds.
    await delay(headOf(change) === STORE_KEYS.head ? 150 : 55);
    const outcome = await apply();
    const item = change.puts.find(({ key }) => key === "progress/a");
    if (outcome.kind === "committed" && item !== undefined) {
      values.push(item.value);
    }
    return outcome;
  });
});

// Guards against a VM order that ends a worker whose list of ended runs isn't stored yet, so that the next owner doesn't know how they ended.
test("a record in order is confirmed only after all earlier records", async () => {
  let release = (): void => undefined;
  const released = new Promise<void>((resolve) => release = resolve);
  await withLanes(2, async ({ journal, store }) => {
    let confirmed = false;
    journal.put({ key: "progress/a", encode: () => "1" });
    await delay(30);
    journal.put({
      key: "fleet/order/vm-1",
      encode: () => "1",
      urgent: true,
      inOrder: true,
      onStored: () => confirmed = true,
    });
    await waitFor(
      "the order's record is stored",
      () => store.items.has("fleet/order/vm-1"),
    );
    await delay(30);
    assert.equal(confirmed, false);
    release();
    await waitFor("the order is confirmed", () => confirmed);
  }, async (change, apply) => {
    if (headOf(change) === STORE_KEYS.head) await released;
    return await apply();
  });
});

// Guards against an ended job that runs again: an owner is killed after a lane has deleted its progress record and before another one deletes the job.
test("an owner killed between two lanes leaves no ended job without its progress", async () => {
  const ids = Array.from({ length: 60 }, (_, index) => `job-${index}`);
  await withLanes(4, async ({ journal, store, kill }) => {
    for (const id of ids) {
      store.write(STORE_KEYS.jobPrefix + id, "{}");
      store.write(STORE_KEYS.progressPrefix + id, "{}");
    }
    const { scheduler } = createTestScheduler({ journal });
    for (const id of ids) scheduler.addEnded(id, "completed");
    scheduler.removeEndedBefore(Infinity);
    await delay(400);
    await kill();
    const hasRecord = (prefix: string) => (id: string) =>
      store.items.has(prefix + id);
    const withoutProgress = ids.filter((id) =>
      !hasRecord(STORE_KEYS.progressPrefix)(id)
    );
    assert.ok(withoutProgress.length > 0, "the other lanes have committed");
    assert.deepEqual(
      withoutProgress.filter(hasRecord(STORE_KEYS.jobPrefix)),
      [],
    );
  }, async (change, apply) => {
    // The commits of the first lane never arrive.
    if (headOf(change) === STORE_KEYS.head) await new Promise(() => {});
    return await apply();
  });
});

test.run();
