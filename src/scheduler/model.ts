import { Buffer } from "node:buffer";
import { z } from "zod";
import { createIssue, listSchemaIssues } from "../validation.ts";
import { TaggedError, type ValidationIssue } from "../errors.ts";

/** Maximum number of tasks in one occurrence of a job, and of unfinished tasks of a job that are kept in memory. */
export const MAXIMUM_TASKS_PER_JOB = 20_000;

/** Maximum size of a stored job in bytes; entries pass it on in one call, which takes 512 KB. */
const MAXIMUM_JOB_BYTES = 500_000;

const nonNegativeInt = z.number().int().min(0);

/** One step of a job: a number of identical tasks. */
export const stepSchema = z.object({
  taskCount: z.number().int().min(1),
  /** CPU request of one task, in thousandths of a core. */
  cpuMillis: nonNegativeInt.default(0),
  memoryMb: nonNegativeInt.default(0),
  gpuCount: nonNegativeInt.default(0),
  /** Declared duration of one task, in ms; the actual duration may differ widely. */
  estimatedMs: nonNegativeInt.default(0),
  /** Indexes of earlier steps that must complete before this step starts. */
  after: z.array(nonNegativeInt).default([]),
  checkpointing: z.boolean().default(false),
  /** All tasks start together under one run number and end together. */
  gang: z.boolean().default(false),
  /** Prefer one rack for the gang, which is slower when spread over racks. */
  sameRack: z.boolean().default(false),
  requiredLabel: z.string().default(""),
  /** Rack that holds the task's input data; empty if none is preferred. */
  affinityRack: z.string().default(""),
  /** Maximum number of the step's tasks on one worker; 0 means no limit. */
  maxPerWorker: nonNegativeInt.default(0),
  speculative: z.boolean().default(false),
  /** The tasks run until the job is cancelled. */
  longRunning: z.boolean().default(false),
  /** Disruption budget: number of tasks that planned stops may make unavailable at the same time; undefined means no budget. */
  mayMiss: nonNegativeInt.optional(),
  /** Program that the tasks run; tasks of the same image behave alike. */
  image: z.string().default(""),
  /** Tail latency target of a serving task, in ms; 0 if the task doesn't serve requests. */
  targetMs: nonNegativeInt.default(0),
  /** Best-effort tasks: they use spare CPU time, and their CPU request isn't reserved. */
  fills: z.boolean().default(false),
});

/** A job specification as stored on acceptance. */
export const jobSpecSchema = z.object({
  jobId: z.string().regex(/^[0-9a-f]{16}$/),
  queue: z.string().min(1),
  /** Workspace that owns the job; empty for a job of a public queue or of a deployment without workspaces. */
  workspace: z.string().default(""),
  /** Whether the workspace had sent more than it is owed when the job was accepted. */
  excess: z.boolean().default(false),
  /** Service whose workers run the tasks, as configured when the job was accepted. */
  service: z.string().min(1),
  /** Number of failed runs of a task after which its job fails, as configured when the job was accepted. */
  maximumAttempts: z.number().int().min(1),
  /** Whether start orders need tickets of the placement advice service, as configured when the job was accepted. */
  needsAdvice: z.boolean().default(false),
  /** Opaque payload that is passed to the tasks unchanged. */
  specification: z.string().max(4_000),
  steps: z.array(stepSchema).min(1),
  /** Number of scheduled occurrences; 0 for a job that runs once, immediately. */
  repeatCount: nonNegativeInt.default(0),
  /** Due time of the first occurrence, in ms since 1970. */
  firstRunMs: nonNegativeInt.default(0),
  /** Time between two occurrences, in ms. */
  intervalMs: nonNegativeInt.default(0),
  /** When the job was accepted, in ms since 1970. */
  acceptedAtMs: nonNegativeInt,
});

export type Step = z.infer<typeof stepSchema>;
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** Job status that is reported to callers. */
export type JobStatus =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";

/** Thrown when a submitted job description fails validation. */
export class InvalidJobError extends TaggedError<"invalid_job"> {
  readonly kind = "invalid_job";

  constructor(readonly issues: readonly ValidationIssue[]) {
    super(
      issues.map((issue) => `${issue.path}: ${issue.expected}`).join("; "),
    );
  }

  override toJSON() {
    return { ...super.toJSON(), issues: this.issues };
  }
}

/** Fields that a caller supplies; the remaining ones are added on acceptance. */
const submissionSchema = jobSpecSchema.omit({
  queue: true,
  workspace: true,
  excess: true,
  service: true,
  maximumAttempts: true,
  needsAdvice: true,
  acceptedAtMs: true,
});

/** A job as a caller submits it. */
export type Submission = z.infer<typeof submissionSchema>;

/** Parses a submission in the native format, which rejects unknown fields; throws an `InvalidJobError`. */
export function parseSubmission(jobId: string, body: unknown): Submission {
  const fields = typeof body === "object" ? body : undefined;
  const issues = listSchemaIssues(
    submissionSchema.extend({ steps: z.array(stepSchema.strict()).min(1) })
      .strict(),
    { ...fields, jobId },
  );
  if (issues.length > 0) throw new InvalidJobError(issues);
  return submissionSchema.parse({ ...fields, jobId });
}

/** Returns the validation issues that the schema can't express. */
export function listJobIssues(spec: JobSpec): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  spec.steps.forEach((step, index) => {
    for (const earlier of step.after) {
      if (earlier >= index) {
        issues.push(createIssue(
          `$.steps[${index}].after`,
          earlier,
          "numbers of earlier steps",
        ));
      }
    }
  });
  const tasks = spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
  if (tasks > MAXIMUM_TASKS_PER_JOB) {
    issues.push(
      createIssue("$.steps", tasks, `at most ${MAXIMUM_TASKS_PER_JOB} tasks`),
    );
  }
  const lastingTasks = spec.steps.reduce(
    (sum, step) => sum + (step.longRunning ? step.taskCount : 0),
    0,
  );
  if (lastingTasks * spec.repeatCount > MAXIMUM_TASKS_PER_JOB) {
    issues.push(createIssue(
      "$.repeatCount",
      spec.repeatCount,
      `at most ${MAXIMUM_TASKS_PER_JOB} long-running tasks in all occurrences, as none of them ends`,
    ));
  }
  const bytes = Buffer.byteLength(JSON.stringify(spec));
  if (bytes > MAXIMUM_JOB_BYTES) {
    issues.push(
      createIssue(
        "$",
        bytes,
        `at most ${MAXIMUM_JOB_BYTES} bytes with all fields of all steps`,
      ),
    );
  }
  return issues;
}
