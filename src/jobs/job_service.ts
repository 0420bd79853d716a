import { type Operation, sleep, spawn, type Task } from "effection";
import type { Observable } from "../observable.ts";
import type { EntryDigest } from "../peers/messages.ts";
import type { RequestHandlerOptions } from "../requests/request_handler.ts";
import { createWake } from "../wake.ts";
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
import { readWorld } from "./jobs_world.ts";
import { ownerOf } from "./ownership.ts";
import { callLedger } from "./forward.ts";
import { LedgerClient } from "./ledger_client.ts";
import { LEDGER_SHARD } from "./quota_ledger.ts";
import { JobRoutes } from "./routes.ts";
import { JOBS_PATH } from "./job_reply.ts";
import { runDispatcher } from "./run_dispatcher.ts";
import { WorkerReports } from "./worker_reports.ts";

/** Shortest time between two reviews of the shards' owners, in ms. */
const REVIEW_INTERVAL_MS = 500;
/** Time for which a summary is reused, in ms; `apply --wait` reads the dump every 50 ms. */
const SUMMARY_LIFETIME_MS = 1_000;
/** Longest time between two reviews, in ms; each change of the digests wakes them. */
const IDLE_REVIEW_INTERVAL_MS = 60_000;

/** What the jobs of one entry work with. */
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
  /** Digests of the region's live entries, this one included. */
  readonly entries: Observable<readonly EntryDigest[]>;
}

/** Jobs on one entry. */
export interface JobService {
  /** Answers the calls under `/.cowslipferry/jobs`. */
  readonly systemCalls: NonNullable<RequestHandlerOptions["systemApi"]>;
  /** State for the dump; undefined until the platform's state is known. */
  summary(): JobsSummary | undefined;
  /** Tells why things were decided about a job or a worker. */
  explain(subject: JobSubject): JobExplanation;
  /** Runs the dispatchers of the shards that this entry owns until it is halted. */
  run(): Operation<void>;
}

/** Creates the jobs of one entry. */
export function createJobService(options: JobServiceOptions): JobService {
  const { entryId, entries, agent, clock } = options;
  const schedulerState = new SchedulerState();
  const reports = new WorkerReports(agent, clock);
  const fencingTokens = new FencingTokenReader(options);
  const running = new Map<
    number,
    { dispatcher: Dispatcher; task: Task<void> }
  >();
  const dispatcherOf = (shard: number) => running.get(shard)?.dispatcher;
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

  function* start(shard: number): Operation<void> {
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
    running.set(shard, { dispatcher, task });
  }

  let reviewed: readonly EntryDigest[] | undefined;

  function* review(): Operation<void> {
    const digests = entries.get();
    // Digests are replaced by each change, so the owners are still the same.
    if (digests === reviewed) return;
    reviewed = digests;
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const owner = ownerOf(shard, options, digests);
      const owned = owner.callerAddress === undefined;
      const known = running.get(shard);
      if (owned && known === undefined) yield* start(shard);
      if (!owned && known !== undefined) {
        running.delete(shard);
        yield* known.task.halt();
      }
    }
  }

  const decisionLog = schedulerState.decisionLog;
  const ownedShards = () => [...schedulerState.owned.keys()];
  const saver = new JobDecisionLogSaver({
    ...options,
    decisionLog,
    ownedShards,
  });
  let summary: { atMs: number; value: JobsSummary | undefined } | undefined;

  function summarize(): JobsSummary | undefined {
    const world = readWorld({ ...options, reports, schedulerState });
    const shards = [...running].map(([shard, { dispatcher }]) => ({
      shard,
      jobs: dispatcher.jobs,
    }));
    return world &&
      summarizeJobs(world, shards.sort((a, b) => a.shard - b.shard));
  }

  function findWait(jobId: string): JobWait | undefined {
    const shard = parseJobKey(jobId)?.shard ?? -1;
    const wait = schedulerState.waits.get(shard)?.get(jobId);
    const job = schedulerState.owned.get(shard)?.get(jobId);
    if (wait === undefined || job === undefined) return undefined;
    const { reason, sinceMs, basis } = wait;
    const facts = {
      waitedMs: clock.wallMs() - job.submittedAtMs,
      ...listFacts(job, basis),
    };
    const rejected = listRejected(basis.obstacles);
    return { jobId, reason, sinceMs, facts, rejected };
  }

  return {
    summary() {
      const atMs = clock.monotonicMs();
      if (summary === undefined || atMs - summary.atMs >= SUMMARY_LIFETIME_MS) {
        summary = { atMs, value: summarize() };
      }
      return summary.value;
    },
    explain: (subject) => ({
      wait: "jobId" in subject ? findWait(subject.jobId) : undefined,
      decisions: schedulerState.decisionLog.about(subject),
    }),
    systemCalls: {
      pathPrefix: JOBS_PATH,
      async handle(call) {
        const { outcome, ...response } = await routes.handle(call);
        return { kind: "forwarded", outcome, response };
      },
    },
    *run() {
      running.clear();
      reviewed = undefined;
      yield* spawn(() => runJobDecisionLogSaver(saver));
      const changed = createWake();
      const unsubscribe = entries.subscribe(() => changed.notify());
      try {
        while (true) {
          yield* review();
          yield* sleep(REVIEW_INTERVAL_MS);
          yield* changed.wait(IDLE_REVIEW_INTERVAL_MS);
        }
      } finally {
        unsubscribe();
      }
    },
  };
}
