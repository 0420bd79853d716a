import assert from "node:assert/strict";
import { suite } from "uvu";
import { run } from "effection";
import {
  MEAN_LAG_LIMIT_MS,
  resolveWarmUpMs,
  updateMeanLag,
  waitForEventLoopLag,
} from "./event_loop_lag.ts";

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

/** Returns how long an owner whose timers are always 200 ms late goes on, in ms on its clock. */
async function measureSlowTenureMs(sinceHandoverMs: number): Promise<number> {
  let nowMs = 0;
  // Each sample reads the clock before and after its timer of 50 ms.
  const clock = { wallMs: () => 0, monotonicMs: () => nowMs += 250 };
  await run(() => waitForEventLoopLag(clock, resolveWarmUpMs(sinceHandoverMs)));
  return nowMs;
}

// Guards against owners that replace each other every three seconds because each has too much work: every start loads all records and fences all workers.
test("a slow owner soon after a hand-over doesn't hand over again", async () => {
  assert.ok(await measureSlowTenureMs(Infinity) < 6_000);
  assert.ok(await measureSlowTenureMs(4_000) > 25_000);
  assert.ok(await measureSlowTenureMs(60_000) < 6_000);
});

test.run();
