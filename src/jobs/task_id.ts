import { parseJobKey } from "./job_key.ts";
import { type Job, type Run, type Size } from "./job.ts";

/** What a task id tells every dispatcher of the region, also those of other shards. */
export interface TaskIdentity {
  readonly jobId: string;
  /** Shard of the job; undefined for an id that names none. */
  readonly shard: number | undefined;
  readonly attempt: number;
  readonly team: string;
  readonly jobClass: string;
  readonly urgent: boolean;
  /** Capacity that the task reserves on its worker. */
  readonly size: Size;
}

// Each step of each shard asks for the ids of all runs of the entry.
const ids = new WeakMap<Run, string>();

/** Returns the id of one run of a job. It carries the reservation, so that dispatchers of other shards can account for it from a worker's report. */
export function taskIdOf(job: Job, run: Run): string {
  const known = ids.get(run);
  if (known !== undefined) return known;
  const { spec } = job;
  const { cores, memoryMb, accelerators } = run.size;
  const id = [
    job.id,
    run.attempt,
    spec.team,
    spec.jobClass,
    spec.priority,
    cores,
    memoryMb,
    accelerators,
  ].join("~");
  ids.set(run, id);
  return id;
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
    shard: parseJobKey(jobId!)?.shard,
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
