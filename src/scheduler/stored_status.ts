import type { Logger } from "../logger.ts";
import type { JobStatus } from "./model.ts";
import { STORE_KEYS } from "./ownership.ts";
import type { RecordStore } from "./ports.ts";
import { readRecordedStatus } from "./progress_record.ts";
import { readStoredWorkspace } from "./workspaces/stored_workspace.ts";

/** Reads the status of jobs from their records; each method rejects with a `StoreError`. */
export interface StoredStatus {
  /** Returns the status of a workspace's job; undefined if it has no such job. */
  read(jobId: string, workspace: string): Promise<JobStatus | undefined>;
  /** Returns why a job has failed; undefined if its record doesn't state it. */
  failureReason(jobId: string): Promise<string | undefined>;
}

/** Creates the reader of stored statuses. */
export function createStoredStatus(
  store: Pick<RecordStore, "get">,
  log: Logger,
): StoredStatus {
  async function readProgress(jobId: string) {
    const item = await store.get(STORE_KEYS.progressPrefix + jobId);
    if (item === undefined) return { exists: false };
    const recorded = readRecordedStatus(item.value);
    if (recorded === undefined) {
      log.error("invalid progress record in the store", { job: jobId });
    }
    return { exists: true, recorded };
  }

  /** Whether a workspace has a stored job with this ID. */
  async function isStored(jobId: string, workspace: string): Promise<boolean> {
    const item = await store.get(STORE_KEYS.jobPrefix + jobId);
    return item !== undefined && readStoredWorkspace(item.value) === workspace;
  }

  return {
    async read(jobId, workspace) {
      const { exists, recorded } = await readProgress(jobId);
      if (recorded !== undefined) {
        if (recorded.workspace !== workspace) return undefined;
        if (recorded.status !== "active") return recorded.status;
      }
      if (!await isStored(jobId, workspace)) return undefined;
      if (await store.get(STORE_KEYS.cancelPrefix + jobId) !== undefined) {
        return "cancelled";
      }
      return exists ? "running" : "queued";
    },
    async failureReason(jobId) {
      const { recorded } = await readProgress(jobId);
      return recorded?.failureReason;
    },
  };
}
