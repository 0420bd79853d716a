import { z } from "zod";
import { createIssue, listSchemaIssues } from "../validation.ts";
import { TaggedError, type ValidationIssue } from "../errors.ts";

/** Most tasks that one occurrence of a job may have. */
const MAXIMUM_TASKS_PER_JOB = 20_000;

const nonNegativeInt = z.number().int().min(0);

/** One step of a job: a number of equal tasks. */
export const stepSchema = z.object({
  taskCount: z.number().int().min(1),
  /** Processor need of one task, in thousandths of a core. */
  cpuMillis: nonNegativeInt.default(0),
  memoryMb: nonNegativeInt.default(0),
  gpuCount: nonNegativeInt.default(0),
  /** Declared duration of one task; the real one may be far from it, in ms. */
  estimatedMs: nonNegativeInt.default(0),
  /** Earlier steps whose tasks must all be done first. */
  after: z.array(nonNegativeInt).default([]),
  checkpointing: z.boolean().default(false),
  /** All tasks start together with one run number and end together. */
  gang: z.boolean().default(false),
  /** A gang that is slower when it is spread over racks. */
  sameRack: z.boolean().default(false),
  requiredLabel: z.string().default(""),
  /** Rack on which the task's data lies; empty when there is none. */
  affinityRack: z.string().default(""),
  /** Most tasks of the step on one worker; 0 means no limit. */
  maxPerWorker: nonNegativeInt.default(0),
  speculative: z.boolean().default(false),
  /** The tasks run until the job is cancelled. */
  longRunning: z.boolean().default(false),
  /** Tasks that may be away at the same time through planned stops; undefined means no budget. */
  mayMiss: nonNegativeInt.optional(),
  /** Program of the tasks; tasks of one image behave alike. */
  image: z.string().default(""),
  /** Bound on the tail of response times of a serving task, in ms; 0 when the task serves nobody. */
  targetMs: nonNegativeInt.default(0),
  /** The tasks use what others leave; their processor need is not reserved. */
  fills: z.boolean().default(false),
});

/** A job as it is stored when it is accepted. */
export const jobSpecSchema = z.object({
  jobId: z.string().regex(/^[0-9a-f]{16}$/),
  queue: z.string().min(1),
  /** Service whose workers run the tasks, as configured when the job was accepted. */
  service: z.string().min(1),
  /** Failed ends after which a task fails its job, as configured at acceptance. */
  maximumAttempts: z.number().int().min(1),
  /** Passed to the tasks unchanged. */
  specification: z.string().max(4_000),
  steps: z.array(stepSchema).min(1),
  /** Number of scheduled occurrences; 0 for a job that runs once, at once. */
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

/** State of a job as callers see it. */
export type JobStatus =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";

/** A submitted job that can't be accepted because its description is wrong. */
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

/** A job as a caller describes it; the rest is added when it is accepted. */
const submissionSchema = jobSpecSchema.omit({
  queue: true,
  service: true,
  maximumAttempts: true,
  acceptedAtMs: true,
});

/** A job as a caller submits it. */
export type Submission = z.infer<typeof submissionSchema>;

/** Parses a job in the product's words, whose unknown fields are wrong; throws an `InvalidJobError`. */
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

/** Returns the problems of a job that its schema can't express. */
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
  return issues;
}
