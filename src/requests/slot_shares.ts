import { computeLendableSlots, type LendableSlots } from "./overflow.ts";
import { rendezvousHash } from "./rendezvous_hash.ts";

/** Demand of one entry for the slots of a pool. */
export interface EntryDemand {
  readonly entryId: string;
  /** Demand for the pool's own service, in slots. */
  readonly ownSlots: number;
  /** Whether requests for the pool's own service are queued or in flight. */
  readonly ownActive: boolean;
  /** Demand for the pool's other services that exceeds the slots of their own pools, in slots. */
  readonly overflowSlots: number;
}

/** Inputs for the slot shares of one pool. */
export interface SlotSharesInput {
  readonly pool: string;
  readonly instances: readonly {
    readonly vmId: string;
    readonly slots: number;
  }[];
  readonly lends: boolean;
  readonly minimumServingSlots: number;
  readonly entries: readonly EntryDemand[];
}

/** Distribution of a pool's slots over the entries. */
export interface SlotShares {
  readonly lendable: LendableSlots;
  /** By entry id: the entry's slots over all instances, and how many of them may serve other services. */
  readonly entries: ReadonlyMap<
    string,
    { readonly slots: number; readonly overflowLimit: number }
  >;
  /** Slots of each instance by VM id and entry id. */
  readonly instances: ReadonlyMap<string, ReadonlyMap<string, number>>;
}

/** Claim of one entry in the division of slots. */
interface Claim {
  /** Id of the entry. */
  readonly id: string;
  readonly weight: number;
  /** Minimum number of slots, granted while there are enough. */
  readonly minimum: number;
}

/** Minimum weight of an entry, in slots, so that the first request of an idle entry can find a slot. */
const IDLE_WEIGHT_SLOTS = 0.25;

/** Divides slots by weight; remainders go to the largest fractions, with ties broken by rendezvous hash. */
export function divideSlots(
  total: number,
  claims: readonly Claim[],
  key: string,
): Map<string, number> {
  const shares = new Map(claims.map((claim) => [claim.id, 0]));
  const byHash = claims.toSorted((a, b) =>
    rendezvousHash(key, b.id) - rendezvousHash(key, a.id) ||
    (a.id < b.id ? -1 : 1)
  );
  let remaining = total;
  for (const claim of byHash) {
    const granted = Math.min(remaining, claim.minimum);
    shares.set(claim.id, granted);
    remaining -= granted;
  }
  // Fair shares are computed over all slots, so that minimums count towards them.
  const weightSum = claims.reduce((sum, claim) => sum + claim.weight, 0);
  const fairShare = (claim: Claim) =>
    weightSum === 0 ? 0 : total * claim.weight / weightSum;
  while (remaining > 0 && claims.length > 0) {
    let recipient = byHash[0]!;
    let largestDeficit = -Infinity;
    for (const claim of byHash) {
      const deficit = fairShare(claim) - (shares.get(claim.id) ?? 0);
      if (deficit > largestDeficit + 1e-9) {
        recipient = claim;
        largestDeficit = deficit;
      }
    }
    const step = Math.max(1, Math.min(remaining, Math.floor(largestDeficit)));
    shares.set(recipient.id, (shares.get(recipient.id) ?? 0) + step);
    remaining -= step;
  }
  return shares;
}

/** Distributes each entry's slots evenly over the instances, within each instance's number of slots. */
function distributeSlots(
  instances: SlotSharesInput["instances"],
  totals: ReadonlyMap<string, number>,
): Map<string, Map<string, number>> {
  const remaining = new Map(totals);
  let slotsLeft = instances.reduce((sum, item) => sum + item.slots, 0);
  const distribution = new Map<string, Map<string, number>>();
  for (const { vmId, slots } of instances) {
    const claims = [...remaining].filter(([, left]) => left > 0)
      .map(([id, left]) => ({ id, weight: left, minimum: 0 }));
    const share = divideSlots(
      Math.min(slots, slotsLeft),
      claims,
      vmId,
    );
    for (const [id, count] of share) {
      remaining.set(id, (remaining.get(id) ?? 0) - count);
    }
    slotsLeft -= slots;
    distribution.set(vmId, share);
  }
  return distribution;
}

/** Computes every entry's share of a pool's slots; deterministic, so that entries with the same digests agree. */
export function computeSlotShares(input: SlotSharesInput): SlotShares {
  const entries = input.entries.toSorted((a, b) =>
    a.entryId < b.entryId ? -1 : 1
  );
  const total = input.instances.reduce((sum, item) => sum + item.slots, 0);
  const lendable = computeLendableSlots({
    lends: input.lends,
    servingSlots: total,
    minimumServingSlots: input.minimumServingSlots,
    ownDemandSlots: entries.reduce((sum, entry) => sum + entry.ownSlots, 0),
  });
  const ownShares = divideSlots(
    total - lendable.slots,
    entries.map((entry) => ({
      id: entry.entryId,
      weight: Math.max(entry.ownSlots, IDLE_WEIGHT_SLOTS),
      minimum: entry.ownActive ? 1 : 0,
    })),
    `${input.pool}/own`,
  );
  const overflowShares = divideSlots(
    lendable.slots,
    entries.map((entry) => ({
      id: entry.entryId,
      weight: Math.max(entry.overflowSlots, IDLE_WEIGHT_SLOTS),
      minimum: 0,
    })),
    `${input.pool}/overflow`,
  );
  const totals = new Map<string, number>();
  const shares = new Map<string, { slots: number; overflowLimit: number }>();
  for (const { entryId } of entries) {
    const overflowLimit = overflowShares.get(entryId) ?? 0;
    const slots = (ownShares.get(entryId) ?? 0) + overflowLimit;
    totals.set(entryId, slots);
    shares.set(entryId, { slots, overflowLimit });
  }
  return {
    lendable,
    entries: shares,
    instances: distributeSlots(input.instances, totals),
  };
}

/** Returns the maximum number of connections that one entry may open to one instance. */
export function computeConnectionLimit(
  connections: number,
  entryCount: number,
): number {
  return Math.max(1, Math.floor(connections / Math.max(1, entryCount)));
}
