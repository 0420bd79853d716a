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
import { type FinishedNotice, NoticeBoard } from "./notices.ts";
import { QuotaClaims } from "./quota_claims.ts";
import {
  GRANT_LIFETIME_MS,
  LEDGER_SHARD,
  QuotaLedger,
} from "./quota_ledger.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { describeStep } from "./job_decisions.ts";
import {
  type JobsWorld,
  listQuotas,
  listWorkers,
  noteLosses,
  readWorld,
} from "./jobs_world.ts";
import { type FinishedRun, planShard, type ShardPlan } from "./plan_shard.ts";
import type { WaitReason } from "./placement.ts";
import { settleWithin } from "./settle_within.ts";
import { shardKey } from "./shard.ts";
import { ShardWriter } from "./shard_writer.ts";
import { TaskPeaks } from "./task_peaks.ts";
import { TaskCommands } from "./task_commands.ts";
import { taskIdOf } from "./task_id.ts";
import type { WorkerReports } from "./worker_reports.ts";

/** Time to live of a shard's lease, in ms; bounds the time without a dispatcher after its entry was lost. */
const LEASE_TTL_MS = 3_000;
/** Time between two renewals of a shard's lease, in ms. */
const LEASE_RENEW_MS = 1_000;
/** Part of the lease that is left for a command on its way, in ms. */
const LEASE_MARGIN_MS = 500;
/** Time within which the store must confirm a step's changes, in ms. */
const CHANGE_DEADLINE_MS = 2_000;

/** Time that a step waits for workers, in ms; slower answers count in the next step. */
const WORKER_WAIT_MS = 300;

/** What the dispatcher of one shard works with. */
export interface DispatcherOptions {
  readonly shard: number;
  readonly region: string;
  /** Name of this entry in the shard's lease. */
  readonly holder: string;
  readonly store: Store;
  readonly agent: WorkerAgent;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  /** Shared by the dispatchers of the entry. */
  readonly fencingTokens: FencingTokenReader;
  readonly reports: WorkerReports;
  readonly schedulerState: SchedulerState;
  readonly ledgerClient: LedgerClient;
  readonly clock: Clock;
  readonly log: Logger;
}

/** What one step did. */
export type DispatcherStep =
  | "not_ready"
  | "standby"
  | "outage"
  | "replaced"
  | "done";

