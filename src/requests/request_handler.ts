import type { IncomingMessage } from "node:http";
import { type Operation, until } from "effection";
import type { Clock } from "../clock.ts";
import {
  discardBody,
  hasLargeUnreadBody,
} from "../connections/collect_body.ts";
import type { ConnectionBudget } from "../connections/connection_budget.ts";
import type { ServiceConfig } from "../config/schema.ts";
import {
  FORWARDED_BY_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  SYSTEM_PATH_PREFIX,
} from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import type { IncomingRequest } from "./caller_connections.ts";
import {
  type CallerRequest,
  checkHost,
  declaresBody,
  isUnderPath,
  parseDeadlineMs,
  parseRequestId,
  parseServiceName,
  readHeader,
} from "./caller_request.ts";
import type { IssuedKey } from "./idempotency_keys.ts";
import {
  cancelStream,
  isMalformed,
  NotRunError,
  type Outcome,
  outcomeUnknown,
  statusOfRefusal,
} from "./outcome.ts";
import type { RefusalLog } from "./refusal_log.ts";
import { outcomeName, writeReply } from "./reply.ts";
import { bodyMemoryFull, bodyTooLarge, readBody } from "./request_body.ts";
import type { RequestMetrics } from "./request_metrics.ts";

/** Dependencies and limits of the request handler. */
export interface RequestHandlerOptions {
  readonly limits: ResolvedSettings["limits"];
  readonly budget: Pick<ConnectionBudget, "reserve">;
  /** Prefix of generated request ids. */
  readonly idPrefix: string;
  readonly findService: (
    name: string,
  ) => ServiceConfig | "unknown_service" | "not_configured";
  /** Throws a `NotRunError` while this entry accepts no new requests. */
  readonly checkAcceptingWork: () => void;
  readonly handle: (
    request: CallerRequest,
    service: ServiceConfig,
  ) => Operation<Outcome>;
  readonly issueKey: () => IssuedKey;
  /** API of the system itself, which answers requests whose path starts with the prefix. */
  readonly systemApi?: {
    readonly pathPrefix: string;
    readonly handle: (request: SystemRequest) => Promise<Outcome>;
  } | undefined;
  readonly refusals: RefusalLog;
  readonly metrics: RequestMetrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A request to the system's own API. */
export interface SystemRequest {
  readonly method: string;
  /** Path and query as received. */
  readonly url: string;
  readonly body: Buffer | undefined;
  /** Idempotency key, if any. */
  readonly key: string | undefined;
  /** Id of the entry that forwarded the request, if any. */
  readonly forwardedBy: string | undefined;
  /** The caller's deadline, in monotonic ms, if it set one. */
  readonly deadlineAtMs: number | undefined;
}

/** Suggested retry delay while a starting entry has no configuration yet, in ms. */
const NOT_CONFIGURED_RETRY_MS = 1_000;
/** Inactivity timeout for callers that read their response too slowly, in ms. */
const SLOW_READER_TIMEOUT_MS = 30_000;

/** Handles incoming requests from their arrival to the final response. */
export class RequestHandler {
  #options: RequestHandlerOptions;
  #active = 0;
  #nextId = 0;
  #idleListeners: (() => void)[] = [];
  /** Set when a drain starts; from then on, connections are closed after their next response. */
  draining = false;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /** Number of requests whose response hasn't been written completely. */
  get active(): number {
    return this.#active;
  }

