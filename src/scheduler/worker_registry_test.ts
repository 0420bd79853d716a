import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { run } from "effection";
import { suite } from "uvu";
import { waitFor } from "../../testing/wait.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { createDueOccurrences } from "./job_state.ts";
import type { Journal, JournalRecord } from "./journal.ts";
import { type JobSpec, jobSpecSchema } from "./model.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import type {
  ActiveRunReport,
  EndedRunReport,
  OrderOutcome,
  PlatformRecordCodec,
  WorkerControl,
  WorkerRegistration,
} from "./ports.ts";
import { createScheduler, type Scheduler } from "./scheduler.ts";
import type { TicketCache } from "./ticket_cache.ts";
import type { WorkerLink } from "./worker_link.ts";
import { createWorkerRegistry } from "./worker_registry.ts";
import type { WorkerInstance } from "./worker_table.ts";

const test = suite("second review, registry");

const JOB = "0123456789abcdef";
const TASK = `${JOB}.0.0.0`;

function spec(steps: Partial<JobSpec["steps"][number]>[] = [{}]): JobSpec {
  return jobSpecSchema.parse({
    jobId: JOB,
    queue: "quotes",
    service: "quoting",
    maximumAttempts: 2,
    specification: "",
    steps: steps.map((step) => ({
      taskCount: 1,
      cpuMillis: 100,
      estimatedMs: 100,
      ...step,
    })),
    acceptedAtMs: 0,
  });
}

/** Creates a journal whose records are stored when the test says so. */
function createTestJournal() {
  const pending: JournalRecord[] = [];
  const journal: Journal = {
    put: (record) => void pending.push(record),
    afterFlush: (callback) => callback(),
    pending: () => pending.length,
    *run() {},
  };
  return {
    journal,
    /** Completes all pending writes, then waits for the resulting orders. */
    async flush() {
      for (const record of pending.splice(0)) record.onStored?.();
      await delay(5);
    },
  };
}

function createTestScheduler() {
  const { journal, flush } = createTestJournal();
  const state = {
    mayOrder: true,
    stop: { kind: "done", clockMs: 0 } as OrderOutcome,
    onStart: (_attempt: number): OrderOutcome => ({ kind: "done", clockMs: 0 }),
  };
  const calls: string[] = [];
  /** Checkpoints of the start orders. */
  const checkpoints: string[] = [];
  const scheduler = createScheduler({
    journal,
    fence: 1,
    clock: systemClock,
    log: silentLogger,
    config: () => undefined,
    mayOrder: () => state.mayOrder,
    onChange() {},
  });
  let attempts = 0;
  function addWorker(workerId: string): WorkerInstance {
    const link = {
      start: (order: { taskId: string; run: number; checkpoint: string }) => {
        checkpoints.push(order.checkpoint);
        calls.push(`start ${workerId} ${order.taskId} ${order.run}`);
        return Promise.resolve(state.onStart(++attempts));
      },
      stop: (taskId: string, run: number) => {
        calls.push(`stop ${workerId} ${taskId} ${run}`);
        return Promise.resolve(state.stop);
      },
      pollNow() {},
      silentMs: () => 0,
      hasResponded: true,
      leasesExpired: () => false,
      needsFrequentPolls: false,
    } as unknown as WorkerLink;
    const instance: WorkerInstance = {
      workerId,
      bornAtMs: 1,
      vmId: `vm-${workerId}`,
      link,
      registration: undefined,
      missingSinceMs: undefined,
      tasks: new PlacedTasks(),
      joinedAtMs: 0,
      earlierLeasesEndMs: 0,
    };
    scheduler.workers.add(instance);
    return instance;
  }
  function report(
    instance: WorkerInstance,
    ended: EndedRunReport[],
    running: ActiveRunReport[] = [],
    hasMoreEnded = false,
  ) {
    scheduler.onReport(
      instance,
      { clockMs: 0, bornAtMs: 1, running, ended, hasMoreEnded },
      Infinity,
    );
  }
  return { scheduler, state, calls, checkpoints, flush, addWorker, report };
}

