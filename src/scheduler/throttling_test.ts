import assert from "node:assert/strict";
import { suite } from "uvu";
import { chooseSpeedPercent } from "./throttling.ts";

const test = suite("throttling");

// Guards against best-effort tasks that keep running while a serving task on the worker misses its latency target.
test("a missed target pauses best-effort tasks within two steps", () => {
  const first = chooseSpeedPercent(100, 1.2);
  assert.equal(chooseSpeedPercent(first, 1.2), 0);
});

// Guards against a speed that oscillates between full and zero.
test("the speed halves near the target, stays between the thresholds and rises in steps below", () => {
  assert.equal(chooseSpeedPercent(80, 0.9), 40);
  assert.equal(chooseSpeedPercent(40, 0.7), 40);
  assert.equal(chooseSpeedPercent(40, 0.3), 50);
  assert.equal(chooseSpeedPercent(95, 0.3), 100);
});

test.run();
