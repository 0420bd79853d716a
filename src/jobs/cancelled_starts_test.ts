import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFakeStore } from "../../testing/fake_store.ts";
import { REGION } from "../../testing/fleet_simulation.ts";
import {
  createJobSpec,
  issueKeyForShard,
  jobOutcome,
  runSteps,
  storedJobs,
  submit,
} from "../../testing/job_helpers.ts";
import { JobSimulation } from "../../testing/job_simulation.ts";
import { PlatformError } from "../errors.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { JobKey } from "./job_key.ts";
import { shardKey } from "./shard.ts";
import { cancelJob } from "./submission.ts";

const nextTurn = () => new Promise((resolve) => setTimeout(resolve, 0));

/** Creates two dispatchers of one shard on different entries. */
async function createFixture() {
  let losesStarts = false;
  let lastMethod = "";
  /** Called once when the next report is read. */
  let onReport: (() => void) | undefined;
  let gate: Promise<void> | undefined;
  const store = createFakeStore({
    beforeCall: ({ method, key }) =>
      method === "compareAndSwap" && key === shardKey(REGION, 0)
        ? gate
        : undefined,
  });
  const jobs = new JobSimulation({
    store,
    workerCount: 1,
    beforeCall(method) {
      lastMethod = method;
      if (method !== "report") return;
      onReport?.();
      onReport = undefined;
    },
    afterCall() {
      if (losesStarts && lastMethod === "runTask") {
        throw new PlatformError("worker_agent", "The response was lost");
      }
    },
  });
  const [first] = jobs.createEntryDispatchers("first", [0]);
  const [second] = jobs.createEntryDispatchers("second", [0]);
  await first!.step();

  async function submitJob(idempotent = false): Promise<JobKey> {
    const key = issueKeyForShard(0, jobs.nowMs);
    await submit(first!, key, createJobSpec({ idempotent }));
    jobs.tick(1_000);
    return key;
  }

  function cancel(dispatcher: Dispatcher, key: JobKey): Promise<unknown> {
    return dispatcher.writer.change(
      (draft) => cancelJob(draft, key.key),
      { deadlineMs: 2_000 },
    );
  }

  /** Assigns a job in a step whose write also contains its cancellation. */
  async function assignAndCancel(key: JobKey): Promise<void> {
    // Another write is in flight when the step writes its plan.
    let openGate = () => {};
    let otherWrite: Promise<unknown> | undefined;
    onReport = () => {
      gate = new Promise((resolve) => openGate = resolve);
      otherWrite = submit(
        first!,
        issueKeyForShard(0, jobs.nowMs),
        createJobSpec({ cores: 64 }),
      );
    };
    const step = first!.step();
    await nextTurn();
    const cancelled = cancel(first!, key);
    gate = undefined;
    openGate();
    await Promise.all([step, otherWrite]);
    assert.equal(await cancelled, { kind: "stopping" });
    const job = storedJobs(store, 0).get(key.key);
    assert.is(job?.state.kind, "assigned");
  }

  return {
    jobs,
    first: first!,
    second: second!,
    submitJob,
    assignAndCancel,
    cancel,
    outcome: (key: JobKey) => jobOutcome(storedJobs(store, 0).get(key.key)),
    loseStarts: () => losesStarts = true,
  };
}

// Guards against a cancelled job that never reached a worker, but occupies its
// worker and its team's quota for a minute and then ends as `outcome_unknown`.
test("a job that is cancelled before its start was sent ends at once as not run", async () => {
  for (const idempotent of [false, true]) {
    const { jobs, first, outcome, ...fixture } = await createFixture();
    const key = await fixture.submitJob(idempotent);
    await fixture.assignAndCancel(key);
    await runSteps(jobs, first, 1);
    assert.equal(outcome(key), { kind: "not_run", reason: "cancelled" });
    assert.is(jobs.statistics.starts.size, 0);
  }
});

// Guards against a job that is reported as not run although an earlier owner of
// its shard may have sent the start.
test("a cancelled job of an earlier owner isn't reported as not run", async () => {
  const { jobs, second, outcome, ...fixture } = await createFixture();
  const key = await fixture.submitJob();
  await fixture.assignAndCancel(key);
  jobs.tick(10_000);
  await runSteps(jobs, second, 20);
  assert.is(outcome(key), undefined);
  await runSteps(jobs, second, 120);
  const reason = "cancelled_during_start";
  assert.equal(outcome(key), { kind: "outcome_unknown", reason });
});

// Guards against a job that is reported as not run while it runs, because the
// response to its start was lost.
test("a cancelled job whose start was sent isn't reported as not run", async () => {
  const { jobs, first, outcome, ...fixture } = await createFixture();
  const key = await fixture.submitJob();
  fixture.loseStarts();
  await first.step();
  assert.is(jobs.statistics.starts.get(key.key), 1);
  const cancelled = fixture.cancel(first, key);
  await first.writer.flush();
  assert.equal(await cancelled, { kind: "stopping" });
  await runSteps(jobs, first, 5);
  assert.is.not(outcome(key)?.kind, "not_run");
});

test.run();
