import assert from "node:assert/strict";
import { run } from "effection";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { createRandom } from "../../testing/random.ts";
import { waitFor } from "../../testing/wait.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { createJournal, type Journal } from "./journal.ts";
import { acquireOwnership, STORE_KEYS } from "./ownership.ts";

/** Options for an election without a previous owner; the lease outlasts each test. */
const NO_OWNER = { leaseTtlMs: 60_000, replacedRevision: 0 };

const test = suite("journal");

async function withJournal(
  body: (
    journal: Journal,
    store: FakeRecordStore,
    lost: string[],
  ) => Promise<void>,
): Promise<void> {
  const store = new FakeRecordStore(createRandom(3));
  const client = store.client("entry-1");
  const tenure = await acquireOwnership(
    client,
    { entryId: "entry-1", address: "" },
    NO_OWNER,
  );
  const lost: string[] = [];
  const journal = createJournal({
    store: client,
    tenure: tenure!,
    clock: systemClock,
    log: silentLogger,
    onLost: (reason) => lost.push(reason),
    onResponse() {},
    onFailure() {},
  });
  const task = run(() => journal.run());
  try {
    await body(journal, store, lost);
  } finally {
    await task.halt();
    store.close();
  }
}

// Guards against a commit with more operations than the store allows, which would be rejected on every retry.
test("many records are split into changes within the store's limit", async () => {
  await withJournal(async (journal, store) => {
    let stored = 0;
    for (let index = 0; index < 100; index++) {
      journal.put({
        key: `progress/${index}`,
        encode: () => String(index),
        onStored: () => stored++,
      });
    }
    await waitFor("all records are stored", () => stored === 100);
    assert.equal(store.items.get("progress/99")?.value, "99");
    assert.ok(store.changeCount <= 6, `${store.changeCount} changes`);
  });
});

// Guards against mistaking the owner's own commit, executed late, for another owner's.
test("a commit whose response was lost counts as stored once the head shows it", async () => {
  await withJournal(async (journal, store, lost) => {
    store.faults.lostAnswerRate = 1;
    let stored = false;
    journal.put({
      key: "progress/a",
      encode: () => "1",
      onStored: () => stored = true,
    });
    await waitFor(
      "the record is in the store",
      () => store.items.has("progress/a"),
    );
    store.faults.lostAnswerRate = 0;
    await waitFor("the commit is recognised", () => stored);
    assert.deepEqual(lost, []);
  });
});

// Guards against a replaced owner that keeps writing records.
test("a commit after a newer election ends the tenure and stores nothing", async () => {
  await withJournal(async (journal, store, lost) => {
    store.expireAllLeases();
    await acquireOwnership(
      store.client("entry-2"),
      { entryId: "entry-2", address: "" },
      NO_OWNER,
    );
    journal.put({ key: "progress/a", encode: () => "1" });
    await waitFor("the tenure is lost", () => lost.length > 0);
    assert.equal(store.items.has("progress/a"), false);
  });
});

// Guards against an epoch that decreases, so that workers would reject the new owner's orders.
test("each election raises the epoch, also after the owner's key has expired", async () => {
  await withJournal(async (_, store) => {
    store.expireAllLeases();
    const next = await acquireOwnership(
      store.client("entry-2"),
      { entryId: "entry-2", address: "" },
      NO_OWNER,
    );
    assert.equal(next?.epoch, 2);
    const other = await acquireOwnership(
      store.client("entry-3"),
      { entryId: "entry-3", address: "" },
      NO_OWNER,
    );
    assert.equal(other, undefined);
    assert.ok(store.items.has(STORE_KEYS.head));
  });
});

// Guards against two owners: an entry that considers the owner failed must not replace a newer owner that
// it hasn't seen.
test("the owner's key is replaced only at the revision that was read, with a higher epoch", async () => {
  await withJournal(async (journal, store, lost) => {
    const seen = store.items.get(STORE_KEYS.owner)!.revision;
    const replace = (id: string) =>
      acquireOwnership(
        store.client(id),
        { entryId: id, address: "" },
        { ...NO_OWNER, replacedRevision: seen },
      );
    assert.equal((await replace("entry-2"))?.epoch, 2);
    assert.equal(await replace("entry-3"), undefined);
    journal.put({ key: "progress/a", encode: () => "1" });
    await waitFor("the tenure is lost", () => lost.length > 0);
    assert.equal(store.items.has("progress/a"), false);
  });
});

// Guards against an elected entry that doesn't start, so that there is no owner until the lease expires,
// because the response to its election was lost.
test("an election whose response was lost is found in the store", async () => {
  const store = new FakeRecordStore(createRandom(5));
  try {
    store.faults.lostAnswerRate = 1;
    const tenure = await acquireOwnership(
      store.client("entry-1"),
      { entryId: "entry-1", address: "" },
      NO_OWNER,
    );
    assert.equal(tenure?.epoch, 1);
    assert.equal(
      tenure?.headRevision,
      store.items.get(STORE_KEYS.head)?.revision,
    );
  } finally {
    store.close();
  }
});

test.run();
