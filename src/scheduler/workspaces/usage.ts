import { createSums, type ResourceSums } from "../placed_tasks.ts";
import type { WorkerInstance } from "../worker_table.ts";

/** Resources that workspaces use, by workspace. */
export type WorkspaceUsage = ReadonlyMap<string, Readonly<ResourceSums>>;

/**
 * Sums what the workspaces use on all worker instances. Instances that aren't
 * registered count as well: they may still have runs of earlier owners.
 */
export function sumUsage(
  instances: Iterable<
    { readonly tasks: Pick<WorkerInstance["tasks"], "usedByWorkspace"> }
  >,
): Map<string, ResourceSums> {
  const usage = new Map<string, ResourceSums>();
  for (const { tasks } of instances) {
    for (const [workspace, used] of tasks.usedByWorkspace) {
      let sums = usage.get(workspace);
      if (sums === undefined) {
        sums = createSums();
        usage.set(workspace, sums);
      }
      sums.cpuMillis += used.cpuMillis;
      sums.memoryMb += used.memoryMb;
      sums.gpuCount += used.gpuCount;
    }
  }
  return usage;
}
