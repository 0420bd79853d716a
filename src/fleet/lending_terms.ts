import type { PoolConfig } from "../config/schema.ts";
import type { PoolAvailability } from "./availability.ts";
import { expectedPeakSlots, movesWeightShare } from "./demand.ts";
import { isLendingOpen } from "./lending_window.ts";
import type { PlanningContext } from "./planning_context.ts";

/** Time before an expected surge at which the owner's VMs go back, in ms; one part of the demand history. */
export const RETURN_LEAD_MS = 15 * 60_000;

/** Utilisation limits that follow from the two weights. */
export interface LendingLimits {
  /** A pool above it borrows. */
  readonly borrowAbove: number;
  /** A pool lends only if it stays below it. */
  readonly lendBelow: number;
  /** A loan that the borrower can miss at this utilisation is no longer needed. */
  readonly returnBelow: number;
}

/** Moves with more weight widen the gap between borrowing and giving back (hysteresis). */
export function resolveLendingLimits(context: PlanningContext): LendingLimits {
  const share = movesWeightShare(context.config);
  const borrowAbove = 0.7 + 0.2 * share;
  return {
    borrowAbove,
    lendBelow: borrowAbove - 0.1 - 0.1 * share,
    returnBelow: borrowAbove - 0.2 - 0.4 * share,
  };
}

/** Demand and capacity of one pool during a step. */
export interface PoolLoad {
  readonly pool: PoolConfig;
  readonly counts: PoolAvailability;
  readonly slotsPerVm: number;
  readonly levelSlots: number;
  /** Usual peak during the next minimum stay and lead time. */
  readonly expectedSlots: number;
  readonly lendingOpen: boolean;
  /** VMs that serve in the pool or are on their way to it. */
  capacityVms: number;
}

/** Utilisation of the pool with a number of VMs more or fewer. */
export function utilisation(
  load: PoolLoad,
  options: { addedVms?: number; expected?: boolean } = {},
): number {
  const slots = (load.capacityVms + (options.addedVms ?? 0)) * load.slotsPerVm;
  const demand = options.expected
    ? Math.max(load.levelSlots, load.expectedSlots)
    : load.levelSlots;
  if (slots <= 0) return demand > 0 ? Infinity : 0;
  return demand / slots;
}

/** Collects demand and capacity of each pool. */
export function collectLoads(
  context: PlanningContext,
  availability: ReadonlyMap<string, PoolAvailability>,
): Map<string, PoolLoad> {
  const { config, demand, nowMs } = context;
  const slots = new Map(
    config.services.map((service) => [service.name, service.slotsPerInstance]),
  );
  const loads = new Map<string, PoolLoad>();
  for (const pool of context.pools.values()) {
    const counts = availability.get(pool.name);
    if (counts === undefined) continue;
    loads.set(pool.name, {
      pool,
      counts,
      slotsPerVm: slots.get(pool.services[0] ?? "") ?? 1,
      levelSlots: demand.pools[pool.name]?.levelSlots ?? 0,
      expectedSlots: expectedPeakSlots(demand, pool.name, {
        fromMs: nowMs,
        forMs: RETURN_LEAD_MS,
      }),
      lendingOpen: isLendingOpen(pool, nowMs),
      capacityVms: counts.serving + counts.incoming,
    });
  }
  return loads;
}
