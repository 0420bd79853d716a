import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "../../logger.ts";
import { EntryCallError, type EntryClient } from "../entry_client.ts";
import type { Owner } from "../ownership.ts";
import type { RelayOffer } from "./control.ts";

/** Pause between two offers to an owner that didn't take the first, in ms. */
const RETRY_DELAY_MS = 150;
/** Number of offers to one owner. */
const MAXIMUM_ATTEMPTS = 20;

/** Offers this entry as a relay to each new owner. */
export interface RelayOffers {
  offerTo(owner: Owner): void;
}

/** Creates the offers of this entry. */
export function createRelayOffers(options: {
  readonly offer: RelayOffer;
  readonly client: (address: string) => EntryClient;
  /** Whether the owner is still the latest that this entry knows of. */
  readonly isLatest: (owner: Owner) => boolean;
  readonly log: Logger;
}): RelayOffers {
  const { offer, client, isLatest, log } = options;

  async function offerUntilTaken(owner: Owner): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      if (!isLatest(owner)) return;
      try {
        await client(owner.address).offerRelay(offer);
        return;
      } catch (error) {
        if (!(error instanceof EntryCallError)) throw error;
      }
      await delay(RETRY_DELAY_MS);
    }
    log.info("the owner takes no relay", { owner: owner.entryId });
  }

  return { offerTo: (owner) => void offerUntilTaken(owner) };
}
