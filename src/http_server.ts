import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { type Operation, race, resource, sleep, until } from "effection";

/** Where a server listens. */
export interface ListenOptions {
  readonly host: string;
  /** 0 lets the operating system choose. */
  readonly port: number;
}

/** Starts a server for the life of the current scope; provides its `host:port`. */
export function useListeningServer(
  server: Server,
  options: ListenOptions,
): Operation<string> {
  return resource(function* (provide) {
    yield* until(
      new Promise<void>((resolve, reject) => {
        // Stays in place, because an error while accepting must not end the process.
        server.on("error", reject);
        server.listen(options.port, options.host, () => resolve());
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

/** Interval at which connections that have become idle are closed, in ms. */
const IDLE_CHECK_INTERVAL_MS = 20;

/** Stops a server once its connections are idle, at the latest after the time limit. */
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