  /** Resolves once no request is active. */
  whenIdle(): Promise<void> {
    if (this.#active === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  /** Returns a response with a new idempotency key, or a refusal while this entry accepts no new requests. */
  issueKey(): Outcome {
    try {
      this.#options.checkAcceptingWork();
      const body = Buffer.from(JSON.stringify(this.#options.issueKey()));
      const headers = ["content-type", "application/json"];
      return { kind: "answer", response: { status: 201, headers, body } };
    } catch (error) {
      return this.#toOutcome(error, "", "");
    }
  }

  /** Returns the request id that the caller sent, or a new one. */
  resolveRequestId(request: IncomingMessage): string {
    return parseRequestId(request) ??
      `${this.#options.idPrefix}-${(this.#nextId++).toString(36)}`;
  }

  /** Counts a request as active until its response is written or its connection is closed. */
  trackActive(incoming: IncomingRequest): void {
    this.#active++;
    incoming.response.once("close", () => {
      if (--this.#active > 0) return;
      for (const listener of this.#idleListeners.splice(0)) listener();
    });
  }

  /** Records the refusal of a request that the HTTP parser rejected. */
  recordParserRefusal(error: NotRunError): void {
    this.#recordRefusal("", "", error);
  }

  /** Returns the deadline of a caller's request, in monotonic ms; undefined for a request to the system or an invalid one. */
  findDeadline(incoming: IncomingRequest): number | undefined {
    const prefix = this.#options.systemApi?.pathPrefix;
    if (isUnderPath(incoming.url, prefix)) return undefined;
    try {
      const service = this.#resolveService(incoming);
      // Throws for an unsupported transfer coding.
      declaresBody(incoming.request);
      return incoming.arrivedAtMs +
        (parseDeadlineMs(incoming.request) ?? service.defaultDeadlineMs);
    } catch {
      return undefined;
    }
  }

  /**
   * Refuses a request whose deadline passed before its turn; returns whether it
   * did. A request with an idempotency key may have a stored outcome and is left
   * to `serve`.
   */
  refuseExpired(incoming: IncomingRequest): boolean {
    const { request, response } = incoming;
    if (readHeader(request, IDEMPOTENCY_KEY_HEADER) !== undefined) return false;
    const nowMs = this.#options.clock.monotonicMs();
    const deadlineAtMs = this.findDeadline(incoming);
    if (deadlineAtMs === undefined || nowMs < deadlineAtMs) return false;
    const waitedMs = nowMs - incoming.arrivedAtMs;
    const serviceName = parseServiceName(incoming.url);
    const requestId = this.resolveRequestId(request);
    const error = new NotRunError(
      "deadline_expired",
      "The deadline passed before the request could be served",
      // The requests waiting now should be served within about the same time.
      Math.ceil(waitedMs),
    );
    this.#recordRefusal(requestId, serviceName, error);
    // With an unread body, the connection can't be reused.
    const unread = declaresBody(request);
    writeReply(response, { kind: "not_run", error }, {
      requestId,
      closeConnection: this.draining || unread,
      ...(unread ? { beforeClose: () => discardBody(request) } : {}),
    });
    this.#options.metrics.record(serviceName, "not_run", waitedMs);
    return true;
  }

  /** Serves one request; never throws. */
  *serve(incoming: IncomingRequest): Operation<void> {
    const { request, response, connection } = incoming;
    const requestId = this.resolveRequestId(request);
    let serviceName = "";
    let outcome: Outcome;
    try {
      checkHost(request);
      const { systemApi } = this.#options;
      if (isUnderPath(incoming.url, systemApi?.pathPrefix)) {
        const systemRequest = yield* this.#readSystemRequest(incoming);
        outcome = yield* until(systemApi!.handle(systemRequest));
      } else {
        const service = this.#resolveService(incoming);
        serviceName = service.name;
        const callerRequest = yield* this.#readRequest(
          incoming,
          requestId,
          service,
        );
        outcome = yield* this.#options.handle(callerRequest, service);
      }
    } catch (error) {
      outcome = this.#toOutcome(error, requestId, serviceName);
      if (isUncheckedKey(incoming, outcome)) {
        outcome = outcomeUnknown(
          "key_not_checked",
          "The entry that issued the key wasn't asked whether a request with it has run",
        );
      }
    }
    connection.abortBody = undefined;
    if (response.destroyed) return cancelStream(outcome);
    // The bytes that follow a malformed request could be parsed as another request.
    if (isMalformed(outcome)) connection.closing = true;
    const unread = hasLargeUnreadBody(request) || connection.closing;
    const written = writeReply(response, outcome, {
      requestId,
      closeConnection: this.draining || unread,
      ...(unread ? { beforeClose: () => discardBody(request) } : {}),
    });
    if (response.writableNeedDrain) {
      response.setTimeout(SLOW_READER_TIMEOUT_MS, () => response.destroy());
    }
    const complete = typeof written === "boolean"
      ? written
      : yield* until(written);
    this.#options.metrics.record(
      serviceName,
      complete ? outcomeName(outcome) : "aborted",
      this.#options.clock.monotonicMs() - incoming.arrivedAtMs,
    );
  }

  #resolveService(incoming: IncomingRequest): ServiceConfig {
    const name = parseServiceName(incoming.url);
    if (incoming.url.startsWith(SYSTEM_PATH_PREFIX)) {
      throw new NotRunError(
        "unknown_resource",
        "The system has no such resource or it doesn't allow the method",
      );
    }
    const found = this.#options.findService(name);
    if (found === "unknown_service") {
      throw new NotRunError(found, `There is no service named '${name}'`);
    }
    if (found === "not_configured") {
      throw new NotRunError(
        found,
        "The entry has no configuration yet",
        NOT_CONFIGURED_RETRY_MS,
      );
    }
    return found;
  }

  *#readSystemRequest(incoming: IncomingRequest): Operation<SystemRequest> {
    const { request } = incoming;
    this.#options.checkAcceptingWork();
    const { requestReadTimeoutMs } = this.#options.limits;
    const deadlineMs = parseDeadlineMs(request);
    const body = declaresBody(request)
      ? yield* this.#readBody(incoming, requestReadTimeoutMs)
      : undefined;
    return {
      method: request.method ?? "GET",
      url: incoming.url,
      body,
      key: readHeader(request, IDEMPOTENCY_KEY_HEADER),
      forwardedBy: readHeader(request, FORWARDED_BY_HEADER),
      deadlineAtMs: deadlineMs && incoming.arrivedAtMs + deadlineMs,
    };
  }

  *#readRequest(
    incoming: IncomingRequest,
    requestId: string,
    service: ServiceConfig,
  ): Operation<CallerRequest> {
    const { request } = incoming;
    const key = readHeader(request, IDEMPOTENCY_KEY_HEADER);
    // Keyed requests are checked later: only the entry that issued a key knows whether a request with it was run.
    if (key === undefined) this.#options.checkAcceptingWork();
    const deadlineMs = parseDeadlineMs(request) ?? service.defaultDeadlineMs;
    const body = declaresBody(request)
      ? yield* this.#readBody(incoming, deadlineMs)
      : undefined;
    return {
      requestId,
      service: service.name,
      method: request.method ?? "GET",
      path: incoming.url,
      rawHeaders: request.rawHeaders,
      body,
      deadlineAtMs: incoming.arrivedAtMs + deadlineMs,
      key,
      forwardedBy: readHeader(request, FORWARDED_BY_HEADER),
      isAbandoned: () => incoming.response.destroyed,
    };
  }

  *#readBody(
    incoming: IncomingRequest,
    deadlineMs: number,
  ): Operation<Buffer | undefined> {
    const { maximumBodyBytes, requestReadTimeoutMs } = this.#options.limits;
    const contentLength = Number(
      incoming.request.headers["content-length"] ?? 0,
    );
    if (contentLength > maximumBodyBytes) throw bodyTooLarge(maximumBodyBytes);
    const elapsedMs = this.#options.clock.monotonicMs() - incoming.arrivedAtMs;
    const read = readBody(incoming.request, {
      maximumBodyBytes,
      timeoutMs: Math.max(
        0,
        Math.min(requestReadTimeoutMs, deadlineMs) - elapsedMs,
      ),
    });
    incoming.connection.abortBody = (error) => {
      // After a complete body, the parser error concerns the bytes that follow it.
      if (!incoming.request.complete) read.fail(error);
    };
    const { parserError } = incoming.connection;
    if (parserError !== undefined) incoming.connection.abortBody(parserError);
    try {
      const body = yield* until(read.body);
      if (body !== undefined) this.#reserveBodyMemory(incoming, body.length);
      return body;
    } catch (error) {
      // The next bytes on the connection belong to the unread body.
      if (!incoming.request.complete) incoming.connection.closing = true;
      throw error;
    }
  }

