import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createModelPool,
  createModelSpec,
  simulate,
  SURGES,
} from "../../../testing/overload_model.ts";
import { findRejection, type PoolLoad } from "./rejection.ts";

const test = suite("overload rejection");

// Guards against refusing jobs that could have been served, and against service on time that falls because of the refusals.
test("demand of five times the mean for 4 s of every 16 s: only jobs that would have been lost are rejected, and no less are on time", () => {
  for (const seed of [1, 2, 3]) {
    const load = { surges: SURGES, seed, urgentShare: 0.8 };
    const shadow = simulate({ ...load, mode: "shadow" });
    const named = shadow.filter(({ retryAfterMs }) => retryAfterMs.length > 0);
    assert.ok(named.length > 30, `${seed}: ${named.length}`);
    for (const caller of named) assert.ok(caller.lateness > 3);
    const countOnTime = (callers: typeof shadow) =>
      callers.filter((caller) => caller.lateness <= 1).length;
    const served = simulate({ ...load, mode: "on" });
    assert.ok(countOnTime(served) >= countOnTime(shadow), `${seed}`);
    // Guards against rejected callers that return all at once.
    let latestMs = -Infinity;
    for (const { atMs, retryAfterMs, spec } of named) {
      const slotMs = atMs + retryAfterMs[0]!;
      const gapMs = spec.steps[0]!.taskCount * 800 / 200;
      assert.ok(slotMs >= latestMs + gapMs * 0.8, `${seed}: ${slotMs}`);
      latestMs = slotMs;
    }
  }
});

const cores = (cpuMillis: number) => ({ cpuMillis, memoryMb: 0, gpuCount: 0 });
const JOB = {
  priority: 1,
  objectiveMs: 2_000,
  criticalPathMs: 800,
  work: cores(800),
  largest: cores(1),
  largestMs: 800,
};
const GROUP = {
  priority: 0,
  kept: false,
  demand: cores(1_500),
  largest: cores(1),
  shortestMs: 800,
  work: cores(1_200_000),
  latestStartMs: 0,
};
const LOAD: PoolLoad = {
  wallMs: 0,
  capacity: cores(100),
  lendable: cores(0),
  running: [],
  waiting: [GROUP],
};

// Guards against work that is counted as ahead although the job's tasks may start before it.
test("only what certainly runs first is ahead: not larger tasks, nor work that lent VMs can do, nor unstarted jobs of the same priority", () => {
  const decide = (load: Partial<PoolLoad>, job = JOB, wallMs = 0) =>
    findRejection({ ...LOAD, ...load }, job, wallMs);
  const rejected = decide({});
  assert.equal(rejected?.aheadCoreMs, 1_200);
  assert.equal(rejected.clearsAfterMs, 12_000);
  assert.equal(decide({ lendable: cores(100) }), undefined);
  assert.ok(decide({ lendable: cores(10) }));
  assert.equal(
    decide({ waiting: [{ ...GROUP, largest: cores(2) }] }),
    undefined,
  );
  for (const kept of [false, true]) {
    assert.equal(
      decide({ waiting: [{ ...GROUP, kept, priority: 1 }] }),
      undefined,
    );
  }
  // Long tasks start soon after one another and hold only a part of the pool.
  const long = { ...GROUP, demand: cores(30), shortestMs: 40_000 };
  assert.equal(decide({ waiting: [long] }), undefined);
  const running = [{ remainingMs: 60_000, demand: cores(50) }];
  assert.equal(decide({ waiting: [], running }), undefined);
  // The pool has worked since the measurement.
  assert.equal(decide({}, JOB, 3_000), undefined);
});

// Guards against a cost that grows with the number of submissions, and against refusing services, known jobs and jobs of a pool with room.
test("with 5,000 waiting jobs the load is measured once in 100 ms, and only new jobs of a pool short of VMs are rejected", () => {
  let nowMs = 0;
  const clock = { wallMs: () => nowMs, monotonicMs: () => nowMs };
  const { pool, overload, accept } = createModelPool(clock);
  const { jobs, durationEstimates } = pool;
  for (let number = 1; number <= 5_000; number++) {
    accept(createModelSpec(number, "urgent", 5));
  }
  let measurements = 0;
  const values = jobs.values.bind(jobs);
  jobs.values = () => {
    measurements++;
    return values();
  };
  const spec = createModelSpec(6_000, "other", 1);
  pool.isScarce = true;
  assert.equal(overload.check(spec), undefined, "durations not measured");
  durationEstimates.record("urgent", 800, 800);
  durationEstimates.record("other", 800, 800);
  pool.isScarce = false;
  assert.equal(overload.check(spec), undefined, "enough VMs");
  assert.equal(measurements, 0);
  pool.isScarce = true;
  for (; nowMs < 1_000; nowMs++) assert.ok(overload.check(spec)! > 29_000);
  assert.equal(measurements, 10);
  const service = { ...spec.steps[0]!, longRunning: true };
  assert.equal(overload.check({ ...spec, steps: [service] }), undefined);
  assert.equal(overload.check([...values()][0]!.spec), undefined, "known");
  assert.deepEqual(overload.counts.get("other"), {
    attainable: 0,
    rejected: 1_000,
  });
});

test.run();
