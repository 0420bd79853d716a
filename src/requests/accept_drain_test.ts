import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  decideLoopStep,
  MAXIMUM_DRAIN_MS,
  MINIMUM_DRAIN_CONNECTIONS,
} from "./accept_drain.ts";

const CALLER_COUNT = 900;
/** Duration of an iteration that accepts one connection, in ms. */
const ACCEPT_MS = 0.1;

/** Returns how many connections each release has, and the longest time until a release, in ms. */
function drain(
  callerCount: number,
): { releases: number[]; longestHoldMs: number } {
  let [waiting, held, accepted, released] = [callerCount, 0, 0, false];
  let [nowMs, drainingSinceMs, longestHoldMs] = [0, 0, 0];
  const releases: number[] = [];
  while (waiting + held > 0) {
    if (waiting > 0) {
      waiting--;
      held++;
      accepted = 1;
      nowMs += ACCEPT_MS;
    }
    const drainingForMs = nowMs - drainingSinceMs;
    const step = decideLoopStep({ accepted, held, drainingForMs, released });
    released = step === "release";
    accepted = 0;
    if (step === "accept") continue;
    longestHoldMs = Math.max(longestHoldMs, drainingForMs);
    drainingSinceMs = nowMs;
    if (step !== "release") continue;
    releases.push(held);
    held = 0;
  }
  return { releases, longestHoldMs };
}

// Guards against requests that are parsed and served while hundreds of callers wait to be accepted.
test("900 callers that connect at once are accepted before the first is served", () => {
  const { releases, longestHoldMs } = drain(CALLER_COUNT);
  assert.ok(
    releases.length <= Math.ceil(CALLER_COUNT * ACCEPT_MS / MAXIMUM_DRAIN_MS),
    `${releases}`,
  );
  assert.ok(longestHoldMs <= MAXIMUM_DRAIN_MS + 2 * ACCEPT_MS);
});

// Guards against a connection that waits for others or for a timer on an idle entry.
test("a single connection is released after the first iteration without an accept", () => {
  const state = { held: 1, drainingForMs: 0, released: false };
  assert.is(decideLoopStep({ ...state, accepted: 1 }), "accept");
  assert.is(decideLoopStep({ ...state, accepted: 0 }), "release");
});

// Guards against callers that connect all the time and so keep parsed requests from being served.
test("a release is followed by a slice even if connections arrive all the time", () => {
  assert.is(
    decideLoopStep({ accepted: 1, held: 5, drainingForMs: 0, released: true }),
    "serve",
  );
  assert.is(
    decideLoopStep({
      accepted: 1,
      held: MINIMUM_DRAIN_CONNECTIONS,
      drainingForMs: MAXIMUM_DRAIN_MS,
      released: false,
    }),
    "release",
  );
});

// Guards against drains that accept a single connection because the process was suspended in them.
test("a drain that was suspended accepts more connections", () => {
  assert.is(
    decideLoopStep({
      accepted: 1,
      held: 1,
      drainingForMs: 2 * MAXIMUM_DRAIN_MS,
      released: false,
    }),
    "accept",
  );
});

test.run();