/** Runs the jobs of one shard while this entry holds its lease. */
export class Dispatcher {
  readonly writer: ShardWriter;
  #options: DispatcherOptions;
  #commands: TaskCommands;
  #lease: { token: number; renewedAtMs: number } | undefined;
  #active: { fencingToken: number; sinceMs: number } | undefined;
  #peaks: TaskPeaks;
  #released = false;
  #claims: QuotaClaims;
  #ledger: { quotas: QuotaLedger; board: NoticeBoard } | undefined;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    const { store, region, shard, clock } = options;
    const key = shardKey(region, shard);
    this.writer = new ShardWriter({ store, key, clock });
    this.#peaks = new TaskPeaks(options.reports);
    this.#claims = new QuotaClaims(options.ledgerClient);
    this.#commands = new TaskCommands({
      ...options,
      mayAct: () => this.#mayAct(),
    });
  }

  /** Answers a call if this dispatcher keeps the region's ledger; resolves to undefined otherwise. */
  async handleLedgerCall(call: LedgerCall): Promise<LedgerAnswer | undefined> {
    const config = this.#options.config.get()?.config;
    const ledger = this.#ledger;
    if (config === undefined || ledger === undefined) return undefined;
    const grants = await ledger.quotas.claim(call.claim, listQuotas(config));
    if (!this.#mayAct()) return undefined;
    return { grants, notices: ledger.board.exchange(call.notices) };
  }

  /** The shard's jobs while this dispatcher owns it. */
  get jobs(): ReadonlyMap<string, Job> | undefined {
    return this.#active === undefined ? undefined : this.writer.record?.jobs;
  }

  /** Whether the shard is owned and has no open job, so that only a write gives its steps work. */
  isIdle(): boolean {
    const jobs = this.jobs;
    return jobs !== undefined &&
      [...jobs.values()].every(({ state }) => state.kind === "ended");
  }

  /** Why a queued job waits. */
  waitReason(jobId: string): WaitReason | undefined {
    const { schedulerState, shard } = this.#options;
    return schedulerState.waits.get(shard)?.get(jobId)?.reason;
  }

  /** Renews the lease, brings the jobs up to date, writes, then commands; never rejects. */
  async step(): Promise<DispatcherStep> {
    const world = readWorld(this.#options);
    if (world === undefined) return "not_ready";
    try {
      if (!await this.#holdLease()) return "standby";
      if (this.writer.record === undefined || this.#active === undefined) {
        await this.#takeOver();
      }
      await this.#followFencing();
    } catch (error) {
      return await this.#surviveOutage(world, error);
    }
    return await this.#dispatch(world);
  }

  /** Frees the lease, as when the entry stops or another one is to own the shard. */
  async release(): Promise<void> {
    this.#released = true;
    this.#loseShard();
    this.#lease = undefined;
    const { store, region, shard, holder } = this.#options;
    await store.releaseLease(shardKey(region, shard), holder).catch(() => {});
  }

  #mayAct(): boolean {
    return !this.#released &&
      this.#leaseAgeMs() < LEASE_TTL_MS - LEASE_MARGIN_MS;
  }

  #leaseAgeMs(): number {
    return this.#options.clock.monotonicMs() -
      (this.#lease?.renewedAtMs ?? -Infinity);
  }

  async #holdLease(): Promise<boolean> {
    if (this.#released) return false;
    if (this.#leaseAgeMs() < LEASE_RENEW_MS) return true;
    const { store, region, shard, holder, clock } = this.#options;
    const renewedAtMs = clock.monotonicMs();
    const result = await store.acquireLease(shardKey(region, shard), {
      holder,
      ttlMs: LEASE_TTL_MS,
    });
    this.writer.storeAnswered();
    // A step that was under way at the release must not keep the lease.
    if (this.#released && result.kind === "granted") await this.release();
    if (this.#released) return false;
    if (result.kind === "held") {
      this.#loseShard();
      this.#lease = undefined;
      return false;
    }
    const token = result.lease.fencingToken;
    // Between two tokens another dispatcher may have had the shard.
    if (this.#lease?.token !== token) this.#loseShard();
    this.#lease = { token, renewedAtMs };
    return true;
  }

  #loseShard(): void {
    this.#active = undefined;
    this.writer.abandon();
    this.#commands.reset();
    this.#claims.reset();
    this.#ledger = undefined;
    this.#options.schedulerState.forgetShard(this.#options.shard);
  }

  /** Reads the shard and writes a new fencing token to it, by which every write of a predecessor fails. */
  async #takeOver(): Promise<void> {
    const { store, region, clock, log, shard } = this.#options;
    this.#loseShard();
    await this.writer.load();
    const fencingToken = await takeFencingToken(
      store,
      region,
      this.writer.record?.fencingToken ?? 0,
    );
    const sinceMs = clock.monotonicMs();
    const isFirst = (this.writer.record?.fencingToken ?? 0) === 0;
    await this.#writeFencingToken(fencingToken);
    this.#active = { fencingToken, sinceMs };
    if (shard === LEDGER_SHARD) {
      this.#ledger = {
        quotas: new QuotaLedger({ ...this.#options, isFirst }),
        board: new NoticeBoard(String(fencingToken), clock),
      };
    }
    log.info("shard taken over", { shard, fencingToken });
  }

  /** Adopts a token that another shard's dispatcher has taken; the write proves that the shard is still owned. */
  async #followFencing(): Promise<void> {
    const newest = await this.#options.fencingTokens.newestToken();
    if (newest <= this.#active!.fencingToken) return;
    await this.#writeFencingToken(newest);
    this.#active = { ...this.#active!, fencingToken: newest };
  }

  async #writeFencingToken(token: number): Promise<void> {
    const written = this.writer.change(
      (draft) => draft.setFencingToken(token),
      { deadlineMs: CHANGE_DEADLINE_MS, probes: true },
    );
    await Promise.all([written, this.writer.flush()]);
  }

  /** Tasks keep their leases while the store is out of reach; nothing new is started. */
  async #surviveOutage(
    world: JobsWorld,
    error: unknown,
  ): Promise<DispatcherStep> {
    const { log, shard } = this.#options;
    log.debug("step failed", { shard, reason: messageOf(error) });
    const record = this.writer.record;
    if (record === undefined || this.#active === undefined) return "outage";
    await this.#refreshReports(world, record.jobs);
    const { fencingToken } = this.#active;
    await this.#commands.sendRuns(record.jobs, {
      world,
      fencingToken,
      renewOnly: true,
    });
    return "outage";
  }

  /** Asks only workers that the shard's jobs concern, so that an idle shard costs the workers nothing. */
  async #refreshReports(
    world: JobsWorld,
    jobs: ReadonlyMap<string, Job>,
  ): Promise<void> {
    const workers = listWorkers(world.vmList, world.region);
    const asked = new Set<string>();
    const pools = new Set<string>();
    for (const { state, spec } of jobs.values()) {
      if (state.kind === "queued") pools.add(spec.pool);
      else if (state.kind !== "ended") asked.add(state.run.vmId);
    }
    const needed = [...workers.values()].filter(({ id }) =>
      asked.has(id) || pools.has(world.fleet.vms[id]?.pool ?? "")
    );
    await settleWithin(this.#options.reports.refresh(needed), WORKER_WAIT_MS);
  }

  async #dispatch(world: JobsWorld): Promise<DispatcherStep> {
    const { shard, schedulerState, ledgerClient, clock } = this.#options;
    const base = this.writer.record;
    const active = this.#active;
    if (base === undefined || active === undefined) return "replaced";
    const isEmpty = base.jobs.size === 0 && !this.writer.needsFlush;
    if (isEmpty && this.#claims.isSettled) {
      await this.#passEmpty(base.jobs);
      return "done";
    }
    await this.#refreshReports(world, base.jobs);
    noteLosses(world);
    this.#peaks.note(base.jobs);
    const input = {
      shard,
      jobs: base.jobs,
      fencingToken: active.fencingToken,
      reportsSinceMs: active.sinceMs,
      world,
    };
    const askedAtMs = clock.monotonicMs();
    const allowance = await this.#claims.ask(input);
    const plan = planShard({ ...input, allowance });
    if (clock.monotonicMs() - askedAtMs >= GRANT_LIFETIME_MS) return "done";
    if (!await this.#commit(base.jobs, plan)) return "replaced";
    const record = this.writer.record;
    if (record === undefined) return "replaced";
    schedulerState.owned.set(shard, record.jobs);
    this.#explain(base.jobs, record.jobs, { plan, nowMs: world.nowMs });
    for (const job of plan.changes) {
      if (job.state.kind !== "assigned") continue;
      schedulerState.endHold(job.id);
      const { run } = job.state;
      const taskId = taskIdOf(job, run);
      ledgerClient.notify({ kind: "started", vmId: run.vmId, taskId });
    }
    this.#learn(plan.finished, record.jobs);
    await this.#claims.settle({ ...input, jobs: record.jobs });
    const sent = [
      this.#commands.sendRuns(record.jobs, {
        world,
        fencingToken: active.fencingToken,
        renewOnly: false,
      }),
      this.#commands.sendOthers(plan),
    ];
    await settleWithin(Promise.all(sent), WORKER_WAIT_MS);
    return "done";
  }

  /** Ends a step of a shard without jobs, for which planning would only view all workers. */
  async #passEmpty(jobs: ReadonlyMap<string, Job>): Promise<void> {
    const { shard, schedulerState, reports } = this.#options;
    this.#peaks.note(jobs);
    schedulerState.waits.delete(shard);
    schedulerState.owned.set(shard, jobs);
    // Forgets the workers that no shard asks about.
    await reports.refresh([]);
  }

  /** Keeps the reasons of a written plan. */
  #explain(
    before: ReadonlyMap<string, Job>,
    after: ReadonlyMap<string, Job>,
    step: { plan: ShardPlan; nowMs: number },
  ): void {
    const { schedulerState, shard } = this.#options;
    const waited = schedulerState.waits.get(shard);
    for (const decision of describeStep({ ...step, before, after, waited })) {
      schedulerState.decisionLog.add(decision);
    }
    schedulerState.waits.set(shard, step.plan.waits);
  }

  async #commit(
    base: ReadonlyMap<string, Job>,
    plan: ShardPlan,
  ): Promise<boolean> {
    const written = plan.changes.length === 0
      ? Promise.resolve()
      : this.writer.change((draft) => {
        for (const job of plan.changes) {
          // A job that a cancellation changed in the meantime is planned again.
          if (draft.jobs.get(job.id) === base.get(job.id)) draft.replace(job);
        }
      }, { deadlineMs: CHANGE_DEADLINE_MS, probes: true });
    try {
      await Promise.all([written, this.writer.flush()]);
      return true;
    } catch (error) {
      const { log, shard } = this.#options;
      log.debug("changes not written", { shard, reason: messageOf(error) });
      return false;
    }
  }

  /** Learns from runs whose end is recorded. */
  #learn(
    finished: readonly FinishedRun[],
    jobs: ReadonlyMap<string, Job>,
  ): void {
    const { schedulerState, clock, ledgerClient } = this.#options;
    const nowMs = clock.wallMs();
    for (const { job, run, succeeded, blame } of finished) {
      if (jobs.get(job.id) === job) continue;
      const peaks = this.#peaks.of(job, run);
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
      schedulerState.learn(notice, nowMs);
      ledgerClient.notify(notice);
    }
  }
}
