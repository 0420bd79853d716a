import type { IncomingMessage } from "node:http";
import { type Operation, until } from "effection";
import type { Clock } from "../clock.ts";
import type { ServiceConfig } from "../config/schema.ts";
import {
  FORWARDED_BY_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  SYSTEM_PATH_PREFIX,
} from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import type { IncomingCall } from "./caller_connections.ts";
import {
  announcesBody,
  type CallerRequest,
  callerRequestId,
  checkHost,
  parseDeadlineMs,
  parseServiceName,
  singleHeader,
} from "./caller_request.ts";
import type { IssuedKey } from "./idempotency_keys.ts";
import {
  NotRunError,
  type Outcome,
  outcomeUnknown,
  statusOfRefusal,
} from "./outcome.ts";
import type { RefusalLog } from "./refusal_log.ts";
import { outcomeName, writeReply } from "./reply.ts";
import { bodyTooLarge, discardBody, readBody } from "./request_body.ts";
import type { RequestMetrics } from "./request_metrics.ts";

/** What serving a call works with. */
export interface RequestHandlerOptions {
  readonly limits: ResolvedSettings["limits"];
  /** Prefix of generated request ids. */
  readonly idPrefix: string;
  readonly findService: (
    name: string,
  ) => ServiceConfig | "unknown_service" | "not_configured";
  /** Refuses new work while this entry takes none; throws a `NotRunError`. */
  readonly checkOpen: () => void;
  readonly handle: (
    request: CallerRequest,
    service: ServiceConfig,
  ) => Operation<Outcome>;
  readonly issueKey: () => IssuedKey;
  /** Answers calls whose path starts with the prefix, outside of any service. */
  readonly systemApi?: {
    readonly pathPrefix: string;
    readonly handle: (call: SystemRequest) => Promise<Outcome>;
  } | undefined;
  readonly refusals: RefusalLog;
  readonly metrics: RequestMetrics;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A call for one of the system's own resources. */
export interface SystemRequest {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly url: string;
  readonly body: Buffer | undefined;
  readonly key: string | undefined;
  readonly forwardedBy: string | undefined;
}

/** Time after which an entry that starts has its configuration, in ms. */
const CONFIGURED_RETRY_MS = 1_000;
/** Announced length above which an unread body isn't waited for, in bytes. */
const LONG_UNREAD_BYTES = 65_536;
/** Time without progress after which a caller that doesn't read its response is cut off, in ms. */
const SLOW_READER_TIMEOUT_MS = 30_000;
/** Bodies of requests that are held at the same time, in bytes. */
const MAXIMUM_HELD_BODY_BYTES = 268_435_456;
/** Memory that a body without an announced length counts for until it has arrived, in bytes. */
const UNANNOUNCED_BODY_BYTES = 65_536;
/** Time after which memory for bodies may be free again, in ms. */
const HELD_BODIES_RETRY_MS = 500;

/** Serves calls from their arrival to their one final response. */
export class RequestHandler {
  #options: RequestHandlerOptions;
  #active = 0;
  #heldBodyBytes = 0;
  #nextId = 0;
  #idleListeners: (() => void)[] = [];
  draining = false;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /** Calls that have arrived and whose response isn't fully written yet. */
  get active(): number {
    return this.#active;
  }

