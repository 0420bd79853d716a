/** A VM as the plan sees it. */
export interface PlannedVm {
  readonly vmId: string;
  readonly pool: string;
  /** Tasks on the VM, those that are being stopped included. */
  readonly tasks: number;
  readonly lastingTasks: number;
  /** Time since the VM last had a task, in ms. */
  readonly idleMs: number;
  /** Whether the VM gets no new tasks because it is to leave its pool. */
  readonly leaving: boolean;
  /** Whether the VM can be ordered about now: it is up and nothing else is under way. */
  readonly movable: boolean;
}

/** A pool with what its service needs. */
export interface PlannedPool {
  readonly name: string;
  /** VMs of a spare pool are off and cost nothing. */
  readonly spare: boolean;
  /** Room that placed tasks take, in VMs: the larger of their share of processors and of memory. */
  readonly usedVms: number;
  /** Room that waiting tasks ask for, which no VM of the pool has now, in VMs. */
  readonly waitingVms: number;
  /** Longest time for which a placeable task of the pool has waited, in ms. */
  readonly longestWaitMs: number;
  /** Room that the work will take that is expected to arrive, in VMs. */
  readonly expectedVms: number;
  /** VMs that are on their way into the pool. */
  readonly arriving: number;
}

/** What the plan wants done. */
export interface PoolPlan {
  readonly moves: readonly { vmId: string; from: string; to: string }[];
  /** VMs that shall get no new tasks, so that they can leave. */
  readonly cordons: readonly string[];
  /** VMs that may take tasks again. */
  readonly releases: readonly string[];
  readonly targets: Readonly<Record<string, number>>;
}

/** Share of a VM's room that is planned with; tasks don't fill a VM exactly. */
const PLANNED_SHARE = 0.75;
/** Weight of waiting tasks against placed ones: part of them finds room before a VM could come, about 2 s later. */
const WAITING_WEIGHT = 0.7;
/** Waiting time from which the pool gets a VM more than its work seems to need, in ms. */
const STUCK_AFTER_MS = 1_200;
/** Fewest VMs of a pool that serves: one may fail. */
const MINIMUM_VMS = 2;
/** Least part of an equal share of all VMs that a pool keeps, so that it can take the first jobs of its turn while more VMs come. */
const KEPT_SHARE = 0.6;
/** Time without tasks after which a surplus VM is turned off, in ms. Shorter, it would often be wanted back at once; each move costs more than a second of the VM. */
const IDLE_BEFORE_OFF_MS = 3_000;

function targetOf(
  pool: PlannedPool,
  vms: readonly PlannedVm[],
  equalShare: number,
): number {
  if (pool.spare) return 0;
  const pinned = vms.filter((vm) => vm.lastingTasks > 0).length;
  const settled = Math.ceil(
    Math.max(pool.usedVms, pool.expectedVms) / PLANNED_SHARE,
  );
  // Room becomes free as tasks end; VMs are added for what would wait longer than that.
  const surge = Math.ceil(
    (pool.usedVms + pool.waitingVms * WAITING_WEIGHT) / PLANNED_SHARE,
  );
  // A task that has waited long fits on none of the VMs that are there, however much room they have together.
  const stuck = pool.longestWaitMs > STUCK_AFTER_MS ? vms.length + 1 : 0;
  return Math.max(
    MINIMUM_VMS,
    Math.ceil(equalShare * KEPT_SHARE),
    pinned,
    settled,
    surge,
    stuck,
  );
}

/**
 * Divides the VMs among pools whose demand surges by turns: a pool that will
 * need more than it holds gets idle VMs of pools that hold more than they
 * need, then VMs of the spare pool; what stays idle is turned off.
 */
export function planPools(
  pools: readonly PlannedPool[],
  allVms: readonly PlannedVm[],
): PoolPlan {
  const moves: { vmId: string; from: string; to: string }[] = [];
  const cordons: string[] = [];
  const releases: string[] = [];
  const targets: Record<string, number> = {};
  const vmsOf = new Map(
    pools.map((pool) => [
      pool.name,
      allVms.filter((vm) => vm.pool === pool.name),
    ]),
  );
  const serving = pools.filter(({ spare }) => !spare).length;
  const equalShare = allVms.length / Math.max(1, serving);
  const missing = new Map<string, number>();
  const surplus = new Map<string, number>();
  for (const pool of pools) {
    const vms = vmsOf.get(pool.name)!;
    const target = targetOf(pool, vms, equalShare);
    targets[pool.name] = target;
    const present = vms.length + pool.arriving;
    if (pool.spare) continue;
    if (present < target) missing.set(pool.name, target - present);
    else surplus.set(pool.name, present - target);
  }

  const taken = new Set<string>();
  const idleDonors = [...surplus].flatMap(([name, count]) =>
    vmsOf.get(name)!
      .filter((vm) => vm.movable && vm.tasks === 0)
      .sort((a, b) => Number(b.leaving) - Number(a.leaving))
      .slice(0, count)
  );
  const spareDonors = pools.filter(({ spare }) => spare).flatMap(({ name }) =>
    vmsOf.get(name)!.filter((vm) => vm.movable)
  );
  const donors = [...idleDonors, ...spareDonors];
  const receivers = [...missing].sort((a, b) => b[1] - a[1]);
  for (const [to, count] of receivers) {
    let left = count;
    while (left > 0 && donors.length > 0) {
      const vm = donors.shift()!;
      moves.push({ vmId: vm.vmId, from: vm.pool, to });
      taken.add(vm.vmId);
      if (surplus.has(vm.pool)) {
        surplus.set(vm.pool, surplus.get(vm.pool)! - 1);
      }
      left--;
    }
    missing.set(to, left);
  }

  // Busy VMs of a surplus are emptied while others still miss some.
  let wanted = [...missing.values()].reduce((sum, count) => sum + count, 0);
  for (const [name, count] of surplus) {
    const vms = vmsOf.get(name)!.filter((vm) => !taken.has(vm.vmId));
    let allowed = count;
    const byLoad = vms
      .filter((vm) => vm.lastingTasks === 0 && vm.movable && vm.tasks > 0)
      .sort((a, b) =>
        Number(b.leaving) - Number(a.leaving) || a.tasks - b.tasks
      );
    for (const vm of byLoad) {
      if (wanted > 0 && allowed > 0) {
        if (!vm.leaving) cordons.push(vm.vmId);
        wanted--;
        allowed--;
      } else if (vm.leaving) releases.push(vm.vmId);
    }
  }
  for (const [name] of missing) {
    for (const vm of vmsOf.get(name)!) {
      if (vm.leaving) releases.push(vm.vmId);
    }
  }

  const spare = pools.find((pool) => pool.spare);
  if (spare !== undefined && wanted === 0) {
    for (const [name, count] of surplus) {
      vmsOf.get(name)!
        .filter((vm) =>
          vm.movable && vm.tasks === 0 && vm.idleMs > IDLE_BEFORE_OFF_MS &&
          !taken.has(vm.vmId)
        )
        .slice(0, Math.max(0, count))
        .forEach((vm) =>
          moves.push({ vmId: vm.vmId, from: vm.pool, to: spare.name })
        );
    }
  }
  return { moves, cordons, releases, targets };
}
