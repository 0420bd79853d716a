import type { Random } from "../random.ts";
import type { InvariantChecker } from "../fake_task_workers.ts";
import type { FakeTaskWorkers } from "../fake_task_workers.ts";

/** CPU that a workspace may use, in thousandths of a core; small enough to be used up now and then. */
const UPPER_BOUND_MILLIS = 12_000;
/** Share of the upper bound by which a workspace may exceed it, beside one task: what the owner can't know. */
const TOLERATED_OVERAGE = 0.1;
/** Largest CPU demand of a task of the soak, in thousandths of a core. */
const LARGEST_TASK_MILLIS = 2_000;
const NAMES = ["north", "south", "east"];

/** A key that no configuration ever held. */
export const UNKNOWN_KEY = "key-of-nobody";

/** Workspaces of a soak run, whose keys change with each configuration. */
export interface SoakWorkspaces {
  /** Returns the `tenants` of the next configuration, with a new key each; the keys of two versions before are withdrawn. */
  nextTenants(): unknown[];
  choose(): string;
  /** Returns a key of the workspace that the latest and the previous configuration hold. */
  keyOf(workspace: string): string;
  /** Returns the key of another workspace. */
  foreignKey(workspace: string): string;
  recordJob(jobId: string, workspace: string): void;
  /** Reports each workspace whose running tasks exceed its upper bound. */
  checkUsage(): void;
}

/** Creates the workspaces of a run. */
export function createSoakWorkspaces(
  { random, workers, checker }: {
    readonly random: Random;
    readonly workers: FakeTaskWorkers;
    readonly checker: InvariantChecker;
  },
): SoakWorkspaces {
  let version = 0;
  const workspaceByJob = new Map<string, string>();
  const keyAt = (workspace: string, keyVersion: number) =>
    `${workspace}-${Math.max(1, keyVersion)}`;
  const keyOf = (workspace: string) => keyAt(workspace, version - 1);

  return {
    nextTenants() {
      version++;
      return NAMES.map((name) => ({
        name,
        "api-keys": [...new Set([keyAt(name, version), keyOf(name)])],
        weight: 2,
        "upper-bound": { cpu: UPPER_BOUND_MILLIS, "mem-mb": 0, gpu: 0 },
      }));
    },
    choose: () => NAMES[random.nextInteger(NAMES.length)]!,
    keyOf,
    foreignKey: (workspace) =>
      keyOf(NAMES[(NAMES.indexOf(workspace) + 1) % NAMES.length]!),
    recordJob: (jobId, workspace) => void workspaceByJob.set(jobId, workspace),
    checkUsage() {
      const usedMillis = new Map<string, number>();
      for (const { alive, running } of workers.workers.values()) {
        if (!alive) continue;
        for (const { taskId } of running.values()) {
          const [jobId = "", , step] = taskId.split(".");
          const workspace = workspaceByJob.get(jobId);
          const cpuMillis = checker.specs.get(jobId)?.steps[Number(step)]
            ?.cpuMillis;
          if (workspace === undefined || cpuMillis === undefined) continue;
          usedMillis.set(
            workspace,
            (usedMillis.get(workspace) ?? 0) + cpuMillis,
          );
        }
      }
      const limit = UPPER_BOUND_MILLIS * (1 + TOLERATED_OVERAGE) +
        LARGEST_TASK_MILLIS;
      for (const [workspace, millis] of usedMillis) {
        if (millis > limit) {
          checker.report("QUOTA", `${workspace} uses ${millis} of ${limit}`);
        }
      }
    },
  };
}
