import type { EntryDigest, ServiceLoad } from "../peers/messages.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { PoolView } from "./pool_views.ts";
import type { EntryDemand } from "./slot_shares.ts";

/** Inputs for the entries' demand for each pool. */
export interface EntryDemandsInput {
  readonly entryId: string;
  readonly digests: readonly EntryDigest[];
  /** Load of this entry by service, used while `digests` doesn't contain the entry. */
  readonly ownLoad: Record<string, ServiceLoad>;
  readonly views: readonly PoolView[];
}

type ServiceLoads = Record<string, ServiceLoad>;

const NO_LOAD: ServiceLoad = { inFlight: 0, waiting: 0, demandSlots: 0 };

function collectLoads(input: EntryDemandsInput): Map<string, ServiceLoads> {
  const loads = new Map<string, ServiceLoads>();
  for (const digest of input.digests) {
    // A stopping entry only needs slots for its requests in flight.
    const services = digest.stopping && digest.entryId !== input.entryId
      ? Object.fromEntries(
        Object.entries(digest.services).map(([name, load]) => [
          name,
          { ...load, waiting: 0, demandSlots: load.inFlight },
        ]),
      )
      : digest.services;
    loads.set(digest.entryId, services);
  }
  if (!loads.has(input.entryId)) loads.set(input.entryId, input.ownLoad);
  return loads;
}

/** Returns the fraction of each service's demand that exceeds the slots of its own pools. */
function computeShortfalls(
  loads: ReadonlyMap<string, ServiceLoads>,
  views: readonly PoolView[],
): Map<string, number> {
  const slots = new Map<string, number>();
  for (const view of views) {
    const sum = view.instances.reduce((total, item) => total + item.slots, 0);
    slots.set(view.ownService, (slots.get(view.ownService) ?? 0) + sum);
  }
  const demand = new Map<string, number>();
  for (const services of loads.values()) {
    for (const [name, load] of Object.entries(services)) {
      demand.set(name, (demand.get(name) ?? 0) + load.demandSlots);
    }
  }
  return new Map(
    [...demand].map(([name, total]) => [
      name,
      total === 0 ? 0 : Math.max(0, 1 - (slots.get(name) ?? 0) / total),
    ]),
  );
}

/** Returns each entry's demand by pool name. */
export function computeEntryDemands(
  input: EntryDemandsInput,
): Map<string, EntryDemand[]> {
  const loads = collectLoads(input);
  const shortfalls = computeShortfalls(loads, input.views);
  return new Map(input.views.map((view) => [
    view.name,
    [...loads].map(([entryId, services]) => {
      const ownLoad = services[view.ownService] ?? NO_LOAD;
      let overflowSlots = 0;
      for (const service of view.services) {
        if (service === view.ownService) continue;
        overflowSlots += (services[service]?.demandSlots ?? 0) *
          (shortfalls.get(service) ?? 0);
      }
      return {
        entryId,
        ownSlots: ownLoad.demandSlots,
        ownActive: ownLoad.inFlight + ownLoad.waiting > 0,
        overflowSlots,
      };
    }),
  ]));
}

/** Inputs for the number of entries. */
export interface EntryCountInput {
  readonly entryId: string;
  readonly region: string;
  readonly digests: readonly EntryDigest[];
  readonly vms: readonly Vm[];
}

/** Returns the number of entries that may open connections: live entries and entries that are being replaced. */
export function countEntries(input: EntryCountInput): number {
  const entryIds = new Set([input.entryId]);
  for (const digest of input.digests) entryIds.add(digest.entryId);
  for (const vm of input.vms) {
    if (vm.role === "entry" && vm.region === input.region) entryIds.add(vm.id);
  }
  return entryIds.size;
}
