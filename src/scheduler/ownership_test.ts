import assert from "node:assert/strict";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { createRandom } from "../../testing/random.ts";
import { StoreError } from "../errors.ts";
import { acquireOwnership, STORE_KEYS } from "./ownership.ts";
import type { RecordStore } from "./ports.ts";

const test = suite("ownership");

const SELF = { entryId: "entry-1", address: "127.0.0.1:1" };
const OPTIONS = { leaseTtlMs: 60_000, replacedRevision: 0 };

/** Creates a store whose changes get no response; a change is applied when the next one arrives, or at once if it isn't the first. */
function createSilentStore() {
  const store = new FakeRecordStore(createRandom(1));
  const client = store.client(SELF.entryId);
  let held: (() => Promise<unknown>) | undefined;
  const silentClient: RecordStore = {
    ...client,
    async change(change) {
      if (held === undefined) held = () => client.change(change);
      else {
        await held();
        await client.change(change);
      }
      throw new StoreError("unknown_outcome", "The store did not respond");
    },
  };
  return { store, silentClient };
}

// Guards against an owner that renews a lease to which its key isn't attached, so that the key is deleted during its tenure.
test("the late first attempt to become the owner doesn't count as the success of the second", async () => {
  const { store, silentClient } = createSilentStore();
  const attempt = () => acquireOwnership(silentClient, SELF, OPTIONS);
  await assert.rejects(attempt, StoreError);
  assert.equal(store.items.get(STORE_KEYS.owner), undefined);
  const second = await attempt().catch((error) => {
    if (!(error instanceof StoreError)) throw error;
    return undefined;
  });
  const key = store.items.get(STORE_KEYS.owner);
  assert.notEqual(key, undefined);
  assert.ok(
    second === undefined || second.leaseId === key!.leaseId,
    `the key is attached to lease ${key!.leaseId}, not to ${second?.leaseId}`,
  );
  store.close();
});

// Guards against an owner whose orders every worker refuses, as the epoch started again because the head of the journal can't be read.
test("the epoch rises although the head of the journal can't be read", async () => {
  const store = new FakeRecordStore(createRandom(1));
  try {
    const acquire = () =>
      acquireOwnership(store.client(SELF.entryId), SELF, OPTIONS);
    let last = 0;
    for (let round = 0; round < 5; round++) {
      const tenure = await acquire();
      assert.ok((tenure?.epoch ?? 0) > last, `epoch ${tenure?.epoch}`);
      last = tenure!.epoch;
      store.expireAllLeases();
      if (round === 3) store.write(STORE_KEYS.head, "[[[");
    }
  } finally {
    store.close();
  }
});

test.run();
