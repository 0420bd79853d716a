import { parseJobKey } from "./job_key.ts";
import { type Job, type Run, type Size } from "./job.ts";

/**
 * Fields encoded in a task id, so that dispatchers of every shard can read
 * them.
 */
export interface TaskIdentity {
  readonly jobId: string;
  /** Shard of the job; undefined if the job id isn't a valid job key. */
  readonly shard: number | undefined;
  readonly attempt: number;
  readonly team: string;
  readonly jobClass: string;
  readonly urgent: boolean;
  /** Resources that the task reserves on its worker. */
  readonly size: Size;
}

// Every step of every shard needs the ids of all runs of the entry, so they are
// cached.
const taskIdByRun = new WeakMap<Run, string>();

/**
 * Returns the task id of a run. It encodes the reserved resources, so that
 * dispatchers of other shards can account for the task from a worker's report
 * alone.
 */
export function taskIdOf(job: Job, run: Run): string {
  const cached = taskIdByRun.get(run);
  if (cached !== undefined) return cached;
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
  taskIdByRun.set(run, id);
  return id;
}

/**
 * Parses a task id. Returns undefined if the task wasn't started by a
 * dispatcher.
 */
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
