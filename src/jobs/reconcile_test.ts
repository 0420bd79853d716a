import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSpec } from "../../testing/job_steps.ts";
import type { Job } from "./job.ts";
import { reconcileJob } from "./reconcile.ts";

// Guards against a continued task that is taken for checkpointed, and so not counted, because a report showed it as running before the checkpoint.
test("reports from before a continuation don't end it", () => {
  const run = {
    ...{ vmId: "w0", incarnation: "1", attempt: 1, fencingToken: 1 },
    ...{ size: { cores: 2, memoryMb: 100, accelerators: 0 } },
    ...{ atMs: 1_000, resumed: true },
  };
  let job: Job = {
    ...{ id: "j", spec: createSpec({ idempotent: true }), attempts: 1 },
    ...{ issuedAtMs: 0, submittedAtMs: 0, failedOn: [] },
    state: { kind: "assigned", run },
  };
  const report = (
    state: "running" | "checkpointed",
    options: { nowMs: number; checkpointConfirmed?: boolean },
  ) => {
    const { nowMs, checkpointConfirmed = false } = options;
    const task = { taskId: "j~1", state, usedCores: 1, usedMemoryMb: 1 };
    job = reconcileJob(job, {
      observation: {
        ...{ kind: "reported", task, checkpointConfirmed },
        rebootIntentId: undefined,
      },
      nowMs,
      blame: () => ({ kind: "neither", reason: "" }),
    });
    return job.state.kind;
  };
  assert.is(report("running", { nowMs: 1_500 }), "running");
  assert.is(report("checkpointed", { nowMs: 2_500 }), "running");
  const confirmed = { nowMs: 3_000, checkpointConfirmed: true };
  assert.is(report("checkpointed", confirmed), "checkpointed");
});

test.run();
