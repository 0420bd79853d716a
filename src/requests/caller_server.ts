import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import { App, type Request, type Response } from "@tinyhttp/app";
import type { Scope } from "effection";
import type { Clock } from "../clock.ts";
import { LINGERING_CLOSE_MS } from "../connections/collect_body.ts";
import type { ConnectionBudget } from "../connections/connection_budget.ts";
import type { GuardedConnection } from "../connections/guarded_connection.ts";
import {
  findGuardedConnection,
  guardConnections,
} from "../connections/guarded_server.ts";
import { OUTCOME_HEADER, SYSTEM_PATH_PREFIX } from "../constants.ts";
import type { Logger } from "../logger.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import { AcceptQueueMonitor } from "./accept_queue.ts";
import {
  CallerConnections,
  type IncomingRequest,
} from "./caller_connections.ts";
import { buildErrorResponse, NotRunError } from "./outcome.ts";
import { writeReply } from "./reply.ts";
import type { RequestHandler } from "./request_handler.ts";
import { ServingLoop } from "./serving_loop.ts";

/** Dependencies and limits of the callers' HTTP server. */
export interface CallerServerOptions {
  readonly limits: ResolvedSettings["limits"];
  readonly budget: ConnectionBudget;
  readonly handler: RequestHandler;
  readonly scope: Scope;
  readonly clock: Clock;
  readonly log: Logger;
}

interface AcceptedConnection {
  readonly socket: Socket;
  /** Latest time at which the connection can have arrived, in monotonic ms. */
  readonly arrivedAtMs: number;
}

/** Keep-alive timeout, in ms; longer than the idle timeout of common load balancers. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
/** Interval at which Node checks connections for request timeouts, in ms. */
const SLOW_SENDER_CHECK_MS = 500;
/** Margin by which Node's request timeout exceeds the body timeout of the handler, in ms. */
const NODE_TIMEOUT_MARGIN_MS = 2_000;

/** Memory occupied by a byte of a body while it is received: in its chunk, and in the buffer that the chunks are joined to. */
const BODY_COST_FACTOR = 2;

/** Shortest wait until the release that counts towards a request's deadline, in ms. */
const MINIMUM_COUNTED_WAIT_MS = 10;

