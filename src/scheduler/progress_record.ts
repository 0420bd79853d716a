import { z } from "zod";
import {
  countOccurrences,
  createJobState,
  createOccurrence,
  finishTask,
  forEachPlacedTask,
  type JobState,
  type TaskState,
} from "./job_state.ts";
import { runLossSchema } from "./crashes/run_loss.ts";
import type { JobSpec } from "./model.ts";

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
  /** Number of occurrences with state; their tasks that aren't listed wait for their first run. */
  opened: z.number().int(),
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

type TaskRecord = z.input<typeof taskRecordSchema>;

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
    ...(failedRuns.size > 0 ? { failedRuns: [...failedRuns] } : {}),
    ...(checkpoint === "" ? {} : { checkpoint }),
    ...(losses.length > 0 ? { losses: [...losses] } : {}),
  };
}

/** Encodes the state that the next owner needs: ended tasks, failed runs, run numbers and placements. */
export function encodeProgress(job: JobState, wallMs: number): string {
  const tasks: TaskRecord[] = [];
  if (job.status === "active") {
    for (const occurrence of job.occurrences) {
      for (const step of occurrence.steps) {
        for (const task of step) {
          if (task.run > 0 || task.phase !== "waiting") {
            tasks.push(encodeTask(task));
          }
        }
      }
    }
  } else {
    // Runs of a finished job may still have to be stopped by the next owner.
    forEachPlacedTask(job, (task) => tasks.push(encodeTask(task)));
  }
  return JSON.stringify({
    status: job.status,
    opened: job.occurrences.length,
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

/** Rebuilds a job from its stored spec and progress; throws if the progress doesn't match the spec. */
export function restoreJob(
  spec: JobSpec,
  progress: string | undefined,
  nowMs: number,
): JobState {
  const job = createJobState(spec);
  if (progress === undefined) return job;
  const record = progressSchema.parse(JSON.parse(progress));
  const opened = Math.min(record.opened, countOccurrences(spec));
  while (job.occurrences.length < opened) {
    job.occurrences.push(createOccurrence(job, job.occurrences.length));
  }
  for (const taskRecord of record.tasks) {
    const task = job.occurrences[taskRecord.o]?.steps[taskRecord.s]
      ?.[taskRecord.i];
    if (task === undefined) {
      throw new Error(
        `progress record lists unknown task ${taskRecord.o}.${taskRecord.s}.${taskRecord.i}`,
      );
    }
    job.started = true;
    task.run = taskRecord.run;
    for (const run of taskRecord.failedRuns) task.failedRuns.add(run);
    task.checkpoint = taskRecord.checkpoint;
    task.losses = taskRecord.losses;
    if (taskRecord.p === "d" || taskRecord.failedRuns.length > 0) {
      job.begun = true;
    }
    if (taskRecord.p === "d") finishTask(task);
    else if (taskRecord.p === "p") task.phase = "placed";
    if (taskRecord.p !== "p" && taskRecord.worker === undefined) continue;
    task.placement = {
      workerId: taskRecord.worker ?? "",
      bornAtMs: taskRecord.born ?? 0,
      vmId: taskRecord.vm ?? "",
      run: taskRecord.run,
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
  job.status = record.status;
  job.failureReason = record.failureReason;
  job.recordedStatus = record.status;
  return job;
}
