import { EntryCallError, type EntryClient } from "./entry_client.ts";
import type { StoredItem } from "./ports.ts";

/** Asks other entries for a configuration that was changed after a store revision; returns the latest, undefined if none has one. */
export async function readConfigFromPeers(
  peers: readonly EntryClient[],
  revision: number,
): Promise<StoredItem | undefined> {
  const items = await Promise.all(peers.map(async (peer) => {
    try {
      return await peer.configAfter(revision);
    } catch (error) {
      if (!(error instanceof EntryCallError)) throw error;
      return undefined;
    }
  }));
  return items.reduce(
    (latest, item) =>
      item !== undefined && item.revision > (latest?.revision ?? revision)
        ? item
        : latest,
    undefined,
  );
}
