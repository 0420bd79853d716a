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

/** Time after which an entry's answer counts as missing, in ms. */
const EXPLANATION_TIMEOUT_MS = 3_000;

/** A job decision with its region. */
export type RegionalJobDecision = JobDecision & { readonly region: string };

/** What the entries hold about a job or a worker. */
export interface EntryExplanations {
  readonly waits: readonly (JobWait & { readonly entryId: string })[];
  readonly decisions: readonly RegionalJobDecision[];
}

/** Asks the live entries; what can't be read is added to `unreadable`. */
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

/** Reads the stored job decisions of a region about a job or a worker. */
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

/** Reads a job as it is stored; none if its shard doesn't hold it. */
export async function readStoredJob(
  store: Store,
  region: string,
  jobId: string,
): Promise<(Job & { readonly region: string })[]> {
  const key = parseJobKey(jobId);
  if (key === undefined) return [];
  const entry = await store.get(shardKey(region, key.shard));
  const job = entry && parseShard(entry.value).jobs.get(jobId);
  return job === undefined ? [] : [{ region, ...job }];
}
