import {
  type Operation,
  race,
  scoped,
  sleep,
  spawn,
  suspend,
  until,
} from "effection";
import type { Clock } from "../clock.ts";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { createWake } from "../wake.ts";
import { createElapsed } from "./clock_guard.ts";
import { createDemandForecast } from "./demand_forecast.ts";
import { declaredWork } from "./durations.ts";
import { createFleetManager, type FleetManager } from "./fleet_manager.ts";
import { followPrefix } from "./follow_prefix.ts";
import { createJournal, type Journal } from "./journal.ts";
import {
  forEachPlaced,
  type JobState,
  restoreJob,
  stepOf,
} from "./job_state.ts";
import { watchLag } from "./lag_meter.ts";
import { type JobSpec, jobSpecSchema, type JobStatus } from "./model.ts";
import { KEYS, type Tenure } from "./ownership.ts";
import { runPacing } from "./pacing.ts";
import { planPlacements, REGISTRATION_GRACE_MS } from "./planner.ts";
import type {
  PlacementAdvice,
  PlatformRecords,
  RecordStore,
  SchedulerConfig,
  StoredItem,
  VmFleet,
  WaveRequest,
  WorkerControl,
  WorkerEntry,
} from "./ports.ts";
import type { WorkerLife } from "./roster.ts";
import { createScheduler, type Scheduler } from "./scheduler.ts";
import { relocateStalledTasks } from "./stalled_tasks.ts";
import { createTickets, type Tickets } from "./tickets.ts";
import { createWorkerLink, RUN_LEASE_MS } from "./worker_link.ts";

/** Time without an answer of the store after which an owner gives no more orders, in ms. Outages of the store last about 10 s, in which running tasks must keep their leases; a new owner waits this long for workers that it can't reach. */
const SILENT_STORE_LIMIT_MS = 13_000;
/** Renewals in one lease time. */
const RENEWALS_PER_LEASE = 4;
/** Shortest time between two planning rounds, in ms. */
const PLAN_INTERVAL_MS = 12;
/** Longest time between two planning rounds, in ms; due occurrences and pauses end unannounced. */
const PLAN_TIMEOUT_MS = 100;
/** Interval of checks of workers, stalled tasks and paces, in ms. */
const CHECK_INTERVAL_MS = 200;
/** Interval at which records of ended jobs are looked for, in ms. */
const CLEANUP_INTERVAL_MS = 15_000;
/** Pause between two watches of jobs, in ms; entries tell the owner of new jobs directly. */
const QUEUE_WATCH_PAUSE_MS = 300;
/** Pause between two watches of workers, in ms; every worker writes a heartbeat. */
const WORKER_WATCH_PAUSE_MS = 350;
/** The same while VMs are expected to register after a move or maintenance, in ms. */
const ARRIVAL_WATCH_PAUSE_MS = 60;
/** Longest wait of a watch, in ms. */
const WATCH_WAIT_MS = 2_000;

/** What a tenure works with. */
export interface TenureOptions {
  readonly store: RecordStore;
  readonly records: PlatformRecords;
  readonly control: WorkerControl;
  readonly fleet: VmFleet;
  readonly advice: PlacementAdvice;
  readonly tenure: Tenure;
  readonly entryId: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly config: () => SchedulerConfig | undefined;
  readonly waves: () => ReadonlyMap<number, WaveRequest>;
  /** Time for which the state of an ended job is kept, in ms. */
  readonly keepEndedMs: number;
  /** Time between orders of two owners for one VM, in ms. */
  readonly holderGapMs: number;
}

/** What entries may ask the owner once its records are loaded. */
export interface OwnerApi {
  readonly epoch: number;
  accept(spec: JobSpec): void;
  cancel(jobId: string): void;
  status(jobId: string): JobStatus | undefined;
  waitingJobs(queue: string): number;
  /** State for the dump. */
  describe(): unknown;
  readonly scheduler: Scheduler;
}

/** A tenure that runs; `lost` tells why it ended. */
export interface TenureRun {
  /** Undefined until the records are loaded. */
  api(): OwnerApi | undefined;
  /** Gives ownership up at once. */
  resign(): void;
  /** Whether ownership was given up rather than lost. */
  resigned(): boolean;
  /** Ends the tenure because it is known to be over. */
  abandon(reason: string): void;
  run(): Operation<string>;
}

