import type { RunResult } from "./failure_attribution.ts";
import { classKeyOf, type Job } from "./job.ts";
import type { FinishedNotice } from "./notices.ts";
import { JobDecisionLog } from "./job_decision_log.ts";
import { UsageProfiles } from "./profiles.ts";
import type { WaitInfo } from "./plan_shard.ts";
import type { Mitigation } from "./overload.ts";
import { extendQuarantine, type QuarantineState } from "./quarantine.ts";
import { parseTaskId } from "./task_id.ts";
import type { CapacityHold } from "./worker_view.ts";

/**
 * Time for which run results and worker losses are kept for failure
 * attribution, in ms.
 */
const RESULT_WINDOW_MS = 600_000;
/** Maximum number of run results kept for failure attribution. */
const MAXIMUM_RESULTS = 2_000;
/** Time for which preempted capacity is held for the urgent job, in ms. */
const HOLD_DURATION_MS = 5_000;

/**
 * Time for which a task started by another entry counts although no report
 * lists it yet, in ms. Covers the start itself, the lag of the reports and
 * their interval.
 */
const UNREPORTED_START_MS = 5_000;

/** Hold on capacity that expires. */
export interface ExpiringHold extends CapacityHold {
  /** Wall-clock time at which the hold expires, in ms. */
  readonly untilMs: number;
}

/**
 * State shared by the dispatchers of one entry. It is kept in memory only and
 * guides decisions, so it may be lost with the entry.
 */
export class SchedulerState {
  readonly profiles = new UsageProfiles();
  /** Workers to which failures were attributed, by VM id. */
  readonly quarantines = new Map<string, QuarantineState>();
  /** Last mitigation of an overload, by worker. */
  readonly lastMitigations = new Map<string, Mitigation>();
  /** Capacity held for urgent jobs, by worker. */
  readonly holdsByWorker = new Map<string, ExpiringHold>();
  /** Time of loss and rack of each lost worker. */
  readonly lostWorkers = new Map<string, { rack: string; atMs: number }>();
  /** Jobs of each shard that this entry owns. */
  readonly jobsByShard = new Map<number, ReadonlyMap<string, Job>>();
  /** Why jobs wait, for each shard that this entry owns. */
  readonly waitsByShard = new Map<number, ReadonlyMap<string, WaitInfo>>();
  /** Recent decisions of the entry's dispatchers. */
  readonly decisionLog = new JobDecisionLog();
  /**
   * Tasks that other entries assigned in the last seconds, by task id; reports
   * may not list them yet.
   */
  readonly #remoteStarts = new Map<string, { vmId: string; untilMs: number }>();
  #recentResults: RunResult[] = [];

  /** Results of runs, at most 10 minutes older than the newest one. */
  get recentResults(): readonly RunResult[] {
    return this.#recentResults;
  }

  addRunResult(result: RunResult): void {
    this.#recentResults = [...this.#recentResults, result]
      .filter(({ atMs }) => result.atMs - atMs < RESULT_WINDOW_MS)
      .slice(-MAXIMUM_RESULTS);
    if (result.succeeded && this.quarantines.delete(result.vmId)) {
      this.decisionLog.add({
        atMs: result.atMs,
        kind: "released",
        vmId: result.vmId,
        summary: "a task succeeded on it, so it takes jobs again",
        facts: { jobClass: result.jobClass },
        rejected: [],
      });
    }
  }

