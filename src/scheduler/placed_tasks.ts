import {
  getStep,
  stepId,
  type TaskDemand,
  type TaskState,
} from "./job_state.ts";
import type { Step } from "./model.ts";
import { reservedCpuMillis } from "./placement.ts";
import type { Resources } from "./ports.ts";

/** Sums of resources. */
export interface ResourceSums {
  cpuMillis: number;
  memoryMb: number;
  gpuCount: number;
}

/** Creates sums of zero. */
export function createSums(): ResourceSums {
  return { cpuMillis: 0, memoryMb: 0, gpuCount: 0 };
}

/** Adds the demand of `count` tasks of a step. */
export function addDemand(
  sums: ResourceSums,
  step: Step,
  count: number,
): void {
  sums.cpuMillis += reservedCpuMillis(step) * count;
  sums.memoryMb += step.memoryMb * count;
  sums.gpuCount += step.gpuCount * count;
}

/** Returns the mean of several capacities; undefined if there are none or no worker has any CPU. */
export function meanCapacity(
  capacities: readonly Resources[],
): Resources | undefined {
  if (!capacities.some(({ cpuMillis }) => cpuMillis > 0)) return undefined;
  const mean = (valueOf: (capacity: Resources) => number) =>
    capacities.reduce((sum, capacity) => sum + valueOf(capacity), 0) /
    capacities.length;
  return {
    cpuMillis: mean(({ cpuMillis }) => cpuMillis),
    memoryMb: mean(({ memoryMb }) => memoryMb),
    gpuCount: mean(({ gpuCount }) => gpuCount),
  };
}

/** Converts resources to a number of VMs; the scarcest resource decides. */
export function toVmEquivalents(
  sums: Resources,
  capacity: Resources,
): number {
  return Math.max(
    sums.cpuMillis / Math.max(1, capacity.cpuMillis),
    sums.memoryMb / Math.max(1, capacity.memoryMb),
    capacity.gpuCount > 0 ? sums.gpuCount / capacity.gpuCount : 0,
  );
}

/** Returns the part of a VM of typical capacity that a worker offers; its scarcest resource decides. */
export function toVmShare(capacity: Resources, typical: Resources): number {
  return Math.min(
    capacity.cpuMillis / Math.max(1, typical.cpuMillis),
    capacity.memoryMb / Math.max(1, typical.memoryMb),
  );
}

/** Tasks placed on one worker instance, with the sums that each planning round needs; the sums include unwanted runs. */
export class PlacedTasks extends Set<TaskState> {
  /** Resources that the tasks reserve; tasks that are being stopped and unwanted runs still occupy theirs. */
  readonly reserved: ResourceSums = createSums();
  /** Number of tasks of each step, by step ID. */
  readonly countByStep = new Map<string, number>();
  longRunningCount = 0;
  /** Tasks of which earlier runs were lost with their workers. */
  readonly suspects = new Set<TaskState>();
  /** Part of `reserved` that long-running tasks hold. */
  readonly reservedLongRunning: ResourceSums = createSums();

  /** Resources that the tasks of each workspace use, by workspace; unlike `reserved`, they include best-effort tasks in full. */
  readonly usedByWorkspace = new Map<string, ResourceSums>();

  /** Number of the unwanted runs. */
  get unwantedCount(): number {
    return this.#unwanted.length;
  }

  /** Whether the tasks and unwanted runs need more than a capacity. */
  exceed(capacity: Resources): boolean {
    return this.reserved.cpuMillis > capacity.cpuMillis ||
      this.reserved.memoryMb > capacity.memoryMb ||
      this.reserved.gpuCount > capacity.gpuCount;
  }

  /** Tasks of the unwanted runs, which are in the sums but not in the set. */
  #unwanted: readonly TaskDemand[] = [];

  /** Replaces the unwanted runs, which occupy resources like the tasks in the set. */
  reserveUnwantedRuns(tasks: readonly TaskDemand[]): void {
    for (const task of this.#unwanted) this.#count(task, -1);
    for (const task of tasks) this.#count(task, 1);
    this.#unwanted = tasks;
  }

  override add(task: TaskState): this {
    if (this.has(task)) return this;
    this.#count(task, 1);
    if (task.losses.length > 0) this.suspects.add(task);
    return super.add(task);
  }

  override delete(task: TaskState): boolean {
    if (!super.delete(task)) return false;
    this.#count(task, -1);
    this.suspects.delete(task);
    return true;
  }

  override clear(): void {
    for (const task of [...this]) this.delete(task);
  }

  #count(task: TaskDemand, change: 1 | -1): void {
    const step = getStep(task);
    addDemand(this.reserved, step, change);
    if (step.longRunning) {
      addDemand(this.reservedLongRunning, step, change);
      this.longRunningCount += change;
    }
    const { workspace } = task.job.spec;
    if (workspace !== "") this.#countUsage(workspace, step, change);
    const id = stepId(task);
    const count = (this.countByStep.get(id) ?? 0) + change;
    if (count > 0) this.countByStep.set(id, count);
    else this.countByStep.delete(id);
  }

  #countUsage(workspace: string, step: Step, change: 1 | -1): void {
    const used = this.usedByWorkspace.get(workspace) ?? createSums();
    used.cpuMillis += step.cpuMillis * change;
    used.memoryMb += step.memoryMb * change;
    used.gpuCount += step.gpuCount * change;
    if (used.cpuMillis + used.memoryMb + used.gpuCount > 0) {
      this.usedByWorkspace.set(workspace, used);
    } else this.usedByWorkspace.delete(workspace);
  }
}
