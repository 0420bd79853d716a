import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeJobs } from "../../testing/fake_jobs.ts";
import { createFakeStore } from "../../testing/fake_store.ts";
import { REGION } from "../../testing/fleet_world.ts";
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
  const fake = new FakeJobs({ store: createFakeStore(), workers: 1 });
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

async function tell(
  { a, b }: ReturnType<typeof createPair>,
  notice: Notice,
): Promise<void> {
  a.ledgerClient.notify(notice);
  await a.ledgerClient.claim(CLAIM);
  await b.ledgerClient.claim(CLAIM);
}

// Guards against a task that runs on without being counted, because the notice of an older checkpoint came after its continuation.
test("the notice of a checkpoint doesn't undo a later start", async () => {
  const pair = createPair();
  const { fake, b } = pair;
  const atMs = fake.nowMs;
  const notice = { kind: "checkpointed", taskId: TASK, atMs } as const;
  await tell(pair, notice);
  assert.is(b.reports.isCheckpointConfirmed(TASK), true);
  fake.nowMs += 100;
  b.reports.recordStart(TASK);
  await tell(pair, notice);
  assert.is(b.reports.isCheckpointConfirmed(TASK), false);
});

// Guards against a worker that two entries fill before its reports show the tasks of the other one.
test("another entry's start takes room until it was checkpointed", async () => {
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
  await tell(pair, { kind: "started", vmId: "w0", taskId: TASK });
  assert.equal(view(), [TASK]);
  assert.is(
    schedulerState.findHold("w0", fake.nowMs),
    undefined,
    "its hold has ended",
  );
  reports.recordCheckpoint(TASK);
  assert.equal(view(), []);
  await tell(pair, { kind: "started", vmId: "w0", taskId: TASK });
  assert.equal(view(), [TASK], "it was continued");
  fake.nowMs += 5_000;
  assert.equal(view(), [], "by now the reports tell");
});

// Guards against entries that each need a class's first runs and a failing worker's failures of their own.
test("an entry learns from the runs of others once", async () => {
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
  await tell(pair, run);
  await b.ledgerClient.claim(CLAIM);
  assert.is(b.schedulerState.profiles.listMostUsed(1)[0]?.runs, 1);
  assert.is(
    a.schedulerState.recentResults.length,
    0,
    "the sender has learned by itself",
  );
  const blame = { kind: "worker", reason: "r" } as const;
  await tell(pair, { ...run, succeeded: false, use: undefined, blame });
  assert.ok(b.schedulerState.quarantines.has("w0"));
});

test.run();
