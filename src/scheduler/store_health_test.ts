import assert from "node:assert/strict";
import { suite } from "uvu";
import { createStoreHealth } from "./store_health.ts";

const test = suite("store health");

// Guards against an outage in which every request is sent to the store, or none finds out that it is back.
test("while the store fails one write in each interval is tried; an answer ends that", () => {
  let nowMs = 1_000;
  const health = createStoreHealth({
    monotonicMs: () => nowMs,
    wallMs: () => nowMs,
  });
  assert.equal(health.mayTry(), true);
  health.noteFailure();
  assert.equal(health.isFailing(), true);
  assert.deepEqual([health.mayTry(), health.mayTry()], [false, false]);
  nowMs += 300;
  assert.deepEqual([health.mayTry(), health.mayTry()], [true, false]);
  health.noteFailure();
  nowMs += 100;
  assert.equal(health.mayTry(), false);
  health.noteAnswer();
  assert.deepEqual([health.mayTry(), health.mayTry()], [true, true]);
});

test.run();
