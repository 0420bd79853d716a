import type { Logger } from "../logger.ts";
import { parseStoredJob } from "./load_jobs.ts";
import type { JobSpec } from "./model.ts";
import { STORE_KEYS } from "./ownership.ts";
import type { StoredItem } from "./ports.ts";
import type { Scheduler } from "./scheduler.ts";

/**
 * Adds new jobs and cancellations to the owner's scheduler, as entries report
 * them and as the watch on the store reads their records.
 */
export interface QueueReader {
  /** Adds a job that an entry has stored at a store revision; its record may be read earlier or later. */
  accept(spec: JobSpec, revision: number): void;
  /** Applies all records of the queue, read at a store revision. */
  onSnapshot(items: readonly StoredItem[], revision: number): void;
  onPut(item: StoredItem): void;
  /** Notes that all changes up to a store revision have been read. */
  onRevision(revision: number): void;
  /** Whether the record of a known job has been read, so that it is never taken for a new one. */
  hasRead(jobId: string): boolean;
}

/** Dependencies of the queue reader. */
export interface QueueReaderOptions {
  readonly scheduler: Pick<Scheduler, "accept" | "cancel" | "hasJob" | "jobs">;
  /** Store revision at which the owner has loaded the queue. */
  readonly loadedRevision: number;
  readonly log: Logger;
  /** Called after a job has been added. */
  readonly onAccepted: (spec: JobSpec) => void;
}

/**
 * Creates the queue reader of one tenure. The owner has known every record up to
 * the revision that it has read: if the job of such a record is unknown, it was
 * removed, and reading the record again must not add it.
 */
export function createQueueReader(options: QueueReaderOptions): QueueReader {
  const { scheduler, log } = options;
  let readRevision = options.loadedRevision;
  /** Store revisions of the jobs that entries have reported and whose records haven't been read, by job ID. */
  const unreadRevisions = new Map<string, number>();

  function add(spec: JobSpec): void {
    if (scheduler.hasJob(spec.jobId)) return;
    scheduler.accept(spec);
    options.onAccepted(spec);
  }

  function read(item: StoredItem): void {
    if (item.revision <= readRevision) return;
    if (item.key.startsWith(STORE_KEYS.cancelPrefix)) {
      scheduler.cancel(item.key.slice(STORE_KEYS.cancelPrefix.length));
      return;
    }
    if (scheduler.hasJob(item.key.slice(STORE_KEYS.jobPrefix.length))) return;
    const spec = parseStoredJob(item, log);
    if (spec !== undefined) add(spec);
  }

  function onRevision(revision: number): void {
    readRevision = Math.max(readRevision, revision);
    for (const [jobId, storedRevision] of unreadRevisions) {
      if (storedRevision <= readRevision) unreadRevisions.delete(jobId);
    }
  }

  return {
    accept(spec, revision) {
      if (revision <= readRevision) return;
      unreadRevisions.set(spec.jobId, revision);
      add(spec);
    },
    onSnapshot(items, revision) {
      const jobsBefore = scheduler.jobs.size;
      items.forEach(read);
      onRevision(revision);
      log.info("queue read again", {
        records: items.length,
        addedJobs: scheduler.jobs.size - jobsBefore,
      });
    },
    onPut: read,
    onRevision,
    hasRead: (jobId) => !unreadRevisions.has(jobId),
  };
}
