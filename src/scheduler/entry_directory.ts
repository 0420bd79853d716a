import type { EntryClient } from "./entry_client.ts";
import { isNetworkAddress } from "./network_address.ts";

/** Maximum number of callers' addresses kept; the least recent are dropped first. */
const MAXIMUM_CALLERS = 32;

/** Addresses and clients of other entries. */
export interface EntryDirectory {
  /** Returns the cached client of an entry. */
  client(address: string): EntryClient;
  /** Records the IP address of an entry that has called this one; all entries use the same port for peers. */
  recordCaller(ip: string): void;
  /** Returns addresses of other entries: the most recent callers, then the seeds. */
  list(limit: number): string[];
}

/** Creates the entry directory of the entry at `selfAddress`. */
export function createEntryDirectory(options: {
  readonly selfAddress: string;
  readonly seedPeers: readonly string[];
  readonly connect: (address: string) => EntryClient;
}): EntryDirectory {
  const { selfAddress, seedPeers, connect } = options;
  const port = selfAddress.split(":")[1];
  const clients = new Map<string, EntryClient>();
  /** Addresses ordered by their most recent call. */
  const callers = new Set<string>();
  return {
    client(address) {
      let client = clients.get(address);
      if (client === undefined) {
        client = connect(address);
        clients.set(address, client);
      }
      return client;
    },
    recordCaller(ip) {
      const address = `${ip.replace(/^::ffff:/, "")}:${port}`;
      // A connection that was reset has no address any more.
      if (!isNetworkAddress(address)) return;
      callers.delete(address);
      callers.add(address);
      if (callers.size <= MAXIMUM_CALLERS) return;
      for (const oldest of callers) {
        callers.delete(oldest);
        break;
      }
    },
    list: (limit) =>
      [...new Set([...[...callers].reverse(), ...seedPeers])]
        .filter((address) => address !== selfAddress).slice(0, limit),
  };
}
