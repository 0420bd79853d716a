import { isDeepStrictEqual } from "node:util";
import { type Operation, spawn } from "effection";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { createNotifier } from "../notifier.ts";
import type { InstanceEnd } from "./crashes/instance_end.ts";
import { getStep } from "./job_state.ts";
import { createWorkerLives } from "./worker_lives.ts";
import { createPollPacing } from "./poll_pacing.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import type {
  PlatformRecordCodec,
  StoredItem,
  WorkerControl,
  WorkerRegistration,
} from "./ports.ts";
import type { WorkerInstance } from "./worker_table.ts";
import type { Scheduler } from "./scheduler.ts";
import type { TicketCache } from "./ticket_cache.ts";
import {
  createWorkerLink,
  MAXIMUM_LEASE_MS,
  type WorkerLinkEvents,
} from "./worker_link.ts";

/**
 * Time for which a registration must be missing before it is dropped, in ms;
 * registrations may be missing briefly after a store outage.
 */
const REGISTRATION_GRACE_MS = 2_000;

/** Follows worker registrations and runs a link to each worker instance. */
export interface WorkerRegistry {
  /** Records that the registration under a store key has disappeared. */
  markMissing(key: string): void;
  /** Applies a snapshot of all registrations. */
  syncAll(items: readonly StoredItem[]): void;
  /** Applies one added or changed registration. */
  syncItem(item: StoredItem): void;
  /** Removes an instance that is proven to have ended. */
  removeInstance(instance: WorkerInstance, end: InstanceEnd): void;
  /** Removes unreachable instances whose leases have expired, and drops registrations that have been missing too long. */
  checkInstances(): void;
  /** Runs the link of each new instance. */
  run(): Operation<void>;
}