/** Creates the callers' HTTP server without starting to listen. */
export function createCallerServer(options: CallerServerOptions): Server {
  const { limits, budget, handler, scope, clock, log } = options;
  const connections = new CallerConnections({
    scope,
    serve: (incoming) => handler.serve(incoming),
    log,
  });

  const loop = new ServingLoop<AcceptedConnection, IncomingRequest>({
    release: ({ socket, arrivedAtMs }) => {
      const waitedMs = clock.monotonicMs() - arrivedAtMs;
      connections.register(
        parse(socket),
        waitedMs >= MINIMUM_COUNTED_WAIT_MS ? arrivedAtMs : undefined,
      );
      socket.resume();
    },
    serve: serveOrRefuse,
    afterIo: setImmediate,
    clock,
  });

  function enqueue(request: Request, response: Response): void {
    const connection = connections.find(request.socket)!;
    const incoming: IncomingRequest = {
      request,
      response: response as unknown as ServerResponse,
      url: request.originalUrl,
      arrivedAtMs: connection.queuedSinceMs ??
        findGuardedConnection(request)!.requestArrivedAtMs,
      connection,
    };
    handler.trackActive(incoming);
    if (!connections.add(incoming)) return;
    // Requests without a deadline, such as those to the system, are served first.
    loop.add(incoming, handler.findDeadline(incoming) ?? incoming.arrivedAtMs);
  }

  function serveOrRefuse(incoming: IncomingRequest): boolean {
    const { connection, response } = incoming;
    // With a pipelined request behind it, the handler refuses an expired request in its order.
    const refused = response.destroyed ||
      (connection.waiting.length === 1 && handler.refuseExpired(incoming));
    if (refused) connections.dropWaiting(connection);
    else connections.serveWaiting(connection);
    return !refused;
  }

  const app = new App({
    noMatchHandler: enqueue,
    settings: { xPoweredBy: false },
    // The request and response extensions are unused and cost more than the routing itself.
    applyExtensions: (_request, _response, next) => next?.(),
  });
  app.post(`${SYSTEM_PATH_PREFIX}keys`, (request, response) => {
    writeReply(response as unknown as ServerResponse, handler.issueKey(), {
      requestId: handler.resolveRequestId(request),
      closeConnection: handler.draining,
    });
  });

  const handle = (request: IncomingMessage, response: ServerResponse) =>
    void app.handler(request as Request, response as unknown as Response);
  const server = createServer(
    {
      maxHeaderSize: limits.maximumHeaderBytes,
      headersTimeout: limits.requestReadTimeoutMs,
      requestTimeout: limits.requestReadTimeoutMs + NODE_TIMEOUT_MARGIN_MS,
      connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      noDelay: true,
      // The handler checks the host header, because Node's own refusal has no outcome header.
      requireHostHeader: false,
    },
    handle,
  );
  // Disables the limit on the number of headers, beyond which Node drops them silently; maxHeaderSize bounds their size.
  server.maxHeadersCount = 0;
  server.on("checkExpectation", handle);
  // The HTTP parser of a connection starts when the serving loop releases it.
  const parse = guardConnections(server, {
    budget,
    maximumAheadBytes: () =>
      limits.maximumHeaderBytes + limits.maximumBodyBytes,
    bodyCostFactor: BODY_COST_FACTOR,
    clock,
  });
  // An option of the net server that the HTTP server doesn't take; a paused socket isn't read while it is held.
  Object.assign(server, { pauseOnConnect: true });
  // Node's HTTP server closes only the connections that it parses.
  const closeParsed = server.closeAllConnections.bind(server);
  server.closeAllConnections = () => {
    for (const { socket } of loop.takeHeld()) socket.destroy();
    closeParsed();
  };
  const acceptQueue = new AcceptQueueMonitor(server, clock);
  server.on("connection", (socket) => {
    const arrivedAtMs = acceptQueue.estimateArrivalMs(socket);
    loop.recordAccept(
      arrivedAtMs === undefined ? undefined : { socket, arrivedAtMs },
    );
  });
  server.on("connect", (_request, socket) => {
    writeRawError(
      socket,
      new NotRunError("method_not_allowed", "CONNECT isn't supported"),
    );
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    onClientError(error, socket as GuardedConnection);
  });

  function onClientError(
    error: NodeJS.ErrnoException,
    socket: GuardedConnection,
  ): void {
    const connection = connections.find(socket);
    const refusal = toParserRefusal(error);
    if (!socket.writable || refusal === undefined || socket.bytesRead === 0) {
      socket.destroy();
      return;
    }
    if (connection === undefined || connection.pending === 0) {
      if (socket.isParsingHeldInput) {
        // A refusal of bytes sent ahead could be taken for the response to the next request.
        socket.destroy();
        return;
      }
      handler.recordParserRefusal(refusal);
      writeRawError(socket, refusal);
      return;
    }
    // The parser failed in the current request's body or in the bytes that follow the request.
    connection.closing = true;
    connection.parserError = refusal;
    connection.abortBody?.(refusal);
  }

  return server;
}

function toParserRefusal(
  error: NodeJS.ErrnoException,
): NotRunError | undefined {
  if (error.code === "HPE_HEADER_OVERFLOW") {
    return new NotRunError("headers_too_large", "The headers are too large");
  }
  if (error.code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return new NotRunError("slow_sender", "The request arrives too slowly");
  }
  return error.code?.startsWith("HPE_")
    ? new NotRunError(
      "malformed_request",
      `The request isn't valid HTTP (${error.code})`,
    )
    : undefined;
}

/** Writes the error response for a request that the HTTP parser rejected. */
function writeRawError(socket: Duplex, error: NotRunError): void {
  const { status, headers, body } = buildErrorResponse(error);
  const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`];
  for (let index = 0; index < headers.length; index += 2) {
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  }
  lines.push(
    `${OUTCOME_HEADER}: not_run`,
    `content-length: ${body.length}`,
    "connection: close",
  );
  socket.on("error", () => {});
  socket.end(`${lines.join("\r\n")}\r\n\r\n${body}`);
  discardInput(socket);
}

function discardInput(socket: Duplex): void {
  socket.on("data", () => {});
  const timer = setTimeout(() => socket.destroy(), LINGERING_CLOSE_MS);
  socket.once("close", () => clearTimeout(timer));
}