function createTestRegistry(
  scheduler: Scheduler,
  control: WorkerControl,
  readWorker: () => WorkerRegistration,
) {
  return createWorkerRegistry({
    scheduler,
    tickets: { forgetWorker() {} } as unknown as TicketCache,
    control,
    records: {
      workerPrefix: "servers/",
      readWorker,
    } as unknown as PlatformRecordCodec,
    fence: 1,
    clock: systemClock,
    log: silentLogger,
    earlierLeasesEndMs: 0,
    events: {
      onFenced() {},
      afterFlush: (callback) => callback(),
      mayOrder: () => true,
    },
    onChange() {},
  });
}

function openTasks(scheduler: Scheduler) {
  const job = scheduler.jobs.get(JOB)!;
  createDueOccurrences(job, Date.now());
  return job.occurrences[0]!.steps[0]!;
}

function ended(
  number: number,
  run: number,
  ending: EndedRunReport["ending"],
  taskId = TASK,
): EndedRunReport {
  return { number, taskId, run, ending, checkpoint: "" };
}

function registrationOf(bornAtMs: number, address: string): WorkerRegistration {
  return {
    workerId: "w1",
    vmId: "vm-1",
    service: "quoting",
    address,
    dataCentre: "dc-1",
    state: "ready",
    capacity: { cpuMillis: 1_000, memoryMb: 1_000, gpuCount: 0 },
    labels: [],
    rack: "",
    bornAtMs,
    remainingMs: undefined,
  };
}

// Guards against an instance without tasks that stays in the table for ever and keeps a later process with an earlier start time from being registered.
test("an unregistered successor is removed once it has no tasks", async () => {
  const context = createTestScheduler();
  const { scheduler } = context;
  let registration = registrationOf(5, "w1:1");
  let bornAtMs = 5;
  const control = {
    start: () => Promise.resolve({ kind: "unknown" }),
    stop: () => Promise.resolve({ kind: "unknown" }),
    renewAndPoll: () =>
      delay(20).then(() => ({
        kind: "done",
        clockMs: 1,
        bornAtMs,
        running: [],
        ended: [],
        hasMoreEnded: false,
      })),
    close() {},
  } as unknown as WorkerControl;
  const registry = createTestRegistry(scheduler, control, () => registration);
  const links = run(() => registry.run());
  try {
    registry.syncItem({ key: "servers/w1", value: "", revision: 1 });
    const instance = scheduler.workers.find("w1", 5)!;
    const other = context.addWorker("w2");
    context.state.onStart = () => ({ kind: "done", clockMs: 0 });
    await waitFor("a response", () => instance.link!.hasResponded);
    scheduler.accept(spec([{ taskCount: 2, gang: true }]));
    const [one, two] = openTasks(scheduler);
    scheduler.place(one!, instance, { run: 1, ticket: undefined });
    scheduler.place(two!, other, { run: 1, ticket: undefined });
    await context.flush();
    bornAtMs = 6;
    await waitFor(
      "the successor",
      () => scheduler.workers.find("w1", 6) !== undefined,
    );
    // One member's success represents all of the gang.
    context.report(other, [ended(1, 1, "done", `${JOB}.0.0.1`)]);
    await context.flush();
    registry.checkInstances();
    assert.equal(scheduler.workers.find("w1", 6), undefined);
    registration = registrationOf(4, "w1:1");
    registry.syncItem({ key: "servers/w1", value: "", revision: 2 });
    assert.ok(scheduler.workers.find("w1", 4), "registered");
  } finally {
    await links.halt();
  }
});

// Guards against a worker that gets no tasks any more after its clock was set back.
test("an idle worker that starts again at another address with an earlier start time is registered", async () => {
  const context = createTestScheduler();
  const { scheduler } = context;
  let registration = registrationOf(5, "w1:1");
  const control = {
    renewAndPoll: () => delay(20).then(() => ({ kind: "not_sent" })),
    close() {},
  } as unknown as WorkerControl;
  const registry = createTestRegistry(scheduler, control, () => registration);
  const links = run(() => registry.run());
  try {
    registry.syncItem({ key: "servers/w1", value: "", revision: 1 });
    const instance = scheduler.workers.find("w1", 5)!;
    await waitFor("silence", () => instance.link!.silentMs() > 100);
    registration = registrationOf(4, "w1:2");
    for (let beat = 2; beat < 5; beat++) {
      registry.syncItem({ key: "servers/w1", value: "", revision: beat });
      registry.checkInstances();
    }
    assert.ok(scheduler.workers.find("w1", 4), "registered");
  } finally {
    await links.halt();
  }
});

test.run();
