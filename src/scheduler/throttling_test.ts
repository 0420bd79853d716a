import assert from "node:assert/strict";
import { suite } from "uvu";
import { choosePercent } from "./throttling.ts";

const test = suite("pacing");

// Guards against filling tasks that work on while the serving task beside them misses its target.
test("a missed target stops the filling tasks within two decisions", () => {
  const first = choosePercent(100, 1.2);
  assert.equal(choosePercent(first, 1.2), 0);
});

// Guards against a pace that swings between full and none.
test("near the target the pace halves, between the marks it stays, below it rises by steps", () => {
  assert.equal(choosePercent(80, 0.9), 40);
  assert.equal(choosePercent(40, 0.7), 40);
  assert.equal(choosePercent(40, 0.3), 50);
  assert.equal(choosePercent(95, 0.3), 100);
});

test.run();