/** Creates the work of an owner for one tenure. */
export function createTenureRun(options: TenureOptions): TenureRun {
  const { store, tenure, clock, log, records } = options;
  const lost = createWake();
  const planWake = createWake();
  const contact = createElapsed(clock);
  const startedAtMs = clock.monotonicMs();
  const startedAtWallMs = clock.wallMs();
  let lostReason: string | undefined;
  let resigning = false;
  let loaded = false;

  const onLost = (reason: string) => {
    lostReason ??= reason;
    lost.notify();
  };
  const mayOrder = () =>
    lostReason === undefined && contact.ms() < SILENT_STORE_LIMIT_MS;
  const journal: Journal = createJournal({
    store,
    tenure,
    log,
    onLost,
    onContact: () => contact.restart(),
  });
  const tickets: Tickets = createTickets({
    advice: options.advice,
    clock,
    log,
    onChange: () => planWake.notify(),
  });
  const scheduler = createScheduler({
    journal,
    fence: tenure.epoch,
    clock,
    log,
    config: options.config,
    mayOrder,
    onChange: () => planWake.notify(),
  });
  const { roster } = scheduler;
  /** Leases that earlier owners granted may last as long as a silent owner goes on and one lease more. */
  const earlierLeasesEndMs = tenure.epoch === 1
    ? startedAtMs
    : startedAtMs + SILENT_STORE_LIMIT_MS + RUN_LEASE_MS * 1.03 + 500;
  const newLinks: WorkerLife[] = [];
  const linksWake = createWake();
  const forecast = createDemandForecast(() => clock.monotonicMs());
  const fleet: FleetManager = createFleetManager({
    ...options,
    scheduler,
    journal,
    contact,
    forecast,
    mayOrder: () => mayOrder() && !resigning,
    endLife,
    onFenced: () => onLost("a VM follows a newer owner"),
    onChange: () => planWake.notify(),
  });

  /** Adds a stored job; entries and the watch both tell of it. */
  function acceptJob(spec: JobSpec): void {
    if (scheduler.jobs.has(spec.jobId)) return;
    scheduler.accept(spec);
    const service =
      options.config()?.queues.find(({ name }) => name === spec.queue)
        ?.service ?? spec.service;
    forecast.record(service, declaredWork(spec, scheduler.durations));
  }

  function addWorker(entry: WorkerEntry): void {
    const known = roster.find(entry.workerId, entry.bornAtMs);
    if (known?.link !== undefined) {
      if (known.entry?.state !== entry.state) {
        log.info("worker changed its state", {
          worker: entry.workerId,
          service: entry.service,
          state: entry.state,
          remainingMs: entry.remainingMs,
        });
      }
      known.entry = entry;
      known.missingSinceMs = undefined;
      known.link.updateEntry(entry);
      return;
    }
    for (const other of [...roster.lives.values()]) {
      if (other.workerId !== entry.workerId) continue;
      if (other.bornAtMs > entry.bornAtMs) return;
      if (other.bornAtMs < entry.bornAtMs) {
        endLife(other, "the worker has started anew");
      }
    }
    const link = createWorkerLink({
      entry,
      fence: tenure.epoch,
      control: options.control,
      clock,
      log,
      earlierLeasesEndMs,
      events: {
        onReport: (_, report, sentAtMs) =>
          scheduler.onReport(life, report, sentAtMs),
        onGone: (_, reason) => endLife(life, reason),
        onFenced: () => onLost("a worker follows a newer owner"),
        afterFlush: (callback) => journal.afterFlush(callback),
        mayOrder,
      },
    });
    const life: WorkerLife = {
      workerId: entry.workerId,
      bornAtMs: entry.bornAtMs,
      vmId: entry.vmId,
      link,
      entry,
      missingSinceMs: undefined,
      tasks: known?.tasks ?? new Set(),
      joinedAtMs: clock.monotonicMs(),
      earlierLeasesEndMs,
    };
    roster.add(life);
    log.info("worker joined", {
      worker: entry.workerId,
      vm: entry.vmId,
      service: entry.service,
      rack: entry.rack,
    });
    newLinks.push(life);
    linksWake.notify();
  }

  function endLife(life: WorkerLife, reason: string): void {
    scheduler.endLife(life, reason);
    life.link?.close();
    tickets.forgetWorker(life.workerId);
    if (life.entry !== undefined) options.control.forget(life.entry.address);
    planWake.notify();
  }

  function missWorker(key: string): void {
    const workerId = key.slice(records.workerPrefix.length);
    const life = roster.current(workerId);
    if (life === undefined) return;
    life.missingSinceMs = clock.monotonicMs();
    log.info("worker's registration is gone", { worker: workerId });
  }

  function readWorkers(items: readonly StoredItem[]): void {
    const present = new Set<string>();
    for (const item of items) {
      const entry = records.readWorker(item);
      if (entry === undefined) continue;
      present.add(entry.workerId);
      addWorker(entry);
    }
    for (const life of roster.lives.values()) {
      if (life.entry !== undefined && !present.has(life.workerId)) {
        life.missingSinceMs ??= clock.monotonicMs();
      }
    }
  }

  /** Frees tasks of workers that are proven to be gone, and hides workers that are taken as gone. */
  function checkLives(): void {
    for (const life of [...roster.lives.values()]) {
      const missing = life.missingSinceMs !== undefined &&
        clock.monotonicMs() - life.missingSinceMs > REGISTRATION_GRACE_MS;
      if (missing) life.entry = undefined;
      const unreachable = life.link === undefined ||
        life.link.silentMs() > 0 || !life.link.confirmed;
      const over = life.link === undefined
        ? clock.monotonicMs() > life.earlierLeasesEndMs
        : life.link.leasesOver();
      if (unreachable && over && (life.tasks.size > 0 || missing)) {
        endLife(life, "every lease that it may hold has run out");
      }
      if (life.link !== undefined) {
        life.link.busy = life.tasks.size > 0;
        life.link.watched = [...life.tasks].some((task) =>
          stepOf(task).targetMs > 0 || stepOf(task).fills
        );
      }
    }
  }

  function readSpec(item: StoredItem): JobSpec | undefined {
    try {
      return jobSpecSchema.parse(JSON.parse(item.value));
    } catch (error) {
      log.error("stored job can't be read and is set aside", {
        key: item.key,
        reason: messageOf(error),
      });
      return undefined;
    }
  }

  function readQueueItem(item: StoredItem): void {
    if (item.key.startsWith(KEYS.cancelPrefix)) {
      scheduler.cancel(item.key.slice(KEYS.cancelPrefix.length));
      return;
    }
    const spec = readSpec(item);
    if (spec !== undefined) acceptJob(spec);
  }

  function* loadJobs(): Operation<number> {
    const progress = yield* until(store.list(KEYS.progressPrefix));
    const queue = yield* until(store.list(KEYS.queuePrefix));
    const progressOf = new Map(
      progress.items.map((
        { key, value },
      ) => [key.slice(KEYS.progressPrefix.length), value]),
    );
    const cancelled: string[] = [];
    for (const item of queue.items) {
      if (item.key.startsWith(KEYS.cancelPrefix)) {
        cancelled.push(item.key.slice(KEYS.cancelPrefix.length));
        continue;
      }
      const spec = readSpec(item);
      if (spec === undefined) continue;
      adopt(spec, progressOf.get(spec.jobId));
    }
    for (const jobId of cancelled) scheduler.cancel(jobId);
    contact.restart();
    return queue.items.length;
  }

  function adopt(spec: JobSpec, progress: string | undefined): void {
    let job: JobState;
    try {
      job = restoreJob(spec, progress, clock.monotonicMs());
    } catch (error) {
      log.error(
        "stored progress of a job can't be read; the job is set aside",
        {
          job: spec.jobId,
          reason: messageOf(error),
        },
      );
      return;
    }
    scheduler.adopt(job);
    forEachPlaced(job, (task, placement) => {
      let life = roster.find(placement.workerId, placement.bornAtMs);
      if (life === undefined) {
        life = {
          workerId: placement.workerId,
          bornAtMs: placement.bornAtMs,
          vmId: placement.vmId,
          link: undefined,
          entry: undefined,
          missingSinceMs: undefined,
          tasks: new Set(),
          joinedAtMs: startedAtMs,
          earlierLeasesEndMs,
        };
        roster.add(life);
      }
      life.tasks.add(task);
      if (job.status !== "active") {
        scheduler.stop(task, "the job has ended");
      }
    });
  }

  function* runLinks(): Operation<void> {
    for (;;) {
      for (const life of newLinks.splice(0)) {
        yield* spawn(() => life.link!.run());
      }
      yield* linksWake.wait(10_000);
    }
  }

  function* renewLease(): Operation<void> {
    for (;;) {
      yield* sleep(tenure.leaseTtlMs / RENEWALS_PER_LEASE);
      try {
        if (!(yield* until(store.keepLease(tenure.leaseId)))) {
          onLost("the lease has ended");
          return;
        }
        contact.restart();
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.debug("renewal failed", { reason: messageOf(error) });
      }
    }
  }

  function* planLoop(): Operation<void> {
    for (;;) {
      yield* planWake.wait(PLAN_TIMEOUT_MS);
      if (mayOrder() && !resigning) {
        planPlacements({
          scheduler,
          tickets,
          clock,
          log,
          isCordoned: fleet.isCordoned,
        }, options.config());
      }
      yield* sleep(PLAN_INTERVAL_MS);
    }
  }

  function* checkLoop(): Operation<void> {
    for (;;) {
      checkLives();
      if (!resigning) relocateStalledTasks(scheduler, log);
      yield* sleep(CHECK_INTERVAL_MS);
    }
  }

  function* cleanUp(): Operation<void> {
    for (;;) {
      yield* sleep(CLEANUP_INTERVAL_MS);
      const limit = clock.wallMs() - options.keepEndedMs;
      for (const job of [...scheduler.jobs.values()]) {
        if (job.recordedStatus === "active") continue;
        job.endedSeenAtMs ??= clock.wallMs();
        if (job.endedSeenAtMs < limit) scheduler.remove(job);
      }
    }
  }

  const workerPauseMs = () =>
    fleet.expectsWorkers() ? ARRIVAL_WATCH_PAUSE_MS : WORKER_WATCH_PAUSE_MS;

  function* follow(
    prefix: string,
    pauseMs: () => number,
    handlers: {
      onSnapshot: (items: readonly StoredItem[]) => void;
      onPut: (item: StoredItem) => void;
      onDelete: (key: string) => void;
    },
  ): Operation<void> {
    yield* followPrefix({
      store,
      prefix,
      log,
      waitMs: WATCH_WAIT_MS,
      pauseMs,
      onContact: () => contact.restart(),
      ...handlers,
    });
  }

  function* work(): Operation<void> {
    yield* spawn(() => renewLease());
    const jobs = yield* loadJobs();
    log.info("owner started", {
      epoch: tenure.epoch,
      records: jobs,
      loadMs: Math.round(clock.monotonicMs() - startedAtMs),
    });
    yield* spawn(() => journal.run());
    yield* spawn(() => runLinks());
    yield* spawn(() =>
      follow(records.workerPrefix, workerPauseMs, {
        onSnapshot: readWorkers,
        onPut(item) {
          const entry = records.readWorker(item);
          if (entry !== undefined) addWorker(entry);
        },
        onDelete: missWorker,
      })
    );
    yield* spawn(() =>
      follow(KEYS.queuePrefix, () => QUEUE_WATCH_PAUSE_MS, {
        onSnapshot: (items) => items.forEach(readQueueItem),
        onPut: readQueueItem,
        onDelete() {},
      })
    );
    yield* spawn(() => planLoop());
    yield* spawn(() => checkLoop());
    yield* spawn(() => cleanUp());
    yield* spawn(() => fleet.run());
    yield* spawn(() => runPacing(scheduler, log));
    yield* spawn(() =>
      watchLag(clock, (meanLagMs) => {
        log.warn("this entry is too slow to be the owner", {
          epoch: tenure.epoch,
          meanLagMs: Math.round(meanLagMs),
        });
        resign("this entry is too slow");
      })
    );
    loaded = true;
    yield* suspend();
  }

  /** Ends the lease so that another entry takes over at once; what isn't stored yet, the next owner reads from the workers. */
  function resign(reason: string): void {
    if (resigning) return;
    resigning = true;
    log.info("giving up ownership", { reason, pending: journal.pending() });
    void store.endLease(tenure.leaseId).catch((error) =>
      log.warn("the lease couldn't be ended and will run out", {
        reason: messageOf(error),
      })
    );
    onLost(reason);
  }

  function* waitUntilLost(): Operation<string> {
    while (lostReason === undefined) yield* lost.wait(1_000);
    return lostReason;
  }

  const api: OwnerApi = {
    epoch: tenure.epoch,
    scheduler,
    accept: acceptJob,
    cancel: (jobId) => scheduler.cancel(jobId),
    status: (jobId) => scheduler.status(jobId),
    waitingJobs: (queue) => scheduler.waitingJobs(queue),
    describe: () => ({
      epoch: tenure.epoch,
      sinceMs: clock.wallMs() - startedAtWallMs,
      storeContactAgeMs: Math.round(contact.ms()),
      pendingRecords: journal.pending(),
      counters: scheduler.counters,
      fleet: fleet.describe(),
      workers: [...roster.lives.values()].map((life) => ({
        workerId: life.workerId,
        vmId: life.vmId,
        service: life.entry?.service,
        state: life.entry?.state,
        silentMs: life.link?.silentMs(),
        tasks: [...life.tasks].map((task) => ({
          taskId: task.taskId,
          run: task.run,
          order: task.placement?.order,
          percent: task.placement?.percent,
        })),
      })),
    }),
  };

  return {
    api: () => loaded && lostReason === undefined ? api : undefined,
    resign: () => resign("this entry is stopping"),
    resigned: () => resigning,
    abandon: onLost,
    *run() {
      const reason = yield* scoped(() =>
        race([waitUntilLost(), work() as Operation<never>])
      );
      log.info("owner ended", { epoch: tenure.epoch, reason });
      return reason;
    },
  };
}
