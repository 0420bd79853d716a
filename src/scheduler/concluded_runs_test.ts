import assert from "node:assert/strict";
import { suite } from "uvu";
import { silentLogger } from "../logger.ts";
import { createConcludedRuns } from "./concluded_runs.ts";

const test = suite("runs that were taken as over");

const LISTED = { workerId: "w1", bornAtMs: 1, as: "active" };

// Guards against second runs of a task whose cause no log shows.
test("a run that is listed after it was taken as over is logged once", () => {
  const warnings: unknown[] = [];
  let nowMs = 0;
  const runs = createConcludedRuns({
    ...silentLogger,
    warn: (_: string, fields: unknown) => warnings.push(fields),
  }, () => nowMs);
  runs.add("a.0.0.0", 1, "stopped");
  nowMs = 40;
  assert.equal(runs.check({ ...LISTED, taskId: "a.0.0.0", run: 2 }), false);
  assert.equal(runs.check({ ...LISTED, taskId: "a.0.0.0", run: 1 }), true);
  assert.equal(runs.check({ ...LISTED, taskId: "a.0.0.0", run: 1 }), false);
  assert.deepEqual(warnings, [{
    task: "a.0.0.0",
    run: 1,
    worker: "w1",
    bornAtMs: 1,
    as: "active",
    reason: "stopped",
    agoMs: 40,
  }]);
});

// Guards against a memory that grows with each lost worker.
test("the oldest runs are forgotten first", () => {
  const runs = createConcludedRuns(silentLogger, () => 0);
  for (let run = 1; run <= 10_001; run++) runs.add("a.0.0.0", run, "stopped");
  assert.equal(runs.check({ ...LISTED, taskId: "a.0.0.0", run: 1 }), false);
  assert.equal(runs.check({ ...LISTED, taskId: "a.0.0.0", run: 2 }), true);
});

test.run();
