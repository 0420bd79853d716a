import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import type { Clock } from "../clock.ts";
import type { AppliedConfig } from "../config/schema.ts";
import { assertNever, ValidationError } from "../errors.ts";
import type { Observable } from "../observable.ts";
import type { EntryDigest } from "../peers/messages.ts";
import { parseJson, parseWithSchema } from "../validation.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { JobOutcomeUnknownError, JobRefusedError } from "./errors.ts";
import { FORWARD_TIMEOUT_MS, forwardCall, LEDGER_ROUTE } from "./forward.ts";
import { HandoverWait } from "./handover_wait.ts";
import { type Job, type JobSpec, jobSpecSchema } from "./job.ts";
import {
  issueJobKey,
  JOB_KEY_LIFETIME_MS,
  type JobKey,
  parseJobKey,
  SHARD_COUNT,
} from "./job_key.ts";
import {
  createErrorReply,
  createJsonReply,
  type JobCall,
  type JobReply,
  JOBS_PATH,
} from "./job_reply.ts";
import { ownerOf } from "./ownership.ts";
import { decodeLedgerMessage, encodeLedgerMessage } from "./ledger_codec.ts";
import { ledgerCallSchema } from "./ledger_client.ts";
import { LEDGER_SHARD } from "./quota_ledger.ts";
import { withTimeout } from "./with_timeout.ts";
import { cancelJob, submitJob } from "./submission.ts";

/** Deadline for the store to confirm a change, in ms. */
const CHANGE_DEADLINE_MS = 3_000;
/** Retry hint while a shard moves to another entry, in ms. */
const NOT_OWNER_RETRY_MS = 1_000;
/** Time between two checks whether this entry has taken a shard over, in ms. */
const DISPATCHER_CHECK_INTERVAL_MS = 50;
/**
 * Time after which a request is sent again to an entry that doesn't know yet
 * that it owns the shard, in ms.
 */
const FORWARD_RETRY_MS = 250;
/** Maximum number of jobs in one list response. */
const MAXIMUM_LISTED_JOBS = 1_000;

const cancelSchema = z.strictObject({
  jobIds: z.array(z.string()).min(1).max(5_000),
});

const refusalSchema = z.object({ error: z.object({ kind: z.string() }) });

/** A shard's dispatcher on this entry, for one request. */
interface OwnedShard {
  readonly dispatcher: Dispatcher;
  /** Deadline for the store to confirm the request's change, in ms. */
  readonly changeDeadlineMs: number;
}

/** Options of the job routes. */
export interface JobRoutesOptions {
  readonly entryId: string;
  readonly region: string;
  readonly entries: Observable<readonly EntryDigest[]>;
  readonly config: Observable<AppliedConfig | undefined>;
  /**
   * Returns the dispatcher of a shard; undefined if this entry doesn't run it.
   */
  readonly dispatcherOf: (shard: number) => Dispatcher | undefined;
  readonly clock: Clock;
}

/**
 * Request handlers of the job API. Requests for shards of other entries are
 * forwarded to the owner.
 */
export class JobRoutes {
  #options: JobRoutesOptions;

  constructor(options: JobRoutesOptions) {
    this.#options = options;
  }

  /** Handles one request. Rejects only with internal errors. */
  async handle(call: JobCall): Promise<JobReply> {
    try {
      return await this.#route(call);
    } catch (error) {
      if (error instanceof ValidationError) {
        return {
          ...createJsonReply(400, { error: error.toJSON() }),
          outcome: "not_run",
        };
      }
      return createErrorReply(error);
    }
  }

  #route(call: JobCall): Promise<JobReply> | JobReply {
    const url = new URL(call.url, "http://localhost");
    const subpath = url.pathname.slice(JOBS_PATH.length).replace(/^\//, "");
    const route = `${call.method} ${subpath}`;
    if (route === "POST keys") return this.#issueKey();
    if (route === "POST ") return this.#submit(call);
    if (route === `POST ${LEDGER_ROUTE}` && call.forwardedBy !== undefined) {
      return this.#answerLedger(call);
    }
    if (route === "POST cancel") return this.#cancelMany(call);
    if (route === "GET ") return this.#listJobs(call, url.searchParams);
    if (call.method === "GET") return this.#get(call, requireKey(subpath));
    if (call.method === "DELETE") {
      return this.#cancelOne(call, requireKey(subpath));
    }
    throw new JobRefusedError("unknown_job", "There is no such resource");
  }

