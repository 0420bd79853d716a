import type { EntryDirectory } from "./entry_directory.ts";
import { type OwnerClient, OwnerError } from "./owner_client.ts";

/** Entries that are asked whether they reach the owner. */
const WITNESSES = 4;

/** What another entry says of the owner. */
export type Testimony = "reached" | "not_reached" | "no_answer";

/** Calls an entry over a new connection, as open ones may have gone silent. */
export async function reachesEntry(
  address: string,
  connect: (address: string) => OwnerClient,
): Promise<boolean> {
  const client = connect(address);
  try {
    await client.owner();
    return true;
  } catch (error) {
    if (!(error instanceof OwnerError)) throw error;
    return false;
  } finally {
    client.close();
  }
}

/** Whether an owner that doesn't answer this entry is gone: another entry must say so as well, and none may reach it. */
export function isOwnerGone(testimonies: readonly Testimony[]): boolean {
  return testimonies.includes("not_reached") &&
    !testimonies.includes("reached");
}

/** Asks other entries whether they reach an owner that doesn't answer this one. */
export async function askWitnesses(
  ownerAddress: string,
  directory: EntryDirectory,
): Promise<Testimony[]> {
  const witnesses = directory.list(WITNESSES + 1)
    .filter((address) => address !== ownerAddress).slice(0, WITNESSES);
  return await Promise.all(witnesses.map(async (address) => {
    try {
      const reached = await directory.client(address).reaches(ownerAddress);
      return reached ? "reached" : "not_reached";
    } catch (error) {
      if (!(error instanceof OwnerError)) throw error;
      return "no_answer";
    }
  }));
}
