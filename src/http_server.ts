import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { type Operation, race, resource, sleep, until } from "effection";

/** Listening address of a server. */
export interface ListenOptions {
  readonly host: string;
  /** 0 lets the operating system choose a free port. */
  readonly port: number;
  /** Maximum number of connections that the process hasn't accepted yet. */
  readonly maximumUnaccepted?: number;
}

/** Time in which a request head must arrive, in ms; also the longest time for which a new connection may be silent. */
const HEAD_TIMEOUT_MS = 5_000;

/** Limits the connections of a server for other parts of the system; further ones are closed at once. */
export function limitConnections(
  server: Server,
  maximumConnections: number,
): Server {
  server.maxConnections = maximumConnections;
  server.headersTimeout = HEAD_TIMEOUT_MS;
  return server;
}

/** Runs a server for the lifetime of the current scope; provides its `host:port`. */
export function useListeningServer(
  server: Server,
  options: ListenOptions,
): Operation<string> {
  return resource(function* (provide) {
    yield* until(
      new Promise<void>((resolve, reject) => {
        // Stays attached, because an unhandled error while accepting connections would end the process.
        server.on("error", reject);
        const { host, port, maximumUnaccepted: backlog } = options;
        server.listen({ host, port, backlog }, () => resolve());
      }),
    );
    const { address, port } = server.address() as AddressInfo;
    try {
      yield* provide(`${address}:${port}`);
    } finally {
      server.close();
      server.closeAllConnections();
    }
  });
}

/** Interval at which idle connections are closed, in ms. */
const IDLE_CHECK_INTERVAL_MS = 20;

/** Stops accepting connections and closes each open one once it is idle; returns after the timeout at the latest. */
export function* closeGracefully(
  server: Server,
  timeoutMs: number,
): Operation<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  function* closeIdleConnections(): Operation<void> {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      server.closeIdleConnections();
      yield* sleep(IDLE_CHECK_INTERVAL_MS);
    }
  }
  yield* race([until(closed), closeIdleConnections()]);
}
