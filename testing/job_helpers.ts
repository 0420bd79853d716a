import type { Dispatcher } from "../src/jobs/dispatcher.ts";
import { type Job, type JobSpec, jobSpecSchema } from "../src/jobs/job.ts";
import { issueJobKey, type JobKey } from "../src/jobs/job_key.ts";
import { parseShard, shardKey } from "../src/jobs/shard.ts";
import { submitJob } from "../src/jobs/submission.ts";
import { type JobSimulation, POOL } from "./job_simulation.ts";
import type { FakeStore } from "./fake_store.ts";
import { REGION } from "./fleet_simulation.ts";

/** Creates the specification of a job for the simulated workers' pool. */
export function createJobSpec(overrides: Partial<JobSpec> = {}): JobSpec {
  return jobSpecSchema.parse({
    pool: POOL,
    team: `${POOL}-team`,
    jobClass: "c0",
    command: "run 20000",
    cores: 2,
    memoryMb: 1_000,
    runTimeMs: 20_000,
    ...overrides,
  });
}

/** Issues a job key that belongs to a shard. */
export function issueKeyForShard(shard: number, nowMs: number): JobKey {
  let key = issueJobKey(nowMs);
  while (key.shard !== shard) key = issueJobKey(nowMs);
  return key;
}

/** Submits a job and flushes its shard to the store; resolves with the accepted job. */
export async function submit(
  dispatcher: Dispatcher,
  key: JobKey,
  spec: JobSpec,
): Promise<Job> {
  const { writer } = dispatcher;
  const options = { deadlineMs: 2_000, jobId: key.key };
  const accepted = writer.change(
    (draft) => submitJob(draft, key, spec),
    options,
  );
  // Avoids an unhandled rejection if the flush throws first. The store may respond late;
  // a step or a later flush then settles the submission.
  accepted.catch(() => {});
  await writer.flush();
  return await accepted;
}

/** Returns the stored jobs of a shard by id. */
export const storedJobs = (store: FakeStore, shard: number) => {
  const entry = store.history(shardKey(REGION, shard)).at(-1);
  return entry === undefined
    ? new Map<string, Job>()
    : parseShard(entry.value).jobs;
};
/** Returns the outcome of a job, or undefined while it hasn't ended. */
export const jobOutcome = (job: Job | undefined) =>
  job?.state.kind === "ended" ? job.state.outcome : undefined;

/** Steps a dispatcher `steps` times, at intervals of 500 ms of simulated time. */
export async function runSteps(
  jobs: JobSimulation,
  dispatcher: Dispatcher,
  steps: number,
): Promise<void> {
  for (let count = 0; count < steps; count++) {
    jobs.tick(500);
    await dispatcher.step();
  }
}
