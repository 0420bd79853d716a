import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  registrationOf,
  spec,
} from "../../../testing/scheduler_helpers.ts";
import { systemClock } from "../../clock.ts";
import { silentLogger } from "../../logger.ts";
import { createTrialWorkers } from "../crashes/trial_workers.ts";
import type { JobSpec } from "../model.ts";
import { planPlacements } from "../placement_planner.ts";
import type { SchedulerConfig } from "../ports.ts";
import type { TicketCache } from "../ticket_cache.ts";
import { createFairShare } from "./fair_share.ts";
import { createWaitLog } from "./wait_log.ts";

const test = suite("wait log");

/** Creates a wait log and the lines that it has written. */
function createRecordedLog() {
  const lines: Record<string, unknown>[] = [];
  const info = (message: string, fields: Record<string, unknown> = {}) =>
    void lines.push({ message, ...fields });
  return { lines, waitLog: createWaitLog({ ...silentLogger, info }) };
}

/** Creates a planner with a worker of 1,000 thousandths of a core; workspace `a` may use 250 of them, `b` has no limit. */
function createPlanner() {
  const { lines, waitLog } = createRecordedLog();
  const { scheduler, addWorker } = createTestScheduler();
  addWorker("w1").registration = registrationOf(1, "");
  const config: SchedulerConfig = {
    version: 1,
    queues: [],
    sparePools: [],
    services: ["quoting"],
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
  const state = { isScarce: false };
  return {
    state,
    accept(
      jobId: string,
      workspace: string,
      step: Partial<JobSpec["steps"][number]>,
      excess = false,
    ) {
      const acceptedAtMs = Date.now();
      scheduler.accept({
        ...spec([step]),
        jobId,
        workspace,
        excess,
        acceptedAtMs,
      });
      return () => scheduler.jobs.get(jobId)!.occurrences[0]!.steps[0]!;
    },
    /** Plans one round and returns the new lines as `job reason`. */
    plan() {
      planPlacements({
        scheduler,
        tickets: { find: () => undefined } as unknown as TicketCache,
        clock: systemClock,
        log: silentLogger,
        fairShare: createFairShare({ nowMs: systemClock.monotonicMs }),
        waitLog,
        isCordoned: () => false,
        isScarce: () => state.isScarce,
        countArriving: () => new Map(),
        trialWorkers: createTrialWorkers(),
      }, config);
      return lines.splice(0).map(({ job, reason }) => `${job} ${reason}`);
    },
  };
}

// Guards against a log that operators can't use: a line per planning round, or one without the job, workspace and reason.
test("a job that waits for many rounds: one line for each reason", () => {
  const { lines, waitLog } = createRecordedLog();
  const job = { ...spec(), workspace: "a", excess: true };
  for (const reason of ["quota", "share", "quota", "share"] as const) {
    waitLog.note(job, reason);
  }
  const line = {
    message: "job waits",
    job: job.jobId,
    queue: "quotes",
    workspace: "a",
    excess: true,
  };
  assert.deepEqual(lines, [
    { ...line, reason: "quota" },
    { ...line, reason: "share" },
  ]);
});

// Guards against a flood of lines under the heaviest load, when each round notes more jobs than the log remembers.
test("more than 20,000 waiting jobs: still one line for each", () => {
  const { lines, waitLog } = createRecordedLog();
  const jobs = Array.from(
    { length: 20_001 },
    (_, index) => ({ ...spec(), jobId: `${index}` }),
  );
  for (let round = 0; round < 2; round++) {
    for (const job of jobs) waitLog.note(job, "capacity");
  }
  assert.equal(lines.length, jobs.length);
});

// Guards against a wrong reason, which would send operators to the wrong setting.
test("all at once in a full pool: each job's line has the reason that kept it from starting", () => {
  const { accept, plan, state } = createPlanner();
  accept("over-quota", "a", { taskCount: 3 });
  accept("fits", "b", { taskCount: 7 });
  accept("excess", "b", { cpuMillis: 500 }, true);
  accept("no-room", "b", { cpuMillis: 500 });
  accept("public", "", { cpuMillis: 500 });
  assert.deepEqual(plan().sort(), [
    "excess share",
    "no-room capacity",
    "over-quota quota",
  ]);
  state.isScarce = true;
  accept("long", "b", { cpuMillis: 1_000, estimatedMs: 60_000 });
  accept("longer", "b", { cpuMillis: 1_000, estimatedMs: 90_000 });
  assert.ok(plan().includes("long share"), "deferred for another job");
});

// Guards against a line that blames quota, share or capacity while a task waits for the time of its next attempt.
test("a task, or a member of a gang, that may not start yet: no line for it", () => {
  for (const gang of [false, true]) {
    const { accept, plan } = createPlanner();
    const tasks = accept("job", "a", { taskCount: 3, gang });
    assert.deepEqual(plan(), ["job quota"]);
    tasks().find(({ phase }) => phase === "waiting")!.notBeforeMs = Infinity;
    assert.deepEqual(plan(), []);
  }
});

test.run();
