import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceTimes } from "./service_times.ts";

// Guards against idle entries that merge unchanged histograms for each digest, and against estimates that ignore a response.
test("estimates are recomputed only after a response", () => {
  let nowMs = 0;
  const times = new ServiceTimes({
    wallMs: () => nowMs,
    monotonicMs: () => nowMs,
  });
  times.record(20);
  const first = times.estimates();
  assert.is(Math.round(first.meanMs), 20);
  nowMs += 60_000;
  assert.is(times.estimates(), first);
  times.record(40);
  assert.is(Math.round(times.estimates().meanMs), 30);
  // A response within the refresh interval is only included in the next computation.
  times.record(40);
  assert.is(Math.round(times.estimates().meanMs), 30);
  nowMs += 1_000;
  assert.is(Math.round(times.estimates().meanMs), 33);
});

test.run();
