import {
  ensure,
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
import { createNotifier } from "../notifier.ts";
import { createStopwatch } from "./stopwatch.ts";
import { createDemandForecast } from "./demand_forecast.ts";
import { estimateWork } from "./duration_estimates.ts";
import { createFleetManager, type FleetManager } from "./fleet_manager.ts";
import { watchPrefix } from "./watch_prefix.ts";
import { createJournal, type Journal } from "./journal.ts";
import { loadJobs } from "./load_jobs.ts";
import { createTrialWorkers } from "./crashes/trial_workers.ts";
import type { JobSpec, JobStatus } from "./model.ts";
import {
  createOverloadRejection,
  type OverloadRejection,
} from "./overload/owner_rejection.ts";
import { STORE_KEYS, type Tenure } from "./ownership.ts";
import { createThrottling, runThrottling } from "./throttling.ts";
import { createQueueReader, type QueueReader } from "./queue_reader.ts";
import { planPlacements } from "./placement_planner.ts";
import type {
  PlacementAdvisor,
  PlatformRecordCodec,
  RecordStore,
  SchedulerConfig,
  StoredItem,
  VmApi,
  WaveRequest,
  WorkerControl,
} from "./ports.ts";
import { openRelayChannel } from "./relay/channel.ts";
import { createRelayedControl, type RelayOffer } from "./relay/control.ts";
import { createJobMemory } from "./overload/job_memory.ts";
import { resolveQueue } from "./resolve_queue.ts";
import { createScheduler, type Scheduler } from "./scheduler.ts";
import { handOverWhenSlow } from "./slow_handover.ts";
import { relocateStragglers } from "./stragglers.ts";
import { createTicketCache, type TicketCache } from "./ticket_cache.ts";
import { removeOldWithdrawals } from "./withdrawal_cleanup.ts";
import { MAXIMUM_LEASE_MS } from "./worker_link.ts";
import { LATE_CALL_LIMIT_MS } from "./worker_lives.ts";
import { createWorkerRegistry } from "./worker_registry.ts";
import type { AdmissionDecision } from "./workspaces/admission.ts";
import { createFairShare } from "./workspaces/fair_share.ts";
import { createOwnerAdmission } from "./workspaces/owner_admission.ts";
import { sumUsage } from "./workspaces/usage.ts";
import { createStartLimit } from "./start_limit.ts";
import { createWaitLog } from "./workspaces/wait_log.ts";
import {
  describeWorkspaces,
  type WorkspaceState,
} from "./workspaces/workspace_state.ts";

/**
 * Time without a response of the store after which an owner issues no more
 * orders, in ms. Outages of the store last about 10 s, during which the leases of
 * running tasks must be renewed. A new owner has to wait this long before it
 * considers the leases of unreachable workers expired.
 */
const STORE_SILENCE_LIMIT_MS = 13_000;
/** Number of renewals per lease TTL. */
const RENEWALS_PER_LEASE = 4;
/** Pause between two renewals while the store doesn't respond, in ms. */
const FAILED_RENEWAL_PAUSE_MS = 120;
/** Time for which every call to the store must have failed before other entries are asked to take over, in ms; a slow store still responds within it. */
const TAKEOVER_REQUEST_AFTER_MS = 400;
/** Interval of takeover requests, in ms. */
const TAKEOVER_REQUEST_INTERVAL_MS = 500;
/** Minimum pause between two planning rounds, in ms. */
const PLAN_INTERVAL_MS = 12;
/** Minimum pause after a planning round relative to its duration, so that planning leaves time for the workers' reports. */
const PLAN_PAUSE_FACTOR = 3;
/** Longest time between two planning rounds, in ms, because no event announces due occurrences and the end of pauses. */
const PLAN_TIMEOUT_MS = 100;
/** Interval of the checks for unreachable workers and stalled tasks, in ms. */
const CHECK_INTERVAL_MS = 200;
/** Longest interval at which records of ended jobs are removed, in ms. */
const CLEANUP_INTERVAL_MS = 15_000;
/** Minimum number of these removals in the time for which ended jobs are kept. */
const CLEANUPS_PER_RETENTION = 4;
/** Pause between two long polls for jobs, in ms; entries also notify the owner of new jobs directly. */
const QUEUE_WATCH_PAUSE_MS = 300;
/** Pause between two long polls for workers, in ms; batches their heartbeats. */
const WORKER_WATCH_PAUSE_MS = 350;
/** Pause between two long polls for workers while VMs are expected to register after a move or maintenance, in ms. */
const REGISTRATION_WATCH_PAUSE_MS = 60;
/** Duration of one long poll, in ms. */
const WATCH_WAIT_MS = 2_000;
/** Duration of the first long poll for the queue, in ms: its response is due at once, as it shows what was stored while the queue was loaded. */
const CATCH_UP_WAIT_MS = 1;

/** Memory of the VM if it isn't known, in MB. */
const DEFAULT_MEMORY_MB = 350;

/** Dependencies and settings of a tenure runner. */
export interface TenureRunnerOptions {
  readonly store: RecordStore;
  readonly records: PlatformRecordCodec;
  readonly control: WorkerControl;
  readonly fleet: VmApi;
  readonly advice: PlacementAdvisor;
  readonly tenure: Tenure;
  readonly entryId: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly config: () => SchedulerConfig | undefined;
  readonly waves: () => ReadonlyMap<number, WaveRequest>;
  /** Time for which the status of an ended job is kept, in ms. */
  readonly keepEndedMs: number;
  /** Minimum time between orders of two owners for one VM, in ms. */
  readonly holderGapMs: number;
  /** Time for which a task must have been at work before it no longer counts as away, in ms. */
  readonly noticeMs: number;
  /** Whether jobs that can't finish in time are rejected; false if omitted. */
  readonly rejectUnattainable?: boolean;
  /** Memory of the VM, in MB; 350 if omitted. */
  readonly memoryMb?: number;
  /** Asks other entries to take over; the one that does raises the epoch. */
  readonly requestTakeover: (epoch: number) => void;
  /** Returns whether another entry responds, which can take over. */
  readonly hasSuccessor: () => Promise<boolean>;
}

/** API of the owner, available once its records are loaded. */
export interface OwnerApi {
  readonly epoch: number;
  /** Adds a job that was stored at a store revision; returns whether there is memory for more jobs. */
  accept(spec: JobSpec, revision: number): boolean;
  cancel(jobId: string): void;
  /** Decides whether an entry may store a job. */
  admit(spec: JobSpec): AdmissionDecision;
  /** Returns the status of a job; undefined if the owner doesn't know it or it is another workspace's. */
  status(jobId: string, workspace: string): JobStatus | undefined;
  /** Returns the number of jobs in a queue of which no worker has confirmed a run. */
  waitingJobs(queue: string): number;
  /** Returns the state of each configured workspace. */
  workspaces(): WorkspaceState[];
  /** Decisions about submissions to pools short of VMs, by queue; undefined if the settings don't ask for rejections. */
  readonly overloadCounts: OverloadRejection["counts"] | undefined;
  /** Returns the owner's state for the `/dump` endpoint. */
  describeState(): unknown;
  readonly scheduler: Scheduler;
}

/** Runs the owner during one tenure; `run` returns the reason why the tenure ended. */
export interface TenureRunner {
  /** Adds an entry that sends orders to the workers of its data centre for this owner. */
  addRelay(offer: RelayOffer): void;
  /** Returns undefined until the records are loaded and after the tenure has ended. */
  api(): OwnerApi | undefined;
  /** Gives up ownership at once. */
  resign(reason: string): void;
  /** Whether ownership was given up voluntarily. */
  hasResigned(): boolean;
  /** Ends the tenure because another entry is the owner or the owner's key was deleted. */
  abandon(reason: string): void;
  run(): Operation<string>;
}

/** Creates the runner of one tenure. */
export function createTenureRunner(options: TenureRunnerOptions): TenureRunner {
  const { store, tenure, clock, log, records } = options;
  const ended = createNotifier();
  const planWake = createNotifier();
  /** Notified once everything has been read that was stored before the queue was loaded completely. */
  const caughtUp = createNotifier();
  const storeContact = createStopwatch(clock);
  const startedAtMs = clock.monotonicMs();
  const startedAtWallMs = clock.wallMs();
  let endReason: string | undefined;
  let resigning = false;
  /** Undefined until the records are loaded. */
  let loadedQueue: QueueReader | undefined;
  /** Monotonic time of the first failure since the store's last response, in ms. */
  let failingSinceMs: number | undefined;

  const endTenure = (reason: string) => {
    endReason ??= reason;
    ended.notify();
  };
  const mayOrder = () =>
    endReason === undefined &&
    storeContact.elapsedMs() < STORE_SILENCE_LIMIT_MS;
  const onStoreResponse = () => {
    storeContact.restart();
    failingSinceMs = undefined;
  };
  const onStoreFailure = () => {
    failingSinceMs ??= clock.monotonicMs();
  };
  const journal: Journal = createJournal({
    store,
    tenure,
    clock,
    log,
    onLost: endTenure,
    onResponse: onStoreResponse,
    onFailure: onStoreFailure,
  });
  const tickets: TicketCache = createTicketCache({
    advice: options.advice,
    clock,
    log,
    onChange: () => planWake.notify(),
  });
  const scheduler = createScheduler({
    journal,
    clock,
    log,
    config: options.config,
    mayOrder,
    isOrdered: (instance) => fleet.wasOrdered(instance),
    noticeMs: options.noticeMs,
    isVmEnding: (vmId) => fleet.isVmEnding(vmId),
    onTicketRefused: tickets.drop,
    onChange: () => planWake.notify(),
  });
  /**
   * An earlier owner may issue orders for `STORE_SILENCE_LIMIT_MS` without contact
   * to the store. A worker may have restarted unseen, so that its next process
   * executes the last one late and grants the longest lease.
   */
  const earlierLeasesEndMs = tenure.epoch === 1
    ? startedAtMs
    : startedAtMs + STORE_SILENCE_LIMIT_MS + LATE_CALL_LIMIT_MS +
      MAXIMUM_LEASE_MS;
  const control = createRelayedControl({
    direct: options.control,
    openChannel: (address) =>
      openRelayChannel(address, { epoch: tenure.epoch, log }),
    countWorkers: () => scheduler.workers.instances.size,
    clock,
    log,
  });
  const workers = createWorkerRegistry({
    ...options,
    control,
    scheduler,
    tickets,
    epoch: tenure.epoch,
    earlierLeasesEndMs,
    events: {
      onFenced: () => endTenure("a worker was fenced by a newer owner"),
      afterFlush: (callback) => journal.afterFlush(callback),
      mayOrder,
    },
    onChange: () => planWake.notify(),
  });
  const trialWorkers = createTrialWorkers();
  const forecast = createDemandForecast(() => clock.monotonicMs());
  const fleet: FleetManager = createFleetManager({
    ...options,
    scheduler,
    journal,
    storeContact,
    forecast,
    mayOrder,
    removeInstance: workers.removeInstance,
    onFenced: () => endTenure("a VM was fenced by a newer owner"),
    onChange: () => planWake.notify(),
  });

  const waitLog = createWaitLog(log);
  const fairShare = createFairShare({ nowMs: () => clock.monotonicMs() });
  const overload = options.rejectUnattainable
    ? createOverloadRejection({
      scheduler,
      clock,
      log,
      config: options.config,
      isScarce: fleet.isScarce,
      vms: fleet.vms,
      isVmEnding: fleet.isVmEnding,
    })
    : undefined;
  const memory = createJobMemory({
    jobs: scheduler.jobs,
    memoryMb: options.memoryMb ?? DEFAULT_MEMORY_MB,
    clock,
  });
  const admission = createOwnerAdmission({
    scheduler,
    memory,
    clock,
    config: options.config,
    isScarce: fleet.isScarce,
    overload,
  });

  function recordDemand(spec: JobSpec, ageMs: number): void {
    const { service } = resolveQueue(options.config(), spec);
    forecast.record(
      service,
      estimateWork(spec, scheduler.durationEstimates),
      ageMs,
    );
  }

  function* renewLeaseLoop(): Operation<void> {
    for (;;) {
      yield* sleep(
        failingSinceMs === undefined
          ? tenure.leaseTtlMs / RENEWALS_PER_LEASE
          : FAILED_RENEWAL_PAUSE_MS,
      );
      try {
        if (!(yield* until(store.renewLease(tenure.leaseId)))) {
          endTenure("the owner's lease has ended");
          return;
        }
        onStoreResponse();
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        onStoreFailure();
        log.debug("lease renewal failed", { reason: messageOf(error) });
      }
    }
  }

  /** Asks other entries to take over while the store fails, because they may reach it and need not wait until the lease expires. */
  function* requestTakeoverOnFailure(): Operation<void> {
    for (;;) {
      yield* sleep(FAILED_RENEWAL_PAUSE_MS);
      if (failingSinceMs === undefined) continue;
      const failingMs = clock.monotonicMs() - failingSinceMs;
      if (failingMs < TAKEOVER_REQUEST_AFTER_MS) continue;
      log.info("asking other entries to take over", {
        epoch: tenure.epoch,
        storeFailingMs: Math.round(failingMs),
      });
      options.requestTakeover(tenure.epoch);
      yield* sleep(TAKEOVER_REQUEST_INTERVAL_MS);
    }
  }

  const startLimit = createStartLimit();

  function* planLoop(): Operation<void> {
    // Loading may take seconds, in which entries acknowledge cancellations that they can't report to this owner.
    while (!(yield* caughtUp.wait(PLAN_TIMEOUT_MS)));
    for (;;) {
      yield* planWake.wait(PLAN_TIMEOUT_MS);
      const startedAtMs = clock.monotonicMs();
      if (mayOrder()) {
        planPlacements({
          scheduler,
          tickets,
          clock,
          log,
          fairShare,
          waitLog,
          startLimit,
          isCordoned: fleet.isCordoned,
          isScarce: fleet.isScarce,
          countArriving: fleet.countArriving,
          trialWorkers,
        }, options.config());
      }
      const durationMs = clock.monotonicMs() - startedAtMs;
      yield* sleep(
        Math.max(PLAN_INTERVAL_MS, durationMs * PLAN_PAUSE_FACTOR),
      );
    }
  }

  function* checkLoop(): Operation<void> {
    for (;;) {
      workers.checkInstances();
      relocateStragglers(scheduler, log);
      yield* sleep(CHECK_INTERVAL_MS);
    }
  }

  const cleanupIntervalMs = Math.min(
    CLEANUP_INTERVAL_MS,
    options.keepEndedMs / CLEANUPS_PER_RETENTION,
  );

  function* removeEndedJobs({ hasRead }: QueueReader): Operation<void> {
    for (;;) {
      yield* sleep(cleanupIntervalMs);
      scheduler.removeEnded(options.keepEndedMs, hasRead);
    }
  }

  const workerWatchPauseMs = () =>
    fleet.expectsWorkers()
      ? REGISTRATION_WATCH_PAUSE_MS
      : WORKER_WATCH_PAUSE_MS;

  function* watchRecords(
    prefix: string,
    pauseMs: () => number,
    handlers: {
      onSnapshot: (items: readonly StoredItem[], revision: number) => void;
      onPut: (item: StoredItem) => void;
      onDelete: (key: string) => void;
      onRevision?: (revision: number) => void;
    },
    start: { readonly fromRevision?: number; readonly firstWaitMs?: number } =
      {},
  ): Operation<void> {
    yield* watchPrefix({
      store,
      prefix,
      ...start,
      log,
      waitMs: WATCH_WAIT_MS,
      pauseMs,
      onResponse: onStoreResponse,
      ...handlers,
    });
  }

  function* runTasks(): Operation<void> {
    yield* spawn(() => renewLeaseLoop());
    yield* spawn(() => requestTakeoverOnFailure());
    const loadedJobs = yield* loadJobs({
      ...options,
      scheduler,
      earlierLeasesEndMs,
    });
    for (const { spec } of scheduler.jobs.values()) {
      recordDemand(spec, clock.wallMs() - spec.acceptedAtMs);
    }
    const queue = createQueueReader({
      scheduler,
      loadedRevision: loadedJobs.revision,
      log,
      onAccepted: (spec) => recordDemand(spec, 0),
    });
    onStoreResponse();
    log.info("owner started", {
      epoch: tenure.epoch,
      records: loadedJobs.records,
      loadMs: Math.round(clock.monotonicMs() - startedAtMs),
    });
    yield* spawn(() => journal.run());
    yield* spawn(() => workers.run());
    yield* spawn(() =>
      watchRecords(records.workerPrefix, workerWatchPauseMs, {
        onSnapshot: workers.syncAll,
        onPut: workers.syncItem,
        onDelete: workers.markMissing,
      })
    );
    yield* spawn(() =>
      watchRecords(STORE_KEYS.queuePrefix, () => QUEUE_WATCH_PAUSE_MS, {
        ...queue,
        onSnapshot(items, revision) {
          queue.onSnapshot(items, revision);
          caughtUp.notify();
        },
        onDelete() {},
        onRevision(revision) {
          queue.onRevision(revision);
          caughtUp.notify();
        },
      }, {
        fromRevision: loadedJobs.revision,
        firstWaitMs: CATCH_UP_WAIT_MS,
      })
    );
    yield* spawn(() => planLoop());
    yield* spawn(() => checkLoop());
    yield* spawn(() => removeEndedJobs(queue));
    yield* spawn(() =>
      removeOldWithdrawals({
        ...options,
        journal,
        keepMs: options.keepEndedMs,
        intervalMs: cleanupIntervalMs,
      })
    );
    yield* spawn(() => fleet.run());
    yield* spawn(() =>
      runThrottling(createThrottling({ scheduler, clock, log }))
    );
    yield* spawn(() =>
      handOverWhenSlow({ ...options, epoch: tenure.epoch, resign })
    );
    loadedQueue = queue;
    yield* suspend();
  }

  /** Ends the lease so that another entry can take over at once. The next owner learns what isn't stored yet from the workers. */
  function resign(reason: string, prepared?: Promise<unknown>): void {
    if (resigning) return;
    resigning = true;
    log.info("giving up ownership", { reason, pending: journal.pending() });
    void Promise.resolve(prepared).catch((error) =>
      log.warn("could not record the hand-over", { reason: messageOf(error) })
    ).then(() => store.endLease(tenure.leaseId)).catch((error) =>
      log.warn("could not end the lease; it will expire", {
        reason: messageOf(error),
      })
    );
    endTenure(reason);
  }

  function* waitUntilEnded(): Operation<string> {
    while (endReason === undefined) yield* ended.wait(1_000);
    return endReason;
  }

  const listWorkspaces = () =>
    describeWorkspaces(
      options.config()?.workspaces ?? [],
      sumUsage(scheduler.workers.instances.values()),
      admission.counts,
    );

  const api: OwnerApi = {
    epoch: tenure.epoch,
    scheduler,
    accept(spec, revision) {
      loadedQueue?.accept(spec, revision);
      return memory.hasRoomFor(0);
    },
    cancel: (jobId) => scheduler.cancel(jobId),
    admit: admission.admit,
    status: (jobId, workspace) => scheduler.status(jobId, workspace),
    waitingJobs: (queue) => scheduler.waitingJobs(queue),
    workspaces: listWorkspaces,
    overloadCounts: overload?.counts,
    describeState: () => ({
      epoch: tenure.epoch,
      sinceMs: clock.wallMs() - startedAtWallMs,
      storeContactAgeMs: Math.round(storeContact.elapsedMs()),
      pendingRecords: journal.pending(),
      stepsWithTickets: tickets.size(),
      relays: control.describe(),
      counters: scheduler.counters,
      fleet: fleet.describe(),
      workspaces: listWorkspaces(),
      overload: overload && Object.fromEntries(overload.counts),
      workers: [...scheduler.workers.instances.values()].map((instance) => ({
        workerId: instance.workerId,
        vmId: instance.vmId,
        service: instance.registration?.service,
        state: instance.registration?.state,
        silentMs: instance.link?.silentMs(),
        tasks: [...instance.tasks].map((task) => ({
          taskId: task.taskId,
          run: task.run,
          order: task.placement?.startState,
          percent: task.placement?.percent,
        })),
      })),
    }),
  };

  return {
    api: () =>
      loadedQueue !== undefined && endReason === undefined ? api : undefined,
    resign: (reason) => resign(reason),
    addRelay: control.addRelay,
    hasResigned: () => resigning,
    abandon: endTenure,
    *run() {
      const reason = yield* scoped(function* () {
        yield* ensure(() => control.closeRelays());
        return yield* race([waitUntilEnded(), runTasks() as Operation<never>]);
      });
      log.info("owner ended", { epoch: tenure.epoch, reason });
      return reason;
    },
  };
}
