import type { Clock } from "../clock.ts";
import type { Job } from "./job.ts";
import { describeStep } from "./job_decisions.ts";
import type { LedgerClient } from "./ledger_client.ts";
import type { FinishedNotice } from "./notices.ts";
import type { PeakUsageTracker } from "./peak_usage.ts";
import type { FinishedRun, ShardPlan } from "./plan_shard.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { taskIdOf } from "./task_id.ts";

/** Where a written plan is recorded. */
export interface PlanRecordingTargets {
  readonly shard: number;
  readonly schedulerState: SchedulerState;
  readonly ledgerClient: LedgerClient;
  readonly peakUsage: PeakUsageTracker;
  readonly clock: Clock;
}

/** A plan that was written to the shard. */
export interface WrittenPlan {
  readonly plan: ShardPlan;
  /** Jobs that the plan was made for. */
  readonly before: ReadonlyMap<string, Job>;
  /** Jobs of the shard after the write. */
  readonly after: ReadonlyMap<string, Job>;
  /** Wall-clock time of the plan, in ms. */
  readonly nowMs: number;
}

/**
 * Records a written plan in the state of this entry, and notifies the other
 * entries of started and finished runs.
 */
export function recordWrittenPlan(
  targets: PlanRecordingTargets,
  written: WrittenPlan,
): void {
  const { shard, schedulerState } = targets;
  schedulerState.jobsByShard.set(shard, written.after);
  recordDecisions(targets, written);
  recordStartedRuns(targets, written.plan);
  recordFinishedRuns(targets, written.plan.finished, written.after);
}

/** Records the decisions of a written plan and why jobs wait. */
function recordDecisions(
  { schedulerState, shard }: PlanRecordingTargets,
  written: WrittenPlan,
): void {
  const previousWaits = schedulerState.waitsByShard.get(shard);
  for (const decision of describeStep({ ...written, previousWaits })) {
    schedulerState.decisionLog.add(decision);
  }
  schedulerState.waitsByShard.set(shard, written.plan.waits);
}

function recordStartedRuns(
  { schedulerState, ledgerClient }: PlanRecordingTargets,
  plan: ShardPlan,
): void {
  for (const job of plan.changes) {
    if (job.state.kind !== "assigned") continue;
    schedulerState.removeHold(job.id);
    const { run } = job.state;
    const taskId = taskIdOf(job, run);
    ledgerClient.notify({ kind: "started", vmId: run.vmId, taskId });
  }
}

/**
 * Passes on the runs whose end was written, to the state of this entry and as
 * notices to the other entries.
 */
function recordFinishedRuns(
  { schedulerState, clock, ledgerClient, peakUsage }: PlanRecordingTargets,
  finished: readonly FinishedRun[],
  jobs: ReadonlyMap<string, Job>,
): void {
  const nowMs = clock.wallMs();
  for (const { job, run, succeeded, blame } of finished) {
    if (jobs.get(job.id) === job) continue;
    const peaks = peakUsage.of(job, run);
    const { pool, team, jobClass } = job.spec;
    const notice: FinishedNotice = {
      kind: "finished",
      jobId: job.id,
      vmId: run.vmId,
      pool,
      team,
      jobClass,
      succeeded,
      use: peaks && { ...peaks, runTimeMs: nowMs - run.atMs },
      blame,
    };
    schedulerState.recordFinishedRun(notice, nowMs);
    ledgerClient.notify(notice);
  }
}
