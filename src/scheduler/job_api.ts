import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { Clock } from "../clock.ts";
import {
  type BodyResult,
  collectBody,
  discardBody,
  hasLargeUnreadBody,
} from "../connections/collect_body.ts";
import type { ConnectionBudget } from "../connections/connection_budget.ts";
import { findGuardedConnection } from "../connections/guarded_server.ts";
import { assertNever, messageOf } from "../errors.ts";
import type {
  JobFrontend,
  RequestContext,
  SubmitResult,
} from "./job_frontend.ts";
import { InvalidJobError, type JobStatus, type Submission } from "./model.ts";
import type { OperatorState } from "./operator_state.ts";
import type { QueueConfig, SchedulerConfig } from "./ports.ts";
import type { RequestStats } from "./request_stats.ts";
import type { Authenticator } from "./workspaces/authentication.ts";

/** Deadline of requests that don't specify one, in ms. */
const DEFAULT_DEADLINE_MS = 3_000;
/** Longest time for reading a body, in ms. */
const MAXIMUM_BODY_TIMEOUT_MS = 60_000;
/** Memory of a request that is being handled besides its body, in bytes. */
const REQUEST_COST_BYTES = 8_192;
/** Memory occupied by a byte of a body while it is parsed and stored: as bytes, text, objects and a record. */
const BODY_COST_FACTOR = 6;
/** Retry time returned to callers while the memory for requests is used up, in ms; requests take less than that. */
const NO_MEMORY_RETRY_MS = 2_000;
/** Retry time returned to callers whose deadline passed while earlier requests on their connection were handled, in ms. */
const EXPIRED_RETRY_MS = 1_000;
/** Retry time returned to callers while this entry has no configuration, in ms. */
const NO_CONFIG_RETRY_MS = 1_000;

/** Queue and job that a request addresses; the job ID is empty if it addresses the queue itself. */
export interface JobTarget {
  readonly queue: QueueConfig;
  readonly jobId: string;
}

/** Maps callers' HTTP requests to queues and jobs, and results to response bodies. */
export interface JobProtocol {
  /** Returns undefined if the request addresses no queue in this protocol. */
  findTarget(
    request: IncomingMessage,
    config: SchedulerConfig,
  ): JobTarget | undefined;
  /** Returns the request ID for the log; empty if the request has none. */
  requestId(request: IncomingMessage): string;
  /** Returns the API key of the request; empty if it has none. */
  apiKey(request: IncomingMessage): string;
  /** Returns the time for which the caller waits, in ms; undefined if the request doesn't specify it. */
  deadlineMs(request: IncomingMessage): number | undefined;
  /** Decodes a submitted job; throws an `InvalidJobError` if it is invalid. */
  decodeJob(jobId: string, body: unknown): Submission;
  encodeStatus(status: JobStatus): unknown;
  /** Encodes the status of a failed job with its reason; without it, the reason isn't read. */
  encodeFailure?(reason: string): unknown;
  encodeWaiting(jobs: number): unknown;
}

interface Reply {
  readonly status: number;
  readonly body?: unknown;
  readonly retryAfterMs?: number;
  /** Outcome label of the request metrics. */
  readonly outcome: string;
  readonly closesConnection?: boolean;
}

function unavailable(retryAfterMs: number, reason: string): Reply {
  return {
    status: 503,
    retryAfterMs,
    outcome: "unavailable",
    body: { error: reason, "retry-after-ms": retryAfterMs },
  };
}

function invalid(reason: string): Reply {
  return { status: 400, outcome: "invalid", body: { error: reason } };
}

function limited(retryAfterMs: number, reason: string, outcome: string): Reply {
  return {
    status: 429,
    retryAfterMs,
    outcome,
    body: { error: reason, "retry-after-ms": retryAfterMs },
  };
}

function notFound(outcome: "no_queue" | "no_job_id", reason: string): Reply {
  return { status: 404, outcome, body: { error: reason } };
}

/** Writes the reply. With an unread body, the connection is closed after the caller could read the reply. */
function sendReply(
  response: ServerResponse,
  reply: Reply,
  isStopping: boolean,
): void {
  const { req: request } = response;
  const closesConnection = isStopping || reply.closesConnection === true ||
    hasLargeUnreadBody(request);
  const text = JSON.stringify(reply.body ?? {});
  response.statusCode = reply.status;
  if (reply.retryAfterMs !== undefined) {
    response.setHeader("retry-after", Math.ceil(reply.retryAfterMs / 1_000));
  }
  if (closesConnection) response.setHeader("connection", "close");
  response.setHeader("content-type", "application/json");
  if (request.complete || !closesConnection) {
    response.end(text);
    return;
  }
  response.setHeader("content-length", Buffer.byteLength(text));
  response.write(text);
  void discardBody(request).then(() => response.end());
}

