import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  spec,
} from "../../../testing/scheduler_helpers.ts";
import { createJobState, createOccurrence } from "../job_state.ts";
import type { JobSpec, Step } from "../model.ts";
import type { SchedulerConfig } from "../ports.ts";
import { createOwnerAdmission } from "./owner_admission.ts";

const test = suite("owner admission");

/** Number of jobs that a workspace of weight 1 may send at once. */
const BURST_JOBS = 5;

/** Creates the admission control of workspaces `a`, which may use 250 thousandths of a core, and `b`, which has no limit. */
function createContext(state: { scarce?: string; config?: undefined } = {}) {
  const { scheduler, addWorker } = createTestScheduler();
  const config: SchedulerConfig = {
    version: 1,
    // The queue has moved to this service since its jobs recorded another one.
    queues: [{
      name: "quotes",
      host: "",
      pathPrefix: "",
      service: "rating",
      priority: 0,
      maximumAttempts: 1,
      stretch: 2,
      targetDurationMs: 1_000,
      needsAdvice: false,
    }],
    sparePools: [],
    services: ["quoting", "rating"],
    maximumBodyBytes: 1,
    workspaces: [["a", 250] as const, ["b", 0] as const].map((
      [name, cpuMillis],
    ) => ({
      name,
      keyDigests: [],
      weight: 1,
      upperBound: { cpuMillis, memoryMb: 0, gpuCount: 0 },
    })),
  };
  const admission = createOwnerAdmission({
    scheduler,
    memory: { hasRoomFor: () => true },
    clock: { monotonicMs: () => 0 },
    config: () => "config" in state ? state.config : config,
    isScarce: (service) => service === state.scarce,
  });
  let nextId = 1;
  const specOf = (workspace: string, step: Partial<Step> = {}): JobSpec => ({
    ...spec([step]),
    workspace,
    jobId: String(nextId++).padStart(16, "0"),
  });
  const admit = (job: JobSpec) => {
    const decision = admission.admit(job);
    return decision.kind === "refused"
      ? `refused ${decision.retryAfterMs}`
      : decision.excess
      ? "excess"
      : "admitted";
  };
  return {
    scheduler,
    admission,
    specOf,
    admit,
    /** Spends the entitlement of a workspace. */
    useBurst(workspace: string) {
      for (let index = 0; index < BURST_JOBS; index++) {
        assert.equal(admit(specOf(workspace)), "admitted");
      }
    },
    /** Runs tasks of 100 thousandths of a core each on a worker that hasn't registered. */
    run(workspace: string, count: number) {
      const job = createJobState(specOf(workspace, { taskCount: count }));
      const worker = addWorker("w1");
      for (const task of createOccurrence(job, 0).steps[0]!) {
        worker.tasks.add(task);
      }
    },
  };
}

// Guards against a full pool that takes jobs beyond the entitlement, and against refusals because another pool is full.
test("one pool scarce: only a job beyond the entitlement in that pool is refused, and counted", () => {
  for (
    const [scarce, expected] of [
      ["rating", "refused 1000"],
      ["quoting", "excess"],
    ] as const
  ) {
    const { admission, admit, specOf, useBurst } = createContext({ scarce });
    useBurst("a");
    assert.equal(admit(specOf("a")), expected);
    assert.equal(admit(specOf("b")), "admitted");
    const counts = { admitted: BURST_JOBS, excess: 0, refused: 0 };
    if (expected === "excess") counts.excess++;
    else counts.refused++;
    assert.deepEqual([...admission.counts], [
      ["a", counts],
      ["b", { admitted: 1, excess: 0, refused: 0 }],
    ]);
  }
});

// Guards against jobs that are taken as excess while their workspace's upper bound keeps them from starting.
test("bound used up: a job beyond the entitlement is refused if its task or gang has no room, others aren't", () => {
  const { run, admit, specOf, useBurst } = createContext();
  run("a", 2);
  useBurst("a");
  useBurst("b");
  assert.equal(admit(specOf("a", { cpuMillis: 50 })), "excess");
  assert.equal(admit(specOf("b")), "excess");
  assert.equal(admit(specOf("a")), "refused 1000");
  const gang = { cpuMillis: 30, taskCount: 2, gang: true };
  assert.equal(admit(specOf("a", gang)), "refused 2000");
  assert.equal(admit(specOf("a", { ...gang, gang: false })), "excess");
});

// Guards against an owner with an older configuration that refuses jobs of a workspace that it doesn't know.
test("workspace unknown here: its jobs are admitted although the pool is full, and aren't counted", () => {
  for (const missing of [false, true]) {
    const { admission, admit, specOf } = createContext({
      scarce: "rating",
      ...(missing ? { config: undefined } : {}),
    });
    for (let index = 0; index < 2 * BURST_JOBS; index++) {
      assert.equal(admit(specOf(missing ? "a" : "new")), "admitted");
    }
    assert.equal(admission.counts.size, 0);
  }
});

// Guards against a repeated submission that is refused although its job is stored, or that takes another token.
test("repeated submissions of known jobs: admitted without a token, active or ended", () => {
  const { scheduler, admission, admit, specOf, useBurst } = createContext({
    scarce: "rating",
  });
  const [active, ended] = [specOf("a"), specOf("a")];
  scheduler.accept(active);
  scheduler.addEnded(ended.jobId, { status: "completed", workspace: "a" });
  for (let index = 0; index < 2 * BURST_JOBS; index++) {
    assert.equal(admit(active), "admitted");
    assert.equal(admit(ended), "admitted");
  }
  assert.equal(admission.counts.size, 0);
  useBurst("a");
  assert.equal(admit(specOf("a")), "refused 1000");
  assert.equal(admit(active), "admitted");
});

test.run();
