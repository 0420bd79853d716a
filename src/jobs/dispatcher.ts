import type { Clock } from "../clock.ts";
import type { AppliedConfig } from "../config/schema.ts";
import { messageOf } from "../errors.ts";
import type { FleetRecord } from "../fleet/record.ts";
import type { Logger } from "../logger.ts";
import type { Observable } from "../observable.ts";
import type { Store } from "../ports/store.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";
import type { WorkerAgent } from "../ports/worker_agent.ts";
import { type FencingTokenReader, takeFencingToken } from "./fencing.ts";
import type { Job } from "./job.ts";
import type {
  LedgerAnswer,
  LedgerCall,
  LedgerClient,
} from "./ledger_client.ts";
import { JobRefusedError } from "./errors.ts";
import { NoticeRelay } from "./notices.ts";
import { QuotaClient } from "./quota_client.ts";
import {
  GRANT_LIFETIME_MS,
  LEDGER_SHARD,
  QuotaLedger,
} from "./quota_ledger.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { recordWrittenPlan } from "./plan_recording.ts";
import {
  listQuotas,
  listWorkers,
  readSchedulingContext,
  recordLostWorkers,
  type SchedulingContext,
} from "./scheduling_context.ts";
import { planShard, type ShardPlan } from "./plan_shard.ts";
import type { WaitReason } from "./placement.ts";
import { withTimeout } from "./with_timeout.ts";
import { shardKey } from "./shard.ts";
import { ShardLease } from "./shard_lease.ts";
import { ShardWriter } from "./shard_writer.ts";
import { PeakUsageTracker } from "./peak_usage.ts";
import { TaskCommands } from "./task_commands.ts";
import type { WorkerReports } from "./worker_reports.ts";

/** Deadline for the store to confirm the changes of a step, in ms. */
const CHANGE_DEADLINE_MS = 2_000;

/**
 * Time for which a step waits for workers, in ms. Later responses are used by
 * the next step.
 */
const WORKER_TIMEOUT_MS = 300;

