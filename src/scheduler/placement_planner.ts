import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { deferUnattainable } from "./deferral.ts";
import {
  createDueOccurrences,
  getStep,
  hasWaitingTasks,
  listRunnableSteps,
  stepId,
  type TaskState,
} from "./job_state.ts";
import {
  comparePendingOccurrences,
  createPendingOccurrence,
  type PendingOccurrence,
} from "./job_order.ts";
import {
  type CandidateWorker,
  chooseGangWorkers,
  chooseWorker,
  createUnplaceableRequests,
  type PlacementRequest,
  subtractResources,
  type UnplaceableRequests,
} from "./placement.ts";
import type { SchedulerConfig } from "./ports.ts";
import { resolveQueue } from "./resolve_queue.ts";
import { createCandidate, type WorkerInstance } from "./worker_table.ts";
import type { Scheduler } from "./scheduler.ts";
import type { TicketCache } from "./ticket_cache.ts";

/** Time without a response after which a worker gets no new tasks, in ms. */
const SILENCE_LIMIT_MS = 300;

/** Dependencies of a planning round. */
export interface PlannerOptions {
  readonly scheduler: Scheduler;
  readonly tickets: TicketCache;
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether a VM gets no new tasks because it is about to change pools or to be maintained. */
  readonly isCordoned: (vmId: string) => boolean;
  /** Whether a service's pool needs more VMs than the fleet has. */
  readonly isScarce: (service: string) => boolean;
  /** Counts the VMs that are on their way into each pool. */
  readonly countArriving: () => ReadonlyMap<string, number>;
}

/** Whether a worker instance may get new tasks. */
function acceptsTasks(
  instance: WorkerInstance,
  options: Pick<PlannerOptions, "scheduler" | "isCordoned">,
): boolean {
  const { registration, link } = instance;
  return registration !== undefined && link !== undefined &&
    link.hasResponded &&
    registration.state === "ready" && link.silentMs() < SILENCE_LIMIT_MS &&
    !options.isCordoned(instance.vmId);
}

interface ServiceCandidates {
  readonly candidates: CandidateWorker[];
  readonly instances: Map<string, WorkerInstance>;
  readonly unplaceable: UnplaceableRequests;
}

/** Collects the workers of the services that have pending work. */
function collectCandidates(
  options: PlannerOptions,
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
        instances: new Map(),
        unplaceable: createUnplaceableRequests(),
      };
      services.set(registration.service, service);
    }
    service.candidates.push(
      createCandidate(
        instance,
        registration,
        scheduler.health.slowness(instance.workerId),
      ),
    );
    service.instances.set(instance.workerId, instance);
  }
  return services;
}

function collectPendingOccurrences(
  options: PlannerOptions,
  config: SchedulerConfig | undefined,
): Map<string, PendingOccurrence[]> {
  const { scheduler, clock } = options;
  const wallMs = clock.wallMs();
  const byService = new Map<string, PendingOccurrence[]>();
  for (const job of scheduler.jobs.values()) {
    if (job.status !== "active") continue;
    if (createDueOccurrences(job, wallMs)) scheduler.save(job);
    const queue = resolveQueue(config, job.spec);
    for (const occurrence of job.occurrences) {
      if (!hasWaitingTasks(job, occurrence)) continue;
      const pending = createPendingOccurrence(job, occurrence, {
        wallMs,
        durationEstimates: scheduler.durationEstimates,
        queue,
      });
      const others = byService.get(queue.service);
      if (others === undefined) byService.set(queue.service, [pending]);
      else others.push(pending);
    }
  }
  return byService;
}

function countTasksByRack(
  tasks: readonly TaskState[],
  service: ServiceCandidates,
): Map<string, number> {
  const racks = new Map<string, number>();
  for (const { placement } of tasks) {
    if (placement === undefined) continue;
    const rack = service.instances.get(placement.workerId)?.registration?.rack;
    if (rack !== undefined) racks.set(rack, (racks.get(rack) ?? 0) + 1);
  }
  return racks;
}

