import type { Clock } from "../clock.ts";
import { isOnTrial, type TrialWorkers } from "./crashes/trial_workers.ts";
import {
  type CandidateWorker,
  createUnplaceableRequests,
  type UnplaceableRequests,
} from "./placement.ts";
import type { Scheduler } from "./scheduler.ts";
import { createCandidate, type WorkerInstance } from "./worker_table.ts";

/** Time without a response after which a worker gets no new tasks, in ms. */
const SILENCE_LIMIT_MS = 300;

/** Dependencies of the collection of candidates. */
export interface CandidateOptions {
  readonly scheduler: Scheduler;
  readonly clock: Clock;
  /** Whether a VM gets no new tasks because it is about to change pools or to be maintained. */
  readonly isCordoned: (vmId: string) => boolean;
  readonly trialWorkers: TrialWorkers;
}

/** Whether a worker instance may get new tasks. */
function acceptsTasks(
  instance: WorkerInstance,
  options: Pick<CandidateOptions, "scheduler" | "isCordoned">,
): boolean {
  const { registration, link } = instance;
  return registration !== undefined && link !== undefined &&
    link.hasResponded &&
    registration.state === "ready" && link.silentMs() < SILENCE_LIMIT_MS &&
    !options.isCordoned(instance.vmId);
}

/** Workers of one service in a planning round. */
export interface ServiceCandidates {
  /** Workers that get any task. */
  readonly candidates: CandidateWorker[];
  /** Workers that are being emptied for suspects. */
  readonly reserved: CandidateWorker[];
  /** Number of workers on which a suspect has just been started; they get no other task. */
  busyTrials: number;
  /** Number of suspects for which workers have to be emptied. */
  waitingSuspects: number;
  readonly instances: Map<string, WorkerInstance>;
  readonly unplaceable: UnplaceableRequests;
}

/** Collects the workers of the services that have pending work. */
export function collectCandidates(
  options: CandidateOptions,
  pendingServices: ReadonlyMap<string, unknown>,
): Map<string, ServiceCandidates> {
  const { scheduler } = options;
  const services = new Map<string, ServiceCandidates>();
  const usable: WorkerInstance[] = [];
  for (const instance of scheduler.workers.instances.values()) {
    const service = instance.registration?.service;
    if (
      service !== undefined && pendingServices.has(service) &&
      acceptsTasks(instance, options)
    ) usable.push(instance);
  }
  const isAvailable = (instance: WorkerInstance) =>
    scheduler.health.isAvailable(instance.workerId);
  const availableServices = new Set(
    usable.filter(isAvailable).map(({ registration }) => registration!.service),
  );
  for (const instance of usable) {
    const registration = instance.registration!;
    // If all workers of a service are quarantined or paused, they stay in use: the jobs may be at fault.
    if (availableServices.has(registration.service) && !isAvailable(instance)) {
      continue;
    }
    let service = services.get(registration.service);
    if (service === undefined) {
      service = {
        candidates: [],
        reserved: [],
        busyTrials: 0,
        waitingSuspects: 0,
        instances: new Map(),
        unplaceable: createUnplaceableRequests(),
      };
      services.set(registration.service, service);
    }
    service.instances.set(instance.workerId, instance);
    if (isOnTrial(instance, options.clock.monotonicMs())) {
      service.busyTrials++;
      continue;
    }
    const list = options.trialWorkers.isReserved(instance)
      ? service.reserved
      : service.candidates;
    list.push(
      createCandidate(
        instance,
        registration,
        scheduler.health.slowness(instance.workerId),
      ),
    );
  }
  return services;
}
