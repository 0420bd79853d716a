import type { ResolvedConfig } from "../config/schema.ts";
import type { FleetRecord } from "../fleet/record.ts";
import type { Vm } from "../ports/vm_list.ts";

/** A backend server that requests may be routed to. */
export interface Instance {
  readonly vmId: string;
  readonly incarnation: string;
  readonly pool: string;
  /** `host:port` of the backend server. */
  readonly address: string;
  /** Number of requests that the server may run at once. */
  readonly slots: number;
  /** Maximum number of connections to the server, over all entries. */
  readonly connections: number;
}

/** A pool of the region with the instances that accept new requests. */
export interface PoolView {
  readonly name: string;
  /** The first service of the pool, which has priority over the others. */
  readonly ownService: string;
  readonly services: ReadonlySet<string>;
  /** Whether other services may use free slots while the VMs stay in the pool. */
  readonly lends: boolean;
  readonly spare: boolean;
  readonly minimumServingVms: number;
  /** Slots of `minimumServingVms` VMs. */
  readonly minimumServingSlots: number;
  readonly instances: readonly Instance[];
}

/** Inputs for the pool views. */
export interface PoolViewsInput {
  readonly region: string;
  readonly config: ResolvedConfig;
  readonly record: FleetRecord;
  readonly vms: readonly Vm[];
  /** Ids of the VMs that announced to this entry or to a peer that they are leaving. */
  readonly leavingVms: ReadonlySet<string>;
}

function acceptsNewRequests(vm: Vm, input: PoolViewsInput): boolean {
  const vmRecord = input.record.vms[vm.id];
  return vmRecord !== undefined && vmRecord.state === "serving" &&
    vmRecord.incarnation === vm.incarnation && vm.state === "live" &&
    !input.leavingVms.has(vm.id);
}

/** Returns the region's pools with the instances that accept new requests. */
export function buildPoolViews(input: PoolViewsInput): PoolView[] {
  const { config, record, vms } = input;
  const services = new Map(
    config.services.map((service) => [service.name, service]),
  );
  const available = vms.filter((vm) => acceptsNewRequests(vm, input));
  const views: PoolView[] = [];
  for (const pool of config.pools) {
    const ownService = pool.services[0];
    const service = services.get(ownService ?? "");
    if (pool.region !== input.region || service === undefined) continue;
    const instances = available
      .filter((vm) => record.vms[vm.id]?.pool === pool.name)
      .map((vm) => ({
        vmId: vm.id,
        incarnation: vm.incarnation,
        pool: pool.name,
        address: vm.address,
        slots: service.slotsPerInstance,
        connections: service.connectionsPerInstance,
      }))
      .sort((a, b) => a.vmId < b.vmId ? -1 : 1);
    views.push({
      name: pool.name,
      ownService: service.name,
      services: new Set(pool.services),
      lends: pool.lending.overflow,
      spare: pool.spare,
      minimumServingVms: pool.availability.minimumServingVms,
      minimumServingSlots: pool.availability.minimumServingVms *
        service.slotsPerInstance,
      instances,
    });
  }
  return views;
}
