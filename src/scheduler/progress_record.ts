import { z } from "zod";
import { runLossSchema } from "./crashes/run_loss.ts";
import {
  countOccurrences,
  countTasks,
  createJobState,
  createOccurrence,
  findOccurrence,
  finishTask,
  forEachPlacedTask,
  getStep,
  type JobState,
  type Occurrence,
  openOccurrence,
  type Placement,
  type TaskState,
} from "./job_state.ts";
import type { JobSpec } from "./model.ts";
import { STORE_KEYS } from "./ownership.ts";
import type { StoredItem } from "./ports.ts";

const taskRecordSchema = z.object({
  /** Number of the occurrence. */
  o: z.number().int(),
  /** Index of the step. */
  s: z.number().int(),
  /** Index of the task within the step. */
  i: z.number().int(),
  /** Phase: waiting, placed or done. */
  p: z.enum(["w", "p", "d"]),
  run: z.number().int().default(0),
  failedRuns: z.array(z.number().int()).default([]),
  checkpoint: z.string().default(""),
  losses: z.array(runLossSchema).default([]),
  worker: z.string().optional(),
  born: z.number().optional(),
  vm: z.string().optional(),
});

const progressSchema = z.object({
  status: z.enum(["active", "completed", "failed", "cancelled"]),
  /** Number of occurrences that have got state; their tasks that aren't listed wait for their first run. */
  opened: z.number().int(),
  /** Numbers of those that still have state, the others are finished; if omitted, all have. */
  open: z.array(z.number().int()).optional(),
  tasks: z.array(taskRecordSchema),
  /** When the job reached its final status, in ms since 1970. */
  endedAtMs: z.number().optional(),
  /** Why the job has failed. */
  failureReason: z.string().optional(),
  /** Workspace of the job, so that the status of an ended job can be read without the job. */
  workspace: z.string().default(""),
});

const recordedStatusSchema = progressSchema.pick({
  status: true,
  workspace: true,
  failureReason: true,
}).extend({
  tasks: z.array(z.unknown()),
});

/** Part of the progress of a job that has too many tasks for one record. */
const partSchema = z.object({ tasks: z.array(taskRecordSchema) });

type TaskRecord = z.input<typeof taskRecordSchema>;

/**
 * Maximum number of tasks in one record. A row takes about 100 bytes, and at
 * most 3 KB with a long checkpoint and the highest number of failures and losses;
 * the store takes 1 MB. It also limits what is encoded when one task changes.
 */
export const TASKS_PER_RECORD = 200;

/** Whether the tasks of a job are stored in records of their own, apart from its status. */
export function isPartitioned({ steps, repeatCount }: JobSpec): boolean {
  return countTasks({ steps }) * Math.max(1, repeatCount) > TASKS_PER_RECORD;
}

/** Identifies the record that holds a task of a partitioned job. */
export interface ProgressPart {
  readonly occurrence: Occurrence;
  /** Number of the record within the occurrence. */
  readonly number: number;
}

/** Returns the record that holds a task of a partitioned job; undefined if the task's occurrence is over. */
export function partOf(
  { job, occurrence: occurrenceNumber, stepIndex, index }: TaskState,
): ProgressPart | undefined {
  const occurrence = findOccurrence(job, occurrenceNumber);
  const position = job.stepOffsets[stepIndex]! + index;
  return occurrence && {
    occurrence,
    number: Math.floor(position / TASKS_PER_RECORD),
  };
}

/** Returns the store key of a part. */
export function partKey(
  jobId: string,
  { occurrence, number }: ProgressPart,
): string {
  return `${STORE_KEYS.progressPrefix}${jobId}/${occurrence.number}.${number}`;
}

/** Returns the stored parts of a job's occurrences that are over. */
export function listObsoleteParts(job: JobState): string[] {
  return [...job.partKeys].filter((key) => {
    const name = key.slice(key.lastIndexOf("/") + 1);
    return findOccurrence(job, Number(name.split(".")[0])) === undefined;
  });
}

/** Returns the ID of the job to which a progress record belongs, and whether it holds a part of the progress. */
export function parseProgressKey(
  key: string,
): { readonly jobId: string; readonly isPart: boolean } {
  const [jobId = "", ...rest] = key.slice(STORE_KEYS.progressPrefix.length)
    .split("/");
  return { jobId, isPart: rest.length > 0 };
}

/** Encodes the tasks of a part that have run, whatever the job's status: its parts aren't stored together. */
export function encodePart({ occurrence, number }: ProgressPart): string {
  const first = number * TASKS_PER_RECORD;
  return JSON.stringify({
    tasks: occurrence.tasks.slice(first, first + TASKS_PER_RECORD).filter(
      hasProgress,
    ).map(encodeTask),
  });
}

/** Whether the next owner has to know more of a task than that it waits for its first run. */
function hasProgress({ run, phase }: TaskState): boolean {
  return run > 0 || phase !== "waiting";
}

function encodeTask(task: TaskState): TaskRecord {
  const { run, failedRuns, checkpoint, losses, placement } = task;
  const base = {
    o: task.occurrence,
    s: task.stepIndex,
    i: task.index,
    ...(placement === undefined ? {} : {
      run,
      worker: placement.workerId,
      born: placement.bornAtMs,
      vm: placement.vmId,
    }),
  };
  if (task.phase === "done") return { ...base, p: "d" };
  return {
    ...base,
    p: placement === undefined ? "w" : "p",
    run,
    ...(failedRuns.length > 0 ? { failedRuns: [...failedRuns] } : {}),
    ...(checkpoint === "" ? {} : { checkpoint }),
    ...(losses.length > 0 ? { losses: [...losses] } : {}),
  };
}

