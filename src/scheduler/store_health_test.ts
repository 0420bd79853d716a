import assert from "node:assert/strict";
import { suite } from "uvu";
import { createStoreHealth } from "./store_health.ts";

const test = suite("store health");

// Guards against sending every request to a failing store, and against sending none, which would not
// detect that the store has recovered.
test("while the store is failing, one write per interval is allowed until one succeeds", () => {
  let nowMs = 1_000;
  const health = createStoreHealth({
    monotonicMs: () => nowMs,
    wallMs: () => nowMs,
  });
  assert.equal(health.allowsRequest(), true);
  health.recordFailure();
  assert.equal(health.isFailing(), true);
  assert.deepEqual([health.allowsRequest(), health.allowsRequest()], [
    false,
    false,
  ]);
  nowMs += 300;
  assert.deepEqual([health.allowsRequest(), health.allowsRequest()], [
    true,
    false,
  ]);
  health.recordFailure();
  nowMs += 100;
  assert.equal(health.allowsRequest(), false);
  health.recordSuccess();
  assert.deepEqual([health.allowsRequest(), health.allowsRequest()], [
    true,
    true,
  ]);
});

test.run();
