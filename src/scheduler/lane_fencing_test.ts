import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import type { FakeRecordStore } from "../../testing/fake_record_store.ts";
import {
  headOf,
  LEASE_TTL_MS,
  putNumbered,
  withLanes,
} from "../../testing/laned_journal_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import { acquireOwnership, headKey, STORE_KEYS } from "./ownership.ts";
import type { ChangeOutcome } from "./ports.ts";

const test = suite("fencing of lanes");

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
      // An election with one lane leaves further heads, which the owner's key fences.
      const remaining = lanes === 1 ? 4 : lanes;
      assert.deepEqual(
        listHeads(store),
        Array.from({ length: remaining }, (_, lane) => headKey(lane)),
      );
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

// Guards against an election that loses to itself or takes over a head of an earlier epoch when owners with different settings follow each other.
test("each election with several lanes replaces the heads of all earlier ones", async () => {
  await withLanes(5, async ({ store }) => {
    const { revision } = store.items.get(STORE_KEYS.owner)!;
    const single = await elect(store, 1, revision);
    assert.equal(
      single?.headRevision,
      store.items.get(STORE_KEYS.head)?.revision,
    );
    for (const [index, lanes] of [2, 8, 3].entries()) {
      const { revision } = store.items.get(STORE_KEYS.owner)!;
      const tenure = await elect(store, lanes, revision);
      assert.equal(tenure?.epoch, index + 3);
      assert.equal(listHeads(store).length, lanes);
      for (const key of listHeads(store)) {
        assert.equal(store.items.get(key)!.revision, tenure?.headRevision);
      }
    }
  });
});

test.run();
