import type { Vm } from "../src/ports/vm_list.ts";
import type { TaskSpec, TaskStatus } from "../src/ports/worker_agent.ts";

/** What a task really does, as its command says: `run|fail <ms> [cores] [memoryMb]`. */
export interface TaskBehaviour {
  readonly fails: boolean;
  readonly runMs: number;
  readonly cores: number;
  readonly memoryMb: number;
}

/** A task on a fake worker. */
export interface FakeTask {
  readonly spec: TaskSpec;
  state: TaskStatus["state"];
  leaseEndMs: number;
  endedAtMs?: number | undefined;
  /** Work that is left, in ms. */
  leftMs: number;
  cores: number;
}

/** One worker with its agent. */
export interface FakeWorker {
  vm: Vm;
  responding: boolean;
  failsTasks: boolean;
  highestFencingToken: number;
  tasks: Map<string, FakeTask>;
  /** Reports of the last ticks, which show the state of a while ago. */
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

/** What tasks did, by job id. */
export interface JobStatistics {
  readonly starts: Map<string, number>;
  readonly successes: Map<string, number>;
  readonly firstStartMs: Map<string, number>;
  readonly stops: Map<string, number>;
  /** Runs that ended without success, by cause. */
  readonly wastedBy: Map<WasteCause, number>;
  /** Core milliseconds spent on runs that didn't succeed, and on all. */
  wastedCoreMs: number;
  usedCoreMs: number;
}

/** Parses a command of a fake task. */
export function parseTaskBehaviour(spec: TaskSpec): TaskBehaviour {
  const [verb, ms, cores, memoryMb] = spec.command.split(" ");
  return {
    fails: verb === "fail",
    runMs: Number(ms),
    cores: Number(cores ?? spec.cores),
    memoryMb: Number(memoryMb ?? spec.memoryMb),
  };
}
