import assert from "node:assert/strict";
import { suite } from "uvu";
import { chooseSpeedPercent } from "./throttling.ts";

const test = suite("pacing");

// Guards against filling tasks that work on while the serving task beside them misses its target.
test("a missed target stops the filling tasks within two decisions", () => {
  const first = chooseSpeedPercent(100, 1.2);
  assert.equal(chooseSpeedPercent(first, 1.2), 0);
});

// Guards against a pace that swings between full and none.
test("near the target the pace halves, between the marks it stays, below it rises by steps", () => {
  assert.equal(chooseSpeedPercent(80, 0.9), 40);
  assert.equal(chooseSpeedPercent(40, 0.7), 40);
  assert.equal(chooseSpeedPercent(40, 0.3), 50);
  assert.equal(chooseSpeedPercent(95, 0.3), 100);
});

test.run();