/** Encodes the state that the next owner needs: ended tasks, failed runs, run numbers and placements. The record of a partitioned job lists no tasks. */
export function encodeProgress(job: JobState, wallMs: number): string {
  const tasks: TaskRecord[] = [];
  if (isPartitioned(job.spec) && !job.hasInlineTasks) {
    // Its tasks are in the parts.
  } else if (job.status === "active") {
    for (const occurrence of job.occurrences) {
      tasks.push(...occurrence.tasks.filter(hasProgress).map(encodeTask));
    }
  } else {
    // Runs of a finished job may still have to be stopped by the next owner.
    forEachPlacedTask(job, (task) => tasks.push(encodeTask(task)));
  }
  return JSON.stringify({
    status: job.status,
    opened: job.openedOccurrences,
    ...(job.occurrences.length === job.openedOccurrences
      ? {}
      : { open: job.occurrences.map(({ number }) => number) }),
    tasks,
    ...(job.status === "active" ? {} : { endedAtMs: wallMs }),
    ...(job.failureReason === undefined
      ? {}
      : { failureReason: job.failureReason }),
    ...(job.spec.workspace === "" ? {} : { workspace: job.spec.workspace }),
  });
}

/** Summary of a progress record. */
export interface RecordedStatus {
  readonly status: JobState["status"];
  readonly workspace: string;
  readonly failureReason: string | undefined;
  /** Number of listed tasks. */
  readonly tasks: number;
}

/** Reads the summary of a progress record; undefined if the record is invalid. */
export function readRecordedStatus(value: string): RecordedStatus | undefined {
  try {
    // A new owner reads thousands of these records, so only the fields in use are validated.
    const { status, workspace, failureReason, tasks } = recordedStatusSchema
      .parse(JSON.parse(value));
    return { status, workspace, failureReason, tasks: tasks.length };
  } catch {
    // The caller logs the invalid record; the status must not be guessed.
    return undefined;
  }
}

/** Creates the placement of a run that an earlier owner has recorded. */
function createInheritedPlacement(
  { worker = "", born = 0, vm = "", run }: z.output<typeof taskRecordSchema>,
  nowMs: number,
): Placement {
  return {
    workerId: worker,
    bornAtMs: born,
    vmId: vm,
    run,
    inherited: true,
    unansweredAttempts: 0,
    startState: "inherited",
    stopReason: undefined,
    placedAtMs: nowMs,
    confirmedAtMs: undefined,
    stopConfirmedAtMs: undefined,
    percent: 0,
    reportedAtMs: undefined,
    loadMetric: 0,
  };
}

/** Rebuilds a job from its stored spec, its progress and the parts of it; throws if they don't match the spec. */
export function restoreJob(
  spec: JobSpec,
  progress: string | undefined,
  nowMs: number,
  parts: readonly Pick<StoredItem, "key" | "value">[] = [],
): JobState {
  const job = createJobState(spec);
  for (const { key } of parts) job.partKeys.add(key);
  if (progress === undefined) return job;
  const record = progressSchema.parse(JSON.parse(progress));
  job.hasInlineTasks = isPartitioned(spec) && record.tasks.length > 0;
  const taskRecords = [
    ...record.tasks,
    ...parts.flatMap(({ value }) => partSchema.parse(JSON.parse(value)).tasks),
  ];
  const opened = Math.min(record.opened, countOccurrences(spec));
  if (record.open === undefined) {
    while (job.openedOccurrences < opened) openOccurrence(job);
  } else {
    job.openedOccurrences = opened;
    job.finishedOccurrences = opened - record.open.length;
    for (const number of record.open) {
      job.occurrences.push(createOccurrence(job, number));
    }
  }
  const occurrences = new Map(
    job.occurrences.map((occurrence) => [occurrence.number, occurrence]),
  );
  for (const taskRecord of taskRecords) {
    const occurrence = occurrences.get(taskRecord.o);
    // The part of a finished occurrence that wasn't deleted any more.
    if (occurrence === undefined && taskRecord.o < opened) continue;
    const task = occurrence?.steps[taskRecord.s]?.[taskRecord.i];
    if (task === undefined) {
      throw new Error(
        `progress record lists unknown task ${taskRecord.o}.${taskRecord.s}.${taskRecord.i}`,
      );
    }
    job.started = true;
    // A part may be older than the list in the record with the status.
    if (task.phase === "done") continue;
    task.run = taskRecord.run;
    if (!getStep(task).longRunning && taskRecord.failedRuns.length > 0) {
      task.failedRuns = taskRecord.failedRuns;
    }
    task.checkpoint = taskRecord.checkpoint;
    task.losses = taskRecord.losses;
    if (taskRecord.p === "d" || taskRecord.failedRuns.length > 0) {
      job.begun = true;
    }
    if (taskRecord.p === "p") task.phase = "placed";
    if (taskRecord.p === "p" || taskRecord.worker !== undefined) {
      task.placement = createInheritedPlacement(taskRecord, nowMs);
    }
    if (taskRecord.p === "d") finishTask(task);
  }
  // The parts may show that all tasks are done although the status wasn't stored any more.
  if (record.status !== "active") job.status = record.status;
  job.failureReason = record.failureReason;
  job.recordedStatus = record.status;
  return job;
}
