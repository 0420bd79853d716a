import assert from "node:assert/strict";
import fc from "fast-check";
import { suite } from "uvu";
import { ended, TASK } from "../../testing/scheduler_helpers.ts";
import * as validity from "./start_validity.ts";

const { isProvenNotStarted, START_PROOF_MARGIN_MS: MARGIN_MS } = validity;
const test = suite("start validity");

const START = { taskId: TASK, run: 2, bornAtMs: 7, startDeadlineMs: 1_500 };
const REPORT = { bornAtMs: 7, running: [], ended: [], hasMoreEnded: false };
const RUNNING = { taskId: TASK, checkpoint: "", percent: 0, loadMetric: 0 };

// Guards against tasks that block their capacity for 7 s, or run twice, when half of the orders to workers are unanswered and executed 2 to 12 s later.
test("on a day of late orders, a run is free exactly when no attempt can start it any more", () => {
  const lateMs = fc.integer({ min: 2_000, max: 12_000 });
  const attempt = fc.record({ deadlineMs: fc.nat(7_000), lateMs });
  const attempts = fc.array(attempt, { minLength: 1, maxLength: 2 });
  fc.assert(fc.property(attempts, fc.nat(14_000), (sent, clockMs) => {
    let startDeadlineMs: number | undefined;
    for (const { deadlineMs } of sent) {
      startDeadlineMs = validity.extendStartDeadlineMs(
        startDeadlineMs,
        deadlineMs,
      );
    }
    const latestMs = Math.max(...sent.map((one) => one.deadlineMs));
    const executed = sent.filter((one) => one.lateMs < one.deadlineMs);
    const isListed = executed.some((one) => one.lateMs <= clockMs);
    const running = isListed ? [{ ...RUNNING, run: 2 }] : [];
    assert.equal(
      isProvenNotStarted(
        { ...START, startDeadlineMs },
        { ...REPORT, clockMs, running },
      ),
      executed.length === 0 && clockMs > latestMs + MARGIN_MS,
    );
  }));
});

// Guards against a second run (TWICE) on evidence that is incomplete, another process's or for an unknown deadline.
test("only a complete report of the same process is a proof", () => {
  const proof = { ...REPORT, clockMs: 1_501 + MARGIN_MS };
  assert.equal(isProvenNotStarted(START, proof), true);
  for (
    const change of [
      { bornAtMs: 8 },
      { bornAtMs: undefined },
      { hasMoreEnded: true },
      { running: [{ ...RUNNING, run: 1 }] },
      { ended: [ended(1, 2, "done")] },
    ]
  ) assert.equal(isProvenNotStarted(START, { ...proof, ...change }), false);
  const unknownMs = validity.extendStartDeadlineMs(9, undefined);
  for (const startDeadlineMs of [undefined, unknownMs]) {
    const start = { ...START, startDeadlineMs };
    assert.equal(isProvenNotStarted(start, proof), false);
  }
});

// Guards against runs that lapse because their start order grants less than the lease that it replaces.
test("a start has a short validity only under a longer lease", () => {
  const choose = (grantedLeaseEndMs?: number, startValidityMs = 1_500) =>
    validity.chooseStartDeadlineMs({
      nowMs: 100,
      leaseEndMs: 7_100,
      pollCycleMs: 900,
      grantedLeaseEndMs,
      startValidityMs,
    });
  assert.equal(choose(2_501), 1_600);
  assert.equal(choose(2_500), 7_100);
  assert.equal(choose(undefined), 7_100);
  assert.equal(choose(2_501, 0), 7_100);
});

test.run();
