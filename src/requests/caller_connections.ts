import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
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
  /** Number of requests queued or being served. */
  pending: number;
  /** Error of the HTTP parser, after which it reads nothing more from this connection. */
  parserError: NotRunError | undefined;
  /** Whether the connection closes after the current response. */
  closing: boolean;
  /** Whether the task that serves the connection's requests has been started. */
  taskStarted: boolean;
  /**
   * Time at which the connection may have entered the accept queue, in monotonic
   * ms; undefined once a request sent before the accept would have been read.
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
  #connections = new WeakMap<Socket, CallerConnection>();
  #open = 0;

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get open(): number {
    return this.#open;
  }

  /** Registers a new connection. */
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
      // Bytes that had arrived by the accept are read before the event loop's second check phase.
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
   * Queues a request on its connection. The connection's task starts with the
   * first request, so that a connection whose requests are refused at once needs
   * no task, and ends when the socket closes.
   */
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

  /** Returns the state of a socket's connection; undefined if it wasn't added. */
  find(socket: Socket): CallerConnection | undefined {
    return this.#connections.get(socket);
  }
}
