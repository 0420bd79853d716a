import type { PoolConfig } from "../config/schema.ts";
import type { PoolAvailability } from "./availability.ts";
import { expectedPeakSlots, movesWeightShare } from "./demand.ts";
import { isWindowOpen } from "../config/daily_window.ts";
import type { PlanningContext } from "./planning_context.ts";

/** Lead time for returning the owner's VMs before an expected surge, in ms; one bucket of the demand history. */
export const RETURN_LEAD_MS = 15 * 60_000;

/** Utilisation limits that are derived from the two weights, as shares of the capacity. */
export interface LendingLimits {
  /** A pool above this limit borrows VMs. */
  readonly borrowAbove: number;
  /** A pool lends only if its current and expected demand keep it below this limit. */
  readonly lendBelow: number;
  /** An owner above this limit reclaims its VMs; it is higher than `lendBelow`, so that a loan does not end at once. */
  readonly reclaimAbove: number;
  /** Minimum difference between the borrower's utilisation and that of the lender after the loan. */
  readonly minimumGain: number;
  /** A loan is no longer needed if the borrower stays below this limit without it. */
  readonly returnBelow: number;
}

/** Derives the limits; a higher weight of moves widens every gap between starting and ending a loan (hysteresis). */
export function resolveLendingLimits(context: PlanningContext): LendingLimits {
  const share = movesWeightShare(context.config);
  const borrowAbove = 0.75 + 0.125 * share;
  const reclaimAbove = 0.9 + 0.09 * share;
  return {
    borrowAbove,
    reclaimAbove,
    lendBelow: reclaimAbove - 0.08 - 0.25 * share,
    minimumGain: 0.41 * share,
    returnBelow: borrowAbove - 0.1 - 0.5 * share,
  };
}

/** Demand and capacity of one pool during a step. */
export interface PoolLoad {
  readonly pool: PoolConfig;
  readonly counts: PoolAvailability;
  readonly slotsPerVm: number;
  /** Smoothed demand, in slots. */
  readonly levelSlots: number;
  /** Expected peak demand within `RETURN_LEAD_MS`, in slots. */
  readonly expectedSlots: number;
  /** Whether a lending window is open. */
  readonly lendingOpen: boolean;
  /** Slots that overflow to other pools is expected to provide. */
  overflowSlots: number;
  /** VMs that serve in the pool or are moving to it. */
  capacityVms: number;
}

/**
 * Returns demand divided by capacity, including overflow and optionally with VMs added or removed; Infinity for
 * demand without capacity.
 */
export function utilisation(
  load: PoolLoad,
  options: { addedVms?: number; expected?: boolean } = {},
): number {
  const vms = load.capacityVms + (options.addedVms ?? 0);
  const slots = vms * load.slotsPerVm + load.overflowSlots;
  const demand = options.expected
    ? Math.max(load.levelSlots, load.expectedSlots)
    : load.levelSlots;
  if (slots <= 0) return demand > 0 ? Infinity : 0;
  return demand / slots;
}

/** Slots that a pool can provide to others by overflow, beyond its own demand and its budget. */
function countFreeSlots(load: PoolLoad): number {
  const reservedSlots = load.counts.minimumServingVms * load.slotsPerVm;
  const slots = load.capacityVms * load.slotsPerVm;
  return Math.max(0, slots - Math.max(reservedSlots, load.levelSlots));
}

/** Adds the expected overflow in proportion to the weight of moves, since overflow needs no move. */
function addOverflow(loads: ReadonlyMap<string, PoolLoad>, share: number) {
  for (const load of loads.values()) {
    const ownService = load.pool.services[0] ?? "";
    let availableSlots = 0;
    for (const other of loads.values()) {
      const serves = other !== load && other.pool.lending.overflow &&
        other.pool.services.includes(ownService);
      if (serves) availableSlots += countFreeSlots(other);
    }
    load.overflowSlots = share * availableSlots;
  }
}

/** Collects demand and capacity of each pool. */
export function collectPoolLoads(
  context: PlanningContext,
  availability: ReadonlyMap<string, PoolAvailability>,
): Map<string, PoolLoad> {
  const { config, demand, nowMs } = context;
  const slotsByService = new Map(
    config.services.map((service) => [service.name, service.slotsPerInstance]),
  );
  const loads = new Map<string, PoolLoad>();
  for (const pool of context.pools.values()) {
    const counts = availability.get(pool.name);
    if (counts === undefined) continue;
    loads.set(pool.name, {
      pool,
      counts,
      slotsPerVm: slotsByService.get(pool.services[0] ?? "") ?? 1,
      levelSlots: demand.pools[pool.name]?.levelSlots ?? 0,
      expectedSlots: expectedPeakSlots(demand, pool.name, {
        fromMs: nowMs,
        forMs: RETURN_LEAD_MS,
      }),
      lendingOpen: isWindowOpen(pool.lending.windows, nowMs),
      overflowSlots: 0,
      capacityVms: counts.serving + counts.incoming,
    });
  }
  addOverflow(loads, movesWeightShare(config));
  return loads;
}