/** Describes a body that wasn't read completely; nothing has run. */
function describeUnread(
  collected: Exclude<BodyResult, { kind: "complete" }>,
): Reply {
  switch (collected.kind) {
    case "too_large":
      return { status: 413, outcome: collected.kind };
    case "too_slow":
    case "incomplete":
      return { status: 408, outcome: collected.kind, closesConnection: true };
    case "no_memory":
      return { ...noMemory(), closesConnection: true };
    default:
      return assertNever(collected);
  }
}

function noMemory(): Reply {
  return {
    ...unavailable(NO_MEMORY_RETRY_MS, "too many requests at a time"),
    outcome: "no_memory",
  };
}

function describeRefusal(
  { cause, reason, retryAfterMs }: Extract<SubmitResult, { kind: "refused" }>,
): Reply {
  switch (cause) {
    case "store":
      return { ...unavailable(retryAfterMs, reason), outcome: "refused" };
    case "overload":
    case "memory":
      return { ...unavailable(retryAfterMs, reason), outcome: cause };
    case "share":
    case "quota":
      return limited(retryAfterMs, reason, cause);
    default:
      return assertNever(cause);
  }
}

/** Creates the listener of the callers' port; a request is handled by the first protocol that finds a queue. */
export function createJobListener(options: {
  readonly protocols: readonly JobProtocol[];
  readonly frontend: JobFrontend;
  readonly operator: Pick<OperatorState, "config" | "configAgeMs">;
  readonly authenticator: Authenticator;
  readonly stats: RequestStats;
  readonly budget: Pick<ConnectionBudget, "reserve">;
  readonly clock: Clock;
  readonly isStopping: () => boolean;
}): RequestListener {
  const { protocols, frontend, operator, authenticator, stats, clock } =
    options;

  /** Handles a request with memory reserved for it, which its connection's end doesn't release. */
  async function withReservation(
    bytes: number,
    handleRequest: () => Promise<Reply>,
  ): Promise<Reply> {
    const release = options.budget.reserve(bytes);
    if (release === undefined) return noMemory();
    try {
      return await handleRequest();
    } finally {
      release();
    }
  }

  function find(request: IncomingMessage, config: SchedulerConfig) {
    for (const protocol of protocols) {
      const target = protocol.findTarget(request, config);
      if (target !== undefined) return { protocol, ...target };
    }
    return undefined;
  }

  async function handle(
    request: IncomingMessage,
    operation: { name: string },
  ): Promise<Reply> {
    const arrivedAtMs = findGuardedConnection(request)?.requestArrivedAtMs ??
      clock.monotonicMs();
    if (request.headers.host === undefined && request.httpVersion === "1.1") {
      return {
        ...invalid("the request has no host header"),
        closesConnection: true,
      };
    }
    const config = operator.config();
    if (config === undefined) {
      return unavailable(NO_CONFIG_RETRY_MS, "no configuration yet");
    }
    const found = find(request, config);
    if (found === undefined) return notFound("no_queue", "no such queue");
    const { protocol, queue, jobId } = found;
    const access = authenticator.authenticate(config, {
      queue,
      key: protocol.apiKey(request),
      configAgeMs: operator.configAgeMs(),
    });
    switch (access.kind) {
      case "allowed":
        break;
      case "unknown_key":
        return {
          status: 401,
          outcome: access.kind,
          body: { error: "unknown API key" },
        };
      case "undecided":
        return unavailable(
          access.retryAfterMs,
          "the entry may not know the latest API keys",
        );
      default:
        return assertNever(access);
    }
    const context = {
      requestId: protocol.requestId(request),
      workspace: access.workspace,
      deadlineMs: arrivedAtMs +
        (protocol.deadlineMs(request) ?? DEFAULT_DEADLINE_MS),
    };
    if (context.deadlineMs <= clock.monotonicMs()) {
      return {
        ...unavailable(EXPIRED_RETRY_MS, "the deadline has passed"),
        outcome: "expired",
      };
    }
    if (jobId === "") {
      operation.name = "waiting";
      if (request.method !== "GET") return { status: 405, outcome: "method" };
      return await countWaiting(protocol, queue, context);
    }
    if (!/^[0-9a-f]{16}$/.test(jobId)) {
      return notFound("no_job_id", "no such job");
    }
    switch (request.method) {
      case "POST": {
        operation.name = "submit";
        const collected = await collectBody(request, {
          maximumBodyBytes: config.maximumBodyBytes,
          timeoutMs: Math.min(
            context.deadlineMs - clock.monotonicMs(),
            MAXIMUM_BODY_TIMEOUT_MS,
          ),
        }).result;
        if (collected.kind !== "complete") return describeUnread(collected);
        return await withReservation(
          collected.body.length * BODY_COST_FACTOR,
          () =>
            submit(
              { protocol, queue, jobId },
              collected.body.toString("utf8"),
              context,
            ),
        );
      }
      case "GET":
        operation.name = "status";
        return await readStatus(protocol, jobId, context);
      case "DELETE":
        operation.name = "cancel";
        return await cancel(jobId, context);
      default:
        return { status: 405, outcome: "method" };
    }
  }

  async function countWaiting(
    protocol: JobProtocol,
    queue: QueueConfig,
    context: RequestContext,
  ): Promise<Reply> {
    const result = await frontend.countWaiting(queue.name, context);
    return result.kind === "count"
      ? {
        status: 200,
        outcome: "count",
        body: protocol.encodeWaiting(result.jobs),
      }
      : unavailable(result.retryAfterMs, "the owner is being replaced");
  }

  async function readStatus(
    protocol: JobProtocol,
    jobId: string,
    context: RequestContext,
  ): Promise<Reply> {
    const result = await frontend.status(jobId, context);
    switch (result.kind) {
      case "status":
        return {
          status: 200,
          outcome: result.status,
          body: await encodeStatus(protocol, jobId, result.status),
        };
      case "unknown_job":
        return { status: 410, outcome: "unknown_job" };
      case "unavailable":
        return unavailable(result.retryAfterMs, "the owner is being replaced");
    }
  }

  async function encodeStatus(
    protocol: JobProtocol,
    jobId: string,
    status: JobStatus,
  ): Promise<unknown> {
    if (status === "failed" && protocol.encodeFailure !== undefined) {
      const reason = await frontend.failureReason(jobId);
      if (reason !== undefined) return protocol.encodeFailure(reason);
    }
    return protocol.encodeStatus(status);
  }

  async function cancel(
    jobId: string,
    context: RequestContext,
  ): Promise<Reply> {
    const result = await frontend.cancel(jobId, context);
    switch (result.kind) {
      case "cancelled":
        return { status: 200, outcome: result.kind };
      case "unknown_job":
        return { status: 410, outcome: result.kind };
      case "refused":
        return {
          ...unavailable(
            result.retryAfterMs,
            "too many cancellations of unknown jobs",
          ),
          outcome: result.kind,
        };
      case "unresolved":
        return { status: 504, outcome: result.kind };
    }
  }

  async function submit(
    { protocol, queue, jobId }: JobTarget & { protocol: JobProtocol },
    text: string,
    context: RequestContext,
  ): Promise<Reply> {
    let submission: Submission;
    try {
      submission = protocol.decodeJob(jobId, JSON.parse(text));
    } catch (error) {
      if (error instanceof SyntaxError) return invalid("the body is not JSON");
      if (error instanceof InvalidJobError) return invalid(error.message);
      throw error;
    }
    const result = await frontend.submit(queue, submission, context);
    switch (result.kind) {
      case "accepted":
        return { status: 200, outcome: result.kind };
      case "invalid":
        return invalid(result.error.message);
      case "foreign":
        return {
          status: 409,
          outcome: result.kind,
          body: { error: "another workspace has a job with this ID" },
        };
      case "withdrawn":
        return {
          status: 409,
          outcome: result.kind,
          body: { error: "the job was cancelled before it was stored" },
        };
      case "refused":
        return describeRefusal(result);
      case "unresolved":
        return { status: 504, outcome: result.kind };
    }
  }

  return (request, response) => {
    const startedAtMs = clock.monotonicMs();
    const operation = { name: "other" };
    withReservation(
      REQUEST_COST_BYTES,
      () => handle(request, operation),
    ).catch((error): Reply => {
      // Also reached if the caller disconnects while it sends its request.
      return {
        status: 500,
        outcome: "error",
        body: { error: messageOf(error) },
      };
    }).then((reply) => {
      stats.record(
        operation.name,
        reply.outcome,
        clock.monotonicMs() - startedAtMs,
      );
      if (!response.destroyed) {
        sendReply(response, reply, options.isStopping());
      }
    });
  };
}
