import { listLiveEntries } from "../config/rollout.ts";
import type { Job } from "../jobs/job.ts";
import { parseJobKey, SHARD_COUNT } from "../jobs/job_key.ts";
import {
  type JobDecision,
  jobExplanationSchema,
  type JobSubject,
  type JobWait,
} from "../jobs/job_decision_log.ts";
import { readJobDecisionLog } from "../jobs/job_decision_log_saver.ts";
import { parseShard, shardKey } from "../jobs/shard.ts";
import type { Store } from "../ports/store.ts";
import {
  type OperatorPlatform,
  type ReadFailure,
  readOrRecordFailure,
} from "./context.ts";

/** Timeout for reading the explanation of one entry, in ms. */
const EXPLANATION_TIMEOUT_MS = 3_000;

/** A job decision and the region in which it was made. */
export type RegionalJobDecision = JobDecision & { readonly region: string };

/** Waits and decisions that the live entries report for a job or a worker. */
export interface EntryExplanations {
  readonly waits: readonly (JobWait & { readonly entryId: string })[];
  readonly decisions: readonly RegionalJobDecision[];
}

/** Reads the explanations of all live entries. Failures are added to `unreadable`. */
export async function readEntryExplanations(
  platform: OperatorPlatform,
  subject: JobSubject,
  options: { region: string | undefined; unreadable: ReadFailure[] },
): Promise<EntryExplanations> {
  const { region, unreadable } = options;
  const vms = listLiveEntries(await platform.vmList().list())
    .filter((vm) => (region ?? vm.region) === vm.region);
  const answers = await Promise.all(
    vms.map(({ id, adminAddress, region }) =>
      readOrRecordFailure(`job decisions of ${id}`, unreadable, async () => {
        if (adminAddress === undefined) {
          throw new Error("the VM list has no admin address");
        }
        const signal = AbortSignal.timeout(EXPLANATION_TIMEOUT_MS);
        const answer = jobExplanationSchema.parse(
          await platform.readJobExplanation(adminAddress, subject, signal),
        );
        return { entryId: id, region, ...answer };
      })
    ),
  );
  const found = answers.filter((answer) => answer !== undefined);
  return {
    waits: found.flatMap(({ entryId, wait }) =>
      wait === undefined ? [] : [{ entryId, ...wait }]
    ),
    decisions: found.flatMap(({ region, decisions }) =>
      decisions.map((decision) => ({ ...decision, region }))
    ),
  };
}

/** Reads a region's stored job decisions about a job or a worker. */
export async function readStoredDecisions(
  store: Store,
  region: string,
  subject: JobSubject,
): Promise<RegionalJobDecision[]> {
  const logs = await Promise.all(
    Array.from(
      { length: SHARD_COUNT },
      (_, shard) => readJobDecisionLog(store, region, shard),
    ),
  );
  return logs.flatMap(({ decisions }) => decisions).filter((decision) =>
    "jobId" in subject
      ? decision.jobId === subject.jobId
      : decision.vmId === subject.vmId
  ).map((decision) => ({ ...decision, region }));
}

/** Reads the stored record of a job; returns an empty list if its shard doesn't contain it. */
export async function readStoredJob(
  store: Store,
  region: string,
  jobId: string,
): Promise<(Job & { readonly region: string })[]> {
  const key = parseJobKey(jobId);
  if (key === undefined) return [];
  const storedShard = await store.get(shardKey(region, key.shard));
  const job = storedShard && parseShard(storedShard.value).jobs.get(jobId);
  return job === undefined ? [] : [{ region, ...job }];
}
