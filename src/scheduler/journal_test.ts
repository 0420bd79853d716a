import assert from "node:assert/strict";
import { run } from "effection";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { createRandom } from "../../testing/random.ts";
import { waitFor } from "../../testing/wait.ts";
import { silentLogger } from "../logger.ts";
import { createJournal, type Journal } from "./journal.ts";
import { acquireOwnership, STORE_KEYS } from "./ownership.ts";

/** A lease that outlasts each test, for an entry that finds no owner's key. */
const VACANT = { leaseTtlMs: 60_000, replacedRevision: 0 };

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
    VACANT,
  );
  const lost: string[] = [];
  const journal = createJournal({
    store: client,
    tenure: tenure!,
    log: silentLogger,
    onLost: (reason) => lost.push(reason),
    onContact() {},
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

// Guards against a commit with more entries than the store takes, which would be rejected for ever.
test("many records are divided into changes that the store takes", async () => {
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
    assert.ok(store.changes <= 6, `${store.changes} changes`);
  });
});

// Guards against taking one's own late commit for another owner's.
test("a commit whose answer was lost counts once it is found in the head", async () => {
  await withJournal(async (journal, store, lost) => {
    store.faults.lostShare = 1;
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
    store.faults.lostShare = 0;
    await waitFor("the commit is recognised", () => stored);
    assert.deepEqual(lost, []);
  });
});

// Guards against a replaced owner that goes on recording.
test("a commit after a newer election ends the tenure and stores nothing", async () => {
  await withJournal(async (journal, store, lost) => {
    store.endAllLeases();
    await acquireOwnership(
      store.client("entry-2"),
      { entryId: "entry-2", address: "" },
      VACANT,
    );
    journal.put({ key: "progress/a", encode: () => "1" });
    await waitFor("the tenure is lost", () => lost.length > 0);
    assert.equal(store.items.has("progress/a"), false);
  });
});

// Guards against an epoch that falls, so that workers would refuse the new owner.
test("each election raises the epoch, also when the owner's key lapsed", async () => {
  await withJournal(async (_, store) => {
    store.endAllLeases();
    const next = await acquireOwnership(
      store.client("entry-2"),
      { entryId: "entry-2", address: "" },
      VACANT,
    );
    assert.equal(next?.epoch, 2);
    const other = await acquireOwnership(
      store.client("entry-3"),
      { entryId: "entry-3", address: "" },
      VACANT,
    );
    assert.equal(other, undefined);
    assert.ok(store.items.has(STORE_KEYS.head));
  });
});

// Guards against two owners: an entry that takes the owner as gone must not replace one that it hasn't seen.
test("a key is replaced only at the revision that was seen, with a higher epoch", async () => {
  await withJournal(async (journal, store, lost) => {
    const seen = store.items.get(STORE_KEYS.owner)!.revision;
    const replace = (id: string) =>
      acquireOwnership(
        store.client(id),
        { entryId: id, address: "" },
        { ...VACANT, replacedRevision: seen },
      );
    assert.equal((await replace("entry-2"))?.epoch, 2);
    assert.equal(await replace("entry-3"), undefined);
    journal.put({ key: "progress/a", encode: () => "1" });
    await waitFor("the tenure is lost", () => lost.length > 0);
    assert.equal(store.items.has("progress/a"), false);
  });
});

// Guards against a tenure that nobody works in until its lease runs out, because the answer to the election was lost.
test("an election whose answer was lost is found in the store", async () => {
  const store = new FakeRecordStore(createRandom(5));
  try {
    store.faults.lostShare = 1;
    const tenure = await acquireOwnership(
      store.client("entry-1"),
      { entryId: "entry-1", address: "" },
      VACANT,
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
