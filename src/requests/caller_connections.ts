import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { createQueue, type Operation, type Queue, type Scope } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { NotRunError } from "./outcome.ts";

/** A request whose headers have been parsed and whose body hasn't been read yet. */
export interface IncomingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Path and query as received. */
  readonly url: string;
  /** Arrival time, in monotonic ms. */
  readonly arrivedAtMs: number;
  readonly connection: CallerConnection;
}

/** State of one caller's connection. */
export interface CallerConnection {
  readonly queue: Queue<IncomingRequest, void>;
  /** Aborts reading the current request's body; undefined when no body is being read. */
  abortBody: ((error: NotRunError) => void) | undefined;
  /** Requests that wait for the connection's turn, in the order of their arrival. */
  waiting: IncomingRequest[];
  /** Number of requests waiting, queued or being served. */
  pending: number;
  /** Error of the HTTP parser, after which it reads nothing more from this connection. */
  parserError: NotRunError | undefined;
  /** Whether the connection closes after the current response. */
  closing: boolean;
  /** Whether the task that serves the connection's requests has been started. */
  taskStarted: boolean;
  /**
   * Time at which the connection may have entered the accept queue, in monotonic
   * ms; undefined once a request sent before the release would have been read.
   */
  queuedSinceMs: number | undefined;
}

/** Serves the requests of one connection in order. */
function* serveConnection(
  connection: CallerConnection,
  serve: (incoming: IncomingRequest) => Operation<void>,
): Operation<void> {
  while (true) {
    const next = yield* connection.queue.next();
    if (next.done) return;
    yield* serve(next.value);
    connection.pending--;
    // Pipelined requests that follow the last one are dropped.
    if (connection.closing) return;
  }
}

/** Dependencies of the connections' tasks. */
export interface CallerConnectionsOptions {
  readonly scope: Scope;
  readonly serve: (incoming: IncomingRequest) => Operation<void>;
  readonly log: Logger;
}

/** Open connections of callers, each served by its own task. */
export class CallerConnections {
  #options: CallerConnectionsOptions;
  #connections = new WeakMap<Duplex, CallerConnection>();
  #open = 0;

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get open(): number {
    return this.#open;
  }

  /** Registers a connection whose requests are about to be parsed. */
  register(socket: Duplex, queuedSinceMs?: number): void {
    const connection: CallerConnection = {
      queue: createQueue<IncomingRequest, void>(),
      waiting: [],
      abortBody: undefined,
      pending: 0,
      parserError: undefined,
      closing: false,
      taskStarted: false,
      queuedSinceMs,
    };
    if (queuedSinceMs !== undefined) {
      // Bytes that had arrived by now are read before the event loop's second check phase.
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

  /**
   * Adds a parsed request to its connection; returns whether the connection now
   * needs a turn by `serveWaiting`. A pipelined request follows the one before it.
   */
  add(incoming: IncomingRequest): boolean {
    const { connection } = incoming;
    connection.pending++;
    if (connection.pending > 1 && connection.waiting.length === 0) {
      connection.queue.add(incoming);
      return false;
    }
    connection.waiting.push(incoming);
    return connection.pending === 1;
  }

  /** Removes the waiting requests without serving them, because they were refused or the caller has disconnected. */
  dropWaiting(connection: CallerConnection): void {
    connection.pending -= connection.waiting.splice(0).length;
  }

  /**
   * Serves the waiting requests of a connection. The connection's task starts
   * with its first served request, so that a connection whose requests are
   * refused at once needs no task, and ends when the socket closes.
   */
  serveWaiting(connection: CallerConnection): void {
    const { scope, serve, log } = this.#options;
    const waiting = connection.waiting.splice(0);
    for (const incoming of waiting) connection.queue.add(incoming);
    if (connection.taskStarted || waiting.length === 0) return;
    connection.taskStarted = true;
    const { socket } = waiting[0]!.request;
    scope.run(() => serveConnection(connection, serve)).catch((error) => {
      if (!socket.destroyed) {
        log.error("connection task failed", { reason: messageOf(error) });
      }
      socket.destroy();
    });
  }

  /** Returns the state of a socket's connection; undefined if it wasn't registered. */
  find(socket: Duplex): CallerConnection | undefined {
    return this.#connections.get(socket);
  }
}
