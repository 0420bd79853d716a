import assert from "node:assert/strict";
import { suite } from "uvu";
import { MEAN_LAG_LIMIT_MS, updateMeanLag } from "./event_loop_lag.ts";

const test = suite("event loop lag");

function meanLag(samples: readonly number[]): number {
  return samples.reduce(updateMeanLag, 0);
}

// Guards against an owner on a slow VM that makes its workers wait for seconds.
test("timers that are late for about a second exceed the limit", () => {
  assert.ok(meanLag(Array(15).fill(200)) > MEAN_LAG_LIMIT_MS);
});

// Guards against an ownership change because of one long pause or of normal lag.
test("one long pause and normal lag stay below the limit", () => {
  assert.ok(
    meanLag([...Array(20).fill(2), 600, ...Array(5).fill(2)]) <
      MEAN_LAG_LIMIT_MS,
  );
  assert.ok(meanLag(Array(200).fill(15)) < MEAN_LAG_LIMIT_MS);
});

test.run();
