import type { ResolvedConfig } from "../../src/config/schema.ts";
import { parseTaskId } from "../../src/jobs/task_id.ts";
import type { JobSimulation } from "../../testing/job_simulation.ts";

/** Time in which another entry's report may not show a new task, in ms: the lag of the reports, their interval and a step. */
const UNSEEN_MS = 4_000;
const TOLERANCE = 1e-6;

/** How running reservations compare with quotas and workers. */
export interface QuotaUseFigures {
  /** Largest reservation of a team, as a share of its quota of cores. */
  readonly largest: number;
  /** Mean over all teams and samples of the share above the quota. */
  readonly meanExcess: number;
  /** Starts that took a team above its quota. */
  readonly startsAbove: number;
  /** Those that fit the quota without what other entries started in the last 4 s. */
  readonly unseenCause: number;
  /** Share of the samples of workers whose reservations exceed their cores or memory. */
  readonly overcommittedWorkers: number;
}

/** Samples what the fake workers really run. */
export class QuotaUse {
  #fake: JobSimulation;
  #quotas: ReadonlyMap<string, number>;
  #entries: number;
  #seenAtMs = new Map<string, number>();
  #largest = 0;
  #excess = 0;
  #startsAbove = 0;
  #unseenCause = 0;
  #samples = 0;
  #overcommitted = 0;

  constructor(fake: JobSimulation, config: ResolvedConfig, entries: number) {
    this.#fake = fake;
    this.#entries = entries;
    this.#quotas = new Map(
      config.teams.flatMap(({ name, quota }): [string, number][] =>
        quota.cores === undefined ? [] : [[name, quota.cores]]
      ),
    );
  }

  sample(): void {
    this.#samples++;
    const byTeam = new Map<string, RunningTask[]>();
    for (const { vm, tasks } of this.#fake.workers.values()) {
      let cores = 0;
      let memoryMb = 0;
      for (const [taskId, { state, spec }] of tasks) {
        if (state !== "running") continue;
        cores += spec.cores;
        memoryMb += spec.memoryMb;
        const { team, shard = 0 } = parseTaskId(taskId)!;
        const known = this.#seenAtMs.get(taskId);
        const seenAtMs = known ?? this.#fake.nowMs;
        this.#seenAtMs.set(taskId, seenAtMs);
        const entry = shard % this.#entries;
        const task = { cores: spec.cores, entry, seenAtMs };
        byTeam.set(team, [...byTeam.get(team) ?? [], task]);
      }
      const over = cores > vm.cores + TOLERANCE ||
        memoryMb > vm.memoryMb + TOLERANCE;
      if (over) this.#overcommitted++;
    }
    for (const [team, quota] of this.#quotas) {
      this.#compare(byTeam.get(team) ?? [], quota);
    }
  }

  #compare(tasks: readonly RunningTask[], quota: number): void {
    const sum = (counted: readonly RunningTask[]) =>
      counted.reduce((total, { cores }) => total + cores, 0);
    const { nowMs } = this.#fake;
    const used = sum(tasks);
    this.#largest = Math.max(this.#largest, used / quota);
    this.#excess += Math.max(0, used / quota - 1);
    if (used <= quota + TOLERANCE) return;
    for (const { entry, seenAtMs } of tasks) {
      if (seenAtMs !== nowMs) continue;
      this.#startsAbove++;
      const seen = tasks.filter((other) =>
        other.entry === entry || nowMs - other.seenAtMs >= UNSEEN_MS
      );
      if (sum(seen) <= quota + TOLERANCE) this.#unseenCause++;
    }
  }

  figures(): QuotaUseFigures {
    const samples = Math.max(1, this.#samples);
    return {
      largest: this.#largest,
      meanExcess: this.#excess / (samples * Math.max(1, this.#quotas.size)),
      startsAbove: this.#startsAbove,
      unseenCause: this.#unseenCause,
      overcommittedWorkers: this.#overcommitted /
        (samples * Math.max(1, this.#fake.workers.size)),
    };
  }
}

interface RunningTask {
  readonly cores: number;
  readonly entry: number;
  readonly seenAtMs: number;
}