  /** Resolves once no call is in progress. */
  whenIdle(): Promise<void> {
    if (this.#active === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  /** Returns a new key, or a refusal while this entry takes no new work. */
  issueKey(): Outcome {
    try {
      this.#options.checkOpen();
      const body = Buffer.from(JSON.stringify(this.#options.issueKey()));
      const headers = ["content-type", "application/json"];
      return { kind: "answer", response: { status: 201, headers, body } };
    } catch (error) {
      return this.#outcomeOfError(error, "", "");
    }
  }

  /** Returns the caller's request id or a new one. */
  requestIdOf(request: IncomingMessage): string {
    return callerRequestId(request) ??
      `${this.#options.idPrefix}-${(this.#nextId++).toString(36)}`;
  }

  /** Counts a call until its response is written or its connection is closed. */
  began(call: IncomingCall): void {
    this.#active++;
    call.response.once("close", () => {
      if (--this.#active > 0) return;
      for (const listener of this.#idleListeners.splice(0)) listener();
    });
  }

  /** Notes a request that the HTTP parser rejected. */
  refusedUnparsed(error: NotRunError): void {
    this.#noteRefusal("", "", error);
  }

  /** Answers at once a call whose deadline passed while its connection waited to be accepted; returns whether it did. A keyed call may have a stored outcome and is left to `serve`. */
  refuseExpired(call: IncomingCall): boolean {
    const { request, response } = call;
    if (
      isBelow(call.url, this.#options.systemApi?.pathPrefix) ||
      singleHeader(request, IDEMPOTENCY_KEY_HEADER) !== undefined
    ) return false;
    const waitedMs = this.#options.clock.monotonicMs() - call.arrivedAtMs;
    let service: ServiceConfig;
    try {
      service = this.#resolveService(call);
      const deadlineMs = parseDeadlineMs(request) ?? service.defaultDeadlineMs;
      if (waitedMs < deadlineMs) return false;
    } catch {
      return false;
    }
    const requestId = this.requestIdOf(request);
    const error = new NotRunError(
      "deadline_expired",
      "The deadline passed before the connection was accepted",
      // The connections that wait now are accepted within about that time.
      Math.ceil(waitedMs),
    );
    this.#noteRefusal(requestId, service.name, error);
    // The body hasn't been read, so the connection can't be used again.
    const unread = announcesBody(request);
    writeReply(response, { kind: "not_run", error }, {
      requestId,
      closeConnection: this.draining || unread,
      ...(unread ? { beforeClose: () => discardBody(request) } : {}),
    });
    this.#options.metrics.record(service.name, "not_run", waitedMs);
    return true;
  }

  /** Serves one call; never throws. */
  *serve(call: IncomingCall): Operation<void> {
    const { request, response, connection } = call;
    const requestId = this.requestIdOf(request);
    let service = "";
    let outcome: Outcome;
    try {
      checkHost(request);
      const { systemApi } = this.#options;
      if (isBelow(call.url, systemApi?.pathPrefix)) {
        const systemCall = yield* this.#receiveSystemCall(call);
        outcome = yield* until(systemApi!.handle(systemCall));
      } else {
        const config = this.#resolveService(call);
        service = config.name;
        const callerRequest = yield* this.#receive(call, requestId, config);
        outcome = yield* this.#options.handle(callerRequest, config);
      }
    } catch (error) {
      outcome = this.#outcomeOfError(error, requestId, service);
      if (isUncheckedKey(call, outcome)) {
        outcome = outcomeUnknown(
          "key_not_checked",
          "The entry that issued the key wasn't asked whether a request with it has run",
        );
      }
    }
    connection.failBody = undefined;
    if (response.destroyed) return cancelStream(outcome);
    // What follows a request that can't be framed may be taken for another one.
    if (isMalformed(outcome)) connection.closing = true;
    const unread = isLongUnread(request) || connection.closing;
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
      service,
      complete ? outcomeName(outcome) : "aborted",
      this.#options.clock.monotonicMs() - call.arrivedAtMs,
    );
  }

  #resolveService(call: IncomingCall): ServiceConfig {
    const name = parseServiceName(call.url);
    if (call.url.startsWith(SYSTEM_PATH_PREFIX)) {
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
        CONFIGURED_RETRY_MS,
      );
    }
    return found;
  }

  *#receiveSystemCall(call: IncomingCall): Operation<SystemRequest> {
    const { request } = call;
    this.#options.checkOpen();
    const { requestReadTimeoutMs } = this.#options.limits;
    const body = announcesBody(request)
      ? yield* this.#readBody(call, requestReadTimeoutMs)
      : undefined;
    return {
      method: request.method ?? "GET",
      url: call.url,
      body,
      key: singleHeader(request, IDEMPOTENCY_KEY_HEADER),
      forwardedBy: singleHeader(request, FORWARDED_BY_HEADER),
    };
  }

  *#receive(
    call: IncomingCall,
    requestId: string,
    service: ServiceConfig,
  ): Operation<CallerRequest> {
    const { request } = call;
    const key = singleHeader(request, IDEMPOTENCY_KEY_HEADER);
    // Only the entry that issued a key knows whether its request was run.
    if (key === undefined) this.#options.checkOpen();
    const deadlineMs = parseDeadlineMs(request) ?? service.defaultDeadlineMs;
    const body = announcesBody(request)
      ? yield* this.#readBody(call, deadlineMs)
      : undefined;
    return {
      requestId,
      service: service.name,
      method: request.method ?? "GET",
      path: call.url,
      rawHeaders: request.rawHeaders,
      body,
      deadlineAtMs: call.arrivedAtMs + deadlineMs,
      key,
      forwardedBy: singleHeader(request, FORWARDED_BY_HEADER),
      abandoned: () => call.response.destroyed,
    };
  }

  *#readBody(
    call: IncomingCall,
    deadlineMs: number,
  ): Operation<Buffer | undefined> {
    const { maximumBodyBytes, requestReadTimeoutMs } = this.#options.limits;
    const announced = Number(call.request.headers["content-length"] ?? 0);
    if (announced > maximumBodyBytes) throw bodyTooLarge(maximumBodyBytes);
    const heldBytes = announced > 0 ? announced : UNANNOUNCED_BODY_BYTES;
    this.#holdBody(call, heldBytes);
    const elapsedMs = this.#options.clock.monotonicMs() - call.arrivedAtMs;
    const read = readBody(call.request, {
      maximumBodyBytes,
      timeoutMs: Math.max(
        0,
        Math.min(requestReadTimeoutMs, deadlineMs) - elapsedMs,
      ),
    });
    call.connection.failBody = (error) => {
      // After a complete body the parser's error concerns the bytes that follow.
      if (!call.request.complete) read.fail(error);
    };
    const { parserError } = call.connection;
    if (parserError !== undefined) call.connection.failBody(parserError);
    try {
      const body = yield* until(read.body);
      if (body !== undefined && body.length > heldBytes) {
        this.#holdBody(call, body.length - heldBytes);
      }
      return body;
    } catch (error) {
      // What follows on the connection belongs to the unread body.
      if (!call.request.complete) call.connection.closing = true;
      throw error;
    }
  }

  /** Reserves memory for a body until the call has ended. */
  #holdBody(call: IncomingCall, bodyBytes: number): void {
    if (this.#heldBodyBytes + bodyBytes > MAXIMUM_HELD_BODY_BYTES) {
      throw new NotRunError(
        "queue_full",
        "Too many request bodies are held",
        HELD_BODIES_RETRY_MS,
      );
    }
    this.#heldBodyBytes += bodyBytes;
    call.response.once("close", () => this.#heldBodyBytes -= bodyBytes);
  }

  #outcomeOfError(
    error: unknown,
    requestId: string,
    service: string,
  ): Outcome {
    if (error instanceof NotRunError) {
      this.#noteRefusal(requestId, service, error);
      return { kind: "not_run", error };
    }
    this.#options.log.error("request failed", { reason: messageOf(error) });
    return outcomeUnknown("internal", "The request failed in this system");
  }

