import assert from "node:assert/strict";
import { suite } from "uvu";
import { createWorkerHealth } from "./worker_health.ts";

const test = suite("worker health");

function createHealth() {
  const time = { nowMs: 0 };
  return { time, health: createWorkerHealth(() => time.nowMs) };
}

// Guards against a broken worker that fails every task and so uses up the attempts of many jobs.
test("two consecutive failures of different jobs quarantine a worker, longer each time", () => {
  const { time, health } = createHealth();
  const fail = (jobId: string) =>
    health.recordEnd("w1", { ending: "failed", jobId });
  assert.equal(fail("job-1"), false);
  assert.equal(fail("job-2"), true);
  assert.equal(health.isAvailable("w1"), false);
  time.nowMs = 3_001;
  assert.equal(health.isAvailable("w1"), true);
  assert.equal(fail("job-3"), true);
  time.nowMs += 4_000;
  assert.equal(health.isAvailable("w1"), false);
});

// Guards against quarantining a healthy worker because of one job that always fails.
test("failures of one job don't quarantine a worker", () => {
  const { health } = createHealth();
  for (let index = 0; index < 5; index++) {
    health.recordEnd("w1", { ending: "failed", jobId: "job-1" });
  }
  assert.equal(health.isAvailable("w1"), true);
});

// Guards against a worker that stays in quarantine, or one failure away from it, after it has recovered.
test("a successful task clears the failures", () => {
  const { health } = createHealth();
  health.recordEnd("w1", { ending: "failed", jobId: "job-1" });
  health.recordEnd("w1", { ending: "done", jobId: "job-2" });
  health.recordEnd("w1", { ending: "failed", jobId: "job-3" });
  assert.equal(health.isAvailable("w1"), true);
});

// Guards against long-running tasks that aren't restarted (LOST): they never end as done, so that each failure would close their workers for longer.
test("failures of tasks that were at work for long don't quarantine a worker", () => {
  const { health } = createHealth();
  for (let index = 0; index < 20; index++) {
    const quarantined = health.recordEnd("w1", {
      ending: "failed",
      jobId: `job-${index}`,
      hasLasted: true,
    });
    assert.equal(quarantined, false);
  }
  assert.equal(health.isAvailable("w1"), true);
});

// Guards against ignoring that a worker is slow, and against treating it as slow forever.
test("slowness follows the latest tasks and decays", () => {
  const { time, health } = createHealth();
  for (let index = 0; index < 4; index++) health.recordSlowness("w1", 6);
  assert.ok(health.slowness("w1") > 3);
  time.nowMs = 20_000;
  assert.ok(health.slowness("w1") < 1.2);
});

test.run();
