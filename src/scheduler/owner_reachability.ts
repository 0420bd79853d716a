import { connect } from "node:net";
import type { EntryDirectory } from "./entry_directory.ts";
import { EntryCallError } from "./entry_client.ts";
import { isNetworkAddress } from "./network_address.ts";

/** Number of entries that are asked to probe the owner. */
const PROBING_PEERS = 4;
/** Number of failed probes required to declare the owner unreachable. */
const REQUIRED_FAILED_PROBES = 2;
/** Connect timeout of a probe, in ms; a lost packet is retransmitted after about 200 ms. */
const PROBE_TIMEOUT_MS = 600;

/** Result of another entry's probe of the owner. */
export type IndirectProbeResult = "reached" | "not_reached" | "no_answer";

/**
 * Checks whether a connection to an entry can be opened. An overloaded entry
 * still accepts connections when it no longer responds to calls; replacing it
 * would only move its load.
 */
export function canConnect(address: string): Promise<boolean> {
  if (!isNetworkAddress(address)) return Promise.resolve(false);
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const finish = (opened: boolean) => {
      socket.destroy();
      resolve(opened);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => finish(false));
    socket.once("connect", () => finish(true));
    socket.once("error", () => finish(false));
  });
}

/** Whether an owner that this entry can't reach counts as failed: probes of two other entries must have failed and none succeeded. */
export function isOwnerUnreachable(
  results: readonly IndirectProbeResult[],
): boolean {
  return results.filter((result) => result === "not_reached").length >=
      REQUIRED_FAILED_PROBES &&
    !results.includes("reached");
}

/** Asks other entries to probe an owner that this entry can't reach. */
export async function probeThroughPeers(
  ownerAddress: string,
  directory: EntryDirectory,
): Promise<IndirectProbeResult[]> {
  const peers = directory.list(PROBING_PEERS + 1)
    .filter((address) => address !== ownerAddress).slice(0, PROBING_PEERS);
  return await Promise.all(peers.map(async (address) => {
    try {
      const reached = await directory.client(address).reaches(ownerAddress);
      return reached ? "reached" : "not_reached";
    } catch (error) {
      if (!(error instanceof EntryCallError)) throw error;
      return "no_answer";
    }
  }));
}
