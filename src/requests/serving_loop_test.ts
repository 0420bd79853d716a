import { test } from "uvu";
import * as assert from "uvu/assert";
import { MINIMUM_SLICE_REQUESTS, ServingLoop } from "./serving_loop.ts";

const CALLER_COUNT = 900;
/** Time for serving one request, in ms; the whole backlog takes longer than its deadlines. */
const SERVE_MS = 4;
/** Time for refusing an expired request, in ms. */
const REFUSE_MS = 0.1;
const ACCEPT_MS = 0.1;

interface TestRequest {
  readonly deadlineAtMs: number;
}

/** A loop whose iterations are run by the test, and whose connections send their request at once. */
function createTestLoop() {
  let nowMs = 0;
  let callbacks: (() => void)[] = [];
  const parsed: TestRequest[] = [];
  const answers: { lateMs: number; served: boolean; iteration: number }[] = [];
  let iteration = 0;
  const loop = new ServingLoop<TestRequest, TestRequest>({
    release: (connection) => void parsed.push(connection),
    serve({ deadlineAtMs }) {
      const served = nowMs < deadlineAtMs;
      nowMs += served ? SERVE_MS : REFUSE_MS;
      answers.push({ lateMs: nowMs - deadlineAtMs, served, iteration });
      return served;
    },
    afterIo: (callback) => void callbacks.push(callback),
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
  });
  return {
    loop,
    answers,
    /** Runs one iteration, which accepts at most one connection. */
    iterate(connection?: TestRequest) {
      iteration++;
      for (const request of parsed.splice(0)) {
        loop.add(request, request.deadlineAtMs);
      }
      if (connection !== undefined) {
        nowMs += ACCEPT_MS;
        loop.recordAccept(connection);
      }
      const due = callbacks;
      callbacks = [];
      for (const callback of due) callback();
    },
  };
}

// Guards against responses long after the deadline when more callers connect at once than can be served by their deadlines.
test("a backlog of 900 callers that is longer than its deadlines is answered by them", () => {
  const { loop, answers, iterate } = createTestLoop();
  const waiting = Array.from({ length: CALLER_COUNT }, (_, index) => ({
    deadlineAtMs: 200 + (index * 611) % 1_500,
  }));
  while (answers.length < CALLER_COUNT) iterate(waiting.shift());
  const latestMs = Math.max(...answers.map(({ lateMs }) => lateMs));
  assert.ok(latestMs < 100, `${latestMs} ms late`);
  const servedCount = answers.filter(({ served }) => served).length;
  assert.ok(servedCount > 300 && servedCount < CALLER_COUNT, `${servedCount}`);
  assert.equal(loop.takeHeld(), []);
});

// Guards against a delay of single requests by the hold of connections or by the slices.
test("a single request on an idle entry is served without a timer", () => {
  const { loop, answers, iterate } = createTestLoop();
  iterate({ deadlineAtMs: 1_000 });
  iterate();
  assert.is(answers.length, 0);
  iterate();
  assert.equal(answers, [{
    lateMs: ACCEPT_MS + SERVE_MS - 1_000,
    served: true,
    iteration: 3,
  }]);
  // A request on an open connection.
  loop.add({ deadlineAtMs: 1_000 }, 1_000);
  iterate();
  assert.is(answers.at(-1)!.iteration, 4);
});

// Guards against expired requests that wait for later slices, as each slice takes longer on a busy machine.
test("all expired requests of a backlog are refused in one slice", () => {
  const { loop, answers, iterate } = createTestLoop();
  for (let count = 0; count < CALLER_COUNT; count++) {
    loop.add({ deadlineAtMs: -1 }, -1);
  }
  iterate();
  assert.is(answers.length, CALLER_COUNT);
});

// Guards against a slice that serves the whole backlog while new callers wait to be accepted.
test("a connection is accepted between two slices of a backlog", () => {
  const { loop, answers, iterate } = createTestLoop();
  for (let count = 0; count < 100; count++) {
    loop.add({ deadlineAtMs: 1_000 }, 1_000);
  }
  iterate();
  assert.is(answers.length, MINIMUM_SLICE_REQUESTS);
  iterate({ deadlineAtMs: 10 });
  iterate();
  iterate();
  assert.ok(
    answers[MINIMUM_SLICE_REQUESTS]!.lateMs > 0,
    "the new caller's request comes next",
  );
});

test.run();
