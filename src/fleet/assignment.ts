import type { PoolConfig, ResolvedConfig } from "../config/schema.ts";
import type { Vm } from "../platform/vm_list.ts";
import type { FleetRecord, VmRecord } from "./record.ts";

/** What new VMs are assigned from. */
export interface AssignmentInput {
  readonly record: FleetRecord;
  readonly config: ResolvedConfig;
  readonly vms: readonly Vm[];
  readonly nowMs: number;
}

function homeCounts(record: FleetRecord): Map<string, number> {
  const counts = new Map<string, number>();
  for (const vm of Object.values(record.vms)) {
    counts.set(vm.homePool, (counts.get(vm.homePool) ?? 0) + 1);
  }
  return counts;
}

function choosePool(
  vm: Vm,
  pools: readonly PoolConfig[],
  counts: ReadonlyMap<string, number>,
): PoolConfig | undefined {
  const shortage = (pool: PoolConfig) =>
    pool.vms - (counts.get(pool.name) ?? 0);
  const labelled = pools.find((pool) => pool.name === vm.pool);
  if (labelled !== undefined && shortage(labelled) > 0) return labelled;
  const mostShort = pools.toSorted((a, b) => shortage(b) - shortage(a))[0];
  if (mostShort !== undefined && shortage(mostShort) > 0) return mostShort;
  return pools.find((pool) => pool.spare) ?? labelled ?? mostShort;
}

/** Returns records for live workers that no pool has yet: first pools short of VMs, then the spare pool. */
export function assignNewVms(input: AssignmentInput): Record<string, VmRecord> {
  const { record, config, vms, nowMs } = input;
  const pools = config.pools.filter((pool) => pool.region === record.region);
  const counts = homeCounts(record);
  const assigned: Record<string, VmRecord> = {};
  for (const vm of vms) {
    const isNew = vm.role === "worker" && vm.state === "live" &&
      vm.region === record.region &&
      record.vms[vm.id] === undefined;
    const pool = isNew ? choosePool(vm, pools, counts) : undefined;
    if (pool === undefined) continue;
    counts.set(pool.name, (counts.get(pool.name) ?? 0) + 1);
    assigned[vm.id] = {
      pool: pool.name,
      homePool: pool.name,
      state: "serving",
      incarnation: vm.incarnation,
      dataCentre: vm.dataCentre,
      rack: vm.rack,
      changedAtMs: nowMs,
      maintainedAtMs: 0,
    };
  }
  return assigned;
}
