import { createSums, type ResourceSums } from "../placed_tasks.ts";
import type { WorkerInstance } from "../worker_table.ts";

/** Resources that workspaces use, by workspace. */
export type WorkspaceUsage = ReadonlyMap<string, Readonly<ResourceSums>>;

/** Worker instances, of which only the usage by workspace matters. */
type Instances = Iterable<
  { readonly tasks: Pick<WorkerInstance["tasks"], "usedByWorkspace"> }
>;

function addUsage(sums: ResourceSums, used: Readonly<ResourceSums>): void {
  sums.cpuMillis += used.cpuMillis;
  sums.memoryMb += used.memoryMb;
  sums.gpuCount += used.gpuCount;
}

/**
 * Sums what the workspaces use on all worker instances. Instances that aren't
 * registered count as well: they may still have runs of earlier owners.
 */
export function sumUsage(instances: Instances): Map<string, ResourceSums> {
  const usage = new Map<string, ResourceSums>();
  for (const { tasks } of instances) {
    for (const [workspace, used] of tasks.usedByWorkspace) {
      let sums = usage.get(workspace);
      if (sums === undefined) {
        sums = createSums();
        usage.set(workspace, sums);
      }
      addUsage(sums, used);
    }
  }
  return usage;
}

/** Sums what one workspace uses on all worker instances, as `sumUsage` does for all. */
export function sumUsageOf(
  workspace: string,
  instances: Instances,
): ResourceSums {
  const sums = createSums();
  for (const { tasks } of instances) {
    const used = tasks.usedByWorkspace.get(workspace);
    if (used !== undefined) addUsage(sums, used);
  }
  return sums;
}
