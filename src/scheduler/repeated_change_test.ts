import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { systemClock } from "../clock.ts";
import { StoreError } from "../errors.ts";
import type { ChangeOutcome } from "./ports.ts";
import { createRepeatedChanges } from "./repeated_change.ts";

const test = suite("repeated change");

const CHANGE = { conditions: [], puts: [] };
const COMMITTED = { kind: "committed", revision: 7 } as const;

/** Changes whose attempts have the given outcomes, in this order. */
function createTestChanges(attempts: (() => Promise<ChangeOutcome>)[]) {
  let count = 0;
  const changes = createRepeatedChanges({
    store: { change: () => attempts[count++]!() },
    clock: systemClock,
  });
  return { changes, countAttempts: () => count };
}

// Guards against an owner that stores nothing until the timeout of one lost response has passed.
test("a change without a response is sent again, and the first outcome counts", async () => {
  const { changes, countAttempts } = createTestChanges([
    () => new Promise(() => {}),
    () => Promise.resolve(COMMITTED),
  ]);
  assert.deepEqual(await changes.send(CHANGE), COMMITTED);
  assert.equal(countAttempts(), 2);
});

// Guards against an outcome that is reported as unknown although an attempt has one.
test("the change fails only if both attempts fail, with the first error", async () => {
  const fail = async (message: string, waitMs: number) => {
    await delay(waitMs);
    throw new StoreError("unknown_outcome", message);
  };
  const { changes } = createTestChanges([
    () => fail("first", 200),
    () => fail("second", 1),
    () => delay(200, COMMITTED),
    () => fail("second", 1),
  ]);
  await assert.rejects(changes.send(CHANGE), { message: "first" });
  assert.deepEqual(await changes.send(CHANGE), COMMITTED);
});

// Guards against a slow store that gets each change twice.
test("a change is sent once if the response comes, also from a store that is slow", async () => {
  const slow = () => delay(300, COMMITTED);
  const { changes, countAttempts } = createTestChanges([
    () => Promise.reject(new StoreError("unavailable", "busy")),
    slow,
    slow,
    slow,
    slow,
    slow,
    slow,
  ]);
  await assert.rejects(changes.send(CHANGE), { message: "busy" });
  assert.equal(countAttempts(), 1);
  for (let change = 0; change < 5; change++) await changes.send(CHANGE);
  // The first slow response isn't expected yet.
  assert.equal(countAttempts(), 7);
});

test.run();
