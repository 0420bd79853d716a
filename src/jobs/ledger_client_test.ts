import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobSimulation } from "../../testing/job_simulation.ts";
import { createFakeStore } from "../../testing/fake_store.ts";
import { REGION } from "../../testing/fleet_simulation.ts";
import { readSchedulingContext, viewWorkers } from "./scheduling_context.ts";
import { ZERO_SIZE } from "./size.ts";
import { SchedulerState } from "./scheduler_state.ts";
import { LedgerClient } from "./ledger_client.ts";
import { type Notice, NoticeRelay } from "./notices.ts";
import { WorkerReports } from "./worker_reports.ts";

const TASK = "0-loyw4fw8-969aa61b493ecf9d~1~t~c~normal~2~100~0";
const CLAIM = {
  shard: 0,
  fencingToken: 1,
  sequence: 1,
  asks: true,
  teams: {},
};

function createPair() {
  const fake = new JobSimulation({ store: createFakeStore(), workerCount: 1 });
  const { agent, clock } = fake;
  const noticeRelay = new NoticeRelay("1", clock);
  const entries = ["a", "b"].map((entryId) => {
    const schedulerState = new SchedulerState();
    schedulerState.jobsByShard.set(0, new Map());
    const reports = new WorkerReports(agent, clock);
    const ledgerClient = new LedgerClient({
      entryId,
      schedulerState,
      reports,
      clock,
      send: ({ notices }) =>
        Promise.resolve({ grants: {}, notices: noticeRelay.exchange(notices) }),
    });
    return { ledgerClient, schedulerState, reports };
  });
  return { fake, a: entries[0]!, b: entries[1]! };
}

async function sendNotice(
  { a, b }: ReturnType<typeof createPair>,
  notice: Notice,
): Promise<void> {
  a.ledgerClient.notify(notice);
  await a.ledgerClient.claim(CLAIM);
  await b.ledgerClient.claim(CLAIM);
}

// Guards against a running task that isn't counted, because the notice of an
// older checkpoint arrived after the task was resumed.
test("the notice of a checkpoint doesn't undo a later start", async () => {
  const pair = createPair();
  const { fake, b } = pair;
  const atMs = fake.nowMs;
  const notice = { kind: "checkpointed", taskId: TASK, atMs } as const;
  await sendNotice(pair, notice);
  assert.is(b.reports.isCheckpointConfirmed(TASK), true);
  fake.nowMs += 100;
  b.reports.recordStart(TASK);
  await sendNotice(pair, notice);
  assert.is(b.reports.isCheckpointConfirmed(TASK), false);
});

// Guards against a worker that is overcommitted by two entries, because its
// reports don't list the tasks of the other entry yet.
test("a task started by another entry uses capacity until it is checkpointed", async () => {
  const pair = createPair();
  const { fake, b } = pair;
  const { reports, schedulerState } = b;
  const view = () => {
    const context = readSchedulingContext({ ...fake, ...b, region: REGION })!;
    const [worker] = viewWorkers(context, []);
    return worker!.tasks.map(({ taskId }) => taskId);
  };
  schedulerState.addHold("w0", {
    jobId: TASK.split("~")[0]!,
    team: "t",
    size: ZERO_SIZE,
    freedBy: [],
    freesQuota: false,
  }, fake.nowMs);
  await sendNotice(pair, { kind: "started", vmId: "w0", taskId: TASK });
  assert.equal(view(), [TASK]);
  assert.is(
    schedulerState.findHold("w0", fake.nowMs),
    undefined,
    "its hold is removed",
  );
  reports.recordCheckpoint(TASK);
  assert.equal(view(), []);
  await sendNotice(pair, { kind: "started", vmId: "w0", taskId: TASK });
  assert.equal(view(), [TASK], "it was resumed");
  fake.nowMs += 5_000;
  assert.equal(view(), [], "reports are up to date by now");
});

// Guards against entries that only use the results of their own runs, so that
// each has to profile every class and detect every failing worker by itself.
test("results of another entry's runs are applied exactly once", async () => {
  const pair = createPair();
  const { a, b } = pair;
  const run = {
    kind: "finished",
    jobId: "j",
    vmId: "w0",
    pool: "a",
    team: "t",
    jobClass: "c",
    succeeded: true,
    use: { cores: 1, memoryMb: 100, runTimeMs: 1_000 },
  } as const;
  await sendNotice(pair, run);
  await b.ledgerClient.claim(CLAIM);
  assert.is(b.schedulerState.profiles.listMostUsed(1)[0]?.runs, 1);
  assert.is(
    a.schedulerState.recentResults.length,
    0,
    "the sender doesn't receive its own notice",
  );
  const blame = { kind: "worker", reason: "r" } as const;
  await sendNotice(pair, { ...run, succeeded: false, use: undefined, blame });
  assert.ok(b.schedulerState.quarantines.has("w0"));
});

test.run();
