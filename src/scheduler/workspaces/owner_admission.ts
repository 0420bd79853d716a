import type { Clock } from "../../clock.ts";
import type { JobSpec } from "../model.ts";
import type { SchedulerConfig } from "../ports.ts";
import type { OverloadRejection } from "../overload/owner_rejection.ts";
import { estimateJobBytes, type JobMemory } from "../overload/job_memory.ts";
import { resolveQueue } from "../resolve_queue.ts";
import type { Scheduler } from "../scheduler.ts";
import { type AdmissionDecision, createAdmission } from "./admission.ts";
import { isBoundUsedUp } from "./quota.ts";
import { sumUsageOf } from "./usage.ts";

/** Dependencies of the owner's admission control. */
export interface OwnerAdmissionOptions {
  readonly scheduler: Pick<Scheduler, "hasJob" | "workers">;
  readonly clock: Pick<Clock, "monotonicMs">;
  readonly config: () => SchedulerConfig | undefined;
  /** Whether a service's pool needs more VMs than the fleet has. */
  readonly isScarce: (service: string) => boolean;
  /** Limit on the memory of the owner's jobs. */
  readonly memory: JobMemory;
  /** Undefined if the settings don't ask for it. */
  readonly overload?: OverloadRejection | undefined;
}

/** Retry time of a job for which the owner has no memory, in ms: other jobs have to end first. */
const MEMORY_RETRY_AFTER_MS = 5_000;

/** Number of decisions about the submissions of a workspace. */
export interface AdmissionCounts {
  admitted: number;
  excess: number;
  refused: number;
}

/** Admission control of the owner, with the facts that it knows about the pools and workspaces. */
export interface OwnerAdmission {
  admit(spec: JobSpec): AdmissionDecision;
  /** Decisions of this tenure by workspace. */
  readonly counts: ReadonlyMap<string, Readonly<AdmissionCounts>>;
}

/** Creates the owner's admission control for one tenure. */
export function createOwnerAdmission(
  options: OwnerAdmissionOptions,
): OwnerAdmission {
  const { scheduler, clock } = options;
  const admission = createAdmission({ nowMs: () => clock.monotonicMs() });
  const counts = new Map<string, AdmissionCounts>();

  function count(workspace: string, decision: AdmissionDecision): void {
    const entry = counts.get(workspace) ??
      { admitted: 0, excess: 0, refused: 0 };
    if (decision.kind === "refused") entry.refused++;
    else if (decision.excess) entry.excess++;
    else entry.admitted++;
    counts.set(workspace, entry);
  }

  return {
    counts,
    admit(spec) {
      if (
        !scheduler.hasJob(spec.jobId) &&
        !options.memory.hasRoomFor(estimateJobBytes(spec))
      ) {
        return {
          kind: "refused",
          reason: "memory",
          retryAfterMs: MEMORY_RETRY_AFTER_MS,
        };
      }
      const retryAfterMs = options.overload?.check(spec);
      if (retryAfterMs !== undefined) {
        return { kind: "refused", reason: "overload", retryAfterMs };
      }
      const config = options.config();
      const workspace = config?.workspaces?.find(({ name }) =>
        name === spec.workspace
      );
      // A workspace that isn't known here is in a newer configuration, which the calling entry has read.
      if (workspace === undefined || scheduler.hasJob(spec.jobId)) {
        return { kind: "admitted", excess: false };
      }
      const { service } = resolveQueue(config, spec);
      const decision = admission.decide({
        workspace: workspace.name,
        weight: workspace.weight,
        jobId: spec.jobId,
        isFull: options.isScarce(service) ||
          isBoundUsedUp(
            sumUsageOf(workspace.name, scheduler.workers.instances.values()),
            workspace.upperBound,
            spec.steps,
          ),
      });
      count(workspace.name, decision);
      return decision;
    },
  };
}