/** Creates the worker registry for one tenure. */
export function createWorkerRegistry(options: {
  readonly scheduler: Scheduler;
  readonly tickets: TicketCache;
  readonly control: WorkerControl;
  readonly records: PlatformRecordCodec;
  /** The owner's epoch. */
  readonly epoch: number;
  readonly clock: Clock;
  readonly log: Logger;
  /** Monotonic time until which leases of earlier owners may last, in ms. */
  readonly earlierLeasesEndMs: number;
  readonly events: Pick<
    WorkerLinkEvents,
    "onFenced" | "afterFlush" | "mayOrder"
  >;
  readonly onChange: () => void;
}): WorkerRegistry {
  const { scheduler, records, clock, log, earlierLeasesEndMs } = options;
  const { workers } = scheduler;
  const newInstances: WorkerInstance[] = [];
  const newInstanceNotifier = createNotifier();
  const lives = createWorkerLives(
    options.epoch,
    () => clock.monotonicMs(),
    (workerId) => scheduler.lateStarts.endMs(workerId),
  );
  const pacing = createPollPacing(() => clock.monotonicMs());

  /** Returns the monotonic time until which calls so far may extend the leases of a worker's next process, in ms. */
  function lateLeasesEndMs(workerId: string): number {
    return Math.max(
      earlierLeasesEndMs,
      lives.extensionsEndMs(workerId) + MAXIMUM_LEASE_MS,
    );
  }

  function registerWorker(registration: WorkerRegistration): void {
    scheduler.crashes.settleByProcess(
      registration.workerId,
      registration.bornAtMs,
    );
    const existingInstance = workers.find(
      registration.workerId,
      registration.bornAtMs,
    );
    if (existingInstance?.link !== undefined) {
      if (existingInstance.registration?.state !== registration.state) {
        log.info("worker state changed", {
          worker: registration.workerId,
          service: registration.service,
          state: registration.state,
          remainingMs: registration.remainingMs,
        });
      }
      noteCapacity(existingInstance, registration);
      existingInstance.registration = registration;
      existingInstance.draining ||= registration.state === "draining";
      existingInstance.missingSinceMs = undefined;
      existingInstance.link.updateRegistration(registration);
      return;
    }
    const others = workers.listByWorker(registration.workerId);
    const mayBeLate = others.some((other) =>
      other.bornAtMs > registration.bornAtMs &&
      !isAbandoned(other, registration)
    );
    if (mayBeLate) return;
    const leasesEndMs = Math.max(
      existingInstance?.earlierLeasesEndMs ?? 0,
      lateLeasesEndMs(registration.workerId),
    );
    const link = createWorkerLink({
      pacing,
      registration,
      life: lives.add(registration.workerId, registration.bornAtMs),
      control: options.control,
      clock,
      log,
      earlierLeasesEndMs: leasesEndMs,
      events: {
        onReport: (_, report, sentAtMs) =>
          scheduler.onReport(instance, report, sentAtMs),
        onInstanceEnded: (_, successorBornAtMs) =>
          successorBornAtMs === undefined
            ? removeInstance(instance, "replaced")
            : replaceInstance(
              instance,
              () => addUnregistered(instance, successorBornAtMs),
              "replaced",
            ),
        ...options.events,
      },
    });
    const instance: WorkerInstance = {
      workerId: registration.workerId,
      bornAtMs: registration.bornAtMs,
      vmId: registration.vmId,
      link,
      registration,
      missingSinceMs: undefined,
      draining: registration.state === "draining",
      tasks: existingInstance?.tasks ?? new PlacedTasks(),
      joinedAtMs: clock.monotonicMs(),
      earlierLeasesEndMs: leasesEndMs,
    };
    workers.add(instance);
    for (const other of others) {
      if (other.bornAtMs === registration.bornAtMs) continue;
      replaceInstance(other, () => instance, "restarted");
    }
    log.info("worker registered", {
      worker: registration.workerId,
      vm: registration.vmId,
      service: registration.service,
      rack: registration.rack,
    });
    newInstances.push(instance);
    newInstanceNotifier.notify();
  }

  /**
   * Whether a registration with an earlier start time belongs to a later process
   * whose clock was set back: the known process is silent at another address and
   * has no tasks or unwanted runs.
   */
  function isAbandoned(
    { link, tasks }: WorkerInstance,
    { address }: WorkerRegistration,
  ): boolean {
    return link !== undefined && link.registration.address !== address &&
      link.silentMs() > 0 && tasks.size === 0 && tasks.unwantedCount === 0;
  }

  /** Logs a change of a worker's capacity, after which tasks may fit. */
  function noteCapacity(
    { registration: before, tasks }: WorkerInstance,
    { workerId, service, capacity }: WorkerRegistration,
  ): void {
    if (
      before === undefined || isDeepStrictEqual(before.capacity, capacity)
    ) return;
    log.info("worker capacity changed", {
      worker: workerId,
      service,
      from: before.capacity,
      to: capacity,
      reserved: tasks.reserved,
    });
    options.onChange();
  }

  /** Returns the next process of a worker; adds it if it isn't known, as it will register later than it responds. */
  function addUnregistered(
    predecessor: WorkerInstance,
    bornAtMs: number,
  ): WorkerInstance {
    const { workerId, vmId } = predecessor;
    const known = workers.find(workerId, bornAtMs);
    if (known !== undefined) return known;
    const instance: WorkerInstance = {
      workerId,
      bornAtMs,
      vmId,
      link: undefined,
      registration: undefined,
      missingSinceMs: undefined,
      draining: false,
      tasks: new PlacedTasks(),
      joinedAtMs: clock.monotonicMs(),
      earlierLeasesEndMs: lateLeasesEndMs(workerId),
    };
    workers.add(instance);
    return instance;
  }

  function removeInstance(instance: WorkerInstance, end: InstanceEnd): void {
    scheduler.removeInstance(instance, end);
    closeInstance(instance);
  }

  function replaceInstance(
    instance: WorkerInstance,
    successor: () => WorkerInstance,
    end: InstanceEnd,
  ): void {
    scheduler.replaceInstance(instance, successor, end);
    closeInstance(instance);
  }

  function closeInstance(instance: WorkerInstance): void {
    instance.link?.close();
    options.tickets.forgetWorker(instance.workerId);
    if (instance.link !== undefined) {
      options.control.close(instance.link.registration);
    }
    options.onChange();
  }

  function markMissing(key: string): void {
    const workerId = key.slice(records.workerPrefix.length);
    const instance = workers.findRegistered(workerId);
    if (instance === undefined) return;
    instance.missingSinceMs = clock.monotonicMs();
    log.info("worker registration disappeared", { worker: workerId });
  }

  function syncAll(items: readonly StoredItem[]): void {
    const listedWorkerIds = new Set<string>();
    for (const item of items) {
      const registration = records.readWorker(item);
      if (registration === undefined) continue;
      listedWorkerIds.add(registration.workerId);
      registerWorker(registration);
    }
    for (const instance of workers.instances.values()) {
      if (
        instance.registration !== undefined &&
        !listedWorkerIds.has(instance.workerId)
      ) {
        instance.missingSinceMs ??= clock.monotonicMs();
      }
    }
  }

  function checkInstances(): void {
    scheduler.lateStarts.settleByLeases(lives.extensionsEndMs);
    for (const instance of [...workers.instances.values()]) {
      const missing = instance.missingSinceMs !== undefined &&
        clock.monotonicMs() - instance.missingSinceMs > REGISTRATION_GRACE_MS;
      if (missing) instance.registration = undefined;
      const unreachable = instance.link === undefined ||
        instance.link.silentMs() > 0 || !instance.link.hasResponded;
      const leasesExpired = instance.link === undefined
        ? clock.monotonicMs() > instance.earlierLeasesEndMs
        : instance.link.leasesExpired();
      if (
        unreachable && leasesExpired && (instance.tasks.size > 0 || missing)
      ) {
        log.info("every lease of a silent worker has expired", {
          worker: instance.workerId,
          bornAtMs: instance.bornAtMs,
          hasResponded: instance.link?.hasResponded ?? false,
          silentMs: instance.link && Math.round(instance.link.silentMs()),
          knownForMs: Math.round(clock.monotonicMs() - instance.joinedAtMs),
        });
        removeInstance(instance, "leases_expired");
      } else if (instance.link === undefined && instance.tasks.size === 0) {
        removeInstance(instance, "unused");
      }
      if (instance.link !== undefined) {
        instance.link.mayHaveRuns = instance.tasks.size > 0;
        instance.link.needsFrequentPolls = [...instance.tasks].some((task) =>
          getStep(task).targetMs > 0 || getStep(task).fills ||
          // Only a report shows whether the run has started, or is gone after its stop.
          task.placement?.startState === "unresolved"
        );
      }
    }
  }

  function* runLinks(): Operation<void> {
    for (;;) {
      for (const instance of newInstances.splice(0)) {
        yield* spawn(() => instance.link!.run());
      }
      yield* newInstanceNotifier.wait(10_000);
    }
  }

  return {
    markMissing,
    syncAll,
    syncItem(item) {
      const registration = records.readWorker(item);
      if (registration !== undefined) registerWorker(registration);
    },
    removeInstance,
    checkInstances,
    run: runLinks,
  };
}
