import type { ResolvedConfig } from "../../src/config/schema.ts";
import { parseTaskId } from "../../src/jobs/task_id.ts";
import type { JobSimulation } from "../../testing/job_simulation.ts";

/** Longest time until other entries see a new task in reports, in ms: report lag, report interval and one step. */
const MAXIMUM_REPORT_DELAY_MS = 4_000;
/** Tolerance of rounding errors, in cores or MB. */
const TOLERANCE = 1e-6;

/** Reservations of running tasks compared with team quotas and worker capacity. */
export interface QuotaUsageSummary {
  /** Largest reservation of a team, as a share of its core quota. */
  readonly largestShare: number;
  /** Excess over the quota as a share of the quota, averaged over all teams and samples. */
  readonly meanExcess: number;
  /** Number of task starts that took a team above its quota. */
  readonly startsAboveQuota: number;
  /**
   * Number of the starts above the quota that would fit it if tasks started by other entries within
   * `MAXIMUM_REPORT_DELAY_MS` were ignored.
   */
  readonly startsAboveFromReportDelay: number;
  /** Share of worker samples in which reservations exceed the worker's cores or memory. */
  readonly overcommittedWorkers: number;
}

/** Samples the tasks that the fake workers actually run. */
export class QuotaUsageSampler {
  #simulation: JobSimulation;
  #quotas: ReadonlyMap<string, number>;
  #entries: number;
  #firstSeenAtMs = new Map<string, number>();
  #largestShare = 0;
  #excess = 0;
  #startsAboveQuota = 0;
  #startsAboveFromReportDelay = 0;
  #samples = 0;
  #overcommitted = 0;

  constructor(
    simulation: JobSimulation,
    config: ResolvedConfig,
    entries: number,
  ) {
    this.#simulation = simulation;
    this.#entries = entries;
    this.#quotas = new Map(
      config.teams.flatMap(({ name, quota }): [string, number][] =>
        quota.cores === undefined ? [] : [[name, quota.cores]]
      ),
    );
  }

  /** Takes one sample of all running tasks. */
  sample(): void {
    this.#samples++;
    const byTeam = new Map<string, RunningTask[]>();
    for (const { vm, tasks } of this.#simulation.workers.values()) {
      let cores = 0;
      let memoryMb = 0;
      for (const [taskId, { state, spec }] of tasks) {
        if (state !== "running") continue;
        cores += spec.cores;
        memoryMb += spec.memoryMb;
        const { team, shard = 0 } = parseTaskId(taskId)!;
        const previouslySeenAtMs = this.#firstSeenAtMs.get(taskId);
        const seenAtMs = previouslySeenAtMs ?? this.#simulation.nowMs;
        this.#firstSeenAtMs.set(taskId, seenAtMs);
        const entry = shard % this.#entries;
        const task = { cores: spec.cores, entry, seenAtMs };
        byTeam.set(team, [...byTeam.get(team) ?? [], task]);
      }
      const isOvercommitted = cores > vm.cores + TOLERANCE ||
        memoryMb > vm.memoryMb + TOLERANCE;
      if (isOvercommitted) this.#overcommitted++;
    }
    for (const [team, quota] of this.#quotas) {
      this.#compareWithQuota(byTeam.get(team) ?? [], quota);
    }
  }

  #compareWithQuota(tasks: readonly RunningTask[], quota: number): void {
    const sum = (counted: readonly RunningTask[]) =>
      counted.reduce((total, { cores }) => total + cores, 0);
    const { nowMs } = this.#simulation;
    const used = sum(tasks);
    this.#largestShare = Math.max(this.#largestShare, used / quota);
    this.#excess += Math.max(0, used / quota - 1);
    if (used <= quota + TOLERANCE) return;
    for (const { entry, seenAtMs } of tasks) {
      if (seenAtMs !== nowMs) continue;
      this.#startsAboveQuota++;
      const visible = tasks.filter((other) =>
        other.entry === entry ||
        nowMs - other.seenAtMs >= MAXIMUM_REPORT_DELAY_MS
      );
      if (sum(visible) <= quota + TOLERANCE) this.#startsAboveFromReportDelay++;
    }
  }

  /** Returns the summary of all samples. */
  summarize(): QuotaUsageSummary {
    const samples = Math.max(1, this.#samples);
    return {
      largestShare: this.#largestShare,
      meanExcess: this.#excess / (samples * Math.max(1, this.#quotas.size)),
      startsAboveQuota: this.#startsAboveQuota,
      startsAboveFromReportDelay: this.#startsAboveFromReportDelay,
      overcommittedWorkers: this.#overcommitted /
        (samples * Math.max(1, this.#simulation.workers.size)),
    };
  }
}

interface RunningTask {
  readonly cores: number;
  /** Index of the entry that owns the shard of the task. */
  readonly entry: number;
  /** Simulated time of the first sample that contains the task. */
  readonly seenAtMs: number;
}
