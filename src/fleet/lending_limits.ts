import type { PoolConfig } from "../config/schema.ts";
import type { PoolAvailability } from "./availability.ts";
import { expectedPeakSlots, movesWeightShare } from "./demand.ts";
import { isWindowOpen } from "../config/daily_window.ts";
import type { PlanningContext } from "./planning_context.ts";

/** Time before an expected surge at which the owner's VMs go back, in ms; one part of the demand history. */
export const RETURN_LEAD_MS = 15 * 60_000;

/** Utilisation limits that follow from the two weights. */
export interface LendingLimits {
  /** A pool above it borrows. */
  readonly borrowAbove: number;
  /** A pool lends only if its own demand, now and expected, leaves it below. */
  readonly lendBelow: number;
  /** An owner above it gets its VMs back; higher than `lendBelow`, so that a loan does not end at once. */
  readonly reclaimAbove: number;
  /** By how much the borrower must be busier than the lender would become. */
  readonly minimumGain: number;
  /** A loan that the borrower can miss at this utilisation is no longer needed. */
  readonly returnBelow: number;
}

/** Moves with more weight widen every gap between starting and undoing a loan (hysteresis). */
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
  readonly levelSlots: number;
  /** Usual peak during the next minimum stay and lead time. */
  readonly expectedSlots: number;
  readonly lendingOpen: boolean;
  /** Slots that overflow to other pools is counted on for. */
  overflowSlots: number;
  /** VMs that serve in the pool or are on their way to it. */
  capacityVms: number;
}

/** Utilisation of the pool, overflow included, with a number of VMs more or fewer. */
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

/** Slots that a pool can give to others by overflow: beyond its own demand and what it owes. */
function countFreeSlots(load: PoolLoad): number {
  const reservedSlots = load.counts.minimumServingVms * load.slotsPerVm;
  const slots = load.capacityVms * load.slotsPerVm;
  return Math.max(0, slots - Math.max(reservedSlots, load.levelSlots));
}

/** Overflow needs no move, so it is counted on in proportion to the weight on moves. */
function addOverflow(loads: ReadonlyMap<string, PoolLoad>, share: number) {
  for (const load of loads.values()) {
    const own = load.pool.services[0] ?? "";
    let availableSlots = 0;
    for (const other of loads.values()) {
      const serves = other !== load && other.pool.lending.overflow &&
        other.pool.services.includes(own);
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
      lendingOpen: isWindowOpen(pool.lending.windows, nowMs),
      overflowSlots: 0,
      capacityVms: counts.serving + counts.incoming,
    });
  }
  addOverflow(loads, movesWeightShare(config));
  return loads;
}
