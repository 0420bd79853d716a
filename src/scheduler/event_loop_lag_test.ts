import assert from "node:assert/strict";
import { suite } from "uvu";
import { MEAN_LAG_LIMIT_MS, updateMeanLag } from "./event_loop_lag.ts";

const test = suite("lag meter");

function meanAfter(latenesses: readonly number[]): number {
  return latenesses.reduce(updateMeanLag, 0);
}

// Guards against an owner on a slowed VM that keeps its workers waiting for seconds.
test("an owner whose timers are late for about a second is found", () => {
  assert.ok(meanAfter(Array(15).fill(200)) > MEAN_LAG_LIMIT_MS);
});

// Guards against handing over because of one long pause or usual lateness.
test("one long pause and small lateness are passed over", () => {
  assert.ok(
    meanAfter([...Array(20).fill(2), 600, ...Array(5).fill(2)]) <
      MEAN_LAG_LIMIT_MS,
  );
  assert.ok(meanAfter(Array(200).fill(15)) < MEAN_LAG_LIMIT_MS);
});

test.run();
