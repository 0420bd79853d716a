import assert from "node:assert/strict";
import { suite } from "uvu";
import { createRandom } from "../../testing/random.ts";
import { createPollPacing, type PollPacing } from "./poll_pacing.ts";

const test = suite("poll pacing");
const BUSY = { mayHaveRuns: true, needsFrequentPolls: false };
/** Usual response timeout of an order, in ms. */
const RESPONSE_TIMEOUT_MS = 500;

/**
 * Polls a worker on which a run ends each 60 ms, and loses one poll in twenty;
 * returns the mean time from an end to its report, in ms.
 */
function meanReportDelayMs(pacing: PollPacing, setNow: (ms: number) => void) {
  const random = createRandom(11);
  let nowMs = 0;
  let nextEndMs = 60;
  let sumMs = 0;
  let ends = 0;
  while (nowMs < 60_000) {
    setNow(nowMs);
    const { waitMs, responseTimeoutMs } = pacing.next(BUSY);
    if (random.next() < 0.05) {
      pacing.recordSilence("worker-1");
      nowMs += waitMs + (responseTimeoutMs ?? RESPONSE_TIMEOUT_MS) +
        pacing.failedPollPauseMs();
      setNow(nowMs);
      pacing.recordReturn("worker-1");
    } else nowMs = Math.max(nowMs, Math.min(nextEndMs, nowMs + waitMs)) + 2;
    for (; nextEndMs <= nowMs; nextEndMs += 60) {
      sumMs += nowMs - nextEndMs;
      ends++;
    }
  }
  return sumMs / ends;
}

// Guards against ends that are learned a second late because one poll in twenty has no response.
test("the ends on a busy worker are learned in time while responses are lost", () => {
  let nowMs = 0;
  const setNow = (ms: number) => nowMs = ms;
  const usual = createPollPacing(() => nowMs);
  const usualDelayMs = meanReportDelayMs(usual, setNow);
  const lossy = createPollPacing(() => nowMs);
  // Two other workers lose responses as well, now and then.
  const next: PollPacing["next"] = (worker) => {
    for (const other of ["worker-2", "worker-3"]) {
      lossy.recordSilence(other);
      lossy.recordReturn(other);
    }
    return lossy.next(worker);
  };
  const lossyDelayMs = meanReportDelayMs({ ...lossy, next }, setNow);
  console.log({ usualDelayMs, lossyDelayMs });
  assert.ok(usualDelayMs > 300, `usual pacing: ${usualDelayMs} ms`);
  assert.ok(lossyDelayMs < 100, `short polls: ${lossyDelayMs} ms`);
});

// Guards against frequent polls of the whole fleet because some workers are down.
test("workers that stay silent don't shorten the polls of the others", () => {
  const pacing = createPollPacing(() => 0);
  for (const worker of ["a", "b", "c", "d"]) pacing.recordSilence(worker);
  assert.equal(pacing.next(BUSY).waitMs, 900);
  assert.equal(pacing.failedPollPauseMs(), 150);
});

// Guards against polls that stay short after the losses have ended.
test("polls are long again once no response was lost for three seconds", () => {
  let nowMs = 0;
  const pacing = createPollPacing(() => nowMs);
  for (const worker of ["a", "b", "c"]) {
    pacing.recordSilence(worker);
    pacing.recordReturn(worker);
  }
  assert.equal(pacing.next(BUSY).waitMs, 200);
  nowMs = 3_001;
  assert.equal(pacing.next(BUSY).waitMs, 900);
});

// Guards against jobs that end late because the ends of one worker wait, and against an owner without processor time when those of all do.
test("a worker whose ends wait is polled often, and less often if there are many", () => {
  let nowMs = 0;
  const pacing = createPollPacing(() => nowMs);
  assert.equal(pacing.withheldPauseMs("w0"), 80);
  for (let index = 0; index < 400; index++) pacing.withheldPauseMs(`w${index}`);
  assert.equal(pacing.withheldPauseMs("w0"), 600);
  nowMs += 2_000;
  assert.equal(pacing.withheldPauseMs("w0"), 80);
});

test.run();
