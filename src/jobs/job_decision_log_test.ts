import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobSimulation } from "../../testing/job_simulation.ts";
import { createFakeStore } from "../../testing/fake_store.ts";
import { REGION } from "../../testing/fleet_simulation.ts";
import {
  createJobSpec,
  issueKeyForShard,
  runSteps,
  submit,
} from "../../testing/job_helpers.ts";
import { silentLogger } from "../logger.ts";
import {
  JobDecisionLogSaver,
  readJobDecisionLog,
} from "./job_decision_log_saver.ts";
import {
  JobDecisionLog,
  MAXIMUM_OTHER_DECISIONS,
  MAXIMUM_PLACEMENTS,
  MAXIMUM_STORED_DECISIONS,
} from "./job_decision_log.ts";
import { SchedulerState } from "./scheduler_state.ts";
import { summarizeJobs } from "./job_summary.ts";
import { readSchedulingContext } from "./scheduling_context.ts";
import { WorkerReports } from "./worker_reports.ts";

const decision = (atMs: number, kind: "placed" | "ended") => ({
  atMs,
  kind,
  jobId: "j",
  summary: "",
  facts: {},
  rejected: [],
});

// Guards against decisions without reasons, and against a dump that lacks
// waiting jobs or used quota.
test("a job's placement, wait, preemption, retry and end are explained", async () => {
  const store = createFakeStore();
  const jobs = new JobSimulation({ store, workerCount: 2 });
  const schedulerState = new SchedulerState();
  const reports = new WorkerReports(jobs.agent, jobs.clock);
  const [dispatcher] = jobs.createEntryDispatchers("entry", [0], {
    schedulerState,
    reports,
  });
  assert.ok(dispatcher);
  await runSteps(jobs, dispatcher, 2);
  const add = async (overrides: Parameters<typeof createJobSpec>[0]) => {
    const key = issueKeyForShard(0, jobs.nowMs);
    await submit(dispatcher, key, createJobSpec(overrides));
    await runSteps(jobs, dispatcher, 1);
    return key.key;
  };
  const about = (jobId: string) =>
    schedulerState.decisionLog.about({ jobId }).reverse().map(({ kind }) =>
      kind
    );
  const first = await add({ cores: 12, idempotent: true });
  const second = await add({ cores: 12, idempotent: true });
  const waiting = await add({ cores: 12 });
  const wait = schedulerState.waitsByShard.get(0)?.get(waiting);
  assert.ok(wait?.reason === "no_capacity");
  assert.equal(wait.basis.exclusions, { no_room: 2 });
  await runSteps(jobs, dispatcher, 4);
  assert.is(
    schedulerState.waitsByShard.get(0)?.get(waiting)?.sinceMs,
    wait.sinceMs,
  );

  const context = readSchedulingContext({
    ...jobs,
    region: REGION,
    reports,
    schedulerState,
  });
  assert.ok(context);
  const summary = summarizeJobs(context, [{ shard: 0, jobs: dispatcher.jobs }]);
  assert.equal(summary.shards[0]?.jobsByState, { running: 2, queued: 1 });
  assert.is(summary.pools[0]?.queued, 1);
  assert.equal(summary.workers.map((worker) => worker.runningTasks), [1, 1]);
  assert.is(summary.quotas[0]?.used.cores, 24);

  const urgent = await add({ cores: 12, priority: "urgent" });
  await runSteps(jobs, dispatcher, 8);
  assert.equal(about(urgent), ["made_room", "placed"]);
  const victim = about(first).length > 1 ? first : second;
  assert.equal(about(victim).slice(0, 2), ["placed", "preempted"]);
  const [placed] = schedulerState.decisionLog.about({ jobId: urgent });
  assert.is(placed?.facts.waitedFor, "no_capacity");

  const huge = await add({ cores: 400 });
  assert.match(
    schedulerState.decisionLog.about({ jobId: huge })[0]!.summary,
    "not_run: fits_no_worker",
  );
  const failing = await add({
    command: "fail 500",
    cores: 1,
    idempotent: true,
  });
  await runSteps(jobs, dispatcher, 20);
  const [retried] = schedulerState.decisionLog.about({ jobId: failing })
    .filter(({ kind }) => kind === "retried");
  assert.match(retried!.summary, "reports the task as failed");
  assert.match(String(retried!.facts.blame), "not enough runs");
});

// Guards against a decision log that grows without bound, or that loses
// decisions during a store outage.
test("decisions are bounded in memory and in the store", async () => {
  const store = createFakeStore();
  const decisionLog = new JobDecisionLog();
  const saver = new JobDecisionLogSaver({
    store,
    region: REGION,
    decisionLog,
    log: silentLogger,
    ownedShards: () => [9, 4],
  });
  for (let atMs = 0; atMs < 10_000; atMs++) {
    decisionLog.add(decision(atMs, "placed"));
    decisionLog.add(decision(atMs, "ended"));
  }
  const kept = decisionLog.about({ jobId: "j" });
  assert.ok(kept.length <= 2 * (MAXIMUM_PLACEMENTS + MAXIMUM_OTHER_DECISIONS));
  assert.is(kept[0]?.atMs, 9_999);
  store.faults.unavailable = true;
  await saver.save();
  store.faults.unavailable = false;
  await saver.save();
  decisionLog.add(decision(10_000, "ended"));
  await saver.save();
  const { decisions } = await readJobDecisionLog(store, REGION, 4);
  assert.is(decisions.length, MAXIMUM_STORED_DECISIONS);
  assert.is(decisions.at(-1)?.atMs, 10_000);
  assert.is(decisions.at(-2)?.atMs, 9_999);
});

test.run();
