import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callWithTimeout } from "./call_timeout.ts";

const waitForAbort = (signal: AbortSignal) =>
  new Promise<never>((_, reject) => {
    if (signal.aborted) reject(signal.reason);
    signal.addEventListener("abort", () => reject(signal.reason));
  });
const getRejection = (call: Promise<unknown>) =>
  call.then(() => assert.unreachable(), (error) => error);
const countTimers = () =>
  process.getActiveResourcesInfo().filter((name) => name === "Timeout").length;

// Guards against calls that never settle and against timers that keep running after their call has settled.
test("a call rejects on timeout or on abort of the outer signal and clears its timer", async () => {
  const timedOut = await getRejection(
    callWithTimeout(waitForAbort, { timeoutMs: 10 }),
  );
  assert.is(timedOut.name, "TimeoutError");
  const outer = new AbortController();
  const options = { timeoutMs: 60_000, signal: outer.signal };
  const aborted = getRejection(callWithTimeout(waitForAbort, options));
  outer.abort("stopped");
  assert.is(await aborted, "stopped");
  assert.is(
    await getRejection(callWithTimeout(waitForAbort, options)),
    "stopped",
  );
  const timersBefore = countTimers();
  const result = callWithTimeout(() => Promise.resolve(1), {
    timeoutMs: 60_000,
  });
  assert.is(countTimers(), timersBefore + 1);
  assert.is(await result, 1);
  assert.is(countTimers(), timersBefore);
});

test.run();
