import type { JobSpec, Step } from "../model.ts";
import { createSums } from "../placed_tasks.ts";
import type { Resources, WorkspaceConfig } from "../ports.ts";
import type { WorkspaceUsage } from "./usage.ts";

/**
 * Age up to which a job of a workspace that isn't in the configuration waits, in
 * ms. The entry that accepted the job may have read a newer version; the owner
 * reads it within 6 s even if its store refuses some entries.
 */
const UNKNOWN_WORKSPACE_WAIT_MS = 6_000;

/** Fields of a job that decide whether its workspace's upper bound allows a start. */
export type QuotaSubject = Pick<JobSpec, "workspace" | "acceptedAtMs">;

/** Decides in one planning round whether the workspaces' upper bounds allow tasks to start. */
export interface QuotaCheck {
  /** Whether `count` tasks of a step may start together. */
  allows(job: QuotaSubject, step: Step, count: number): boolean;
  /** Counts tasks that were placed in this round. */
  reserve(job: QuotaSubject, step: Step, count: number): void;
}

/** Whether usage plus the demand of `count` tasks exceeds an upper bound; a bound of 0 is no limit. */
function exceedsBound(
  used: Resources,
  step: Step,
  count: number,
  bound: Resources,
): boolean {
  const exceeds = (usedAmount: number, demand: number, limit: number) =>
    limit > 0 && usedAmount + demand * count > limit;
  return exceeds(used.cpuMillis, step.cpuMillis, bound.cpuMillis) ||
    exceeds(used.memoryMb, step.memoryMb, bound.memoryMb) ||
    exceeds(used.gpuCount, step.gpuCount, bound.gpuCount);
}

/** Whether a job with these steps would have to wait for its workspace's upper bound. */
export function isBoundUsedUp(
  used: Resources,
  bound: Resources,
  steps: readonly Step[],
): boolean {
  return steps.some((step) =>
    exceedsBound(used, step, step.gang ? step.taskCount : 1, bound)
  );
}

/**
 * Creates the check of one planning round. `workspaces` is undefined while the
 * configuration isn't known; no job of a workspace starts then. The jobs of a
 * workspace that was removed from the configuration have no limit.
 */
export function createQuotaCheck(
  usage: WorkspaceUsage,
  workspaces: readonly WorkspaceConfig[] | undefined,
  wallMs: number,
): QuotaCheck {
  const bounds = new Map(
    workspaces?.map(({ name, upperBound }) => [name, upperBound]),
  );
  /** Usage including what was placed in this round. */
  const used = new Map(
    [...usage].map(([workspace, sums]) => [workspace, { ...sums }]),
  );
  return {
    allows({ workspace, acceptedAtMs }, step, count) {
      if (workspace === "") return true;
      if (workspaces === undefined) return false;
      const bound = bounds.get(workspace);
      if (bound === undefined) {
        return wallMs - acceptedAtMs >= UNKNOWN_WORKSPACE_WAIT_MS;
      }
      return !exceedsBound(
        used.get(workspace) ?? createSums(),
        step,
        count,
        bound,
      );
    },
    reserve({ workspace }, step, count) {
      if (workspace === "") return;
      const sums = used.get(workspace) ?? createSums();
      sums.cpuMillis += step.cpuMillis * count;
      sums.memoryMb += step.memoryMb * count;
      sums.gpuCount += step.gpuCount * count;
      used.set(workspace, sums);
    },
  };
}
