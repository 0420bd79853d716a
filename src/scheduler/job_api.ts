import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { Clock } from "../clock.ts";
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

async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request) {
    sizeBytes += (chunk as Buffer).length;
    if (sizeBytes > limitBytes) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function sendReply(
  response: ServerResponse,
  reply: Reply,
  isStopping: boolean,
): void {
  response.statusCode = reply.status;
  if (reply.retryAfterMs !== undefined) {
    response.setHeader("retry-after", Math.ceil(reply.retryAfterMs / 1_000));
  }
  if (isStopping) response.setHeader("connection", "close");
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(reply.body ?? {}));
}

function describeRefusal(
  { cause, reason, retryAfterMs }: Extract<SubmitResult, { kind: "refused" }>,
): Reply {
  switch (cause) {
    case "store":
      return { ...unavailable(retryAfterMs, reason), outcome: "refused" };
    case "overload":
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
  readonly clock: Clock;
  readonly isStopping: () => boolean;
}): RequestListener {
  const { protocols, frontend, operator, authenticator, stats, clock } =
    options;

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
    const arrivedAtMs = clock.monotonicMs();
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
        const text = await readBody(request, config.maximumBodyBytes);
        if (text === undefined) return { status: 413, outcome: "too_large" };
        return await submit({ protocol, queue, jobId }, text, context);
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
      case "refused":
        return describeRefusal(result);
      case "unresolved":
        return { status: 504, outcome: result.kind };
    }
  }

  return (request, response) => {
    const startedAtMs = clock.monotonicMs();
    const operation = { name: "other" };
    handle(request, operation).catch((error): Reply => {
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
