import type { Clock } from "../clock.ts";
import { createIssue } from "../validation.ts";
import { assertNever, messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import {
  InvalidJobError,
  type JobSpec,
  jobSpecSchema,
  type JobStatus,
  listJobIssues,
  type Submission,
} from "./model.ts";
import { EntryCallError, type EntryClient } from "./entry_client.ts";
import { STORE_KEYS } from "./ownership.ts";
import type { StoreReply } from "./peer_router.ts";
import type { QueueConfig, RecordStore, SchedulerConfig } from "./ports.ts";
import { storeAbsentRecord, storeJobRecord } from "./new_records.ts";
import { createStopwatch, type Stopwatch } from "./stopwatch.ts";
import type { StoreHealth } from "./store_health.ts";
import { createStoredStatus } from "./stored_status.ts";
import { createWithdrawalBudget, type Withdrawals } from "./withdrawals.ts";
import {
  createSubmissionCheck,
  type SubmissionVerdict,
} from "./workspaces/submission_check.ts";

/** Time reserved before the caller's deadline for sending the response, in ms. */
const RESPONSE_MARGIN_MS = 150;
/** Pause between two attempts to store a job or to read its status, in ms. */
const RETRY_DELAY_MS = 80;
/**
 * Longest time for which a request is retried while the store or the owner is
 * unavailable, in ms. It suffices to replace a connection; waiting longer
 * wouldn't help, because outages last seconds.
 */
const RETRY_LIMIT_MS = 400;
/**
 * Longest time for which a write with an unknown outcome is retried, in ms. A
 * request to the store times out after 0.75 s, and the second attempt finds out
 * whether the first was executed.
 */
const UNRESOLVED_RETRY_LIMIT_MS = 1_200;
/** Retry time returned to callers while the store is unavailable, in ms: outages last 4 to 10 s, and callers retry a few times. */
const STORE_RETRY_AFTER_MS = 3_000;
/** Retry time returned to callers while the owner is being replaced, in ms: its lease of 2 s has to expire. */
const OWNER_RETRY_AFTER_MS = 2_000;
/**
 * Time after a store failure in which records are stored through the owner
 * first, in ms, because a timeout of the store would use up most of the caller's
 * deadline.
 */
const STORE_SUSPICION_MS = 3_000;
/** Time for which a count of waiting jobs is cached, in ms; callers are promised one that is at most 2 s old. */
const COUNT_VALID_MS = 1_000;

/** Result of a submission. */
export type SubmitResult =
  | { readonly kind: "accepted" }
  /** The job is not stored and will never run. */
  | {
    readonly kind: "refused";
    readonly cause: "store";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  | Extract<SubmissionVerdict, { kind: "refused" }>
  /** Another workspace has a job with this ID. */
  | { readonly kind: "foreign" }
  /** The caller has cancelled the job before it was stored; it will never run. */
  | { readonly kind: "withdrawn" }
  | { readonly kind: "invalid"; readonly error: InvalidJobError }
  /** It is unknown whether the job is stored. */
  | { readonly kind: "unresolved" };

/** Result of a status query for one job. */
export type StatusResult =
  | { readonly kind: "status"; readonly status: JobStatus }
  | { readonly kind: "unknown_job" }
  | { readonly kind: "unavailable"; readonly retryAfterMs: number };

/** Result of a cancellation. */
export type CancelResult =
  | { readonly kind: "cancelled" }
  /** The job isn't stored and never will be. */
  | { readonly kind: "unknown_job" }
  /** Nothing is cancelled, as this entry has cancelled too many unknown jobs. */
  | { readonly kind: "refused"; readonly retryAfterMs: number }
  | { readonly kind: "unresolved" };

/** Result of a query for the number of waiting jobs. */
export type WaitingCountResult =
  | { readonly kind: "count"; readonly jobs: number }
  | { readonly kind: "unavailable"; readonly retryAfterMs: number };

/** Request ID for the log and deadline of a caller's request. */
export interface RequestContext {
  readonly requestId: string;
  /** Workspace of the caller; empty or undefined for a public queue or in a deployment without workspaces. */
  readonly workspace?: string;
  /** Monotonic time at which the caller gives up, in ms. */
  readonly deadlineMs: number;
}

/** Handles callers' requests for jobs; every entry has one. */
export interface JobFrontend {
  submit(
    queue: QueueConfig,
    submission: Submission,
    context: RequestContext,
  ): Promise<SubmitResult>;
  status(jobId: string, context: RequestContext): Promise<StatusResult>;
  /** Returns why a job has failed; undefined if that isn't known or can't be read now. */
  failureReason(jobId: string): Promise<string | undefined>;
  cancel(jobId: string, context: RequestContext): Promise<CancelResult>;
  countWaiting(
    queue: string,
    context: RequestContext,
  ): Promise<WaitingCountResult>;
}

/** Dependencies of the job frontend. */
export interface JobFrontendOptions {
  readonly store: RecordStore;
  readonly withdrawals: Withdrawals;
  readonly health: StoreHealth;
  readonly clock: Clock;
  readonly log: Logger;
  readonly config: () => SchedulerConfig | undefined;
  /** Returns a client of the owner, which may be this entry; undefined while no owner is known. */
  readonly ownerClient: () => EntryClient | undefined;
  /** Whether the owner may reject any job that can't finish in time; false if omitted. */
  readonly rejectUnattainable?: boolean;
  readonly onOwnerResponse: () => void;
  /** Called when the owner didn't respond to a call. */
  readonly onOwnerUnresponsive: () => void;
  /** Called when the entry that was known as the owner replies that it isn't. */
  readonly onOwnerChanged: () => void;
}

/** The two ways of storing a record. */
interface NewRecord {
  /** Stores the record; rejects with a `StoreError`. */
  readonly store: () => Promise<StoreReply>;
  /** Asks the owner to store the record. */
  readonly storeOnOwner: (
    owner: EntryClient,
  ) => Promise<StoreReply | "not_owner">;
}

/** Result of a call to the owner. */
type OwnerCallResult<T> =
  | { readonly kind: "reply"; readonly value: T }
  | { readonly kind: "failed"; readonly mayBeExecuted: boolean };

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Creates the job frontend of an entry. */
export function createJobFrontend(options: JobFrontendOptions): JobFrontend {
  const { store, health, clock, log } = options;
  const storedStatus = createStoredStatus(store, log);
  const withdrawalBudget = createWithdrawalBudget({ clock });
  let storeFailedAtMs = -Infinity;
  const counts = new Map<string, { jobs: number; age: Stopwatch }>();

  const timeLeftMs = (context: RequestContext) =>
    context.deadlineMs - RESPONSE_MARGIN_MS - clock.monotonicMs();

  /** Whether a request that started at `startedAtMs` may be retried. */
  function mayRetry(
    startedAtMs: number,
    context: RequestContext,
    limitMs = RETRY_LIMIT_MS,
  ): boolean {
    return clock.monotonicMs() - startedAtMs < limitMs &&
      timeLeftMs(context) > RETRY_DELAY_MS * 4;
  }

  /** Calls the owner; `failed` if there is none, if it doesn't respond or if it is no longer the owner. */
  async function callOwner<T>(
    call: (owner: EntryClient) => Promise<T>,
  ): Promise<OwnerCallResult<T>> {
    const owner = options.ownerClient();
    if (owner === undefined) return { kind: "failed", mayBeExecuted: false };
    try {
      const value = await call(owner);
      options.onOwnerResponse();
      return { kind: "reply", value };
    } catch (error) {
      if (!(error instanceof EntryCallError)) throw error;
      log.debug("call to the owner failed", { reason: messageOf(error) });
      switch (error.reason) {
        case "no_answer":
          options.onOwnerUnresponsive();
          return { kind: "failed", mayBeExecuted: true };
        case "not_sent":
          options.onOwnerUnresponsive();
          return { kind: "failed", mayBeExecuted: false };
        case "not_owner":
          options.onOwnerChanged();
          return { kind: "failed", mayBeExecuted: false };
        default:
          return assertNever(error.reason);
      }
    }
  }

  function notifyOwner(send: (owner: EntryClient) => Promise<void>): void {
    // The owner's watch on the store also reports the record, but later.
    void callOwner(send);
  }

  /** Stores a record; retries for a short time, directly and through the owner. */
  async function storeRecord(
    record: NewRecord,
    context: RequestContext,
  ): Promise<StoreReply> {
    const startedAtMs = clock.monotonicMs();
    const age = createStopwatch(clock);
    const deadlineAfterMs = context.deadlineMs - startedAtMs;
    let unresolved = false;
    /** Whether the owner, which has its own connections to the store, failed as well. */
    let refusedByOwner = false;

    async function storeDirectly(): Promise<StoreReply | undefined> {
      if (!health.allowsRequest()) return undefined;
      try {
        const reply = await record.store();
        storeFailedAtMs = -Infinity;
        health.recordSuccess();
        return reply;
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        if (error.failure === "rejected") return "rejected";
        storeFailedAtMs = clock.monotonicMs();
        health.recordFailure();
        if (error.failure === "unknown_outcome") unresolved = true;
        return undefined;
      }
    }

    async function storeThroughOwner(): Promise<StoreReply | undefined> {
      const owner = options.ownerClient();
      if (owner === undefined || owner.isLocal) return undefined;
      const reply = await callOwner(record.storeOnOwner);
      if (reply.kind === "failed") {
        if (reply.mayBeExecuted) unresolved = true;
        refusedByOwner = false;
        return undefined;
      }
      const { value } = reply;
      if (value === "unresolved") unresolved = true;
      if (value === "not_owner") options.onOwnerChanged();
      refusedByOwner = value === "not_stored";
      switch (value) {
        case "stored":
        case "existing":
        case "foreign":
        case "withdrawn":
        case "rejected":
          return value;
        case "not_stored":
        case "unresolved":
        case "not_owner":
          return undefined;
        default:
          return assertNever(value);
      }
    }

    // The process may have been suspended for longer than the caller waits.
    while (age.elapsedMs() < deadlineAfterMs) {
      const storeSuspected =
        clock.monotonicMs() - storeFailedAtMs < STORE_SUSPICION_MS;
      const outcome = storeSuspected
        ? await storeThroughOwner() ?? await storeDirectly()
        : await storeDirectly() ?? await storeThroughOwner();
      if (outcome !== undefined) return outcome;
      // Neither this entry nor the owner can reach the store, so waiting wouldn't help the caller.
      if (refusedByOwner && health.isFailing()) break;
      const limitMs = unresolved ? UNRESOLVED_RETRY_LIMIT_MS : RETRY_LIMIT_MS;
      if (!mayRetry(startedAtMs, context, limitMs)) break;
      await delay(RETRY_DELAY_MS);
    }
    return unresolved ? "unresolved" : "not_stored";
  }

  async function status(
    jobId: string,
    context: RequestContext,
  ): Promise<StatusResult> {
    const startedAtMs = clock.monotonicMs();
    const { workspace = "" } = context;
    for (;;) {
      const reply = await callOwner((owner) => owner.status(jobId, workspace));
      if (reply.kind === "reply" && reply.value !== undefined) {
        return { kind: "status", status: reply.value };
      }
      try {
        // The owner may not know a new job yet.
        const stored = await storedStatus.read(jobId, workspace);
        return stored === undefined
          ? { kind: "unknown_job" }
          : { kind: "status", status: stored };
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
      }
      if (!mayRetry(startedAtMs, context)) {
        log.warn("status refused: neither the owner nor the store responds", {
          request: context.requestId,
          job: jobId,
          configVersion: options.config()?.version,
          retryAfterMs: STORE_RETRY_AFTER_MS,
        });
        return { kind: "unavailable", retryAfterMs: STORE_RETRY_AFTER_MS };
      }
      await delay(RETRY_DELAY_MS);
    }
  }

  const submissions = createSubmissionCheck({
    store,
    log,
    config: options.config,
    rejectUnattainable: options.rejectUnattainable ?? false,
    async askOwner(spec) {
      const reply = await callOwner((owner) => owner.admit(spec));
      return reply.kind === "reply" ? reply.value : undefined;
    },
  });

  /** Tells the owner of a job that this entry has stored at a store revision. */
  function notifyOfJob(spec: JobSpec, revision: number): void {
    void callOwner((owner) => owner.accepted(spec, revision)).then((reply) => {
      if (reply.kind === "reply" && !reply.value) submissions.onOwnerFull();
    });
  }

  /**
   * Keeps a job that isn't known from being stored: a submission may be on its
   * way to the store or through another entry. Returns undefined if the job is
   * stored, so that it has to be cancelled.
   */
  async function withdraw(
    jobId: string,
    context: RequestContext,
  ): Promise<CancelResult | undefined> {
    const retryAfterMs = withdrawalBudget.take();
    if (retryAfterMs > 0) {
      log.warn("cancellation refused: too many of unknown jobs", {
        request: context.requestId,
        job: jobId,
        retryAfterMs,
      });
      return { kind: "refused", retryAfterMs };
    }
    const { workspace = "" } = context;
    const withdrawal = { jobId, workspace };
    const outcome = await storeRecord(
      {
        store: () => options.withdrawals.store(withdrawal),
        storeOnOwner: (owner) => owner.withdraw(withdrawal),
      },
      context,
    );
    log.info("cancellation of an unknown job", {
      request: context.requestId,
      job: jobId,
      outcome,
    });
    switch (outcome) {
      case "existing":
        return undefined;
      case "stored":
      case "foreign":
        return { kind: "unknown_job" };
      case "withdrawn":
      case "not_stored":
      case "unresolved":
      case "rejected":
        return { kind: "unresolved" };
      default:
        return assertNever(outcome);
    }
  }

  return {
    async submit(queue, submission, context) {
      const parsed = jobSpecSchema.safeParse({
        ...submission,
        queue: queue.name,
        workspace: context.workspace ?? "",
        service: queue.service,
        maximumAttempts: queue.maximumAttempts,
        needsAdvice: queue.needsAdvice,
        acceptedAtMs: clock.wallMs(),
      });
      const issues = parsed.success ? listJobIssues(parsed.data) : [
        ...parsed.error.issues.map((issue) => ({
          path: `$.${issue.path.join(".")}`,
          found: "",
          expected: issue.message,
        })),
      ];
      if (!parsed.success || issues.length > 0) {
        return { kind: "invalid", error: new InvalidJobError(issues) };
      }
      const verdict = await submissions.check(parsed.data, context.requestId);
      if (verdict.kind === "refused") return verdict;
      const spec: JobSpec = { ...parsed.data, excess: verdict.excess };
      const outcome = await storeRecord(
        {
          async store() {
            const stored = await storeJobRecord(store, spec);
            if (stored.kind === "stored") notifyOfJob(spec, stored.revision);
            return stored.kind;
          },
          storeOnOwner: (owner) => owner.submit(spec),
        },
        context,
      );
      const fields = {
        request: context.requestId,
        job: spec.jobId,
        queue: queue.name,
        ...(spec.workspace === ""
          ? {}
          : { workspace: spec.workspace, excess: spec.excess }),
        configVersion: options.config()?.version,
        leftMs: Math.round(timeLeftMs(context)),
      };
      switch (outcome) {
        case "stored":
          log.info("job accepted", fields);
          return { kind: "accepted" };
        case "existing":
          log.info("job was known already", fields);
          return { kind: "accepted" };
        case "foreign":
          log.info("job refused: another workspace has its ID", fields);
          return { kind: "foreign" };
        case "withdrawn":
          log.info("job refused: it was cancelled before", fields);
          return { kind: "withdrawn" };
        case "rejected":
          log.warn("job refused: the store rejects its record", fields);
          return {
            kind: "invalid",
            error: new InvalidJobError([
              createIssue("$", spec.jobId, "a job that the store accepts"),
            ]),
          };
        case "not_stored":
          log.warn("job refused: the store is away", fields);
          return {
            kind: "refused",
            cause: "store",
            reason: "the store is away",
            retryAfterMs: STORE_RETRY_AFTER_MS,
          };
        case "unresolved":
          log.warn("it isn't known whether the job is stored", fields);
          return { kind: "unresolved" };
      }
    },
    status,
    async failureReason(jobId) {
      try {
        return await storedStatus.failureReason(jobId);
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        return undefined;
      }
    },
    async cancel(jobId, context) {
      const previous = await status(jobId, context);
      if (previous.kind !== "status") {
        const result = await withdraw(jobId, context);
        if (result !== undefined) return result;
      }
      const outcome = await storeRecord(
        {
          store: () =>
            storeAbsentRecord(store, {
              key: STORE_KEYS.cancelPrefix + jobId,
              value: JSON.stringify({ atMs: clock.wallMs() }),
            }),
          storeOnOwner: (owner) => owner.cancel(jobId),
        },
        context,
      );
      log.info("cancellation", {
        request: context.requestId,
        job: jobId,
        outcome,
        statusBefore: previous.kind === "status"
          ? previous.status
          : previous.kind,
      });
      if (outcome === "stored" || outcome === "existing") {
        notifyOwner((owner) => owner.cancelled(jobId));
        return { kind: "cancelled" };
      }
      return { kind: "unresolved" };
    },
    async countWaiting(queue, context) {
      const cached = counts.get(queue);
      const now = clock.monotonicMs();
      if (cached !== undefined && cached.age.elapsedMs() < COUNT_VALID_MS) {
        return { kind: "count", jobs: cached.jobs };
      }
      for (;;) {
        const age = createStopwatch(clock);
        const reply = await callOwner((owner) => owner.waitingJobs(queue));
        if (reply.kind === "reply") {
          counts.set(queue, { jobs: reply.value, age });
          return { kind: "count", jobs: reply.value };
        }
        if (!mayRetry(now, context)) {
          log.warn("count refused: the owner doesn't answer", {
            request: context.requestId,
            queue,
            configVersion: options.config()?.version,
            retryAfterMs: OWNER_RETRY_AFTER_MS,
          });
          return { kind: "unavailable", retryAfterMs: OWNER_RETRY_AFTER_MS };
        }
        await delay(RETRY_DELAY_MS);
      }
    },
  };
}