  async #answerLedger(call: JobCall): Promise<JobReply> {
    const bytes = call.body ?? Buffer.alloc(0);
    const claim = decodeLedgerMessage(bytes, ledgerCallSchema, "claim");
    const answer = await this.#dispatcher(LEDGER_SHARD).handleLedgerCall(claim);
    if (answer !== undefined) {
      const headers = ["content-type", "application/octet-stream"];
      const body = encodeLedgerMessage(answer);
      return { status: 200, outcome: "answer", headers, body };
    }
    throw new JobRefusedError(
      "not_owner",
      "This entry doesn't keep the ledger at the moment",
      NOT_OWNER_RETRY_MS,
    );
  }

  #issueKey(): JobReply {
    const { key, issuedAtMs } = issueJobKey(this.#options.clock.wallMs());
    const expiresAtMs = issuedAtMs + JOB_KEY_LIFETIME_MS;
    return createJsonReply(201, { key, expiresAtMs });
  }

  /** Returns the address of the shard's owner; undefined if it is this entry. */
  #addressOfOwner(shard: number): string | undefined {
    const { entries } = this.#options;
    return ownerOf(shard, this.#options, entries.get()).callerAddress;
  }

  /**
   * Runs a request on the entry that owns its shard. While the shard is handed
   * over, the request waits for the next dispatcher. It is only repeated after
   * an entry refused it as not being the owner, so that it takes effect once.
   */
  async #runOnOwner<T>(
    call: JobCall,
    shard: number,
    runHere: (owned: OwnedShard) => Promise<T> | T,
  ): Promise<JobReply | T> {
    const { clock, entryId } = this.#options;
    const wait = new HandoverWait(clock, call.deadlineAtMs);
    while (true) {
      const address = this.#addressOfOwner(shard);
      if (call.forwardedBy === undefined && address !== undefined) {
        const reply = await forwardCall(call, {
          address,
          entryId,
          timeoutMs: wait.leftOf(FORWARD_TIMEOUT_MS),
          deadlineMs: call.deadlineAtMs &&
            call.deadlineAtMs - clock.monotonicMs(),
        });
        if (!isNotOwnerReply(reply) || wait.isOver) return reply;
        await delay(FORWARD_RETRY_MS);
        continue;
      }
      try {
        const dispatcher = this.#dispatcher(shard);
        const changeDeadlineMs = wait.leftOf(CHANGE_DEADLINE_MS);
        return await runHere({ dispatcher, changeDeadlineMs });
      } catch (error) {
        if (!isNotOwner(error) || wait.isOver) throw error;
        const isNextOwner = this.#addressOfOwner(shard) === undefined;
        // The entry that forwarded the request finds the next owner.
        if (!isNextOwner && call.forwardedBy !== undefined) throw error;
        if (isNextOwner) await this.#waitForOwner(shard, wait);
      }
    }
  }

  /**
   * Waits until this entry has taken the shard over or can't, or until another
   * entry may own it.
   */
  async #waitForOwner(shard: number, wait: HandoverWait): Promise<void> {
    const { entries, dispatcherOf } = this.#options;
    const digests = entries.get();
    await wait.until(() => {
      const availability = dispatcherOf(shard)?.availability ?? "taking_over";
      return availability !== "taking_over" || entries.get() !== digests;
    }, DISPATCHER_CHECK_INTERVAL_MS);
  }

  #dispatcher(shard: number): Dispatcher {
    const dispatcher = this.#options.dispatcherOf(shard);
    const availability = dispatcher?.availability ?? "taking_over";
    switch (availability) {
      case "owner":
        return dispatcher!;
      case "taking_over":
        throw new JobRefusedError(
          "not_owner",
          "The job's shard has no dispatcher at the moment",
          NOT_OWNER_RETRY_MS,
        );
      case "store_unavailable":
        throw new JobRefusedError(
          "store_unavailable",
          "The job's shard can't be loaded from the store at the moment",
          NOT_OWNER_RETRY_MS,
        );
      default:
        return assertNever(availability);
    }
  }

  #checkSpec(spec: JobSpec): void {
    const config = this.#options.config.get()?.config;
    if (config === undefined) return;
    const { region } = this.#options;
    const poolExists = config.pools.some((pool) =>
      pool.name === spec.pool && pool.region === region
    );
    if (!poolExists) {
      const message = `The region has no pool named '${spec.pool}'`;
      throw new JobRefusedError("unknown_pool", message);
    }
    if (!config.teams.some((team) => team.name === spec.team)) {
      const message = `There is no team named '${spec.team}'`;
      throw new JobRefusedError("unknown_team", message);
    }
  }

  async #submit(call: JobCall): Promise<JobReply> {
    const key = requireKey(call.key ?? "");
    const spec = parseWithSchema(jobSpecSchema, parseBody(call), "job");
    try {
      return await this.#runOnOwner(
        call,
        key.shard,
        (owned) => this.#submitHere(key, spec, owned),
      );
    } catch (error) {
      const reply = createErrorReply(error);
      const dispatcher = this.#options.dispatcherOf(key.shard);
      // An earlier submission with this key may have been accepted.
      const mayBeStored = isSpecRefusal(error)
        ? dispatcher?.mayContain(key.key) !== false
        : reply.status === 503 && dispatcher?.provesAbsence(key.key) !== true;
      return mayBeStored ? { ...reply, outcome: "outcome_unknown" } : reply;
    }
  }

  async #submitHere(
    key: JobKey,
    spec: JobSpec,
    { dispatcher: { writer }, changeDeadlineMs }: OwnedShard,
  ): Promise<JobReply> {
    const alreadyStored = writer.record!.jobs.has(key.key);
    if (!alreadyStored) this.#checkSpec(spec);
    const job = await withDeadline(
      writer.change((draft) => submitJob(draft, key, spec), {
        deadlineMs: changeDeadlineMs,
        jobId: key.key,
        // Finding a job that is already stored takes no write, so it also works
        // during an outage.
        allowDuringOutage: alreadyStored,
      }),
      changeDeadlineMs,
    );
    return createJsonReply(alreadyStored ? 200 : 201, this.#describe(job));
  }

  #get(call: JobCall, key: JobKey): Promise<JobReply> {
    return this.#runOnOwner(call, key.shard, ({ dispatcher }) => {
      const job = dispatcher.jobs!.get(key.key);
      if (job === undefined) throw unknownJobError();
      return createJsonReply(200, this.#describe(job));
    });
  }

  #describe(job: Job): unknown {
    const shard = parseJobKey(job.id)!.shard;
    const waitReason = job.state.kind === "queued"
      ? this.#options.dispatcherOf(shard)?.waitReason(job.id)
      : undefined;
    return { ...job, waitReason };
  }

  #cancelOne(call: JobCall, key: JobKey): Promise<JobReply> {
    return this.#runOnOwner(call, key.shard, async (owned) => {
      const [result] = await this.#cancelHere([key.key], owned);
      if (result?.kind === "unknown_job") throw unknownJobError();
      return createJsonReply(200, result);
    });
  }

  /** Cancels jobs of one shard in a single change. */
  async #cancelHere(
    jobIds: readonly string[],
    { dispatcher: { writer }, changeDeadlineMs }: OwnedShard,
  ) {
    const change = writer.change(
      (draft) => jobIds.map((jobId) => ({ jobId, ...cancelJob(draft, jobId) })),
      { deadlineMs: changeDeadlineMs },
    );
    return await withDeadline(change, changeDeadlineMs);
  }

  async #cancelMany(call: JobCall): Promise<JobReply> {
    const { jobIds } = parseWithSchema(cancelSchema, parseBody(call), "cancel");
    const shards = new Map<number, string[]>();
    for (const jobId of new Set(jobIds)) {
      const { shard } = requireKey(jobId);
      shards.set(shard, [...shards.get(shard) ?? [], jobId]);
    }
    const results = await Promise.all(
      [...shards].map(([shard, ids]) => this.#cancelShard(call, shard, ids)),
    );
    return createJsonReply(200, { results: results.flat() });
  }

  /** Returns a result for each job, also if the shard rejects the request. */
  async #cancelShard(call: JobCall, shard: number, jobIds: string[]) {
    try {
      const body = Buffer.from(JSON.stringify({ jobIds }));
      const reply = await this.#runOnOwner(
        { ...call, body },
        shard,
        (owned) => this.#cancelHere(jobIds, owned),
      );
      if (Array.isArray(reply)) return reply;
      const data = JSON.parse(reply.body.toString());
      if (reply.status === 200) return data.results;
      return jobIds.map((jobId) => ({ jobId, ...data }));
    } catch (error) {
      const reply = createErrorReply(error);
      const data = JSON.parse(reply.body.toString());
      const { outcome } = reply;
      return jobIds.map((jobId) => ({
        jobId,
        kind: "error",
        outcome,
        ...data,
      }));
    }
  }

  async #listJobs(call: JobCall, query: URLSearchParams): Promise<JobReply> {
    const allShards = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);
    if (call.forwardedBy !== undefined) {
      return createJsonReply(200, this.#listHere(allShards, query));
    }
    const { entryId, entries } = this.#options;
    const owners = new Map<string | undefined, number[]>();
    for (const shard of allShards) {
      const owner = ownerOf(shard, this.#options, entries.get()).callerAddress;
      owners.set(owner, [...owners.get(owner) ?? [], shard]);
    }
    const parts = await Promise.all(
      [...owners].map(async ([address, shards]) => {
        if (address === undefined) return this.#listHere(shards, query);
        try {
          const reply = await forwardCall(call, { address, entryId });
          const part = JSON.parse(reply.body.toString());
          const missing = (shard: number) => part.missing.includes(shard);
          return { jobs: part.jobs, missing: shards.filter(missing) };
        } catch {
          return { jobs: [], missing: shards };
        }
      }),
    );
    const jobs = parts.flatMap((part) => part.jobs as Job[])
      .slice(0, MAXIMUM_LISTED_JOBS);
    return createJsonReply(200, {
      jobs,
      /** Shards whose jobs couldn't be listed. */
      missing: parts.flatMap((part) => part.missing),
    });
  }

  #listHere(shards: readonly number[], query: URLSearchParams) {
    const matches = (job: Job) =>
      (query.get("pool") ?? job.spec.pool) === job.spec.pool &&
      (query.get("team") ?? job.spec.team) === job.spec.team &&
      (query.get("state") ?? job.state.kind) === job.state.kind;
    const jobs: unknown[] = [];
    const missing: number[] = [];
    for (const shard of shards) {
      const shardJobs = this.#options.dispatcherOf(shard)?.jobs;
      if (shardJobs === undefined) missing.push(shard);
      for (const job of shardJobs?.values() ?? []) {
        if (jobs.length >= MAXIMUM_LISTED_JOBS) break;
        if (matches(job)) jobs.push(this.#describe(job));
      }
    }
    return { jobs, missing };
  }
}

