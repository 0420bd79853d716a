import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import type { JobFrontend, RequestContext } from "./job_frontend.ts";
import { InvalidJobError, type JobStatus, type Submission } from "./model.ts";
import type { OperatorState } from "./operator_state.ts";
import type { QueueConfig, SchedulerConfig } from "./ports.ts";
import type { RequestStats } from "./request_stats.ts";

/** Time that a caller waits when its request names none, in ms. */
const DEFAULT_DEADLINE_MS = 3_000;
/** When to ask again while this entry has no configuration, in ms. */
const NO_CONFIG_RETRY_MS = 1_000;

/** What a request speaks of; the job's id is empty for the queue itself. */
export interface JobTarget {
  readonly queue: QueueConfig;
  readonly jobId: string;
}

/** A way in which callers speak of queues and jobs over HTTP. */
export interface JobProtocol {
  /** Undefined when the request speaks of no queue in this dialect. */
  findTarget(
    request: IncomingMessage,
    config: SchedulerConfig,
  ): JobTarget | undefined;
  requestId(request: IncomingMessage): string;
  /** Time that the caller waits, in ms; undefined when it doesn't say. */
  deadlineMs(request: IncomingMessage): number | undefined;
  /** Decodes a submitted job; throws an `InvalidJobError`. */
  decodeJob(jobId: string, body: unknown): Submission;
  encodeStatus(status: JobStatus): unknown;
  encodeWaiting(jobs: number): unknown;
}

interface Reply {
  readonly status: number;
  readonly body?: unknown;
  readonly retryAfterMs?: number;
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

/** Creates the listener of the callers' port; the first dialect that finds a queue serves a request. */
export function createJobListener(options: {
  readonly protocols: readonly JobProtocol[];
  readonly front: JobFrontend;
  readonly operator: Pick<OperatorState, "config">;
  readonly stats: RequestStats;
  readonly clock: Clock;
  readonly isStopping: () => boolean;
}): RequestListener {
  const { protocols: dialects, front, operator, stats, clock } = options;

  function find(request: IncomingMessage, config: SchedulerConfig) {
    for (const dialect of dialects) {
      const target = dialect.findTarget(request, config);
      if (target !== undefined) return { dialect, ...target };
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
    const { dialect, queue, jobId } = found;
    const context = {
      requestId: dialect.requestId(request),
      deadlineMs: arrivedAtMs +
        (dialect.deadlineMs(request) ?? DEFAULT_DEADLINE_MS),
    };
    if (jobId === "") {
      operation.name = "waiting";
      if (request.method !== "GET") return { status: 405, outcome: "method" };
      return await countWaiting(dialect, queue, context);
    }
    if (!/^[0-9a-f]{16}$/.test(jobId)) {
      return notFound("no_job_id", "no such job");
    }
    switch (request.method) {
      case "POST": {
        operation.name = "submit";
        const text = await readBody(request, config.maximumBodyBytes);
        if (text === undefined) return { status: 413, outcome: "too_large" };
        return await submit({ dialect, queue, jobId }, text, context);
      }
      case "GET":
        operation.name = "status";
        return await readStatus(dialect, jobId, context);
      case "DELETE":
        operation.name = "cancel";
        return await cancel(jobId, context);
      default:
        return { status: 405, outcome: "method" };
    }
  }

  async function countWaiting(
    dialect: JobProtocol,
    queue: QueueConfig,
    context: RequestContext,
  ): Promise<Reply> {
    const answer = await front.countWaiting(queue.name, context);
    return answer.kind === "count"
      ? {
        status: 200,
        outcome: "count",
        body: dialect.encodeWaiting(answer.jobs),
      }
      : unavailable(answer.retryAfterMs, "the owner is being replaced");
  }

  async function readStatus(
    dialect: JobProtocol,
    jobId: string,
    context: RequestContext,
  ): Promise<Reply> {
    const answer = await front.status(jobId, context);
    switch (answer.kind) {
      case "status":
        return {
          status: 200,
          outcome: answer.status,
          body: dialect.encodeStatus(answer.status),
        };
      case "unknown_job":
        return { status: 410, outcome: "unknown_job" };
      case "unavailable":
        return unavailable(answer.retryAfterMs, "the owner is being replaced");
    }
  }

  async function cancel(
    jobId: string,
    context: RequestContext,
  ): Promise<Reply> {
    const answer = await front.cancel(jobId, context);
    switch (answer.kind) {
      case "cancelled":
        return { status: 200, outcome: answer.kind };
      case "unknown_job":
        return { status: 410, outcome: answer.kind };
      case "unresolved":
        return { status: 504, outcome: answer.kind };
    }
  }

  async function submit(
    { dialect, queue, jobId }: JobTarget & { dialect: JobProtocol },
    text: string,
    context: RequestContext,
  ): Promise<Reply> {
    let submission: Submission;
    try {
      submission = dialect.decodeJob(jobId, JSON.parse(text));
    } catch (error) {
      if (error instanceof SyntaxError) return invalid("the body is not JSON");
      if (error instanceof InvalidJobError) return invalid(error.message);
      throw error;
    }
    const answer = await front.submit(queue, submission, context);
    switch (answer.kind) {
      case "accepted":
        return { status: 200, outcome: answer.kind };
      case "invalid":
        return invalid(answer.error.message);
      case "refused":
        return {
          ...unavailable(answer.retryAfterMs, answer.reason),
          outcome: "refused",
        };
      case "unresolved":
        return { status: 504, outcome: answer.kind };
    }
  }

  return (request, response) => {
    const startedAtMs = clock.monotonicMs();
    const operation = { name: "other" };
    handle(request, operation).catch((error): Reply => {
      // A caller that leaves while it sends its request ends up here as well.
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
