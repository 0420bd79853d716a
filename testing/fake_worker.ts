import type { Vm } from "../src/ports/vm_list.ts";
import type { TaskSpec, TaskStatus } from "../src/ports/worker_agent.ts";

/** Actual behaviour of a simulated task, from its command `run|fail <ms> [cores] [memoryMb]`. */
export interface TaskBehaviour {
  readonly fails: boolean;
  /** Run time at full speed, in ms. */
  readonly runMs: number;
  readonly cores: number;
  readonly memoryMb: number;
}

/** A task on a simulated worker. */
export interface FakeTask {
  readonly spec: TaskSpec;
  state: TaskStatus["state"];
  /** Simulated wall-clock time at which the lease ends, in ms. */
  leaseEndMs: number;
  endedAtMs?: number | undefined;
  /** Remaining run time at full speed, in ms. */
  leftMs: number;
  /** Maximum number of cores that the task may use; lowered by throttling. */
  cores: number;
}

/** A simulated worker and its agent. */
export interface FakeWorker {
  vm: Vm;
  /** Whether the agent responds to calls. */
  responding: boolean;
  /** Whether every running task fails at the next tick. */
  failsTasks: boolean;
  highestFencingToken: number;
  tasks: Map<string, FakeTask>;
  /** Reports of recent ticks, oldest first; delayed reports are served from here. */
  reports: { atMs: number; tasks: TaskStatus[] }[];
}

/** Why a run ended without success. */
export type WasteCause =
  | "worker_fails"
  | "job_fails"
  | "memory_exhausted"
  | "stopped"
  | "lease_lapsed"
  | "worker_replaced";

/** Statistics of task events; the maps of counts and times are keyed by job id unless noted. */
export interface JobStatistics {
  readonly starts: Map<string, number>;
  readonly successes: Map<string, number>;
  /** Simulated wall-clock time of the first start, in ms. */
  readonly firstStartMs: Map<string, number>;
  readonly stops: Map<string, number>;
  /** Number of runs that ended without success, by cause. */
  readonly wastedBy: Map<WasteCause, number>;
  /** Core time of unsuccessful runs, in ms. */
  wastedCoreMs: number;
  /** Core time of all runs, in ms. */
  usedCoreMs: number;
}

/** Parses the command of a simulated task. */
export function parseTaskBehaviour(spec: TaskSpec): TaskBehaviour {
  const [verb, ms, cores, memoryMb] = spec.command.split(" ");
  return {
    fails: verb === "fail",
    runMs: Number(ms),
    cores: Number(cores ?? spec.cores),
    memoryMb: Number(memoryMb ?? spec.memoryMb),
  };
}
