import assert from "node:assert/strict";
import { run } from "effection";
import { suite } from "uvu";
import { createRecordCodec } from "../../../platform/record_codec.ts";
import { FakeRecordStore } from "../../../testing/fake_record_store.ts";
import { createRandom } from "../../../testing/random.ts";
import { QUEUE } from "../../../testing/scheduler_cluster.ts";
import { waitFor } from "../../../testing/wait.ts";
import { systemClock } from "../../clock.ts";
import { silentLogger } from "../../logger.ts";
import { EntryCallError, type EntryClient } from "../entry_client.ts";
import { createJobFrontend } from "../job_frontend.ts";
import { createOperatorState } from "../operator_state.ts";
import { STORE_KEYS } from "../ownership.ts";
import type { SchedulerConfig } from "../ports.ts";
import { createWithdrawals } from "../withdrawals.ts";
import { createStoreHealth } from "../store_health.ts";

const test = suite("access by workspace");
const JOB = "0123456789abcdef";
const submission = {
  jobId: JOB,
  specification: "",
  steps: [{ taskCount: 4, cpuMillis: 1_000, gang: true }],
} as never;

function createFixture(
  admit: EntryClient["admit"],
  { cpuMillis = 0, rejectUnattainable = false } = {},
) {
  const store = new FakeRecordStore(createRandom(7));
  const fail = () => Promise.reject(new EntryCallError("away", "no_answer"));
  const config: SchedulerConfig = {
    version: 1,
    queues: [QUEUE],
    sparePools: [],
    services: [],
    maximumBodyBytes: 1_000,
    workspaces: [{
      name: "shop",
      keyDigests: [],
      weight: 1,
      upperBound: { cpuMillis, memoryMb: 0, gpuCount: 0 },
    }],
  };
  const storeClient = store.client("entry-1");
  const frontend = createJobFrontend({
    store: storeClient,
    withdrawals: createWithdrawals({ store: storeClient }),
    health: createStoreHealth(systemClock),
    clock: systemClock,
    log: silentLogger,
    config: () => config,
    rejectUnattainable,
    ownerClient: () =>
      ({
        isLocal: false,
        admit,
        accepted: fail,
        status: fail,
        cancelled: fail,
      }) as unknown as EntryClient,
    onOwnerResponse() {},
    onOwnerUnresponsive() {},
    onOwnerChanged() {},
  });
  const context = (workspace: string) => ({
    requestId: "r",
    workspace,
    deadlineMs: performance.now() + 2_000,
  });
  return { store, frontend, context };
}

const admitAll = () =>
  Promise.resolve({ kind: "admitted", excess: true } as const);
const refuseAll = () =>
  Promise.resolve(
    { kind: "refused", reason: "share", retryAfterMs: 1_500 } as const,
  );

// Guards against a job that another workspace reads, cancels or takes for its own submission.
test("a job exists for its own workspace only", async () => {
  const { store, frontend, context } = createFixture(admitAll);
  const submit = async (workspace: string) =>
    (await frontend.submit(QUEUE, submission, context(workspace))).kind;
  assert.equal(await submit("shop"), "accepted");
  assert.equal(await submit("shop"), "accepted");
  assert.equal(await submit("bank"), "foreign");
  assert.equal(
    (await frontend.status(JOB, context("bank"))).kind,
    "unknown_job",
  );
  assert.equal(
    (await frontend.cancel(JOB, context("bank"))).kind,
    "unknown_job",
  );
  assert.equal((await frontend.status(JOB, context("shop"))).kind, "status");
  const stored = await store.client("entry-1").get(STORE_KEYS.jobPrefix + JOB);
  const { workspace, excess } = JSON.parse(stored!.value);
  assert.deepEqual({ workspace, excess }, { workspace: "shop", excess: true });
});

// Guards against a refusal that says that a job will never run although an earlier attempt has stored it.
test("a submission beyond the share is refused unless an earlier attempt has stored the job", async () => {
  const { store, frontend, context } = createFixture(refuseAll);
  const submit = () => frontend.submit(QUEUE, submission, context("shop"));
  const refused = await submit();
  assert.ok(refused.kind === "refused" && refused.cause === "share");
  assert.equal(refused.retryAfterMs, 1_500);
  store.write(
    STORE_KEYS.jobPrefix + JOB,
    JSON.stringify({ workspace: "shop" }),
  );
  assert.equal((await submit()).kind, "accepted");
});

// Guards against a gang that waits forever because its workspace's upper bound can't hold it.
test("a gang beyond the upper bound is refused at once", async () => {
  const { frontend, context } = createFixture(admitAll, { cpuMillis: 3_999 });
  const refused = await frontend.submit(QUEUE, submission, context("shop"));
  assert.ok(refused.kind === "refused" && refused.cause === "quota");
});

// Guards against refusals of jobs without a workspace that the settings don't ask for, and against an untrue one.
test("a job without a workspace is refused for overload only with the setting, and only if it isn't stored", async () => {
  const refuse = () =>
    Promise.resolve(
      { kind: "refused", reason: "overload", retryAfterMs: 1_500 } as const,
    );
  const asked = createFixture(refuse, { rejectUnattainable: true });
  const submit = ({ frontend, context }: typeof asked) =>
    frontend.submit(QUEUE, submission, context(""));
  const refused = await submit(asked);
  assert.ok(refused.kind === "refused" && refused.cause === "overload");
  const key = STORE_KEYS.jobPrefix + JOB;
  assert.equal(await asked.store.client("entry-1").get(key), undefined);
  asked.store.write(key, JSON.stringify({ workspace: "" }));
  assert.equal((await submit(asked)).kind, "accepted");
  assert.equal((await submit(createFixture(refuse))).kind, "accepted");
});

// Guards against jobs that are refused while the owner is being replaced.
test("jobs are admitted while the owner doesn't answer", async () => {
  const { frontend, context } = createFixture(
    () => Promise.reject(new EntryCallError("away", "no_answer")),
    { rejectUnattainable: true },
  );
  const result = await frontend.submit(QUEUE, submission, context("shop"));
  assert.equal(result.kind, "accepted");
  const other = { ...(submission as object), jobId: "1".repeat(16) } as never;
  const publicResult = await frontend.submit(QUEUE, other, context(""));
  assert.equal(publicResult.kind, "accepted");
});

// Guards against a withdrawn key that stays in use at an entry which the store refuses while it serves the others.
test("an entry that the store refuses reads the configuration from another entry", async () => {
  const store = new FakeRecordStore(createRandom(5));
  const createConfig = (version: number) =>
    JSON.stringify({ version, routes: [], services: [], tenants: [] });
  store.write("op/config", createConfig(1));
  const create = (
    entryId: string,
    peer?: ReturnType<typeof createOperatorState>,
  ) =>
    createOperatorState({
      store: store.client(entryId),
      records: createRecordCodec(silentLogger),
      clock: systemClock,
      log: silentLogger,
      readFromPeer: (revision) =>
        Promise.resolve(peer?.configItemAfter(revision)),
    });
  const served = create("entry-1");
  const refused = create("entry-2", served);
  const tasks = [served, refused].map((operator) => run(() => operator.run()));
  const hasVersion = (version: number) => () =>
    [served, refused].every(({ config }) => config()?.version === version);
  try {
    await waitFor("the first version", hasVersion(1));
    store.faults.refusedClients.add("entry-2");
    store.write("op/config", createConfig(2));
    await waitFor("the second version", hasVersion(2), { timeoutMs: 6_000 });
    assert.ok(refused.configAgeMs() > served.configAgeMs());
  } finally {
    for (const task of tasks) await task.halt();
  }
});

test.run();
