import type { EntryClient } from "./entry_client.ts";

/** Most callers that are remembered; the oldest are forgotten first. */
const MAXIMUM_CALLERS = 32;

/** Other entries that this one may call. */
export interface EntryDirectory {
  /** The client of an entry; its connections are kept. */
  client(address: string): EntryClient;
  /** Notes that the entry on a VM has called; its address has the same port as ours. */
  recordCaller(ip: string): void;
  /** Addresses of other entries, the latest callers first, then the seeds. */
  list(limit: number): string[];
}

/** Creates the directory of the entry at `selfAddress`. */
export function createEntryDirectory(options: {
  readonly selfAddress: string;
  readonly seedPeers: readonly string[];
  readonly connect: (address: string) => EntryClient;
}): EntryDirectory {
  const { selfAddress, seedPeers, connect } = options;
  const port = selfAddress.split(":")[1];
  const clients = new Map<string, EntryClient>();
  /** Addresses in the order of their latest call. */
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
