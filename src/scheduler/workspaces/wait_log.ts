import type { Logger } from "../../logger.ts";
import type { JobSpec } from "../model.ts";

/** Why a job of a workspace waits: for its upper bound, behind others' shares, or for room in its pool. */
export type WaitReason = "quota" | "share" | "capacity";

/** Logs why jobs wait, with one line for each job and reason. */
export interface WaitLog {
  note(spec: JobSpec, reason: WaitReason): void;
}

/** Creates the log of one tenure. */
export function createWaitLog(log: Logger): WaitLog {
  /** Reasons that were logged; kept as long as the scheduler keeps the job's specification. */
  const logged = new WeakMap<JobSpec, Set<WaitReason>>();
  return {
    note(spec, reason) {
      const reasons = logged.get(spec) ?? new Set();
      if (reasons.has(reason)) return;
      reasons.add(reason);
      logged.set(spec, reasons);
      const { jobId, queue, workspace, excess } = spec;
      log.info("job waits", { job: jobId, queue, workspace, excess, reason });
    },
  };
}
