import type { ResolvedConfig } from "../../src/config/schema.ts";
import type { LatencySummary } from "../../testing/latency.ts";
import type { Deployment } from "../../testing/deployment.ts";
import {
  type LoadResult,
  type LoadSpec,
  type SegmentCounts,
  summarize,
  sumSegments,
} from "../load_spec.ts";
import { runLoads } from "../run_load.ts";

/** Load of a service during its surge, relative to its mean. */
const SURGE_FACTOR = 5;
/** Load of a service while another service surges, relative to its mean. */
const IDLE_FACTOR = 1 / 20;
const DEADLINE_MS = 2_000;

/** Results of the surge profile. */
export interface SurgeResult {
  readonly total: SegmentCounts;
  /** Load of a service during its surge, as a share of its own pool's slots. */
  readonly surgeShareOfOwnPool: number;
  /**
   * Number of sent requests that the declared slots could serve: the slots of the service's own pool,
   * and those of other pools above their minimum of serving VMs.
   */
  readonly carriable: number;
  /** Answered requests as a share of `carriable`. */
  readonly answeredShareOfCarriable: number;
  /** Latency of answers. */
  readonly latency: LatencySummary;
  readonly refusalLatency: LatencySummary;
  readonly loads: readonly LoadResult[];
}

interface ServiceCapacity {
  readonly service: string;
  /** Slots of the service's own pool. */
  readonly ownSlots: number;
  /** Own slots and those that other pools may lend without falling below their minimum of serving VMs. */
  readonly usableSlots: number;
}

/** Computes the slots that each service may use while the others are nearly idle. */
export function computeServiceCapacities(
  config: ResolvedConfig,
): ServiceCapacity[] {
  const slotsByService = new Map(
    config.services.map((service) => [service.name, service.slotsPerInstance]),
  );
  return config.services.map(({ name }) => {
    let ownSlots = 0;
    let borrowedSlots = 0;
    for (const pool of config.pools) {
      const slots = slotsByService.get(pool.services[0] ?? "") ?? 0;
      const reservedVms = pool.availability.minimumServingVms;
      if (pool.services[0] === name) ownSlots += pool.vms * slots;
      else if (pool.services.includes(name) && pool.lending.overflow) {
        borrowedSlots += Math.max(0, pool.vms - reservedVms) * slots;
      }
    }
    return { service: name, ownSlots, usableSlots: ownSlots + borrowedSlots };
  });
}

/**
 * Compares each segment with the capacity of its slots. Answers above the capacity in one segment
 * don't offset refusals in another.
 */
function compareWithSlots(
  loads: readonly LoadResult[],
  getLimit: (service: string) => number,
): { carriable: number; answeredShareOfCarriable: number } {
  let carriable = 0;
  let answered = 0;
  for (const { service, segments } of loads) {
    for (const segment of segments) {
      const servable = Math.min(segment.sent, getLimit(service));
      carriable += servable;
      answered += Math.min(segment.answered, servable);
    }
  }
  return { carriable, answeredShareOfCarriable: answered / carriable };
}

/** Runs the surge profile: in each segment one service surges while the others are nearly idle. */
export async function runSurge(
  deployment: Deployment,
  options: {
    config: ResolvedConfig;
    serviceTimeMs: number;
    /** Mean load of a service as a share of its own pool's slots. */
    meanShare: number;
    segmentMs: number;
    seed: number;
  },
): Promise<SurgeResult> {
  const { config, serviceTimeMs, meanShare, segmentMs, seed } = options;
  const capacities = computeServiceCapacities(config);
  const addresses = deployment.entries.map((entry) => entry.callerAddress);
  const ratePerSlot = 1_000 / serviceTimeMs;
  const specs = capacities.map((capacity, index): LoadSpec => {
    const meanRate = capacity.ownSlots * meanShare * ratePerSlot;
    const surgeRate = meanRate * SURGE_FACTOR;
    const idleRate = meanRate * IDLE_FACTOR;
    return {
      service: capacity.service,
      addresses,
      direct: false,
      load: {
        kind: "open",
        ratesPerSecond: capacities.map((_, segment) =>
          segment === index ? surgeRate : idleRate
        ),
      },
      segmentMs,
      deadlineMs: DEADLINE_MS,
      seed,
    };
  });
  const loads = await runLoads(specs);
  const total = sumSegments(loads.flatMap((load) => load.segments));
  const comparison = compareWithSlots(
    loads,
    (service) =>
      (capacities.find((item) => item.service === service)?.usableSlots ?? 0) *
      ratePerSlot * segmentMs / 1_000,
  );
  return {
    total,
    surgeShareOfOwnPool: meanShare * SURGE_FACTOR,
    ...comparison,
    latency: summarize(loads.map((load) => load.latency)),
    refusalLatency: summarize(loads.map((load) => load.refusalLatency)),
    loads,
  };
}
