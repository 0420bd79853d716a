import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  GuardedConnection,
  type GuardedConnectionOptions,
} from "./guarded_connection.ts";
import { TurnQueue } from "./turn_queue.ts";

/** Starts to parse the requests of a socket through a guarded connection. */
export type ParseConnection = (socket: Socket) => GuardedConnection;

/** Returns the guarded connection of a request; undefined for a server without guards. */
export function findGuardedConnection(
  request: IncomingMessage,
): GuardedConnection | undefined {
  const socket: unknown = request.socket;
  return socket instanceof GuardedConnection ? socket : undefined;
}

/**
 * Puts guarded connections between the sockets of an HTTP server and its parser.
 * The caller of the returned function decides when a connection is parsed.
 */
export function guardConnections(
  server: Server,
  options: Omit<GuardedConnectionOptions, "turns">,
): ParseConnection {
  const turns = new TurnQueue(options.clock);
  // Node documents `connection` events with any duplex stream; this listener handles them.
  const [parse] = server.listeners("connection") as [
    (this: Server, connection: GuardedConnection) => void,
  ];
  server.off("connection", parse);
  function track(request: IncomingMessage, response: ServerResponse): void {
    findGuardedConnection(request)?.trackRequest(request, response);
  }
  server.prependListener("request", track);
  server.prependListener("checkExpectation", track);
  return (socket) => {
    const connection = new GuardedConnection(socket, { ...options, turns });
    if (!connection.destroyed) parse.call(server, connection);
    return connection;
  };
}
