import { z } from "zod";

const name = z.string().regex(
  /^[a-z][a-z0-9-]{0,62}$/,
  "a lower-case name of letters, digits and dashes, at most 63 characters",
);

/**
 * Schema of a submitted job. Sizes and run time are the submitter's estimates
 * and may be far off.
 */
export const jobSpecSchema = z.strictObject({
  pool: name,
  team: name,
  /** Jobs of one team and class are expected to use similar resources. */
  jobClass: name,
  // Bounded so that about 3,000 jobs fit in one store value.
  command: z.string().min(1).max(160),
  cores: z.number().positive().max(4_096),
  memoryMb: z.number().int().positive().max(16_777_216),
  accelerators: z.number().int().min(0).max(1_024).default(0),
  runTimeMs: z.number().int().positive().max(2_592_000_000),
  priority: z.enum(["normal", "urgent"]).default("normal"),
  /** Whether the job may run more than once. */
  idempotent: z.boolean().default(false),
});

/** Specification of a submitted job. */
export type JobSpec = z.output<typeof jobSpecSchema>;

/** Schema of an amount of each resource. */
export const sizeSchema = z.object({
  cores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

/** Amount of each resource: processor cores, memory and accelerators. */
export type Size = z.infer<typeof sizeSchema>;

const runSchema = z.object({
  vmId: z.string(),
  incarnation: z.string(),
  /** Number of the run within its job, from 1. */
  attempt: z.number().int(),
  fencingToken: z.number().int(),
  /** Wall-clock time of the assignment or the last resume, in ms. */
  atMs: z.number(),
  size: sizeSchema,
  /** Id of the worker's last reboot when the run was assigned. */
  rebootIntentId: z.string().optional(),
  /** Whether the run was resumed from a checkpoint. */
  resumed: z.boolean().optional(),
});

/** One run of a job on one worker. */
export type Run = z.infer<typeof runSchema>;

const outcomeSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("succeeded") }),
  z.object({
    kind: z.literal("failed"),
    reason: z.enum(["task_failed", "task_stopped", "failed_on_three_workers"]),
  }),
  /** Stopped on request after it was started. */
  z.object({ kind: z.literal("cancelled") }),
  /** Never sent to a worker. */
  z.object({
    kind: z.literal("not_run"),
    reason: z.enum(["cancelled", "fits_no_worker", "exceeds_quota"]),
  }),
  /** The job may have run, so it isn't started again. */
  z.object({
    kind: z.literal("outcome_unknown"),
    reason: z.enum(["worker_gone", "task_lost", "cancelled_during_start"]),
  }),
]);

/** Final outcome of a job. It never changes once it is recorded. */
export type JobOutcome = z.infer<typeof outcomeSchema>;

const stateSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("queued"), sinceMs: z.number() }),
  /**
   * Written before the command is sent, so the task may or may not have
   * started.
   */
  z.object({ kind: z.literal("assigned"), run: runSchema }),
  /** Reported as running by the worker. */
  z.object({ kind: z.literal("running"), run: runSchema }),
  z.object({
    kind: z.literal("checkpointed"),
    run: runSchema,
    sinceMs: z.number(),
  }),
  z.object({
    kind: z.literal("ended"),
    atMs: z.number(),
    outcome: outcomeSchema,
  }),
]);

/** Lifecycle state of a job. */
export type JobState = z.infer<typeof stateSchema>;

/** Schema of a job record in its shard. */
export const jobSchema = z.object({
  id: z.string(),
  spec: jobSpecSchema,
  /** Wall-clock time at which the key was issued, in ms. */
  issuedAtMs: z.number(),
  submittedAtMs: z.number(),
  /**
   * Number of runs recorded so far. 0 proves that the job was never sent to a
   * worker.
   */
  attempts: z.number().int(),
  /** Ids of the workers on which a run failed. */
  failedOn: z.array(z.string()),
  cancelRequestedAtMs: z.number().optional(),
  state: stateSchema,
});

/** Job record as stored in its shard. */
export type Job = z.output<typeof jobSchema>;

/** Returns the run that occupies, or may occupy, capacity on a worker. */
export function activeRun(job: Job): Run | undefined {
  const { state } = job;
  return state.kind === "assigned" || state.kind === "running"
    ? state.run
    : undefined;
}

/**
 * Returns the job in its ended state. A job that has already ended keeps its
 * outcome.
 */
export function endJob(job: Job, outcome: JobOutcome, atMs: number): Job {
  if (job.state.kind === "ended") return job;
  return { ...job, state: { kind: "ended", atMs, outcome } };
}

/**
 * Returns the key under which usage and results of similar jobs are collected.
 */
export function classKeyOf(spec: Pick<JobSpec, "team" | "jobClass">): string {
  return `${spec.team}/${spec.jobClass}`;
}