/** Places every waiting task that fits on a worker, in the order of the pending occurrences; returns the number of placed tasks. */
export function planPlacements(
  options: PlannerOptions,
  config: SchedulerConfig | undefined,
): number {
  const { scheduler, tickets, clock, log } = options;
  const pendingOccurrences = collectPendingOccurrences(options, config);
  if (pendingOccurrences.size === 0) return 0;
  const services = collectCandidates(options, pendingOccurrences);
  const arriving = options.countArriving();
  const nowMs = clock.monotonicMs();
  let placed = 0;

  function placeTask(
    task: TaskState,
    candidate: CandidateWorker,
    run: number,
    service: ServiceCandidates,
    request: PlacementRequest,
  ): void {
    subtractResources(candidate, request.step);
    // Also counts the task in `tasksByStep`, which the candidate shares with its instance.
    scheduler.place(task, service.instances.get(candidate.workerId)!, {
      run,
      ticket: tickets.find(request.stepId, candidate.workerId),
    });
    placed++;
  }

  function placeStep(
    tasks: readonly TaskState[],
    service: ServiceCandidates,
    needsAdvice: boolean,
  ): void {
    const waiting = tasks.filter((task) =>
      task.phase === "waiting" && task.notBeforeMs <= nowMs
    );
    const first = waiting[0];
    if (first === undefined) return;
    const step = getStep(first);
    if (service.unplaceable.includes(step)) return;
    const id = stepId(first);
    const request: PlacementRequest = {
      stepId: id,
      step,
      avoidedWorkers: new Set(),
      allowedWorkers: needsAdvice
        ? tickets.allowedWorkers(
          id,
          service.candidates.map(({ workerId }) => workerId),
        )
        : undefined,
      tasksByRack: new Map(),
    };
    if (step.gang) {
      if (waiting.length < tasks.length) return;
      const gangWorkers = chooseGangWorkers(
        service.candidates,
        request,
        waiting.length,
      );
      if (gangWorkers === undefined) return;
      const run = Math.max(...tasks.map((task) => task.run)) + 1;
      waiting.forEach((task, index) =>
        placeTask(task, gangWorkers[index]!, run, service, request)
      );
      return;
    }
    for (const task of waiting) {
      const taskRequest: PlacementRequest = {
        ...request,
        avoidedWorkers: new Set(
          task.avoidedWorkerId === undefined ? [] : [task.avoidedWorkerId],
        ),
        tasksByRack: step.longRunning
          ? countTasksByRack(tasks, service)
          : new Map(),
      };
      const candidate = chooseWorker(service.candidates, taskRequest);
      if (candidate === undefined) {
        service.unplaceable.record(taskRequest);
        return;
      }
      placeTask(task, candidate, task.run + 1, service, taskRequest);
    }
  }

  /** Logs one line for all tasks of a step that were placed in this round. */
  function logPlacement(
    pending: PendingOccurrence,
    tasks: readonly TaskState[],
    count: number,
    service: ServiceCandidates,
  ): void {
    const { spec } = pending.job;
    log.info("tasks placed", {
      job: spec.jobId,
      queue: spec.queue,
      step: stepId(tasks[0]!),
      count,
      waiting: tasks.filter(({ phase }) => phase === "waiting").length,
      ageMs: clock.wallMs() - pending.occurrence.dueAtMs,
      prospect: pending.timeliness,
      usableWorkers: service.candidates.length,
      workers: [
        ...new Set(
          tasks.flatMap(({ placement }) =>
            placement?.startState === "unrecorded" ? [placement.workerId] : []
          ),
        ),
      ],
    });
  }

  for (const [name, occurrences] of pendingOccurrences) {
    const service = services.get(name);
    if (service === undefined) continue;
    const ordered = options.isScarce(name)
      ? deferUnattainable(occurrences, {
        workers: [...service.instances.values()],
        arrivingVms: arriving.get(name) ?? 0,
        durationEstimates: scheduler.durationEstimates,
        wallMs: clock.wallMs(),
      })
      : occurrences;
    ordered.sort(comparePendingOccurrences);
    for (const pending of ordered) {
      const { job, occurrence } = pending;
      const { needsAdvice } = resolveQueue(config, job.spec);
      for (const tasks of listRunnableSteps(job, occurrence)) {
        const before = placed;
        placeStep(tasks, service, needsAdvice);
        if (placed > before) {
          logPlacement(pending, tasks, placed - before, service);
        }
      }
    }
  }
  return placed;
}