  /** Records a task that another entry assigned. */
  recordRemoteStart(
    start: { vmId: string; taskId: string },
    nowMs: number,
  ): void {
    const { vmId, taskId } = start;
    this.#remoteStarts.set(taskId, {
      vmId,
      untilMs: nowMs + UNREPORTED_START_MS,
    });
    const started = parseTaskId(taskId);
    if (started !== undefined) this.removeHold(started.jobId);
  }

  /**
   * Returns the tasks that other entries assigned and that reports may not list
   * yet.
   */
  listUnreportedStarts(nowMs: number): { vmId: string; taskId: string }[] {
    for (const [taskId, { untilMs }] of this.#remoteStarts) {
      if (untilMs <= nowMs) this.#remoteStarts.delete(taskId);
    }
    return [...this.#remoteStarts].map(([taskId, { vmId }]) => ({
      vmId,
      taskId,
    }));
  }

  /**
   * Updates usage profiles, run results and quarantines after a run that
   * finished on this or another entry.
   */
  recordFinishedRun(run: FinishedNotice, nowMs: number): void {
    const { vmId, succeeded, use, blame } = run;
    const jobClass = classKeyOf(run);
    this.addRunResult({ vmId, jobClass, succeeded, atMs: nowMs });
    if (succeeded && use !== undefined && use.memoryMb > 0) {
      this.profiles.add(run, use);
    }
    const failedProbe = this.quarantines.has(vmId) &&
      blame?.kind === "undecided";
    if (blame?.kind === "worker" || failedProbe) this.quarantine(run, nowMs);
  }

  /** Quarantines a worker because of a run that failed on it. */
  quarantine(run: FinishedNotice, nowMs: number): void {
    const { vmId } = run;
    const previous = this.quarantines.get(vmId);
    const quarantined = extendQuarantine(previous, nowMs);
    if (quarantined === previous) return;
    this.quarantines.set(vmId, quarantined);
    this.decisionLog.add(this.#describeQuarantine(run, nowMs));
  }

  /**
   * Drops the state of a shard, for example after another entry has taken it
   * over.
   */
  dropShard(shard: number): void {
    this.jobsByShard.delete(shard);
    this.waitsByShard.delete(shard);
  }

  #describeQuarantine(run: FinishedNotice, nowMs: number) {
    const { vmId, jobId, pool, team, blame } = run;
    const { failures, probeAtMs } = this.quarantines.get(vmId)!;
    const resultsOnWorker = this.#recentResults.filter((result) =>
      result.vmId === vmId
    );
    const failed = resultsOnWorker.filter((result) => !result.succeeded);
    const jobClass = classKeyOf(run);
    const elsewhere = this.#recentResults.filter((result) =>
      result.vmId !== vmId && result.succeeded && result.jobClass === jobClass
    );
    const isWorkerFault = blame?.kind === "worker";
    const reason = isWorkerFault ? blame.reason : "its probe failed";
    return {
      atMs: nowMs,
      kind: "quarantined" as const,
      jobId,
      vmId,
      pool,
      team,
      summary: `quarantined until ${
        new Date(probeAtMs).toISOString()
      }: ${reason}`,
      facts: {
        jobClass,
        quarantinesInRow: failures,
        probeAtMs,
        failedRunsHere: failed.length,
        failedClassesHere:
          new Set(failed.map((result) => result.jobClass)).size,
        succeededRunsHere: resultsOnWorker.length - failed.length,
        sameClassSucceededElsewhere: elsewhere.length,
      },
      rejected: [
        isWorkerFault
          ? { option: "blame the job", reason: "its class succeeds elsewhere" }
          : { option: "release the worker", reason: "its probe failed" },
      ],
    };
  }

  addHold(vmId: string, hold: CapacityHold, nowMs: number): void {
    this.holdsByWorker.set(vmId, {
      ...hold,
      untilMs: nowMs + HOLD_DURATION_MS,
    });
  }

  /** Removes the hold of a job, for example once it is assigned. */
  removeHold(jobId: string): void {
    for (const [vmId, hold] of this.holdsByWorker) {
      if (hold.jobId === jobId) this.holdsByWorker.delete(vmId);
    }
  }

  /** Returns the hold on a worker unless it has expired. */
  findHold(vmId: string, nowMs: number): ExpiringHold | undefined {
    const hold = this.holdsByWorker.get(vmId);
    if (hold !== undefined && hold.untilMs <= nowMs) {
      this.holdsByWorker.delete(vmId);
      return undefined;
    }
    return hold;
  }

  /**
   * Returns the number of workers of a rack that were lost in the last 10
   * minutes.
   */
  countLostInRack(rack: string, nowMs: number): number {
    return [...this.lostWorkers.values()].filter((loss) =>
      loss.rack === rack && nowMs - loss.atMs < RESULT_WINDOW_MS
    ).length;
  }
}
