import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import {
  headOf,
  putNumbered,
  withLanes,
} from "../../testing/laned_journal_helpers.ts";
import { createTestScheduler } from "../../testing/scheduler_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import { StoreError } from "../errors.ts";
import { headKey, STORE_KEYS } from "./ownership.ts";

const test = suite("journal with lanes");

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

// Guards against a commit whose response was lost and that the store executes after a newer one with the same key in another lane.
test("records of one key stay in order while changes are executed late or their responses are lost", async () => {
  const keys = Array.from({ length: 40 }, (_, index) => `progress/${index}`);
  const executed = new Map(keys.map((key) => [key, [] as number[]]));
  await withLanes(4, async ({ journal, store, lost }) => {
    const set = store.items.set.bind(store.items);
    store.items.set = (key, item) => {
      executed.get(key)?.push(Number(item.value));
      return set(key, item);
    };
    Object.assign(store.faults, {
      responseMs: 55,
      lateChangeRate: 0.3,
      lateMs: 150,
      lostAnswerRate: 0.2,
    });
    const rounds = 60;
    for (let round = 1; round <= rounds; round++) {
      for (const key of keys) {
        if ((round + key.length) % 3 === 0) continue;
        journal.put({
          key,
          encode: () => String(round),
          urgent: round % 2 > 0,
        });
      }
      await delay(20);
    }
    for (const key of keys) {
      journal.put({ key, encode: () => String(rounds + 1) });
    }
    let flushed = false;
    journal.afterFlush(() => {
      flushed = true;
      for (const key of keys) {
        assert.equal(store.items.get(key)?.value, String(rounds + 1));
      }
    });
    await waitFor("all records are stored", () => flushed);
    // Attempts that are still delayed in the store must not change anything.
    await delay(store.faults.lateMs + 100);
    for (const values of executed.values()) {
      assert.deepEqual(values, [...new Set(values)].sort((a, b) => a - b));
    }
    assert.deepEqual(lost, []);
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
    for (const id of ids) {
      scheduler.addEnded(id, { status: "completed", workspace: "" });
    }
    scheduler.removeEnded(0, () => true);
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

for (const lanes of [1, 3]) {
  // Guards against one record that the store never accepts and that keeps all later ones from being stored.
  test(`a record that is too large doesn't hold up others, with ${lanes} lanes`, async () => {
    await withLanes(lanes, async ({ journal, store }) => {
      const events: string[] = [];
      const put = (key: string, value: string) =>
        journal.put({
          key,
          encode: () => value,
          onStored: () => events.push(`${key} stored`),
          onRejected() {
            events.push(`${key} rejected`);
            put(key, "small");
          },
        });
      for (let index = 0; index < 70; index++) {
        put(`progress/${index}`, index === 40 ? "x".repeat(1_100_000) : "y");
      }
      // An end must not be acknowledged before the record that replaces the rejected one is stored.
      journal.afterFlush(() => events.push("flushed"));
      await waitFor("the flush", () => events.includes("flushed"));
      assert.equal(store.items.get("progress/69")?.value, "y");
      assert.equal(store.items.get("progress/40")?.value, "small");
      assert.equal(
        events.filter((event) => event.endsWith("rejected")).length,
        1,
      );
      assert.equal(events.at(-1), "flushed");
    });
  });

  // Guards against blaming records for a store that refuses everything for a while.
  test(`a store that rejects every commit for a while costs no record, with ${lanes} lanes`, async () => {
    await withLanes(lanes, async ({ journal, store }) => {
      store.faults.rejecting = true;
      let stored = 0;
      let rejected = 0;
      for (let index = 0; index < 70; index++) {
        journal.put({
          key: `progress/${index}`,
          encode: () => "y",
          onStored: () => stored++,
          onRejected: () => rejected++,
        });
      }
      await delay(600);
      store.faults.rejecting = false;
      await waitFor("all records are stored", () => stored === 70);
      assert.equal(rejected, 0);
    });
  });
}

test.run();
