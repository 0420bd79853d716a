import type { PoolConfig } from "../../src/config/schema.ts";

/** Longest wait of a request, in whole seconds; the deadline of the example services. */
const DEADLINE_S = 2;

/** Work that was served and work that expired in one second, in slot-seconds. */
export interface StepResult {
  readonly late: number;
  readonly served: number;
}

/** Queue of a service with a pool of its own. */
interface ServiceQueue {
  readonly pool: PoolConfig;
  /** Indexes of the other pools that serve its overflow. */
  readonly lenders: readonly number[];
  /** Queued work by age in seconds, oldest last. */
  readonly waiting: number[];
}

/**
 * Creates a model that serves demand from slots. The returned function simulates one second. Work
 * that waits past the deadline counts as late.
 */
export function createCapacityModel(
  pools: readonly PoolConfig[],
  options: { slotsPerVm: number; overflow: boolean },
) {
  const services: ServiceQueue[] = pools.map((pool, index) => ({
    pool,
    lenders: options.overflow
      ? pools.flatMap((other, position) =>
        position !== index && other.lending.overflow &&
          other.services.includes(pool.services[0] ?? "")
          ? [position]
          : []
      )
      : [],
    waiting: Array<number>(DEADLINE_S + 1).fill(0),
  }));
  const freeSlots = pools.map(() => 0);

  /** Serves queued work with at most `slots` slots, oldest first; returns the number of slots used. */
  function serve(waiting: number[], slots: number): number {
    let remaining = slots;
    for (let age = waiting.length - 1; age >= 0 && remaining > 0; age--) {
      const served = Math.min(remaining, waiting[age] ?? 0);
      waiting[age] = (waiting[age] ?? 0) - served;
      remaining -= served;
    }
    return slots - remaining;
  }

  return function step(
    demandSlots: readonly number[],
    servingVms: readonly number[],
  ): StepResult {
    let served = 0;
    let late = 0;
    services.forEach((service, index) => {
      service.waiting[0] = demandSlots[index] ?? 0;
      const slots = (servingVms[index] ?? 0) * options.slotsPerVm;
      const used = serve(service.waiting, slots);
      served += used;
      const reservedSlots = service.pool.availability.minimumServingVms *
        options.slotsPerVm;
      freeSlots[index] = Math.max(0, slots - Math.max(used, reservedSlots));
    });
    for (const { waiting, lenders } of services) {
      for (const lender of lenders) {
        const used = serve(waiting, freeSlots[lender] ?? 0);
        freeSlots[lender] = (freeSlots[lender] ?? 0) - used;
        served += used;
      }
      late += waiting[DEADLINE_S] ?? 0;
      for (let age = DEADLINE_S; age > 0; age--) {
        waiting[age] = waiting[age - 1] ?? 0;
      }
    }
    return { late, served };
  };
}
