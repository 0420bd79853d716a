import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createQueue, type Operation, type Queue, type Scope } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { NotRunError } from "./outcome.ts";

/** One request as it arrived, before its body is read. */
export interface IncomingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Path and query as the caller sent them. */
  readonly url: string;
  /** Monotonic time of the arrival, in ms. */
  readonly arrivedAtMs: number;
  readonly connection: CallerConnection;
}

/** One caller's connection and its task. */
export interface CallerConnection {
  readonly queue: Queue<IncomingRequest, void>;
  /** Ends the reading of the current request's body, while it is being read. */
  abortBody: ((error: NotRunError) => void) | undefined;
  /** Requests that wait or are being served. */
  pending: number;
  /** Error of the HTTP parser, which reads no more of this connection. */
  parserError: NotRunError | undefined;
  /** Whether the connection ends with the current response. */
  closing: boolean;
  /** Whether the task runs that serves the connection's requests. */
  taskStarted: boolean;
  /** Time since which a first request may have waited in the accept queue, in monotonic ms; undefined once it would have been read. */
  queuedSinceMs: number | undefined;
}

/** Task of one caller's connection: serves its requests one after the other. */
function* serveConnection(
  connection: CallerConnection,
  serve: (incoming: IncomingRequest) => Operation<void>,
): Operation<void> {
  while (true) {
    const next = yield* connection.queue.next();
    if (next.done) return;
    yield* serve(next.value);
    connection.pending--;
    // Requests that were read after the last one aren't served.
    if (connection.closing) return;
  }
}

/** What the connections' tasks work with. */
export interface CallerConnectionsOptions {
  readonly scope: Scope;
  readonly serve: (incoming: IncomingRequest) => Operation<void>;
  readonly log: Logger;
}

/** The open connections of callers, one task each. */
export class CallerConnections {
  #options: CallerConnectionsOptions;
  #connections = new WeakMap<Socket, CallerConnection>();
  #open = 0;

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  get open(): number {
    return this.#open;
  }

  /** Takes a new connection. */
  add(socket: Socket, queuedSinceMs?: number): void {
    const connection: CallerConnection = {
      queue: createQueue<IncomingRequest, void>(),
      abortBody: undefined,
      pending: 0,
      parserError: undefined,
      closing: false,
      taskStarted: false,
      queuedSinceMs,
    };
    if (queuedSinceMs !== undefined) {
      // Bytes that were there on arrival are read before the second check phase.
      setImmediate(() =>
        setImmediate(() => connection.queuedSinceMs = undefined)
      );
    }
    this.#connections.set(socket, connection);
    this.#open++;
    socket.once("close", () => {
      this.#open--;
      connection.queue.close();
    });
  }

  /** Serves a call after those before it on its connection. The connection's task starts with its first call, so that connections that are only refused cost none, and ends once the socket is closed. */
  serve(incoming: IncomingRequest): void {
    const { scope, serve, log } = this.#options;
    const { connection } = incoming;
    connection.pending++;
    connection.queue.add(incoming);
    if (connection.taskStarted) return;
    connection.taskStarted = true;
    scope.run(() => serveConnection(connection, serve)).catch((error) => {
      const { socket } = incoming.request;
      if (!socket.destroyed) {
        log.error("connection task failed", { reason: messageOf(error) });
      }
      socket.destroy();
    });
  }

  find(socket: Socket): CallerConnection | undefined {
    return this.#connections.get(socket);
  }
}
