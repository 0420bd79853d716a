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

/** What an entry and its backend servers are started from. */
export interface EntrySetup extends Omit<TestEntryOptions, "fleet"> {
  readonly fleetOptions?: TestFleetOptions;
  /** Backend servers of the pool `quoting`, by how they respond. */
  readonly backends: readonly Parameters<typeof startRawBackend>[0][];
  /** Addresses at which nothing listens. */
  readonly closedPorts?: number;
}

/** Starts backend servers and one entry, runs a check and closes all. */
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

/** How a backend server responds to one request. */
export type RawResponder = EntrySetup["backends"][number];
/** Responds with the path. */
export const respondWithPath: RawResponder = (socket, { path }) =>
  socket.write(rawResponse(path));
/** Closes the connection without a response. */
export const closeConnection: RawResponder = (socket) => socket.destroy();
/** Responds with the path after a delay. */
export const respondAfter =
  (delayMs: number): RawResponder => (socket, request) => {
    setTimeout(() => respondWithPath(socket, request), delayMs);
  };
