import { type Operation, sleep, spawn, type Task } from "effection";
import type { Observable } from "../observable.ts";
import type { EntryDigest } from "../peers/messages.ts";
import type { RequestHandlerOptions } from "../requests/request_handler.ts";
import { createNotifier } from "../notifier.ts";
import { Dispatcher, type DispatcherOptions } from "./dispatcher.ts";
import { FencingTokenReader } from "./fencing.ts";
import { SchedulerState } from "./scheduler_state.ts";
import { parseJobKey, SHARD_COUNT } from "./job_key.ts";
import { listFacts, listRejected } from "./job_decisions.ts";
import type {
  JobExplanation,
  JobSubject,
  JobWait,
} from "./job_decision_log.ts";
import {
  JobDecisionLogSaver,
  runJobDecisionLogSaver,
} from "./job_decision_log_saver.ts";
import { type JobsSummary, summarizeJobs } from "./job_summary.ts";
import { readSchedulingContext } from "./scheduling_context.ts";
import { ownerOf } from "./ownership.ts";
import { callLedger } from "./forward.ts";
import { LedgerClient } from "./ledger_client.ts";
import { LEDGER_SHARD } from "./quota_ledger.ts";
import { JobRoutes } from "./routes.ts";
import { JOBS_PATH } from "./job_reply.ts";
import { runDispatcher } from "./run_dispatcher.ts";
import { WorkerReports } from "./worker_reports.ts";

/** Minimum time between two checks of shard ownership, in ms. */
const MINIMUM_UPDATE_INTERVAL_MS = 500;
/**
 * Time for which a summary is cached, in ms. `apply --wait` reads the dump
 * every 50 ms.
 */
const SUMMARY_LIFETIME_MS = 1_000;
/**
 * Maximum time between two checks of shard ownership, in ms. Each change of the
 * digests triggers an earlier one.
 */
const MAXIMUM_UPDATE_INTERVAL_MS = 60_000;

/** Options of the job service. */
export interface JobServiceOptions extends
  Omit<
    DispatcherOptions,
    | "shard"
    | "holder"
    | "fencingTokens"
    | "reports"
    | "schedulerState"
    | "ledgerClient"
  > {
  readonly entryId: string;
  /** Digests of the region's live entries, including this one. */
  readonly entries: Observable<readonly EntryDigest[]>;
}

/** Accepts, schedules and explains the jobs of one entry. */
export interface JobService {
  /** Handles the requests under `/.cowslipferry/jobs`. */
  readonly systemApi: NonNullable<RequestHandlerOptions["systemApi"]>;
  /**
   * Returns the job section of the dump; undefined until configuration, fleet
   * record and VM list are known.
   */
  summary(): JobsSummary | undefined;
  /**
   * Returns the decisions about a job or a worker and, for a job, why it waits.
   */
  explain(subject: JobSubject): JobExplanation;
  /**
   * Runs the dispatchers of the shards that this entry owns until it is halted.
   */
  run(): Operation<void>;
}

/** Creates the job service of one entry. */
export function createJobService(options: JobServiceOptions): JobService {
  const { entryId, entries, agent, clock } = options;
  const schedulerState = new SchedulerState();
  const reports = new WorkerReports(agent, clock);
  const fencingTokens = new FencingTokenReader(options);
  const runningByShard = new Map<
    number,
    { dispatcher: Dispatcher; task: Task<void> }
  >();
  const dispatcherOf = (shard: number) => runningByShard.get(shard)?.dispatcher;
  const routes = new JobRoutes({ ...options, dispatcherOf });

  const ledgerClient = new LedgerClient({
    entryId,
    schedulerState,
    reports,
    clock,
    async send(call) {
      const owner = ownerOf(LEDGER_SHARD, options, entries.get());
      return owner.callerAddress === undefined
        ? await dispatcherOf(LEDGER_SHARD)?.handleLedgerCall(call)
        : await callLedger(call, { address: owner.callerAddress, entryId });
    },
  });

  function* startDispatcher(shard: number): Operation<void> {
    const holder = entryId;
    const dispatcher = new Dispatcher({
      ...options,
      shard,
      holder,
      fencingTokens,
      reports,
      schedulerState,
      ledgerClient,
    });
    const task = yield* spawn(() => runDispatcher(dispatcher));
    runningByShard.set(shard, { dispatcher, task });
  }

  let appliedDigests: readonly EntryDigest[] | undefined;

  function* updateDispatchers(): Operation<void> {
    const digests = entries.get();
    // Every change replaces the array of digests, so with the same array the
    // owners are unchanged.
    if (digests === appliedDigests) return;
    appliedDigests = digests;
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const owner = ownerOf(shard, options, digests);
      const isOwned = owner.callerAddress === undefined;
      const current = runningByShard.get(shard);
      if (isOwned && current === undefined) yield* startDispatcher(shard);
      if (!isOwned && current !== undefined) {
        runningByShard.delete(shard);
        yield* current.task.halt();
      }
    }
  }

  const decisionLog = schedulerState.decisionLog;
  const ownedShards = () => [...schedulerState.jobsByShard.keys()];
  const saver = new JobDecisionLogSaver({
    ...options,
    decisionLog,
    ownedShards,
  });
  let cachedSummary:
    | { atMs: number; value: JobsSummary | undefined }
    | undefined;

  function summarize(): JobsSummary | undefined {
    const context = readSchedulingContext({
      ...options,
      reports,
      schedulerState,
    });
    const shards = [...runningByShard].map(([shard, { dispatcher }]) => ({
      shard,
      jobs: dispatcher.jobs,
    }));
    return context &&
      summarizeJobs(context, shards.sort((a, b) => a.shard - b.shard));
  }

  function findWait(jobId: string): JobWait | undefined {
    const shard = parseJobKey(jobId)?.shard ?? -1;
    const wait = schedulerState.waitsByShard.get(shard)?.get(jobId);
    const job = schedulerState.jobsByShard.get(shard)?.get(jobId);
    if (wait === undefined || job === undefined) return undefined;
    const { reason, sinceMs, basis } = wait;
    const facts = {
      waitedMs: clock.wallMs() - job.submittedAtMs,
      ...listFacts(job, basis),
    };
    const rejected = listRejected(basis.exclusions);
    return { jobId, reason, sinceMs, facts, rejected };
  }

  return {
    summary() {
      const atMs = clock.monotonicMs();
      if (
        cachedSummary === undefined ||
        atMs - cachedSummary.atMs >= SUMMARY_LIFETIME_MS
      ) {
        cachedSummary = { atMs, value: summarize() };
      }
      return cachedSummary.value;
    },
    explain: (subject) => ({
      wait: "jobId" in subject ? findWait(subject.jobId) : undefined,
      decisions: schedulerState.decisionLog.about(subject),
    }),
    systemApi: {
      pathPrefix: JOBS_PATH,
      async handle(call) {
        const { outcome, ...response } = await routes.handle(call);
        return { kind: "forwarded", outcome, response };
      },
    },
    *run() {
      runningByShard.clear();
      appliedDigests = undefined;
      yield* spawn(() => runJobDecisionLogSaver(saver));
      const entriesChanged = createNotifier();
      const unsubscribe = entries.subscribe(() => entriesChanged.notify());
      try {
        while (true) {
          yield* updateDispatchers();
          yield* sleep(MINIMUM_UPDATE_INTERVAL_MS);
          yield* entriesChanged.wait(MAXIMUM_UPDATE_INTERVAL_MS);
        }
      } finally {
        unsubscribe();
      }
    },
  };
}
