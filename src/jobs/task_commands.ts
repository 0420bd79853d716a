import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { WorkerAgent } from "../ports/worker_agent.ts";
import { activeRun, type Job, type Run } from "./job.ts";
import type { LedgerClient } from "./ledger_client.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { listWorkers, type SchedulingContext } from "./scheduling_context.ts";
import type { ShardPlan, TaskOnWorker } from "./plan_shard.ts";
import { START_LIMIT_MS } from "./reconcile.ts";
import { taskIdOf } from "./task_id.ts";
import type { WorkerReports } from "./worker_reports.ts";

/**
 * Duration of a task's lease, in ms. A task stops unless its lease is renewed.
 * Longer than usual outages of the store.
 */
const TASK_LEASE_MS = 60_000;
/** Time between two renewals of a task's lease, in ms. */
const RENEW_INTERVAL_MS = 20_000;
/**
 * Time after which a stop command is repeated if it had no visible effect, in
 * ms.
 */
const STOP_RETRY_MS = 15_000;

/** Options of the task commands. */
export interface TaskCommandsOptions {
  readonly agent: WorkerAgent;
  readonly reports: WorkerReports;
  readonly schedulerState: SchedulerState;
  readonly ledgerClient: LedgerClient;
  readonly clock: Clock;
  readonly log: Logger;
  /**
   * Returns whether the shard's lease is valid for long enough to send a
   * command. Called right before each command.
   */
  readonly hasValidLease: () => boolean;
}

/**
 * Sends the commands of one shard to workers. All commands are idempotent and
 * may be repeated.
 */
export class TaskCommands {
  #options: TaskCommandsOptions;
  #runSentAtMs = new Map<string, number>();
  #stopSentAtMs = new Map<string, number>();
  /** Tasks assigned by this dispatcher for which it hasn't sent any command. */
  #unsent = new Set<string>();

  constructor(options: TaskCommandsOptions) {
    this.#options = options;
  }

  /**
   * Forgets which commands were sent, because another dispatcher may have owned
   * the shard.
   */
  reset(): void {
    this.#runSentAtMs.clear();
    this.#stopSentAtMs.clear();
    this.#unsent.clear();
  }

  /**
   * Records the tasks that a plan starts for the first time. Must be called
   * before the plan is written.
   */
  recordPlanned(plan: ShardPlan): void {
    for (const job of plan.changes) {
      if (job.state.kind !== "assigned" || job.state.run.resumed) continue;
      this.#unsent.add(taskIdOf(job, job.state.run));
    }
  }

  /**
   * Returns whether no worker can have got a command for an assigned task. False
   * if another dispatcher may have sent one.
   */
  isUnsent(taskId: string): boolean {
    return this.#unsent.has(taskId);
  }