/** Whether the configuration doesn't allow a job; an earlier one may have allowed it. */
function isSpecRefusal(error: unknown): boolean {
  return error instanceof JobRefusedError &&
    (error.kind === "unknown_pool" || error.kind === "unknown_team");
}

function isNotOwner(error: unknown): boolean {
  return error instanceof JobRefusedError && error.kind === "not_owner";
}

/** Whether another entry refused a request because it doesn't own the shard. */
function isNotOwnerReply({ status, body }: JobReply): boolean {
  if (status !== 503) return false;
  try {
    const refusal = refusalSchema.safeParse(JSON.parse(body.toString()));
    return refusal.data?.error.kind === "not_owner";
  } catch {
    // Not a response of the job API.
    return false;
  }
}

function unknownJobError(): JobRefusedError {
  return new JobRefusedError("unknown_job", "There is no job with this id");
}

function requireKey(text: string): JobKey {
  const key = parseJobKey(text);
  if (key === undefined) {
    throw new JobRefusedError(
      "malformed_key",
      "The key or job id isn't one that the system issues",
    );
  }
  return key;
}

function parseBody(call: JobCall): unknown {
  return parseJson(call.body?.toString() ?? "", "request body");
}

/**
 * Stops waiting for a change at its deadline, even if a call to the store
 * hangs.
 */
async function withDeadline<T extends object>(
  change: Promise<T>,
  deadlineMs: number,
): Promise<T> {
  const result = await withTimeout(change, deadlineMs);
  if (result !== undefined) return result;
  throw new JobOutcomeUnknownError(
    "The store didn't confirm the change in time; ask again with the key",
  );
}
