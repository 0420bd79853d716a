import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSpec } from "../../testing/job_steps.ts";
import type { Job } from "./job.ts";
import { reconcileJob } from "./reconcile.ts";

const createJob = (): Job => ({
  id: "j",
  spec: createSpec({ idempotent: true }),
  attempts: 1,
  issuedAtMs: 0,
  submittedAtMs: 0,
  failedOn: [],
  state: { kind: "assigned", run: RUN },
});

const RUN = {
  vmId: "w0",
  incarnation: "1",
  attempt: 1,
  fencingToken: 1,
  size: { cores: 2, memoryMb: 100, accelerators: 0 },
  atMs: 1_000,
  resumed: true,
};

// Guards against a task that is requeued while it runs, because it was preempted and continued before the reports listed it.
test("a report from before a task's start doesn't lose its continuation", () => {
  const after = (nowMs: number, rebootIntentId?: string) =>
    reconcileJob(createJob(), {
      observation: {
        kind: "reported",
        task: undefined,
        checkpointConfirmed: false,
        rebootIntentId,
      },
      nowMs,
      attributeFailure: () => ({ kind: "neither", reason: "" }),
    }).state.kind;
  assert.is(after(3_000), "assigned");
  assert.is(after(3_000, "reboot"), "queued", "a reboot ended it");
  assert.is(after(16_000), "queued", "the reports know it by now");
});

// Guards against a continued task that is taken for checkpointed, and so not counted, because a report showed it as running before the checkpoint.
test("reports from before a continuation don't end it", () => {
  let job = createJob();
  const report = (
    state: "running" | "checkpointed",
    options: { nowMs: number; checkpointConfirmed?: boolean },
  ) => {
    const { nowMs, checkpointConfirmed = false } = options;
    const task = { taskId: "j~1", state, usedCores: 1, usedMemoryMb: 1 };
    job = reconcileJob(job, {
      observation: {
        kind: "reported",
        task,
        checkpointConfirmed,
        rebootIntentId: undefined,
      },
      nowMs,
      attributeFailure: () => ({ kind: "neither", reason: "" }),
    });
    return job.state.kind;
  };
  assert.is(report("running", { nowMs: 1_500 }), "running");
  assert.is(report("checkpointed", { nowMs: 2_500 }), "running");
  const confirmed = { nowMs: 3_000, checkpointConfirmed: true };
  assert.is(report("checkpointed", confirmed), "checkpointed");
});

test.run();
