import type { Size } from "./job.ts";
import { addSize, fits } from "./size.ts";
import { freeSize, type TaskView, type WorkerView } from "./worker_view.ts";

/** An urgent job that found no room. */
export interface UrgentNeed {
  readonly jobId: string;
  readonly pool: string;
  readonly size: Size;
}

/** Tasks to checkpoint on one worker so that an urgent job fits. */
export interface Preemption {
  readonly jobId: string;
  readonly vmId: string;
  readonly worker: WorkerView;
  readonly size: Size;
  readonly victims: readonly TaskView[];
}

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
        worker.standing === "normal" && worker.held === undefined &&
        !taken.has(worker.vmId);
      const victims = usable ? chooseVictims(worker, need) : undefined;
      if (victims === undefined) continue;
      if (best === undefined || victims.length < best.victims.length) {
        const { jobId, size } = need;
        best = { jobId, vmId: worker.vmId, worker, size, victims };
      }
    }
    if (best === undefined) return [];
    taken.add(best.vmId);
    return [best];
  });
}
