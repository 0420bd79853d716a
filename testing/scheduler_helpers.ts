import { setTimeout as delay } from "node:timers/promises";
import { systemClock } from "../src/clock.ts";
import { silentLogger } from "../src/logger.ts";
import type { RunLoss } from "../src/scheduler/crashes/run_loss.ts";
import { createDueOccurrences } from "../src/scheduler/job_state.ts";
import type { Journal, JournalRecord } from "../src/scheduler/journal.ts";
import { type JobSpec, jobSpecSchema } from "../src/scheduler/model.ts";
import { PlacedTasks } from "../src/scheduler/placed_tasks.ts";
import type {
  ActiveRunReport,
  EndedRunReport,
  OrderOutcome,
  PlatformRecordCodec,
  WorkerControl,
  WorkerRegistration,
} from "../src/scheduler/ports.ts";
import {
  createScheduler,
  type Scheduler,
  type SchedulerOptions,
} from "../src/scheduler/scheduler.ts";
import type { TicketCache } from "../src/scheduler/ticket_cache.ts";
import type { WorkerLink } from "../src/scheduler/worker_link.ts";
import { createWorkerRegistry } from "../src/scheduler/worker_registry.ts";
import type { WorkerInstance } from "../src/scheduler/worker_table.ts";

/** ID of the test job. */
export const JOB = "0123456789abcdef";
/** ID of its first task. */
export const TASK = `${JOB}.0.0.0`;

/** Loss of a run that had just started, beside others that had as well. */
export const YOUNG_LOSS: RunLoss = {
  run: 1,
  worker: "w0",
  born: 1,
  vm: "",
  young: true,
  confirmed: true,
  alone: false,
  proven: true,
};

/** Creates the test job with the given steps. */
export function spec(
  steps: Partial<JobSpec["steps"][number]>[] = [{}],
): JobSpec {
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
export function createTestJournal() {
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

/** Creates a scheduler whose workers the test adds and answers for; a given journal isn't flushed by `flush`. */
export function createTestScheduler(
  options: Partial<
    Pick<SchedulerOptions, "journal" | "noticeMs" | "clock" | "onTicketRefused">
  > = {},
) {
  const { journal: testJournal, flush } = createTestJournal();
  const journal = options.journal ?? testJournal;
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
    clock: systemClock,
    log: silentLogger,
    config: () => undefined,
    mayOrder: () => state.mayOrder,
    isOrdered: () => false,
    onChange() {},
    noticeMs: 4_500,
    ...options,
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
      probe: () => Promise.resolve(),
      lastResponseAtMs: undefined,
      silentMs: () => 0,
      hasResponded: true,
      leasesExpired: () => false,
      unseenLeasesEndMs: () => -Infinity,
      needsFrequentPolls: false,
    } as unknown as WorkerLink;
    const instance: WorkerInstance = {
      workerId,
      bornAtMs: 1,
      vmId: `vm-${workerId}`,
      link,
      registration: undefined,
      missingSinceMs: undefined,
      draining: false,
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

/** Creates a registry of workers for a test scheduler. */
export function createTestRegistry(
  scheduler: Scheduler,
  control: WorkerControl,
  readWorker: () => WorkerRegistration,
  options: Pick<
    Partial<Parameters<typeof createWorkerRegistry>[0]>,
    "clock" | "events"
  > = {},
) {
  return createWorkerRegistry({
    scheduler,
    tickets: { forgetWorker() {} } as unknown as TicketCache,
    control,
    records: {
      workerPrefix: "servers/",
      readWorker,
    } as unknown as PlatformRecordCodec,
    epoch: 1,
    clock: systemClock,
    log: silentLogger,
    earlierLeasesEndMs: 0,
    events: {
      onFenced() {},
      afterFlush: (callback) => callback(),
      mayOrder: () => true,
    },
    onChange() {},
    ...options,
  });
}

/** Returns the tasks of the first step of a job, by default the test job. */
export function openTasks(scheduler: Scheduler, jobId = JOB) {
  const job = scheduler.jobs.get(jobId)!;
  createDueOccurrences(job, Date.now());
  return job.occurrences[0]!.steps[0]!;
}

/** Creates the report of an ended run. */
export function ended(
  number: number,
  run: number,
  ending: EndedRunReport["ending"],
  taskId = TASK,
): EndedRunReport {
  return { number, taskId, run, ending, checkpoint: "" };
}

/** Creates the registration of worker `w1`. */
export function registrationOf(
  bornAtMs: number,
  address: string,
): WorkerRegistration {
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
