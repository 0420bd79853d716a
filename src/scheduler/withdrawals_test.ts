import assert from "node:assert/strict";
import { run } from "effection";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { createRandom } from "../../testing/random.ts";
import { waitFor } from "../../testing/wait.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { STORE_KEYS } from "./ownership.ts";
import { removeOldWithdrawals } from "./withdrawal_cleanup.ts";
import {
  createWithdrawalBudget,
  createWithdrawals,
  withdrawalKey,
} from "./withdrawals.ts";

const test = suite("withdrawals");

const idOf = (index: number) => index.toString(16).padStart(16, "0");

function createFixture() {
  const store = new FakeRecordStore(createRandom(7));
  return {
    store,
    withdrawals: createWithdrawals({ store: store.client("e") }),
  };
}

// Guards against callers that use up the store's writes by cancelling jobs that nobody has submitted.
test("many withdrawals share a change, and stored jobs don't hold up the others", async () => {
  const { store, withdrawals } = createFixture();
  const storeJob = (index: number, workspace: string) =>
    store.write(
      STORE_KEYS.jobPrefix + idOf(index),
      JSON.stringify({ workspace }),
    );
  storeJob(3, "a");
  storeJob(4, "b");
  const outcomes = await Promise.all(
    Array.from(
      { length: 60 },
      (_, index) =>
        withdrawals.store({ jobId: idOf(index % 50), workspace: "a" }),
    ),
  );
  const expected = Array.from({ length: 60 }, (_, index) => {
    if (index % 50 === 3) return "existing";
    return index % 50 === 4 ? "foreign" : "stored";
  });
  assert.deepEqual(outcomes, expected);
  assert.ok(store.changeCount <= 8, `${store.changeCount} changes`);
});

// Guards against callers that wait for one timeout of the store after the other.
test("withdrawals that wait for a change without a response fail with it", async () => {
  const { store, withdrawals } = createFixture();
  store.faults.lateChangeRate = 1;
  const results = await Promise.allSettled(
    Array.from(
      { length: 40 },
      (_, index) => withdrawals.store({ jobId: idOf(index), workspace: "" }),
    ),
  );
  assert.ok(results.every(({ status }) => status === "rejected"));
  store.faults.lateChangeRate = 0;
  assert.equal(
    await withdrawals.store({ jobId: idOf(1), workspace: "" }),
    "stored",
  );
});

// Guards against keys that the store rejects because a workspace's name is long.
test("a withdrawal's key is short and differs for each workspace", () => {
  const keyOf = (workspace: string) =>
    withdrawalKey({ jobId: idOf(1), workspace });
  const keys = ["", "a", "b", "long ".repeat(100)].map(keyOf);
  assert.equal(new Set(keys).size, keys.length);
  assert.ok(keys.every((key) => key.length < 200));
});

// Guards against a store that callers fill with withdrawals, which stay for minutes.
test("an entry stores a limited number of withdrawals, and more after a time", () => {
  let nowMs = 0;
  const budget = createWithdrawalBudget({
    clock: { monotonicMs: () => nowMs },
  });
  let taken = 0;
  while (budget.take() === 0) taken++;
  assert.ok(taken >= 1_000 && taken <= 2_000, `${taken} withdrawals`);
  const retryAfterMs = budget.take();
  assert.ok(retryAfterMs > 0);
  nowMs += retryAfterMs;
  assert.equal(budget.take(), 0);
});

// Guards against withdrawals that stay in the store for ever, and against removing one before a late write of its job has failed.
test("withdrawals are removed once they are old, and not before", async () => {
  const { store, withdrawals } = createFixture();
  const keepMs = 150;
  const intervalMs = 20;
  const removed: string[] = [];
  const cleanup = run(() =>
    removeOldWithdrawals({
      store: store.client("e"),
      journal: {
        put({ key }) {
          removed.push(key);
          store.remove(key);
        },
      },
      clock: systemClock,
      log: silentLogger,
      keepMs,
      intervalMs,
    })
  );
  try {
    const startedAtMs = performance.now();
    await withdrawals.store({ jobId: idOf(1), workspace: "" });
    store.faults.down = true;
    await waitFor(
      "some checks have failed",
      () => performance.now() - startedAtMs > 3 * intervalMs,
    );
    store.faults.down = false;
    await waitFor("it is removed", () => removed.length > 0);
    assert.ok(performance.now() - startedAtMs >= keepMs);
    assert.deepEqual(removed, [
      withdrawalKey({ jobId: idOf(1), workspace: "" }),
    ]);
  } finally {
    await cleanup.halt();
  }
});

test.run();