  /** Starts assigned tasks and renews the leases of running ones. */
  async sendRunCommands(
    jobs: ReadonlyMap<string, Job>,
    options: {
      context: SchedulingContext;
      fencingToken: number;
      renewOnly: boolean;
    },
  ): Promise<void> {
    const { context } = options;
    const workers = listWorkers(context.vmList, context.region);
    const nowMs = this.#options.clock.monotonicMs();
    const active = new Set<string>();
    const calls: Promise<void>[] = [];
    for (const job of jobs.values()) {
      const run = activeRun(job);
      if (run === undefined) continue;
      const taskId = taskIdOf(job, run);
      const sentAtMs = this.#runSentAtMs.get(taskId);
      active.add(taskId);
      const vm = workers.get(run.vmId);
      if (vm?.incarnation !== run.incarnation) continue;
      if (!this.#isDue(job, run, options)) continue;
      if (sentAtMs !== undefined && nowMs - sentAtMs < RENEW_INTERVAL_MS) {
        continue;
      }
      calls.push(this.#sendRun(job, run, {
        address: vm.controlAddress,
        fencingToken: options.fencingToken,
      }));
    }
    for (const taskId of this.#runSentAtMs.keys()) {
      if (!active.has(taskId)) this.#runSentAtMs.delete(taskId);
    }
    // During an outage the jobs may lack a plan whose write is unresolved.
    if (!options.renewOnly) {
      for (const taskId of this.#unsent) {
        if (!active.has(taskId)) this.#unsent.delete(taskId);
      }
    }
    await Promise.all(calls);
  }

  #isDue(
    job: Job,
    run: Run,
    { context, renewOnly }: { context: SchedulingContext; renewOnly: boolean },
  ): boolean {
    if (job.cancelRequestedAtMs !== undefined) return false;
    if (job.state.kind === "assigned") {
      // After this time, a worker that didn't answer may have run the task and
      // removed it from its reports.
      return !renewOnly && context.nowMs - run.atMs < START_LIMIT_MS;
    }
    const { reports } = this.#options;
    if (!reports.isFresh(run.vmId)) return false;
    const status = reports.taskStatus(run.vmId, taskIdOf(job, run));
    // A renewal would resume a task that the controller has checkpointed for a
    // drain.
    const serving = context.fleet.vms[run.vmId]?.state === "serving";
    return serving && status?.state === "running";
  }

  async #sendRun(
    job: Job,
    run: Run,
    { address, fencingToken }: { address: string; fencingToken: number },
  ): Promise<void> {
    const { agent, reports, clock, log, hasValidLease } = this.#options;
    const taskId = taskIdOf(job, run);
    if (job.state.kind === "assigned" && !hasValidLease()) return;
    this.#runSentAtMs.set(taskId, clock.monotonicMs());
    this.#unsent.delete(taskId);
    try {
      await agent.runTask(address, {
        taskId,
        fencingToken,
        incarnation: run.incarnation,
        mustExist: job.state.kind === "running" || run.resumed === true,
        command: job.spec.command,
        ...run.size,
        leaseMs: TASK_LEASE_MS,
      });
      reports.recordStart(taskId);
    } catch (error) {
      this.#runSentAtMs.delete(taskId);
      log.debug("could not send task; will retry", {
        jobId: job.id,
        vmId: run.vmId,
        reason: messageOf(error),
      });
    }
  }

  /** Sends the stop, checkpoint and throttle commands of a plan. */
  async sendPlanCommands(plan: ShardPlan): Promise<void> {
    const { agent, reports, schedulerState, ledgerClient, clock } =
      this.#options;
    const calls = plan.stops.map((target) => this.#sendStop(target));
    for (const { demand, worker, victims } of plan.preemptions) {
      const { jobId, team, size, exceedsQuota } = demand;
      const freedBy = victims.map(({ task }) => task.taskId);
      const hold = { jobId, team, size, freedBy, freesQuota: exceedsQuota };
      schedulerState.removeHold(jobId);
      schedulerState.addHold(worker.vmId, hold, clock.wallMs());
      ledgerClient.notify({ kind: "held", vmId: worker.vmId, held: hold });
      for (const victim of victims) {
        const { taskId } = victim.task;
        calls.push(this.#send(async () => {
          const atMs = clock.wallMs();
          await agent.checkpointTask(victim.worker.controlAddress, taskId);
          reports.recordCheckpoint(taskId);
          ledgerClient.notify({ kind: "checkpointed", taskId, atMs });
        }));
      }
    }
    for (const { action, task, worker } of plan.mitigations) {
      const { taskId, identity } = task;
      schedulerState.lastMitigations.set(worker.vmId, {
        action,
        atMs: clock.wallMs(),
      });
      const address = worker.controlAddress;
      if (action === "throttle") {
        const { cores } = identity.size;
        calls.push(
          this.#send(() => agent.throttleTask(address, { taskId, cores })),
        );
      } else if (action === "checkpoint") {
        calls.push(this.#send(() => agent.checkpointTask(address, taskId)));
      } else {
        calls.push(this.#sendStop({ worker, task }));
      }
    }
    await Promise.all(calls);
  }

  async #sendStop({ worker, task }: TaskOnWorker): Promise<void> {
    const nowMs = this.#options.clock.monotonicMs();
    const sentAtMs = this.#stopSentAtMs.get(task.taskId);
    if (sentAtMs !== undefined && nowMs - sentAtMs < STOP_RETRY_MS) return;
    await this.#send(async () => {
      this.#stopSentAtMs.set(task.taskId, nowMs);
      await this.#options.agent.stopTask(worker.controlAddress, task.taskId);
    });
    for (const [taskId, atMs] of this.#stopSentAtMs) {
      if (nowMs - atMs >= STOP_RETRY_MS) this.#stopSentAtMs.delete(taskId);
    }
  }

  async #send(call: () => Promise<void>): Promise<void> {
    if (!this.#options.hasValidLease()) return;
    try {
      await call();
    } catch (error) {
      this.#options.log.debug("worker command failed", {
        reason: messageOf(error),
      });
    }
  }
}
