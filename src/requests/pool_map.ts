import type { ResolvedConfig } from "../config/schema.ts";
import type { FleetRecord } from "../fleet/record.ts";
import type { Vm } from "../platform/vm_list.ts";

/** One backend server that may get requests. */
export interface Instance {
  readonly vmId: string;
  readonly pool: string;
  /** `host:port` of the backend server. */
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
}

/** What the pool map is made from. */
export interface PoolMapInput {
  readonly config: ResolvedConfig;
  readonly record: FleetRecord;
  readonly vms: readonly Vm[];
}

/** Returns the serving instances of each pool. */
export function resolvePoolMap(input: PoolMapInput): Map<string, Instance[]> {
  const { config, record, vms } = input;
  const services = new Map(
    config.services.map((service) => [service.name, service]),
  );
  const pools = new Map(config.pools.map((pool) => [pool.name, pool]));
  const instances = new Map<string, Instance[]>();
  for (const vm of vms) {
    const entry = record.vms[vm.id];
    if (
      entry === undefined || entry.state !== "serving" || vm.state !== "live"
    ) continue;
    const service = services.get(pools.get(entry.pool)?.services[0] ?? "");
    if (service === undefined) continue;
    const list = instances.get(entry.pool) ?? [];
    list.push({
      vmId: vm.id,
      pool: entry.pool,
      address: vm.address,
      slots: service.slotsPerInstance,
      connections: service.connectionsPerInstance,
    });
    instances.set(entry.pool, list);
  }
  return instances;
}
