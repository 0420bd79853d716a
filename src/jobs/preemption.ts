import type { Size } from "./job.ts";
import { addSize, fits, ZERO_SIZE } from "./size.ts";
import { freeSize, type TaskView, type WorkerView } from "./worker_view.ts";

/** An urgent job that found no room. */
export interface UrgentNeed {
  readonly jobId: string;
  readonly pool: string;
  readonly team: string;
  readonly size: Size;
  /** Whether the team's quota is used up, so that its own tasks must make room. */
  readonly exceedsQuota: boolean;
}

/** Tasks to checkpoint so that an urgent job fits on a worker. */
export interface Preemption {
  readonly need: UrgentNeed;
  readonly worker: WorkerView;
  readonly victims: readonly Victim[];
}

/** A task to checkpoint. */
export interface Victim {
  readonly worker: WorkerView;
  readonly task: TaskView;
}

/** Chooses tasks on one worker that give the job room there. */
function chooseVictims(
  worker: WorkerView,
  need: UrgentNeed,
): TaskView[] | undefined {
  let free = freeSize(worker);
  const victims: TaskView[] = [];
  const normal = worker.tasks.filter(({ identity }) => !identity.urgent);
  // The largest first, so that few tasks are disturbed.
  normal.sort((a, b) => b.identity.size.cores - a.identity.size.cores);
  for (const task of normal) {
    if (fits(need.size, free)) break;
    victims.push(task);
    free = addSize(free, task.identity.size);
  }
  if (!fits(need.size, free)) return undefined;
  // A task that turned out not to be needed keeps running.
  return victims.filter((task) => {
    const without = addSize(free, task.identity.size, -1);
    if (!fits(need.size, without)) return true;
    free = without;
    return false;
  });
}

/** Adds tasks of the job's own team until they free as much of its quota as the job needs. */
function freeQuota(
  need: UrgentNeed,
  victims: readonly Victim[],
  workers: readonly WorkerView[],
): Victim[] | undefined {
  const ofTeam = ({ identity }: TaskView) => identity.team === need.team;
  let freed = victims.filter(({ task }) => ofTeam(task))
    .reduce((sum, { task }) => addSize(sum, task.identity.size), ZERO_SIZE);
  const known = new Set(victims.map(({ task }) => task.taskId));
  const others = workers.flatMap((worker) =>
    worker.tasks.filter((task) =>
      ofTeam(task) && !task.identity.urgent && !known.has(task.taskId)
    ).map((task): Victim => ({ worker, task }))
  ).sort((a, b) => b.task.identity.size.cores - a.task.identity.size.cores);
  const chosen = [...victims];
  for (const victim of others) {
    if (fits(need.size, freed)) break;
    chosen.push(victim);
    freed = addSize(freed, victim.task.identity.size);
  }
  return fits(need.size, freed) ? chosen : undefined;
}

/** Returns the jobs for which room is still being freed; a hold whose worker can't take tasks any more, or whose tasks have made room in vain, doesn't count. */
export function listAwaited(workers: readonly WorkerView[]): Set<string> {
  const holders = workers.filter(({ held }) => held !== undefined);
  if (holders.length === 0) return new Set();
  const running = new Set(
    workers.flatMap(({ tasks }) => tasks.map(({ taskId }) => taskId)),
  );
  return new Set(holders.flatMap(({ held, serving, standing }) => {
    const open = serving && standing !== "quarantined";
    const frees = held!.freedBy.some((taskId) => running.has(taskId));
    return open && frees ? [held!.jobId] : [];
  }));
}

/** Chooses for each urgent job the worker on which the fewest tasks must be checkpointed; never an urgent task. */
export function planPreemptions(
  needs: readonly UrgentNeed[],
  workers: readonly WorkerView[],
): Preemption[] {
  const taken = new Set<string>();
  return needs.flatMap((need): Preemption[] => {
    let best: Preemption | undefined;
    for (const worker of workers) {
      const usable = worker.pool === need.pool && worker.serving &&
        worker.standing === "normal" &&
        (worker.held ?? need).jobId === need.jobId && !taken.has(worker.vmId);
      const tasks = usable ? chooseVictims(worker, need) : undefined;
      if (tasks === undefined) continue;
      const victims = tasks.map((task) => ({ worker, task }));
      if (best === undefined || victims.length < best.victims.length) {
        best = { need, worker, victims };
      }
    }
    const victims = best !== undefined && need.exceedsQuota
      ? freeQuota(need, best.victims, workers)
      : best?.victims;
    if (best === undefined || victims === undefined) return [];
    taken.add(best.worker.vmId);
    return [{ ...best, victims }];
  });
}
