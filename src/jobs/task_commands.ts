import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { WorkerAgent } from "../ports/worker_agent.ts";
import { activeRun, type Job, type Run } from "./job.ts";
import type { LedgerClient } from "./ledger_client.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { type JobsWorld, listWorkers } from "./jobs_world.ts";
import type { ShardPlan, TaskOnWorker } from "./plan_shard.ts";
import { START_LIMIT_MS } from "./reconcile.ts";
import { taskIdOf } from "./task_id.ts";
import type { WorkerReports } from "./worker_reports.ts";

/** Time that a task runs on without a renewal of its lease, in ms; longer than usual outages of the store. */
const TASK_LEASE_MS = 60_000;
/** Time between two renewals of a task's lease, in ms. */
const RENEW_INTERVAL_MS = 20_000;
/** Time after which a stop without a visible effect is sent again, in ms. */
const STOP_RETRY_MS = 15_000;

/** What commands are sent with. */
export interface TaskCommandsOptions {
  readonly agent: WorkerAgent;
  readonly reports: WorkerReports;
  readonly schedulerState: SchedulerState;
  readonly ledgerClient: LedgerClient;
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether the shard's lease still covers the start of a task; asked right before each command. */
  readonly mayAct: () => boolean;
}

/** Sends one shard's commands to workers; every command may be repeated. */
export class TaskCommands {
  #options: TaskCommandsOptions;
  #runSentAtMs = new Map<string, number>();
  #stopSentAtMs = new Map<string, number>();

  constructor(options: TaskCommandsOptions) {
    this.#options = options;
  }

  /** Forgets what was sent, as after another dispatcher had the shard. */
  reset(): void {
    this.#runSentAtMs.clear();
    this.#stopSentAtMs.clear();
  }

  /** Starts assigned tasks and renews the leases of running ones. */
  async sendRuns(
    jobs: ReadonlyMap<string, Job>,
    options: { world: JobsWorld; fencingToken: number; renewOnly: boolean },
  ): Promise<void> {
    const { world } = options;
    const workers = listWorkers(world.vmList, world.region);
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
      calls.push(this.#run(job, run, {
        address: vm.controlAddress,
        fencingToken: options.fencingToken,
      }));
    }
    for (const taskId of this.#runSentAtMs.keys()) {
      if (!active.has(taskId)) this.#runSentAtMs.delete(taskId);
    }
    await Promise.all(calls);
  }

  #isDue(
    job: Job,
    run: Run,
    { world, renewOnly }: { world: JobsWorld; renewOnly: boolean },
  ): boolean {
    if (job.cancelRequestedAtMs !== undefined) return false;
    if (job.state.kind === "assigned") {
      // A worker that was silent for longer may have run and forgotten the task.
      return !renewOnly && world.nowMs - run.atMs < START_LIMIT_MS;
    }
    const { reports } = this.#options;
    if (!reports.isFresh(run.vmId)) return false;
    const status = reports.taskStatus(run.vmId, taskIdOf(job, run));
    // A renewal would continue a task that the controller checkpointed for a drain.
    const serving = world.fleet.vms[run.vmId]?.state === "serving";
    return serving && status?.state === "running";
  }

  async #run(
    job: Job,
    run: Run,
    { address, fencingToken }: { address: string; fencingToken: number },
  ): Promise<void> {
    const { agent, reports, clock, log, mayAct } = this.#options;
    const taskId = taskIdOf(job, run);
    if (job.state.kind === "assigned" && !mayAct()) return;
    this.#runSentAtMs.set(taskId, clock.monotonicMs());
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
      reports.noteStart(taskId);
    } catch (error) {
      this.#runSentAtMs.delete(taskId);
      log.debug("task not sent; it will be sent again", {
        jobId: job.id,
        vmId: run.vmId,
        reason: messageOf(error),
      });
    }
  }

  /** Sends stops, checkpoints and throttles of a plan. */
  async sendOthers(plan: ShardPlan): Promise<void> {
    const { agent, reports, schedulerState, ledgerClient, clock } =
      this.#options;
    const calls = plan.stops.map((target) => this.#stop(target));
    for (const { need, worker, victims } of plan.preemptions) {
      const { jobId, team, size, exceedsQuota } = need;
      const freedBy = victims.map(({ task }) => task.taskId);
      const held = { jobId, team, size, freedBy, freesQuota: exceedsQuota };
      schedulerState.endHold(jobId);
      schedulerState.hold(worker.vmId, held, clock.wallMs());
      ledgerClient.notify({ kind: "held", vmId: worker.vmId, held });
      for (const victim of victims) {
        const { taskId } = victim.task;
        calls.push(this.#send(async () => {
          const atMs = clock.wallMs();
          await agent.checkpointTask(victim.worker.controlAddress, taskId);
          reports.noteCheckpoint(taskId);
          ledgerClient.notify({ kind: "checkpointed", taskId, atMs });
        }));
      }
    }
    for (const { measure, task, worker } of plan.reliefs) {
      const { taskId, identity } = task;
      schedulerState.reliefs.set(worker.vmId, {
        measure,
        atMs: clock.wallMs(),
      });
      const address = worker.controlAddress;
      if (measure === "throttle") {
        const { cores } = identity.size;
        calls.push(
          this.#send(() => agent.throttleTask(address, { taskId, cores })),
        );
      } else if (measure === "checkpoint") {
        calls.push(this.#send(() => agent.checkpointTask(address, taskId)));
      } else {
        calls.push(this.#stop({ worker, task }));
      }
    }
    await Promise.all(calls);
  }

  async #stop({ worker, task }: TaskOnWorker): Promise<void> {
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
    if (!this.#options.mayAct()) return;
    try {
      await call();
    } catch (error) {
      this.#options.log.debug("worker command failed", {
        reason: messageOf(error),
      });
    }
  }
}
