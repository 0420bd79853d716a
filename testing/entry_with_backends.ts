import { findFreePort } from "./free_port.ts";
import {
  type RawBackend,
  rawResponse,
  startRawBackend,
  startTestEntry,
  type TestEntry,
  type TestEntryOptions,
} from "./request_entry.ts";
import { createTestFleet, type TestFleetOptions } from "./request_fleet.ts";

/** Options for `withEntry`. */
export interface EntrySetup extends Omit<TestEntryOptions, "fleet"> {
  readonly fleetOptions?: TestFleetOptions;
  /** A response function for each backend server of the pool `quoting`. */
  readonly backends: readonly Parameters<typeof startRawBackend>[0][];
  /** Number of additional addresses on which nothing listens. */
  readonly closedPorts?: number;
}

/** Runs a check against a new entry and its backend servers, and closes them afterwards. */
export async function withEntry(
  setup: EntrySetup,
  check: (context: {
    readonly entry: TestEntry;
    readonly backends: readonly RawBackend[];
    readonly fleet: ReturnType<typeof createTestFleet>;
  }) => Promise<void>,
): Promise<void> {
  const backends = await Promise.all(setup.backends.map(startRawBackend));
  const addresses = backends.map((backend) => backend.address);
  for (let count = 0; count < (setup.closedPorts ?? 0); count++) {
    addresses.unshift(`127.0.0.1:${await findFreePort()}`);
  }
  const fleet = createTestFleet(addresses, setup.fleetOptions);
  const entry = await startTestEntry({ ...setup, fleet });
  try {
    await check({ entry, backends, fleet });
  } finally {
    await entry.close();
    for (const backend of backends) backend.close();
  }
}

/** Writes the response of a raw backend server to one request. */
export type RawResponder = EntrySetup["backends"][number];
/** Responds with the request path as the body. */
export const respondWithPath: RawResponder = (socket, { path }) =>
  socket.write(rawResponse(path));
/** Closes the connection without a response. */
export const closeConnection: RawResponder = (socket) => socket.destroy();
/** Responds with the request path after a delay. */
export const respondAfter =
  (delayMs: number): RawResponder => (socket, request) => {
    setTimeout(() => respondWithPath(socket, request), delayMs);
  };
