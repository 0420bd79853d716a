import assert from "node:assert/strict";
import { suite } from "uvu";
import { run } from "effection";
import {
  createTestScheduler,
  registrationOf,
  spec,
  YOUNG_LOSS,
} from "../../../testing/scheduler_helpers.ts";
import { systemClock } from "../../clock.ts";
import { silentLogger } from "../../logger.ts";
import { createTrialWorkers } from "../crashes/trial_workers.ts";
import { loadJobs } from "../load_jobs.ts";
import type { JobSpec } from "../model.ts";
import type { RecordStore, SchedulerConfig } from "../ports.ts";
import { planPlacements } from "../placement_planner.ts";
import type { TicketCache } from "../ticket_cache.ts";
import { createFairShare } from "./fair_share.ts";
import { sumUsage } from "./usage.ts";

const test = suite("quota");

function createConfig(bounds: Record<string, number>): SchedulerConfig {
  return {
    version: 1,
    queues: [],
    sparePools: [],
    services: ["quoting"],
    maximumBodyBytes: 1,
    workspaces: Object.entries(bounds).map(([name, cpuMillis]) => ({
      name,
      keyDigests: [],
      weight: 1,
      upperBound: { cpuMillis, memoryMb: 0, gpuCount: 0 },
    })),
  };
}

/** Creates a planner with one worker, which has room for ten tasks. */
function createPlanner(config: SchedulerConfig | undefined) {
  const context = createTestScheduler();
  const { scheduler } = context;
  const worker = context.addWorker("w1");
  worker.registration = registrationOf(1, "");
  const state = { config };
  return {
    ...context,
    state,
    worker,
    accept(
      id: number,
      workspace: string,
      step: Partial<JobSpec["steps"][number]>,
      acceptedAtMs = 0,
    ) {
      const jobId = String(id).padStart(16, "0");
      scheduler.accept({ ...spec([step]), jobId, workspace, acceptedAtMs });
      return () => scheduler.jobs.get(jobId)!.occurrences[0]!.steps[0]!;
    },
    plan: () =>
      planPlacements({
        scheduler,
        tickets: { find: () => undefined } as unknown as TicketCache,
        clock: systemClock,
        log: silentLogger,
        fairShare: createFairShare({ nowMs: systemClock.monotonicMs }),
        waitLog: { note() {} },
        isCordoned: () => false,
        isScarce: () => false,
        countArriving: () => new Map(),
        trialWorkers: createTrialWorkers(),
      }, state.config),
    used: (workspace: string) =>
      sumUsage(scheduler.workers.instances.values()).get(workspace)
        ?.cpuMillis ?? 0,
  };
}

// Guards against a workspace that takes more than its quota, and against its jobs keeping those of other workspaces from starting.
test("all at once: each workspace starts up to its quota, and a full one holds up nobody", () => {
  const { accept, plan, used } = createPlanner(
    createConfig({ a: 250, b: 0, c: 1_000 }),
  );
  accept(1, "a", { taskCount: 9 });
  accept(2, "a", { taskCount: 3, gang: true });
  accept(3, "b", { taskCount: 3 });
  const small = accept(4, "c", { taskCount: 1, cpuMillis: 10 });
  accept(5, "", { taskCount: 1 });
  plan();
  assert.deepEqual([used("a"), used("b"), used("c")], [200, 300, 10]);
  assert.equal(small()[0]!.phase, "placed");
});

// Guards against gangs and suspects that are started without regard to the quota.
test("all at once: a gang starts whole or not at all, and a suspect counts like other tasks", () => {
  for (
    const [step, bound, expected] of [
      [{ taskCount: 3, gang: true }, 299, 0],
      [{ taskCount: 3, gang: true }, 300, 300],
      [{ taskCount: 1 }, 99, 0],
      [{ taskCount: 1 }, 100, 100],
    ] as const
  ) {
    const { accept, plan, used, state } = createPlanner(createConfig({ a: 1 }));
    const tasks = accept(1, "a", step);
    plan();
    if (step.taskCount === 1) tasks()[0]!.losses = [YOUNG_LOSS];
    state.config = createConfig({ a: bound });
    plan();
    assert.equal(used("a"), expected);
  }
});

// Guards against starts above a lowered limit, and against runs that are stopped for it.
test("limits lowered under load: nothing starts until usage has fallen, and nothing stops", () => {
  const { accept, plan, used, state, scheduler, calls } = createPlanner(
    createConfig({ a: 800 }),
  );
  const tasks = accept(1, "a", { taskCount: 20 });
  plan();
  assert.equal(used("a"), 800);
  state.config = createConfig({ a: 300 });
  for (let running = 8; running > 3; running--) {
    assert.equal(plan(), 0);
    assert.equal(used("a"), running * 100);
    scheduler.stop(tasks().find(({ placement }) => placement)!, "ended");
  }
  assert.equal(plan(), 0);
  assert.equal(used("a"), 300);
  assert.deepEqual(calls.filter((call) => call.startsWith("stop")), []);
});

// Guards against an owner that doesn't count the orders of earlier ones, whose workers may not have registered yet.
test("a new owner in the middle: inherited runs count before their workers register", async () => {
  const config = createConfig({ a: 400 });
  const { accept, plan, used, scheduler, state } = createPlanner(undefined);
  const record = { o: 0, s: 0, run: 1, vm: "", born: 1, worker: "w9", p: "p" };
  const items = {
    "progress/": [{
      key: `progress/${spec().jobId}`,
      value: JSON.stringify({
        status: "active",
        opened: 1,
        tasks: [{ ...record, i: 0 }, { ...record, i: 1 }],
        workspace: "a",
      }),
      revision: 1,
    }],
    "queue/": [{
      key: `queue/job/${spec().jobId}`,
      value: JSON.stringify({ ...spec([{ taskCount: 2 }]), workspace: "a" }),
      revision: 1,
    }],
  };
  await run(() =>
    loadJobs({
      store: {
        list: (prefix: keyof typeof items) =>
          Promise.resolve({ items: items[prefix] ?? [], revision: 1 }),
      } as unknown as RecordStore,
      scheduler,
      clock: systemClock,
      log: silentLogger,
      earlierLeasesEndMs: 0,
    })
  );
  accept(1, "a", { taskCount: 9 });
  accept(2, "new", { taskCount: 1 }, Date.now());
  assert.equal(plan(), 0, "the limits aren't known yet");
  state.config = config;
  plan();
  assert.equal(used("a"), 400);
  assert.equal(used("new"), 0, "a newer configuration may limit it");
});

test.run();
