import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { type Operation, resource, until } from "effection";

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
        server.once("error", reject);
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
