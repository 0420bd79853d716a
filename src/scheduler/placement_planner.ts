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
  fits,
  type PlacementRequest,
  subtractResources,
} from "./placement.ts";
import type { SchedulerConfig } from "./ports.ts";
import { resolveQueue } from "./resolve_queue.ts";
import {
  type CandidateOptions,
  collectCandidates,
  type ServiceCandidates,
} from "./service_candidates.ts";
import type { StartLimit } from "./start_limit.ts";
import { judgeTask } from "./crashes/run_loss.ts";
import {
  chooseSharedTrialWorkers,
  chooseTrialWorker,
  hasWaitedTooLong,
} from "./crashes/trial_workers.ts";
import type { TicketCache } from "./ticket_cache.ts";
import type { FairShare } from "./workspaces/fair_share.ts";
import { createQuotaCheck, type QuotaCheck } from "./workspaces/quota.ts";
import { sumUsage } from "./workspaces/usage.ts";
import type { WaitLog } from "./workspaces/wait_log.ts";

/** Dependencies of a planning round. */
export interface PlannerOptions extends CandidateOptions {
  readonly tickets: TicketCache;
  readonly log: Logger;
  readonly fairShare: FairShare;
  readonly waitLog: WaitLog;
  /** Limit of the start orders in progress; none if omitted. */
  readonly startLimit?: StartLimit;
  /** Whether a service's pool needs more VMs than the fleet has. */
  readonly isScarce: (service: string) => boolean;
  /** Counts the VMs that are on their way into each pool. */
  readonly countArriving: () => ReadonlyMap<string, number>;
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

/** Creates the check of the workspaces' upper bounds; undefined in a deployment without workspaces. */
function createRoundQuota(
  { scheduler, clock }: PlannerOptions,
  config: SchedulerConfig | undefined,
): QuotaCheck | undefined {
  if (config !== undefined && config.workspaces === undefined) return undefined;
  const usage = config === undefined
    ? new Map()
    : sumUsage(scheduler.workers.instances.values());
  return createQuotaCheck(usage, config?.workspaces, clock.wallMs());
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

/** Returns the workers that a task should not run on if there are others. */
function avoidedWorkers(
  { avoidedWorkerId, losses }: TaskState,
): ReadonlySet<string> {
  const workerIds = losses.map(({ worker }) => worker);
  return new Set(
    avoidedWorkerId === undefined ? workerIds : [avoidedWorkerId, ...workerIds],
  );
}

/** Creates the request for any task of a step. */
function createRequest(
  task: TaskState,
  allowedWorkers: ReadonlySet<string> | undefined,
): PlacementRequest {
  return {
    stepId: stepId(task),
    step: getStep(task),
    avoidedWorkers: new Set(),
    allowedWorkers,
    tasksByRack: new Map(),
  };
}

/** Returns the run number of a gang's next start, which its members share. */
function nextGangRun(tasks: readonly TaskState[]): number {
  return Math.max(...tasks.map(({ run }) => run)) + 1;
}

/** Places every waiting task that fits on a worker, in the order of the pending occurrences; returns the number of placed tasks. */
export function planPlacements(
  options: PlannerOptions,
  config: SchedulerConfig | undefined,
): number {
  const { scheduler, tickets, clock, log } = options;
  options.startLimit?.refresh();
  const pendingOccurrences = collectPendingOccurrences(options, config);
  if (pendingOccurrences.size === 0) return 0;
  const services = collectCandidates(options, pendingOccurrences);
  const arriving = options.countArriving();
  const nowMs = clock.monotonicMs();
  const quota = createRoundQuota(options, config);
  let placed = 0;
  /** Whether the upper bound has stopped the current step. */
  let isOverQuota = false;

  const isStartable = (task: TaskState) =>
    task.phase === "waiting" && task.notBeforeMs <= nowMs &&
    scheduler.mayStart(task);

  function placeTask(
    task: TaskState,
    candidate: CandidateWorker,
    run: number,
    service: ServiceCandidates,
    request: PlacementRequest,
  ): void {
    subtractResources(candidate, request.step);
    quota?.reserve(task.job.spec, request.step, 1);
    // Also counts the task in `tasksByStep`, which the candidate shares with its instance.
    scheduler.place(task, service.instances.get(candidate.workerId)!, {
      run,
      ticket: tickets.find(request.stepId, candidate.workerId),
    });
    options.startLimit?.add(task);
    placed++;
  }

  /** Chooses the worker for a suspect; counts the suspect as waiting if a worker has to be emptied for it. */
  function findTrialWorker(
    task: TaskState,
    service: ServiceCandidates,
    request: PlacementRequest,
  ): CandidateWorker | undefined {
    task.trialWaitSinceMs ??= nowMs;
    const isLikely = scheduler.crashes.isLikelyCause(task);
    const worker = chooseTrialWorker(
      [...service.reserved, ...service.candidates],
      request,
      {
        task,
        isLikely,
        nowMs,
        instanceOf: ({ workerId }) => service.instances.get(workerId)!,
      },
    );
    if (worker === undefined && isLikely) service.waitingSuspects++;
    return worker;
  }

  /** Places a suspect and closes its worker to other tasks. */
  function placeSuspect(
    task: TaskState,
    worker: CandidateWorker,
    run: number,
    service: ServiceCandidates,
    request: PlacementRequest,
  ): void {
    placeTask(task, worker, run, service, request);
    closeTrialWorkers(service, [worker]);
  }

  /** Closes workers that run a suspect to other tasks. */
  function closeTrialWorkers(
    service: ServiceCandidates,
    workers: Iterable<CandidateWorker>,
  ): void {
    for (const worker of new Set(workers)) {
      service.busyTrials++;
      for (const list of [service.candidates, service.reserved]) {
        const index = list.indexOf(worker);
        if (index >= 0) list.splice(index, 1);
      }
    }
  }

  /** Places a gang on workers that its suspects share; returns false if they haven't waited long enough for workers of their own, or don't fit. */
  function placeSharedGang(
    tasks: readonly TaskState[],
    suspects: readonly TaskState[],
    service: ServiceCandidates,
    request: PlacementRequest,
  ): boolean {
    const mayShare = suspects.every((task) =>
      hasWaitedTooLong({
        task,
        isLikely: scheduler.crashes.isLikelyCause(task),
        nowMs,
      })
    );
    if (!mayShare) return false;
    const workers = chooseSharedTrialWorkers(
      [...service.reserved, ...service.candidates],
      request,
      {
        size: tasks.length,
        instanceOf: ({ workerId }) => service.instances.get(workerId)!,
      },
    );
    if (workers === undefined) return false;
    const run = nextGangRun(tasks);
    tasks.forEach((task, index) =>
      placeTask(task, workers[index]!, run, service, request)
    );
    closeTrialWorkers(service, workers);
    return true;
  }

  /** Places a gang of which each suspect gets a worker of its own, or shares one after a long wait; waits until there is room for all. */
  function placeSuspectGang(
    tasks: readonly TaskState[],
    suspects: readonly TaskState[],
    service: ServiceCandidates,
    request: PlacementRequest,
  ): void {
    const workers = new Map<TaskState, CandidateWorker>();
    for (const task of suspects) {
      const taken = new Set(workers.values());
      const worker = findTrialWorker(task, {
        ...service,
        candidates: service.candidates.filter((other) => !taken.has(other)),
        reserved: service.reserved.filter((other) => !taken.has(other)),
      }, request);
      if (worker !== undefined) workers.set(task, worker);
    }
    const others = tasks.filter((task) => !suspects.includes(task));
    const taken = new Set(workers.values());
    const otherWorkers = chooseGangWorkers(
      service.candidates.filter((worker) => !taken.has(worker)),
      request,
      others.length,
    );
    if (workers.size < suspects.length || otherWorkers === undefined) {
      if (placeSharedGang(tasks, suspects, service, request)) return;
      service.waitingSuspects += suspects.filter(
        scheduler.crashes.isLikelyCause,
      ).length;
      return;
    }
    const run = nextGangRun(tasks);
    others.forEach((task, index) =>
      placeTask(task, otherWorkers[index]!, run, service, request)
    );
    for (const [task, worker] of workers) {
      placeSuspect(task, worker, run, service, request);
    }
  }

  /** Requests tickets of the workers that have room for the waiting tasks of a step; if none has a ticket yet, of all workers. */
  function requestTickets(
    request: PlacementRequest,
    service: ServiceCandidates,
    workers: readonly CandidateWorker[],
  ): void {
    const unrestricted = { ...request, allowedWorkers: undefined };
    const prefetches = request.allowedWorkers?.size === 0 &&
      !service.unplaceable.includes(request.step);
    const suitable = workers.filter((worker) =>
      prefetches || fits(worker, unrestricted)
    );
    tickets.request(request.stepId, suitable.map(({ workerId }) => workerId));
  }

  /** Places the waiting tasks of a step of a queue with placement advice. */
  function placeAdvisedStep(
    tasks: readonly TaskState[],
    service: ServiceCandidates,
  ): void {
    const first = tasks.find(isStartable);
    if (first === undefined) return;
    const workers = [...service.candidates, ...service.reserved];
    const allowedWorkers = tickets.allowedWorkers(
      stepId(first),
      workers.map(({ workerId }) => workerId),
    );
    placeStep(tasks, service, allowedWorkers);
    if (isOverQuota || !tasks.some(isStartable)) return;
    requestTickets(createRequest(first, allowedWorkers), service, workers);
  }

  /** Places the waiting tasks of a step; `allowedWorkers` are the only ones that may run it if the queue needs advice. */
  function placeStep(
    tasks: readonly TaskState[],
    service: ServiceCandidates,
    allowedWorkers?: ReadonlySet<string>,
  ): void {
    const waiting = tasks.filter(isStartable);
    const first = waiting[0];
    if (first === undefined) return;
    const step = getStep(first);
    const allows = (count: number) => {
      isOverQuota = quota?.allows(first.job.spec, step, count) === false;
      return !isOverQuota &&
        options.startLimit?.allows(first.job, count) !== false;
    };
    // Not recorded as unplaceable: jobs of other workspaces may start.
    if (!allows(step.gang ? waiting.length : 1)) return;
    const suspects = waiting.filter(({ losses }) =>
      judgeTask(losses) !== "none"
    );
    if (suspects.length === 0 && service.unplaceable.includes(step)) return;
    const request = createRequest(first, allowedWorkers);
    if (step.gang) {
      if (waiting.length < tasks.length) return;
      if (suspects.length > 0) {
        return placeSuspectGang(waiting, suspects, service, request);
      }
      const gangWorkers = chooseGangWorkers(
        service.candidates,
        request,
        waiting.length,
      );
      if (gangWorkers === undefined) return;
      const run = nextGangRun(waiting);
      waiting.forEach((task, index) =>
        placeTask(task, gangWorkers[index]!, run, service, request)
      );
      return;
    }
    for (const task of suspects) {
      if (!allows(1)) return;
      const worker = findTrialWorker(task, service, {
        ...request,
        avoidedWorkers: avoidedWorkers(task),
      });
      if (worker !== undefined) {
        placeSuspect(task, worker, task.run + 1, service, request);
      }
    }
    for (const task of waiting) {
      if (suspects.includes(task)) continue;
      if (service.unplaceable.includes(step) || !allows(1)) return;
      const taskRequest: PlacementRequest = {
        ...request,
        avoidedWorkers: avoidedWorkers(task),
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

  /** Logs why the rest of a step waits. */
  function logWait(
    { job: { spec }, timeliness, excess }: PendingOccurrence,
    tasks: readonly TaskState[],
  ): void {
    if (quota === undefined || spec.workspace === "") return;
    const count = tasks.filter(isStartable).length;
    // A gang of which a member can't start yet waits for that member.
    if (count === 0 || (getStep(tasks[0]!).gang && count < tasks.length)) {
      return;
    }
    options.waitLog.note(
      spec,
      isOverQuota
        ? "quota"
        : excess || timeliness === "deferred"
        ? "share"
        : "capacity",
    );
  }

  for (const [name, occurrences] of pendingOccurrences) {
    const service = services.get(name);
    if (service === undefined) continue;
    const workers = [...service.instances.values()];
    const shares = config?.workspaces &&
      options.fairShare.observe(name, workers, config.workspaces);
    const ordered = options.isScarce(name)
      ? deferUnattainable(occurrences, {
        workers,
        arrivingVms: arriving.get(name) ?? 0,
        durationEstimates: scheduler.durationEstimates,
        wallMs: clock.wallMs(),
        shares,
      })
      : occurrences;
    const aged = config?.workspaces &&
      options.fairShare.chooseAged(name, ordered, clock.wallMs());
    if (aged !== undefined) {
      ordered[ordered.indexOf(aged)] = { ...aged, aged: true };
    }
    ordered.sort(comparePendingOccurrences);
    for (const pending of ordered) {
      const { job, occurrence } = pending;
      const { needsAdvice } = resolveQueue(config, job.spec);
      for (const tasks of listRunnableSteps(job, occurrence)) {
        const before = placed;
        isOverQuota = false;
        if (needsAdvice) placeAdvisedStep(tasks, service);
        else placeStep(tasks, service);
        logWait(pending, tasks);
        if (placed > before) {
          logPlacement(pending, tasks, placed - before, service);
          if (pending.aged) options.fairShare.endTurn(name);
        }
      }
    }
    options.trialWorkers.reserve(name, workers, {
      count: service.waitingSuspects,
      busyCount: service.busyTrials,
    });
  }
  return placed;
}