  #noteRefusal(requestId: string, service: string, error: NotRunError): void {
    this.#options.refusals.add({
      atMs: this.#options.clock.wallMs(),
      requestId,
      service,
      reason: error.kind,
      details: undefined,
    });
  }
}

/** Whether a URL's path is a resource or one below it. */
function isBelow(url: string, path: string | undefined): boolean {
  return path !== undefined && url.startsWith(path) &&
    (url.length === path.length || "/?".includes(url[path.length]!));
}

/** Whether so much of a body is left that the connection can't wait for its end. */
function isLongUnread(request: IncomingMessage): boolean {
  if (request.complete) return false;
  const announced = request.headers["content-length"];
  return announced === undefined
    ? request.headers["transfer-encoding"] !== undefined
    : Number(announced) > LONG_UNREAD_BYTES;
}

function isMalformed(outcome: Outcome): boolean {
  return outcome.kind === "not_run" &&
    outcome.error.kind === "malformed_request";
}

function cancelStream(outcome: Outcome): void {
  if ("response" in outcome && "source" in outcome.response) {
    outcome.response.source.cancel();
  }
}

/** Whether a keyed request was refused for a state of this entry, though an earlier request with the key may have run. */
function isUncheckedKey(call: IncomingCall, outcome: Outcome): boolean {
  if (outcome.kind !== "not_run") return false;
  const status = statusOfRefusal(outcome.error.kind);
  return (status === 503 || status === 408) &&
    singleHeader(call.request, IDEMPOTENCY_KEY_HEADER) !== undefined;
}
