import type { Logger } from "../../logger.ts";
import type { JobSpec } from "../model.ts";

/** Why a job of a workspace waits: for its upper bound, behind others' shares, or for room in its pool. */
export type WaitReason = "quota" | "share" | "capacity";

/** Number of jobs above which the ones that were noted first are forgotten. */
const MAXIMUM_JOBS = 20_000;

/** Logs why jobs wait, with one line for each job and reason. */
export interface WaitLog {
  note(spec: JobSpec, reason: WaitReason): void;
}

/** Creates the log of one tenure. */
export function createWaitLog(log: Logger): WaitLog {
  /** Reasons that were logged, by job ID. */
  const logged = new Map<string, Set<WaitReason>>();
  return {
    note({ jobId, queue, workspace, excess }, reason) {
      const reasons = logged.get(jobId) ?? new Set();
      if (reasons.has(reason)) return;
      reasons.add(reason);
      logged.set(jobId, reasons);
      if (logged.size > MAXIMUM_JOBS) {
        logged.delete(logged.keys().next().value!);
      }
      log.info("job waits", { job: jobId, queue, workspace, excess, reason });
    },
  };
}