/** Options of a dispatcher. */
export interface DispatcherOptions {
  readonly shard: number;
  readonly region: string;
  /** Id of this entry as the lease holder. */
  readonly holder: string;
  readonly store: Store;
  readonly agent: WorkerAgent;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  /** Shared by all dispatchers of the entry. */
  readonly fencingTokens: FencingTokenReader;
  /** Shared by all dispatchers of the entry. */
  readonly reports: WorkerReports;
  /** Shared by all dispatchers of the entry. */
  readonly schedulerState: SchedulerState;
  /** Shared by all dispatchers of the entry. */
  readonly ledgerClient: LedgerClient;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Result of one step. */
export type StepResult =
  /** The configuration, the fleet record or the VM list is not known yet. */
  | "not_ready"
  /** Another entry holds the lease, or this dispatcher was released. */
  | "standby"
  /** The lease, the shard or the fencing token could not be read or written. */
  | "outage"
  /** The changes were not written, or another dispatcher owns the shard. */
  | "replaced"
  /** The step has ended; its grants may have expired before the write. */
  | "done";

/** Whether a dispatcher can handle requests for its shard. */
export type DispatcherAvailability =
  /** It owns the shard. */
  | "owner"
  /** It waits for the lease or loads the shard. */
  | "taking_over"
  /** Its last attempt to take the shard over failed at the store. */
  | "store_unavailable";

/** Schedules the jobs of one shard while this entry holds the shard's lease. */
export class Dispatcher {
  readonly writer: ShardWriter;
  #options: DispatcherOptions;
  #commands: TaskCommands;
  #lease: ShardLease;
  #ownership: { fencingToken: number; sinceMs: number } | undefined;
  #peakUsage: PeakUsageTracker;
  #quotaClient: QuotaClient;
  #ledger: { quotas: QuotaLedger; noticeRelay: NoticeRelay } | undefined;
  #storeFailed = false;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    const { store, region, shard, clock } = options;
    const key = shardKey(region, shard);
    this.writer = new ShardWriter({ store, key, clock });
    this.#lease = new ShardLease({
      ...options,
      key,
      onResponse: () => this.writer.resetOutageBackoff(),
      onLost: () => this.#dropShard(),
    });
    this.#peakUsage = new PeakUsageTracker(options.reports);
    this.#quotaClient = new QuotaClient(options.ledgerClient);
    this.#commands = new TaskCommands({
      ...options,
      hasValidLease: () => this.#lease.isValid(),
    });
  }

  /**
   * Handles a call to the region's quota ledger. Resolves to undefined if this
   * dispatcher doesn't run the ledger.
   */
  async handleLedgerCall(call: LedgerCall): Promise<LedgerAnswer | undefined> {
    const config = this.#options.config.get()?.config;
    const ledger = this.#ledger;
    if (config === undefined || ledger === undefined) return undefined;
    const grants = await ledger.quotas.claim(call.claim, listQuotas(config));
    if (!this.#lease.isValid()) return undefined;
    return { grants, notices: ledger.noticeRelay.exchange(call.notices) };
  }

  /** Jobs of the shard; undefined while this dispatcher doesn't own the shard. */
  get jobs(): ReadonlyMap<string, Job> | undefined {
    return this.#ownership === undefined ? undefined : this.writer.record?.jobs;
  }

  /** Whether requests for the shard can be handled now or soon. */
  get availability(): DispatcherAvailability {
    if (this.jobs !== undefined) return "owner";
    return this.#storeFailed ? "store_unavailable" : "taking_over";
  }

  /**
   * Returns whether the shard is owned and all of its jobs have ended, so that
   * steps have nothing to do until the next write.
   */
  isIdle(): boolean {
    const jobs = this.jobs;
    return jobs !== undefined &&
      [...jobs.values()].every(({ state }) => state.kind === "ended");
  }

  /**
   * Returns whether the shard provably doesn't contain a job. False unless this
   * dispatcher owns the shard, because another one may have written it since.
   */
  provesAbsence(jobId: string): boolean {
    return this.#ownership !== undefined && this.#lease.isValid() &&
      this.writer.lacksJob(jobId);
  }

  /**
   * Returns whether the shard may contain a job that its record doesn't list.
   * Unlike `!provesAbsence`, writes of other jobs raise no doubt.
   */
  mayContain(jobId: string): boolean {
    return this.#ownership === undefined || !this.#lease.isValid() ||
      this.writer.mayContain(jobId);
  }

  /** Returns why a queued job waits. */
  waitReason(jobId: string): WaitReason | undefined {
    const { schedulerState, shard } = this.#options;
    return schedulerState.waitsByShard.get(shard)?.get(jobId)?.reason;
  }

  /**
   * Runs one scheduling step: renews the lease, plans from the workers'
   * reports, writes the changes and only then sends commands. Never rejects.
   */
  async step(): Promise<StepResult> {
    const context = readSchedulingContext(this.#options);
    if (context === undefined) return "not_ready";
    try {
      if (!await this.#lease.ensure()) {
        this.#storeFailed = false;
        return "standby";
      }
      // A claim for quota returns the grants that the record doesn't show in use.
      await this.writer.resolve();
      if (this.writer.record === undefined || this.#ownership === undefined) {
        await this.#takeOver();
      }
      await this.#adoptNewerFencingToken();
      this.#storeFailed = false;
    } catch (error) {
      // The previous owner's last write may precede the write of the token.
      this.#storeFailed =
        !(error instanceof JobRefusedError && error.kind === "not_owner");
      return await this.#handleStoreOutage(context, error);
    }
    return await this.#dispatch(context);
  }

  /**
   * Releases the lease when the entry stops or the shard moves to another
   * entry.
   */
  async release(): Promise<void> {
    await this.#lease.release();
  }

  #dropShard(): void {
    this.#ownership = undefined;
    this.writer.abandon();
    this.#commands.reset();
    this.#quotaClient.reset();
    this.#ledger = undefined;
    this.#options.schedulerState.dropShard(this.#options.shard);
  }

  /**
   * Loads the shard and writes a new fencing token to it, which makes every
   * later write of the previous owner fail.
   */
  async #takeOver(): Promise<void> {
    const { store, region, clock, log, shard } = this.#options;
    this.#dropShard();
    await this.writer.load();
    const fencingToken = await takeFencingToken(
      store,
      region,
      this.writer.record?.fencingToken ?? 0,
    );
    const sinceMs = clock.monotonicMs();
    const isFirst = (this.writer.record?.fencingToken ?? 0) === 0;
    await this.#writeFencingToken(fencingToken);
    this.#ownership = { fencingToken, sinceMs };
    if (shard === LEDGER_SHARD) {
      this.#ledger = {
        quotas: new QuotaLedger({ ...this.#options, isFirst }),
        noticeRelay: new NoticeRelay(String(fencingToken), clock),
      };
    }
    log.info("shard taken over", { shard, fencingToken });
  }

  /**
   * Adopts a newer token taken by a dispatcher of another shard. The write of
   * the token proves that the shard is still owned.
   */
  async #adoptNewerFencingToken(): Promise<void> {
    const newest = await this.#options.fencingTokens.newestToken();
    if (newest <= this.#ownership!.fencingToken) return;
    await this.#writeFencingToken(newest);
    this.#ownership = { ...this.#ownership!, fencingToken: newest };
  }

  async #writeFencingToken(token: number): Promise<void> {
    const written = this.writer.change(
      (draft) => draft.setFencingToken(token),
      { deadlineMs: CHANGE_DEADLINE_MS, allowDuringOutage: true },
    );
    await Promise.all([written, this.writer.flush()]);
  }

  /**
   * Keeps renewing the leases of running tasks while the store is unavailable;
   * starts no new ones.
   */
  async #handleStoreOutage(
    context: SchedulingContext,
    error: unknown,
  ): Promise<StepResult> {
    const { log, shard } = this.#options;
    log.debug("dispatcher step failed", { shard, reason: messageOf(error) });
    const record = this.writer.record;
    if (record === undefined || this.#ownership === undefined) return "outage";
    await this.#refreshReports(context, record.jobs);
    const { fencingToken } = this.#ownership;
    await this.#commands.sendRunCommands(record.jobs, {
      context,
      fencingToken,
      renewOnly: true,
    });
    return "outage";
  }

  /**
   * Polls only the workers that are relevant to the shard's jobs, so that an
   * idle shard puts no load on workers.
   */
  async #refreshReports(
    context: SchedulingContext,
    jobs: ReadonlyMap<string, Job>,
  ): Promise<void> {
    const workers = listWorkers(context.vmList, context.region);
    const workersWithRuns = new Set<string>();
    const pools = new Set<string>();
    for (const { state, spec } of jobs.values()) {
      if (state.kind === "queued") pools.add(spec.pool);
      else if (state.kind !== "ended") workersWithRuns.add(state.run.vmId);
    }
    const needed = [...workers.values()].filter(({ id }) =>
      workersWithRuns.has(id) || pools.has(context.fleet.vms[id]?.pool ?? "")
    );
    await withTimeout(this.#options.reports.refresh(needed), WORKER_TIMEOUT_MS);
  }

  async #dispatch(context: SchedulingContext): Promise<StepResult> {
    const { shard, clock } = this.#options;
    const base = this.writer.record;
    const ownership = this.#ownership;
    if (base === undefined || ownership === undefined) return "replaced";
    const isEmpty = base.jobs.size === 0 && !this.writer.needsFlush;
    if (isEmpty && this.#quotaClient.isUpToDate) {
      await this.#finishEmptyStep(base.jobs);
      return "done";
    }
    await this.#refreshReports(context, base.jobs);
    recordLostWorkers(context);
    this.#peakUsage.update(base.jobs);
    const input = {
      shard,
      jobs: base.jobs,
      fencingToken: ownership.fencingToken,
      reportsSinceMs: ownership.sinceMs,
      context,
      isUnsent: (taskId: string) => this.#commands.isUnsent(taskId),
    };
    const claimedAtMs = clock.monotonicMs();
    const allowance = await this.#quotaClient.requestGrants(input);
    const plan = planShard({ ...input, allowance });
    if (clock.monotonicMs() - claimedAtMs >= GRANT_LIFETIME_MS) return "done";
    this.#commands.recordPlanned(plan);
    if (!await this.#commit(base.jobs, plan)) return "replaced";
    const record = this.writer.record;
    if (record === undefined) return "replaced";
    recordWrittenPlan({ ...this.#options, peakUsage: this.#peakUsage }, {
      plan,
      before: base.jobs,
      after: record.jobs,
      nowMs: context.nowMs,
    });
    await this.#quotaClient.reportUsage({ ...input, jobs: record.jobs });
    const sent = [
      this.#commands.sendRunCommands(record.jobs, {
        context,
        fencingToken: ownership.fencingToken,
        renewOnly: false,
      }),
      this.#commands.sendPlanCommands(plan),
    ];
    await withTimeout(Promise.all(sent), WORKER_TIMEOUT_MS);
    return "done";
  }

  /**
   * Finishes a step of a shard without jobs. Skips planning, which would
   * iterate over all workers for nothing.
   */
  async #finishEmptyStep(jobs: ReadonlyMap<string, Job>): Promise<void> {
    const { shard, schedulerState, reports } = this.#options;
    this.#peakUsage.update(jobs);
    schedulerState.waitsByShard.delete(shard);
    schedulerState.jobsByShard.set(shard, jobs);
    // Lets the reports of workers that no shard polls expire.
    await reports.refresh([]);
  }

  async #commit(
    base: ReadonlyMap<string, Job>,
    plan: ShardPlan,
  ): Promise<boolean> {
    const written = plan.changes.length === 0
      ? Promise.resolve()
      : this.writer.change((draft) => {
        for (const job of plan.changes) {
          // A job that a cancellation has changed in the meantime is planned
          // again in the next step.
          if (draft.jobs.get(job.id) === base.get(job.id)) draft.replace(job);
        }
      }, { deadlineMs: CHANGE_DEADLINE_MS, allowDuringOutage: true });
    try {
      await Promise.all([written, this.writer.flush()]);
      return true;
    } catch (error) {
      const { log, shard } = this.#options;
      log.debug("could not write job changes", {
        shard,
        reason: messageOf(error),
      });
      return false;
    }
  }
}
