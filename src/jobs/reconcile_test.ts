import { test } from "uvu";
import * as assert from "uvu/assert";
import { createJobSpec } from "../../testing/job_helpers.ts";
import type { Job } from "./job.ts";
import { reconcileJob } from "./reconcile.ts";

const createJob = (): Job => ({
  id: "j",
  spec: createJobSpec({ idempotent: true }),
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

// Guards against a running task that is requeued, because it was preempted and
// resumed before any report listed it.
test("a report from before a task's start doesn't end its resumed run", () => {
  const after = (nowMs: number, rebootIntentId?: string) =>
    reconcileJob(createJob(), {
      observation: {
        kind: "reported",
        task: undefined,
        checkpointConfirmed: false,
        rebootIntentId,
      },
      isUnsent: false,
      nowMs,
      attributeFailure: () => ({ kind: "neither", reason: "" }),
    }).state.kind;
  assert.is(after(3_000), "assigned");
  assert.is(after(3_000, "reboot"), "queued", "the worker has rebooted");
  assert.is(after(16_000), "queued", "reports would list it by now");
});

// Guards against a resumed task that isn't counted, because reports from before
// the resume show it first as running and then as checkpointed.
test("reports from before a resume don't end the resumed run", () => {
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
      isUnsent: false,
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
