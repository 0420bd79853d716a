import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  ended,
  openTasks,
  spec,
} from "../../testing/scheduler_helpers.ts";

const test = suite("quarantine of workers");

// Guards against long-running tasks that aren't restarted for many seconds (LOST) because their failures after a long time at work close all workers with their label.
test("only long-running tasks that fail soon after their start quarantine a worker", async () => {
  for (const ageMs of [1_000, 10_000]) {
    const time = { nowMs: 0 };
    const { scheduler, addWorker, flush, report } = createTestScheduler({
      clock: { monotonicMs: () => time.nowMs, wallMs: () => 0 },
    });
    const worker = addWorker("w1");
    const jobIds = ["1", "2", "3"].map((digit) => digit.padStart(16, "0"));
    for (const jobId of jobIds) {
      scheduler.accept({ ...spec([{ longRunning: true }]), jobId });
      const [task] = openTasks(scheduler, jobId);
      scheduler.place(task!, worker, { run: 1, ticket: undefined });
    }
    await flush();
    time.nowMs += ageMs;
    report(
      worker,
      jobIds.map((jobId, index) =>
        ended(index + 1, 1, "failed", `${jobId}.0.0.0`)
      ),
    );
    assert.equal(scheduler.health.isAvailable("w1"), ageMs === 10_000);
  }
});

test.run();
