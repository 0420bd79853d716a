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
