import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callWithTimeout } from "./call_timeout.ts";

const hang = (signal: AbortSignal) =>
  new Promise<never>((_, reject) => {
    if (signal.aborted) reject(signal.reason);
    signal.addEventListener("abort", () => reject(signal.reason));
  });
const reasonOf = (call: Promise<unknown>) =>
  call.then(() => assert.unreachable(), (error) => error);
const timers = () =>
  process.getActiveResourcesInfo().filter((name) => name === "Timeout").length;

// Guards against calls that hang, and against timers that wake the process after their call has ended.
test("a call ends with its timeout or the outer signal, its timer with the call", async () => {
  const late = await reasonOf(callWithTimeout(hang, { timeoutMs: 10 }));
  assert.is(late.name, "TimeoutError");
  const outer = new AbortController();
  const options = { timeoutMs: 60_000, signal: outer.signal };
  const aborted = reasonOf(callWithTimeout(hang, options));
  outer.abort("stopped");
  assert.is(await aborted, "stopped");
  assert.is(await reasonOf(callWithTimeout(hang, options)), "stopped");
  const before = timers();
  const result = callWithTimeout(() => Promise.resolve(1), {
    timeoutMs: 60_000,
  });
  assert.is(timers(), before + 1);
  assert.is(await result, 1);
  assert.is(timers(), before);
});

test.run();
