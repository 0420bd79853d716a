import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import {
  createDueOccurrences,
  listOpenSteps,
  stepId,
  stepOf,
  type TaskState,
} from "./job_state.ts";
import {
  compareContenders,
  type Contender,
  createContender,
} from "./job_order.ts";
import {
  chooseGang,
  chooseWorker,
  type Request,
  takeRoom,
  type WorkerRoom,
} from "./placement.ts";
import type { SchedulerConfig } from "./ports.ts";
import { resolveQueue } from "./resolve_queue.ts";
import { createCandidate, type WorkerInstance } from "./worker_table.ts";
import type { Scheduler } from "./scheduler.ts";
import type { TicketCache } from "./ticket_cache.ts";

/** Silence from which a worker gets no new tasks, in ms. */
const SILENCE_LIMIT_MS = 300;

/** What one planning round works with. */
export interface PlannerOptions {
  readonly scheduler: Scheduler;
  readonly tickets: TicketCache;
  readonly clock: Clock;
  readonly log: Logger;
  /** VMs that get no new tasks because they are about to change pools or to be maintained. */
  readonly isCordoned: (vmId: string) => boolean;
}

/** Whether a worker may get new tasks. */
function isUsable(
  instance: WorkerInstance,
  options: Pick<PlannerOptions, "scheduler" | "isCordoned">,
): boolean {
  const { registration: entry, link } = instance;
  return entry !== undefined && link !== undefined && link.hasAnswered &&
    entry.state === "ready" && link.silentMs() < SILENCE_LIMIT_MS &&
    !options.isCordoned(instance.vmId);
}

interface ServiceRooms {
  readonly rooms: WorkerRoom[];
  readonly instances: Map<string, WorkerInstance>;
}

function collectRooms(options: PlannerOptions): Map<string, ServiceRooms> {
  const { scheduler } = options;
  const services = new Map<string, ServiceRooms>();
  const usable = [...scheduler.workers.instances.values()].filter((instance) =>
    isUsable(instance, options)
  );
  const isOpen = (instance: WorkerInstance) =>
    scheduler.health.isOpen(instance.workerId);
  const served = new Set(
    usable.filter(isOpen).map(({ registration: entry }) => entry!.service),
  );
  for (const instance of usable) {
    const entry = instance.registration!;
    // A service whose workers all fail tasks goes on with them: the jobs may be at fault.
    if (served.has(entry.service) && !isOpen(instance)) continue;
    let service = services.get(entry.service);
    if (service === undefined) {
      service = { rooms: [], instances: new Map() };
      services.set(entry.service, service);
    }
    service.rooms.push(
      createCandidate(
        instance,
        entry,
        scheduler.health.slowness(instance.workerId),
      ),
    );
    service.instances.set(instance.workerId, instance);
  }
  return services;
}

function collectContenders(
  options: PlannerOptions,
  config: SchedulerConfig | undefined,
): Map<string, Contender[]> {
  const { scheduler, clock } = options;
  const wallMs = clock.wallMs();
  const byService = new Map<string, Contender[]>();
  for (const job of scheduler.jobs.values()) {
    if (job.status !== "active") continue;
    if (createDueOccurrences(job, wallMs)) scheduler.save(job);
    const queue = resolveQueue(config, job.spec);
    for (const occurrence of job.occurrences) {
      const hasWaiting = listOpenSteps(job, occurrence).some((tasks) =>
        tasks.some(({ phase }) => phase === "waiting")
      );
      if (!hasWaiting) continue;
      const contender = createContender(job, occurrence, {
        wallMs,
        durations: scheduler.durationEstimates,
        queue,
      });
      const list = byService.get(queue.service);
      if (list === undefined) byService.set(queue.service, [contender]);
      else list.push(contender);
    }
  }
  return byService;
}

function racksOf(
  tasks: readonly TaskState[],
  service: ServiceRooms,
): Map<string, number> {
  const racks = new Map<string, number>();
  for (const { placement } of tasks) {
    if (placement === undefined) continue;
    const rack = service.instances.get(placement.workerId)?.registration?.rack;
    if (rack !== undefined) racks.set(rack, (racks.get(rack) ?? 0) + 1);
  }
  return racks;
}

/** Places every waiting task for which a worker has room, in the order of the contenders; returns how many. */
export function planPlacements(
  options: PlannerOptions,
  config: SchedulerConfig | undefined,
): number {
  const { scheduler, tickets, clock, log } = options;
  const services = collectRooms(options);
  const nowMs = clock.monotonicMs();
  let placed = 0;

  function placeOne(
    task: TaskState,
    room: WorkerRoom,
    run: number,
    service: ServiceRooms,
    request: Request,
  ): void {
    takeRoom(room, request);
    scheduler.place(task, service.instances.get(room.workerId)!, {
      run,
      ticket: tickets.find(request.stepId, room.workerId),
    });
    placed++;
  }

  function placeStep(
    tasks: readonly TaskState[],
    service: ServiceRooms,
    needsAdvice: boolean,
  ): void {
    const waiting = tasks.filter((task) =>
      task.phase === "waiting" && task.notBeforeMs <= nowMs
    );
    const first = waiting[0];
    if (first === undefined) return;
    const step = stepOf(first);
    const id = stepId(first);
    const request: Request = {
      stepId: id,
      step,
      avoid: new Set(),
      allowed: needsAdvice
        ? tickets.allowed(
          id,
          service.rooms.map(({ workerId }) => workerId),
        )
        : undefined,
      tasksByRack: new Map(),
    };
    if (step.gang) {
      if (waiting.length < tasks.length) return;
      const rooms = chooseGang(service.rooms, request, waiting.length);
      if (rooms === undefined) return;
      const run = Math.max(...tasks.map((task) => task.run)) + 1;
      waiting.forEach((task, index) =>
        placeOne(task, rooms[index]!, run, service, request)
      );
      return;
    }
    for (const task of waiting) {
      const own: Request = {
        ...request,
        avoid: new Set(
          task.avoidWorker === undefined ? [] : [task.avoidWorker],
        ),
        tasksByRack: step.longRunning ? racksOf(tasks, service) : new Map(),
      };
      const room = chooseWorker(service.rooms, own);
      if (room === undefined) return;
      placeOne(task, room, task.run + 1, service, own);
    }
  }

  /** One line for all tasks of a step that found room in this round. */
  function logPlacement(
    contender: Contender,
    tasks: readonly TaskState[],
    count: number,
    service: ServiceRooms,
  ): void {
    const { spec } = contender.job;
    log.info("tasks placed", {
      job: spec.jobId,
      queue: spec.queue,
      step: stepId(tasks[0]!),
      count,
      waiting: tasks.filter(({ phase }) => phase === "waiting").length,
      ageMs: clock.wallMs() - contender.occurrence.dueAtMs,
      prospect: contender.prospect,
      usableWorkers: service.rooms.length,
      workers: [
        ...new Set(
          tasks.flatMap(({ placement }) =>
            placement?.startState === "unrecorded" ? [placement.workerId] : []
          ),
        ),
      ],
    });
  }

  for (const [name, contenders] of collectContenders(options, config)) {
    const service = services.get(name);
    if (service === undefined) continue;
    contenders.sort(compareContenders);
    for (const contender of contenders) {
      const { job, occurrence } = contender;
      const { needsAdvice } = resolveQueue(config, job.spec);
      for (const tasks of listOpenSteps(job, occurrence)) {
        const before = placed;
        placeStep(tasks, service, needsAdvice);
        if (placed > before) {
          logPlacement(contender, tasks, placed - before, service);
        }
      }
    }
  }
  return placed;
}