  /** Reserves memory for a body until the response is closed; throws a `NotRunError` when the limit is reached. */
  #reserveBodyMemory(incoming: IncomingRequest, bodyBytes: number): void {
    const release = this.#options.budget.reserve(bodyBytes);
    if (release === undefined) throw bodyMemoryFull();
    incoming.response.once("close", release);
  }

  #toOutcome(
    error: unknown,
    requestId: string,
    serviceName: string,
  ): Outcome {
    if (error instanceof NotRunError) {
      this.#recordRefusal(requestId, serviceName, error);
      return { kind: "not_run", error };
    }
    this.#options.log.error("request failed", { reason: messageOf(error) });
    return outcomeUnknown("internal", "The request failed in this system");
  }

  #recordRefusal(
    requestId: string,
    serviceName: string,
    error: NotRunError,
  ): void {
    this.#options.refusals.add({
      atMs: this.#options.clock.wallMs(),
      requestId,
      service: serviceName,
      reason: error.kind,
      details: undefined,
    });
  }
}

/** Returns whether a keyed request was refused before its key was checked, so that an earlier request with the key may have run. */
function isUncheckedKey(incoming: IncomingRequest, outcome: Outcome): boolean {
  if (outcome.kind !== "not_run") return false;
  const status = statusOfRefusal(outcome.error.kind);
  return (status === 503 || status === 408) &&
    readHeader(incoming.request, IDEMPOTENCY_KEY_HEADER) !== undefined;
}
