import type { Operation } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Clock } from "../clock.ts";
import { forEachPlacedTask, type JobState } from "./job_state.ts";
import {
  parseProgressKey,
  readRecordedStatus,
  restoreJob,
} from "./progress_record.ts";
import { type JobSpec, jobSpecSchema } from "./model.ts";
import { STORE_KEYS } from "./ownership.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import type { RecordStore, StoredItem } from "./ports.ts";
import { retryStoreRead } from "./retry_store_read.ts";
import type { Scheduler } from "./scheduler.ts";

/** Decodes a stored job; logs an error and returns undefined if it is invalid. */
export function parseStoredJob(
  item: StoredItem,
  log: Logger,
): JobSpec | undefined {
  try {
    return jobSpecSchema.parse(JSON.parse(item.value));
  } catch (error) {
    log.error("ignoring an invalid stored job", {
      key: item.key,
      reason: messageOf(error),
    });
    return undefined;
  }
}

/** Dependencies of `loadJobs`. */
export interface LoadJobsOptions {
  readonly store: RecordStore;
  readonly scheduler: Scheduler;
  readonly clock: Clock;
  readonly log: Logger;
  /** Monotonic time until which leases of earlier owners may last, in ms. */
  readonly earlierLeasesEndMs: number;
}

/** Adds one stored job to the scheduler; its placed tasks are assigned to the worker instance that each names, whether it is registered or not. */
function restoreStoredJob(
  { spec, progress, parts }: {
    readonly spec: JobSpec;
    readonly progress: string | undefined;
    readonly parts: readonly StoredItem[] | undefined;
  },
  { scheduler, clock, log, earlierLeasesEndMs }: LoadJobsOptions,
): void {
  const { workers } = scheduler;
  const nowMs = clock.monotonicMs();
  let job: JobState;
  try {
    job = restoreJob(spec, progress, nowMs, parts);
  } catch (error) {
    log.error("ignoring a job with an invalid progress record", {
      job: spec.jobId,
      reason: messageOf(error),
    });
    return;
  }
  scheduler.addRestored(job);
  scheduler.crashes.restore(job);
  forEachPlacedTask(job, (task, placement) => {
    let instance = workers.find(placement.workerId, placement.bornAtMs);
    if (instance === undefined) {
      instance = {
        workerId: placement.workerId,
        bornAtMs: placement.bornAtMs,
        vmId: placement.vmId,
        link: undefined,
        registration: undefined,
        missingSinceMs: undefined,
        draining: false,
        tasks: new PlacedTasks(),
        joinedAtMs: nowMs,
        earlierLeasesEndMs,
      };
      workers.add(instance);
    }
    instance.tasks.add(task);
    if (job.status !== "active") scheduler.stop(task, "the job has ended");
    else if (task.phase === "done") scheduler.stop(task, "the task is done");
  });
  if (job.status !== job.recordedStatus) scheduler.save(job);
}

/** Loads the jobs that earlier owners and other entries have stored; returns the number of records and the store revision at which they were read. */
export function* loadJobs(
  options: LoadJobsOptions,
): Operation<{ records: number; revision: number }> {
  const { store, scheduler, log } = options;
  const progressList = yield* retryStoreRead(
    () => store.list(STORE_KEYS.progressPrefix),
    log,
  );
  const queueList = yield* retryStoreRead(
    () => store.list(STORE_KEYS.queuePrefix),
    log,
  );
  const lateStartList = yield* retryStoreRead(
    () => store.list(STORE_KEYS.lateStartPrefix),
    log,
  );
  scheduler.lateStarts.restore(lateStartList.items);
  const progressByJob = new Map<string, string>();
  const partsByJob = new Map<string, StoredItem[]>();
  for (const item of progressList.items) {
    const { jobId, isPart } = parseProgressKey(item.key);
    if (!isPart) {
      progressByJob.set(jobId, item.value);
      continue;
    }
    const parts = partsByJob.get(jobId);
    if (parts === undefined) partsByJob.set(jobId, [item]);
    else parts.push(item);
  }
  const cancelled: string[] = [];
  for (const item of queueList.items) {
    if (item.key.startsWith(STORE_KEYS.cancelPrefix)) {
      cancelled.push(item.key.slice(STORE_KEYS.cancelPrefix.length));
      continue;
    }
    const jobId = item.key.slice(STORE_KEYS.jobPrefix.length);
    const progress = progressByJob.get(jobId);
    const recorded = progress === undefined
      ? undefined
      : readRecordedStatus(progress);
    // For most jobs, only the final status is still needed.
    if (
      recorded !== undefined && recorded.status !== "active" &&
      recorded.tasks === 0 && !partsByJob.has(jobId)
    ) {
      const { status, workspace } = recorded;
      scheduler.addEnded(jobId, { status, workspace });
      continue;
    }
    const spec = parseStoredJob(item, log);
    if (spec === undefined) continue;
    restoreStoredJob({ spec, progress, parts: partsByJob.get(jobId) }, options);
  }
  for (const jobId of cancelled) scheduler.cancel(jobId);
  return { records: queueList.items.length, revision: queueList.revision };
}
