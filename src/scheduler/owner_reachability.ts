import { connect } from "node:net";
import type { EntryDirectory } from "./entry_directory.ts";
import { EntryCallError } from "./entry_client.ts";

/** Entries that are asked whether they reach the owner. */
const PROBING_PEERS = 4;
/** Entries that must not reach it. */
const REQUIRED_FAILED_PROBES = 2;
/** Time for a connection to open, in ms; a lost packet is sent again after some 200 ms. */
const PROBE_TIMEOUT_MS = 600;

/** What another entry says of the owner. */
export type IndirectProbeResult = "reached" | "not_reached" | "no_answer";

/** Whether a connection to an entry can be opened. A busy entry accepts connections long before it answers calls; replacing it would only move its load. */
export function canConnect(address: string): Promise<boolean> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const end = (opened: boolean) => {
      socket.destroy();
      resolve(opened);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => end(false));
    socket.once("connect", () => end(true));
    socket.once("error", () => end(false));
  });
}

/** Whether an owner that this entry doesn't reach is gone: two others must say so as well, and none may reach it. */
export function isOwnerUnreachable(
  testimonies: readonly IndirectProbeResult[],
): boolean {
  return testimonies.filter((one) => one === "not_reached").length >=
      REQUIRED_FAILED_PROBES &&
    !testimonies.includes("reached");
}

/** Asks other entries whether they reach an owner that doesn't answer this one. */
export async function probeThroughPeers(
  ownerAddress: string,
  directory: EntryDirectory,
): Promise<IndirectProbeResult[]> {
  const witnesses = directory.list(PROBING_PEERS + 1)
    .filter((address) => address !== ownerAddress).slice(0, PROBING_PEERS);
  return await Promise.all(witnesses.map(async (address) => {
    try {
      const reached = await directory.client(address).reaches(ownerAddress);
      return reached ? "reached" : "not_reached";
    } catch (error) {
      if (!(error instanceof EntryCallError)) throw error;
      return "no_answer";
    }
  }));
}
