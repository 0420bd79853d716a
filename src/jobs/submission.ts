import { JobRefusedError } from "./errors.ts";
import { endJob, type Job, type JobSpec, type JobState } from "./job.ts";
import { isKeyValid, type JobKey } from "./job_key.ts";
import type { ShardDraft } from "./shard.ts";

/** Result of cancelling one job. */
export type CancelResult =
  | { readonly kind: "not_run" }
  | { readonly kind: "stopping" }
  | { readonly kind: "ended"; readonly state: JobState }
  | { readonly kind: "unknown_job" };

/**
 * Adds a job, or returns the job that an earlier submission with the same key
 * added. Throws a `JobRefusedError` if the key has expired, was used for a
 * different job, or its shard is full.
 */
export function submitJob(draft: ShardDraft, key: JobKey, spec: JobSpec): Job {
  const existing = draft.jobs.get(key.key);
  if (existing !== undefined) {
    if (JSON.stringify(existing.spec) !== JSON.stringify(spec)) {
      throw new JobRefusedError("key_reused", "The key names another job");
    }
    return existing;
  }
  if (!isKeyValid(key, draft.nowMs)) {
    throw new JobRefusedError("expired_key", "The key has expired");
  }
  const job: Job = {
    id: key.key,
    spec,
    issuedAtMs: key.issuedAtMs,
    submittedAtMs: draft.nowMs,
    attempts: 0,
    failedOn: [],
    state: { kind: "queued", sinceMs: draft.nowMs },
  };
  draft.add(job);
  return job;
}

/**
 * Cancels one job. A queued job ends at once; a started one is marked, and its
 * task is stopped later.
 */
export function cancelJob(draft: ShardDraft, jobId: string): CancelResult {
  const job = draft.jobs.get(jobId);
  if (job === undefined) return { kind: "unknown_job" };
  const { state } = job;
  if (state.kind === "ended") {
    const notRun = state.outcome.kind === "not_run";
    return notRun ? { kind: "not_run" } : { kind: "ended", state };
  }
  if (state.kind === "queued") {
    if (job.attempts === 0) {
      const outcome = { kind: "not_run", reason: "cancelled" } as const;
      draft.replace(endJob(job, outcome, draft.nowMs));
      return { kind: "not_run" };
    }
    const ended = endJob(job, { kind: "cancelled" }, draft.nowMs);
    draft.replace(ended);
    return { kind: "ended", state: ended.state };
  }
  if (job.cancelRequestedAtMs === undefined) {
    draft.replace({ ...job, cancelRequestedAtMs: draft.nowMs });
  }
  return { kind: "stopping" };
}
