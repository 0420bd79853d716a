/** Inputs for the lendable slots of a pool. */
export interface LendableSlotsInput {
  /** Whether the pool lends slots to other services at all. */
  readonly lends: boolean;
  /** Slots of the instances that accept new requests. */
  readonly servingSlots: number;
  /** Slots of the pool's minimum of serving VMs, which aren't lent. */
  readonly minimumServingSlots: number;
  /** Demand for the pool's own service over all entries, in slots. */
  readonly ownDemandSlots: number;
}

/** Slots of a pool that requests of other services may use, and what limits them. */
export interface LendableSlots {
  readonly slots: number;
  /** What limits the lendable slots; `owed` stands for the minimum of serving VMs. */
  readonly reason: "not_lending" | "owed" | "own_demand" | "nothing_spare";
}

/** Factor by which the reserved slots exceed the lender's own demand, to absorb its variation. */
const OWN_DEMAND_MARGIN = 1.25;

/** Returns the slots of a pool that may serve requests of other services. */
export function computeLendableSlots(input: LendableSlotsInput): LendableSlots {
  if (!input.lends) return { slots: 0, reason: "not_lending" };
  const ownSlots = Math.ceil(input.ownDemandSlots * OWN_DEMAND_MARGIN);
  const reserved = Math.max(input.minimumServingSlots, ownSlots);
  const slots = Math.max(0, Math.floor(input.servingSlots - reserved));
  if (slots === 0) return { slots, reason: "nothing_spare" };
  return {
    slots,
    reason: ownSlots > input.minimumServingSlots ? "own_demand" : "owed",
  };
}

/** A pool that may serve overflow requests of another service. */
export interface OverflowCandidate {
  readonly pool: string;
  readonly spare: boolean;
  /** Unused part of this entry's overflow limit, in slots. */
  readonly freeSlots: number;
  /** Whether requests for the pool's own service are queued. */
  readonly ownQueueWaiting: boolean;
}

/** Returns the pools that can take an overflow request, in order of preference: spare pools first, then by free slots. */
export function orderOverflowPools(
  candidates: readonly OverflowCandidate[],
): OverflowCandidate[] {
  return candidates
    .filter((pool) => pool.freeSlots > 0 && !pool.ownQueueWaiting)
    .sort((a, b) =>
      Number(b.spare) - Number(a.spare) || b.freeSlots - a.freeSlots
    );
}
