import type { Size } from "./job.ts";
import { addSize, fits, ZERO_SIZE } from "./size.ts";
import { freeCapacity, type TaskView, type WorkerView } from "./worker_view.ts";

/** An urgent job that couldn't be placed. */
export interface UrgentDemand {
  readonly jobId: string;
  readonly pool: string;
  readonly team: string;
  readonly size: Size;
  /**
   * Whether the team's quota is used up, so that tasks of the same team must be
   * preempted.
   */
  readonly exceedsQuota: boolean;
}

/** Tasks to checkpoint so that an urgent job can run on a worker. */
export interface Preemption {
  readonly demand: UrgentDemand;
  readonly worker: WorkerView;
  readonly victims: readonly Victim[];
}

/** A task to checkpoint. */
export interface Victim {
  readonly worker: WorkerView;
  readonly task: TaskView;
}

/**
 * Chooses tasks of one worker whose checkpoints free enough capacity for the
 * job.
 */
function chooseVictims(
  worker: WorkerView,
  demand: UrgentDemand,
): TaskView[] | undefined {
  let free = freeCapacity(worker);
  const victims: TaskView[] = [];
  const normalTasks = worker.tasks.filter(({ identity }) => !identity.urgent);
  // Largest first, to preempt few tasks.
  normalTasks.sort((a, b) => b.identity.size.cores - a.identity.size.cores);
  for (const task of normalTasks) {
    if (fits(demand.size, free)) break;
    victims.push(task);
    free = addSize(free, task.identity.size);
  }
  if (!fits(demand.size, free)) return undefined;
  // Spares tasks that aren't needed after all.
  return victims.filter((task) => {
    const without = addSize(free, task.identity.size, -1);
    if (!fits(demand.size, without)) return true;
    free = without;
    return false;
  });
}

/**
 * Adds tasks of the job's own team until they free as much of the team's quota
 * as the job needs.
 */
function addVictimsForQuota(
  demand: UrgentDemand,
  victims: readonly Victim[],
  workers: readonly WorkerView[],
): Victim[] | undefined {
  const ofTeam = ({ identity }: TaskView) => identity.team === demand.team;
  let freed = victims.filter(({ task }) => ofTeam(task))
    .reduce((sum, { task }) => addSize(sum, task.identity.size), ZERO_SIZE);
  const victimIds = new Set(victims.map(({ task }) => task.taskId));
  const others = workers.flatMap((worker) =>
    worker.tasks.filter((task) =>
      ofTeam(task) && !task.identity.urgent && !victimIds.has(task.taskId)
    ).map((task): Victim => ({ worker, task }))
  ).sort((a, b) => b.task.identity.size.cores - a.task.identity.size.cores);
  const chosen = [...victims];
  for (const victim of others) {
    if (fits(demand.size, freed)) break;
    chosen.push(victim);
    freed = addSize(freed, victim.task.identity.size);
  }
  return fits(demand.size, freed) ? chosen : undefined;
}

/**
 * Returns the jobs for which capacity is still being freed. Ignores holds whose
 * worker can't take tasks any more, and holds whose tasks have all stopped: if
 * the job still waits, others have used the freed capacity.
 */
export function listAwaitingPreemption(
  workers: readonly WorkerView[],
): Set<string> {
  const workersWithHold = workers.filter(({ hold }) => hold !== undefined);
  if (workersWithHold.length === 0) return new Set();
  const running = new Set(
    workers.flatMap(({ tasks }) => tasks.map(({ taskId }) => taskId)),
  );
  return new Set(workersWithHold.flatMap(({ hold, serving, standing }) => {
    const usable = serving && standing !== "quarantined";
    const stillFreeing = hold!.freedBy.some((taskId) => running.has(taskId));
    return usable && stillFreeing ? [hold!.jobId] : [];
  }));
}

/**
 * Chooses for each urgent job the worker on which the fewest tasks must be
 * checkpointed. Urgent tasks are never preempted.
 */
export function planPreemptions(
  demands: readonly UrgentDemand[],
  workers: readonly WorkerView[],
): Preemption[] {
  const claimedWorkers = new Set<string>();
  return demands.flatMap((demand): Preemption[] => {
    let best: Preemption | undefined;
    for (const worker of workers) {
      const usable = worker.pool === demand.pool && worker.serving &&
        worker.standing === "normal" &&
        (worker.hold ?? demand).jobId === demand.jobId &&
        !claimedWorkers.has(worker.vmId);
      const tasks = usable ? chooseVictims(worker, demand) : undefined;
      if (tasks === undefined) continue;
      const victims = tasks.map((task) => ({ worker, task }));
      if (best === undefined || victims.length < best.victims.length) {
        best = { demand, worker, victims };
      }
    }
    const victims = best !== undefined && demand.exceedsQuota
      ? addVictimsForQuota(demand, best.victims, workers)
      : best?.victims;
    if (best === undefined || victims === undefined) return [];
    claimedWorkers.add(best.worker.vmId);
    return [{ ...best, victims }];
  });
}
