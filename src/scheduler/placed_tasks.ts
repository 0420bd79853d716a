import { getStep, stepId, type TaskState } from "./job_state.ts";
import { reservedCpuMillis } from "./placement.ts";

/** Tasks on one worker instance, with the sums that each planning round needs. */
export class PlacedTasks extends Set<TaskState> {
  /** Resources that the tasks reserve; tasks that are being stopped still occupy theirs. */
  readonly reserved = { cpuMillis: 0, memoryMb: 0, gpuCount: 0 };
  /** Number of tasks of each step, by step ID. */
  readonly countByStep = new Map<string, number>();
  longRunningCount = 0;

  override add(task: TaskState): this {
    if (this.has(task)) return this;
    this.#count(task, 1);
    return super.add(task);
  }

  override delete(task: TaskState): boolean {
    if (!super.delete(task)) return false;
    this.#count(task, -1);
    return true;
  }

  override clear(): void {
    for (const task of [...this]) this.delete(task);
  }

  #count(task: TaskState, change: 1 | -1): void {
    const step = getStep(task);
    this.reserved.cpuMillis += change * reservedCpuMillis(step);
    this.reserved.memoryMb += change * step.memoryMb;
    this.reserved.gpuCount += change * step.gpuCount;
    if (step.longRunning) this.longRunningCount += change;
    const id = stepId(task);
    const count = (this.countByStep.get(id) ?? 0) + change;
    if (count > 0) this.countByStep.set(id, count);
    else this.countByStep.delete(id);
  }
}
