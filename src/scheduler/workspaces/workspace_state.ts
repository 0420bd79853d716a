import type { Metric } from "../../metrics.ts";
import { createSums } from "../placed_tasks.ts";
import type { Resources, WorkspaceConfig } from "../ports.ts";
import type { AdmissionCounts } from "./owner_admission.ts";
import type { WorkspaceUsage } from "./usage.ts";

/** State of a workspace as shown to operators. */
export interface WorkspaceState {
  readonly name: string;
  readonly weight: number;
  /** Upper bound; 0 means no limit. */
  readonly limit: Resources;
  readonly used: Resources;
  /** Decisions about submissions in this tenure. */
  readonly submissions: Readonly<AdmissionCounts>;
}

/** Combines configuration, usage and admission counts of the workspaces. */
export function describeWorkspaces(
  workspaces: readonly WorkspaceConfig[],
  usage: WorkspaceUsage,
  counts: ReadonlyMap<string, Readonly<AdmissionCounts>>,
): WorkspaceState[] {
  return workspaces.map(({ name, weight, upperBound }) => ({
    name,
    weight,
    limit: upperBound,
    used: usage.get(name) ?? createSums(),
    submissions: counts.get(name) ?? { admitted: 0, excess: 0, refused: 0 },
  }));
}

/** Returns the metrics of the workspaces. */
export function workspaceMetrics(states: readonly WorkspaceState[]): Metric[] {
  const resources = (value: Resources) =>
    [
      ["cpu_millis", value.cpuMillis],
      ["memory_mb", value.memoryMb],
      ["gpu_count", value.gpuCount],
    ] as const;
  return states.flatMap(({ name, weight, limit, used, submissions }) => {
    const gauge = (
      metric: string,
      help: string,
      value: number,
      labels: Record<string, string> = {},
    ): Metric => ({
      kind: "gauge",
      name: `cowslipferry_workspace_${metric}`,
      help,
      labels: { workspace: name, ...labels },
      value,
    });
    return [
      gauge("weight", "Weight of the workspace", weight),
      ...resources(used).map(([resource, value]) =>
        gauge("used", "Resources in use", value, { resource })
      ),
      ...resources(limit).map(([resource, value]) =>
        gauge("limit", "Upper bound; 0 means no limit", value, { resource })
      ),
      ...Object.entries(submissions).map(([decision, value]): Metric => ({
        kind: "counter",
        name: "cowslipferry_workspace_submissions_total",
        help: "Decisions about submissions in this tenure",
        labels: { workspace: name, decision },
        value,
      })),
    ];
  });
}
