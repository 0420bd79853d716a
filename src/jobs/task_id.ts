import { type Job, type Run, type Size } from "./job.ts";

/** What a task id tells every dispatcher of the region, also those of other shards. */
export interface TaskIdentity {
  readonly jobId: string;
  readonly attempt: number;
  readonly team: string;
  readonly jobClass: string;
  readonly urgent: boolean;
  /** Capacity that the task reserves on its worker. */
  readonly size: Size;
}

/** Returns the id of one run of a job. It carries the reservation, so that dispatchers of other shards can account for it from a worker's report. */
export function taskIdOf(job: Job, run: Run): string {
  const { spec } = job;
  const { cores, memoryMb, accelerators } = run.size;
  return [
    job.id,
    run.attempt,
    spec.team,
    spec.jobClass,
    spec.priority,
    cores,
    memoryMb,
    accelerators,
  ].join("~");
}

/** Parses a task id; returns undefined for a task that no dispatcher started. */
export function parseTaskId(taskId: string): TaskIdentity | undefined {
  const parts = taskId.split("~");
  const [jobId, attempt, team, jobClass, priority, ...sizes] = parts;
  const [cores, memoryMb, accelerators] = sizes.map(Number);
  if (parts.length !== 8 || sizes.some((text) => !(Number(text) >= 0))) {
    return undefined;
  }
  return {
    jobId: jobId!,
    attempt: Number(attempt),
    team: team!,
    jobClass: jobClass!,
    urgent: priority === "urgent",
    size: {
      cores: cores!,
      memoryMb: memoryMb!,
      accelerators: accelerators!,
    },
  };
}
