/** What the lendable slots of a pool depend on. */
export interface LendableSlotsInput {
  readonly lends: boolean;
  /** Slots of the instances that take new work. */
  readonly servingSlots: number;
  /** Owed availability in slots. */
  readonly minimumServingSlots: number;
  /** Demand of the pool's own service over all entries, in slots. */
  readonly ownDemandSlots: number;
}

/** Slots of a pool that requests of other services may use. */
export interface LendableSlots {
  readonly slots: number;
  readonly reason: "not_lending" | "owed" | "own_demand" | "nothing_spare";
}

/** Room for variation of the lender's own demand, as a factor. */
const OWN_DEMAND_MARGIN = 1.25;

/** Decides how many slots of a pool may serve requests of other services. */
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

/** A pool to which requests of another service could go. */
export interface OverflowCandidate {
  readonly pool: string;
  readonly spare: boolean;
  /** Slots of this entry's overflow limit that are free. */
  readonly freeSlots: number;
  /** Whether requests of the pool's own service are waiting. */
  readonly ownQueueWaiting: boolean;
}

/** Returns the pools to try for an overflowing request, best first: spare pools, then the most free slots. */
export function orderOverflowPools(
  candidates: readonly OverflowCandidate[],
): OverflowCandidate[] {
  return candidates
    .filter((pool) => pool.freeSlots > 0 && !pool.ownQueueWaiting)
    .sort((a, b) =>
      Number(b.spare) - Number(a.spare) || b.freeSlots - a.freeSlots
    );
}
