/** A VM as the plan sees it. */
export interface PlannedVm {
  readonly vmId: string;
  readonly pool: string;
  /** Tasks on the VM, those that are being stopped included. */
  readonly taskCount: number;
  readonly longRunningTasks: number;
  /** Time since the VM last had a task, in ms. */
  readonly idleMs: number;
  /** Whether the VM gets no new tasks because it is to leave its pool. */
  readonly cordoned: boolean;
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
  /** Room that waiting tasks ask for, which no VM of the pool has now, in VMs; those of late jobs not included. */
  readonly waitingVms: number;
  /** The same of jobs that can't be on time any more. */
  readonly lateVms: number;
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
  /** VMs that must get no new tasks, so that they can leave. */
  readonly cordons: readonly string[];
  /** VMs that may take tasks again. */
  readonly uncordons: readonly string[];
  /** VMs that each pool needs. */
  readonly targets: Readonly<Record<string, number>>;
  /** Whether the work of a pool surges now. */
  readonly surging: boolean;
}

/** Share of a VM's room that is planned with; tasks don't fill a VM exactly. */
const TARGET_UTILIZATION = 0.75;
/** Weight of waiting tasks against placed ones: part of them finds room before a VM could come, about 2 s later. */
const WAITING_WEIGHT = 0.7;
/** Weight of late waiting tasks: they get room, but not before work of another pool that can be on time. */
const LATE_WEIGHT = 0.2;
/** Waiting time from which the pool gets a VM more than its work seems to need, in ms. */
const STARVATION_LIMIT_MS = 1_200;
/** Fewest VMs of a pool that serves: one may fail. */
const MINIMUM_POOL_VMS = 2;
/** Part of an equal share of all VMs that a pool keeps in the middle of another pool's turn. */
const RESERVE_SHARE = 0.2;
/** The same when its own turn may start next: another pool's turn comes to its end, or none has been seen. */
const SURGE_RESERVE_SHARE = 0.45;
/** Expected work against placed work below which a pool's turn comes to its end. */
const SURGE_END_RATIO = 0.8;
/** Part of all VMs that the placed work of a pool takes in its turn, at least. */
const SURGE_SHARE = 0.15;
/** Time without tasks after which a surplus VM is turned off, in ms: after about this time it has cost as much as the two moves that a VM needs which is wanted again. */
const IDLE_SHUTDOWN_MS = 2_200;

interface PoolDemand {
  readonly pool: PlannedPool;
  readonly vms: readonly PlannedVm[];
  /** Fewest VMs that it may have. */
  readonly minimum: number;
  /** VMs that its placed and waiting tasks need. */
  readonly currentNeed: number;
  /** VMs that it needs with the work that is expected. */
  readonly forecastNeed: number;
}

interface PoolState extends PoolDemand {
  /** VMs that it keeps while nobody else needs them. */
  readonly retained: number;
  /** VMs in the pool or on their way, less those that this plan takes. */
  allocated: number;
}

function countPinnedVms(vms: readonly PlannedVm[]): number {
  return vms.filter((vm) => vm.longRunningTasks > 0).length;
}

/** Parts of several wishes, each the same part of what lies above its floor, that sum up to about `total`. */
function scaleToTotal(
  claims: readonly { readonly minimum: number; readonly wanted: number }[],
  total: number,
): number[] {
  const minimumSum = claims.reduce((sum, { minimum }) => sum + minimum, 0);
  const wantedSum = claims.reduce((sum, claim) => sum + claim.wanted, 0);
  const share = wantedSum <= total || wantedSum === minimumSum
    ? 1
    : Math.max(0, total - minimumSum) / (wantedSum - minimumSum);
  return claims.map((claim) =>
    claim.minimum + Math.ceil((claim.wanted - claim.minimum) * share)
  );
}

/** When the pools need more VMs than there are, each gets the same part of what it needs, so that a backlog doesn't keep the next turn's pool from starting; work that is expected gets what work that is there leaves. */
function divideScarceVms(
  demands: readonly PoolDemand[],
  total: number,
): PoolDemand[] {
  const currentShares = scaleToTotal(
    demands.map(({ minimum, currentNeed }) => ({
      minimum,
      wanted: currentNeed,
    })),
    total,
  );
  const forecastShares = scaleToTotal(
    demands.map(({ forecastNeed }, index) => ({
      minimum: currentShares[index]!,
      wanted: Math.max(forecastNeed, currentShares[index]!),
    })),
    total,
  );
  return demands.map((demand, index) => ({
    ...demand,
    currentNeed: currentShares[index]!,
    forecastNeed: forecastShares[index]!,
  }));
}

function computeCurrentNeed(
  pool: PlannedPool,
  vms: readonly PlannedVm[],
): number {
  const pinned = countPinnedVms(vms);
  // Room becomes free as tasks end; VMs are added for what would wait longer than that.
  const loadVms = Math.ceil(
    (pool.usedVms + pool.waitingVms * WAITING_WEIGHT +
      pool.lateVms * LATE_WEIGHT) / TARGET_UTILIZATION,
  );
  // A task that has waited long fits on none of the VMs that are there, however much room they have together.
  const starvationVms = pool.longestWaitMs > STARVATION_LIMIT_MS
    ? vms.length + 1
    : 0;
  return Math.max(MINIMUM_POOL_VMS, pinned, loadVms, starvationVms);
}

/**
 * Divides the VMs among pools whose demand surges by turns. A pool whose work
 * needs more than it holds gets idle VMs that other pools don't need, then VMs
 * of the spare pool; busy VMs that their pool doesn't need are emptied for it.
 * Without such a need each pool keeps a few VMs ready, more of them when a turn
 * comes to its end and the next pool's is about to start; what stays idle beyond
 * them is turned off. `surgeSeen` tells whether a turn has been seen before.
 */
export function planPools(
  pools: readonly PlannedPool[],
  allVms: readonly PlannedVm[],
  { surgeSeen = false }: { readonly surgeSeen?: boolean } = {},
): PoolPlan {
  const moves: { vmId: string; from: string; to: string }[] = [];
  const cordons: string[] = [];
  const uncordons: string[] = [];
  const movedVmIds = new Set<string>();
  const cordonedVmIds = new Set<string>();
  const totalVms = pools.reduce((sum, { arriving }) => sum + arriving, 0) +
    allVms.length;
  const servingPools = pools.filter(({ spare }) => !spare);
  const surgingPools = servingPools.filter(({ usedVms }) =>
    usedVms > totalVms * SURGE_SHARE
  );
  const surgeMayStart = !(surgeSeen || surgingPools.length > 0) ||
    surgingPools.some((pool) =>
      pool.expectedVms < pool.usedVms * SURGE_END_RATIO
    );
  const reserve = Math.ceil(
    totalVms / Math.max(1, servingPools.length) *
      (surgeMayStart ? SURGE_RESERVE_SHARE : RESERVE_SHARE),
  );
  const states = divideScarceVms(
    servingPools.map((pool) => {
      const vms = allVms.filter((vm) => vm.pool === pool.name);
      const currentNeed = computeCurrentNeed(pool, vms);
      return {
        pool,
        vms,
        minimum: Math.max(MINIMUM_POOL_VMS, countPinnedVms(vms)),
        currentNeed,
        forecastNeed: Math.max(
          currentNeed,
          Math.ceil(pool.expectedVms / TARGET_UTILIZATION),
        ),
      };
    }),
    totalVms,
  ).map((demand): PoolState => ({
    ...demand,
    retained: Math.max(demand.forecastNeed, reserve),
    allocated: demand.vms.length + demand.pool.arriving,
  }));
  const sparePoolNames = pools.filter(({ spare }) => spare).map(({ name }) =>
    name
  );
  const spareVms = allVms.filter((vm) =>
    sparePoolNames.includes(vm.pool) && vm.movable
  );

  function planMove(vm: PlannedVm, to: string): void {
    moves.push({ vmId: vm.vmId, from: vm.pool, to });
    movedVmIds.add(vm.vmId);
  }

  /** An idle VM of a pool that holds more than `keep` says. */
  function takeIdleVm(
    keep: (state: PoolState) => number,
    matches: (vm: PlannedVm) => boolean = () => true,
  ): PlannedVm | undefined {
    const donors = states.filter((state) => state.allocated > keep(state))
      .sort((a, b) => (b.allocated - keep(b)) - (a.allocated - keep(a)));
    for (const state of donors) {
      const idleVm = state.vms.filter((vm) =>
        vm.movable && vm.taskCount === 0 && !movedVmIds.has(vm.vmId) &&
        matches(vm)
      ).sort((a, b) =>
        Number(b.cordoned) - Number(a.cordoned)
      )[0];
      if (idleVm === undefined) continue;
      state.allocated--;
      return idleVm;
    }
    return undefined;
  }

  const takeSpareVm = () => spareVms.find((vm) => !movedVmIds.has(vm.vmId));

  function fillPools(
    wanted: (state: PoolState) => number,
    take: () => PlannedVm | undefined,
  ): void {
    for (;;) {
      const neediest = states.filter((state) => state.allocated < wanted(state))
        .sort((a, b) =>
          (wanted(b) - b.allocated) - (wanted(a) - a.allocated)
        )[0];
      const vm = neediest && take();
      if (neediest === undefined || vm === undefined) return;
      planMove(vm, neediest.pool.name);
      neediest.allocated++;
    }
  }

  /** Empties busy VMs of pools that hold more than `keep` says, as many as are missing; returns how many still are. */
  function cordonBusyVms(
    missing: number,
    keep: (state: PoolState) => number,
  ): number {
    for (const state of states) {
      let surplus = state.allocated - keep(state);
      const busyVms = state.vms.filter((vm) =>
        vm.longRunningTasks === 0 && vm.movable && vm.taskCount > 0 &&
        !movedVmIds.has(vm.vmId) && !cordonedVmIds.has(vm.vmId)
      ).sort((a, b) =>
        Number(b.cordoned) - Number(a.cordoned) || a.taskCount - b.taskCount
      );
      for (const vm of busyVms) {
        if (missing <= 0 || surplus <= 0) break;
        cordonedVmIds.add(vm.vmId);
        missing--;
        surplus--;
        state.allocated--;
      }
    }
    return missing;
  }

  const countMissingVms = (wanted: (state: PoolState) => number) =>
    states.reduce(
      (sum, state) => sum + Math.max(0, wanted(state) - state.allocated),
      0,
    );

  // VMs beyond what is kept go first, then those that are off, then those that are kept without need. Work that waits goes before work that is only expected.
  fillPools(
    ({ currentNeed }) => currentNeed,
    () =>
      takeIdleVm((state) => state.retained) ?? takeSpareVm() ??
        takeIdleVm((state) => state.forecastNeed) ??
        takeIdleVm((state) => state.currentNeed),
  );
  const missingForCurrentNeed = cordonBusyVms(
    countMissingVms((state) => state.currentNeed),
    (state) => state.currentNeed,
  );
  fillPools(
    ({ forecastNeed }) => forecastNeed,
    () =>
      takeIdleVm((state) => state.retained) ?? takeSpareVm() ??
        takeIdleVm((state) => state.forecastNeed),
  );
  const missing = missingForCurrentNeed +
    cordonBusyVms(
      countMissingVms((state) => state.forecastNeed) - missingForCurrentNeed,
      (state) => state.forecastNeed,
    );
  for (const vm of allVms) {
    if (cordonedVmIds.has(vm.vmId) && !vm.cordoned) cordons.push(vm.vmId);
    if (
      vm.cordoned && !cordonedVmIds.has(vm.vmId) && !movedVmIds.has(vm.vmId)
    ) {
      uncordons.push(vm.vmId);
    }
  }

  if (missing === 0) {
    fillPools(
      (state) => state.retained,
      () => takeIdleVm((state) => state.retained) ?? takeSpareVm(),
    );
    const [sparePool] = sparePoolNames;
    for (
      let vm = sparePool &&
        takeIdleVm((state) => state.retained, isPastIdleLimit);
      vm && sparePool;
      vm = takeIdleVm((state) => state.retained, isPastIdleLimit)
    ) planMove(vm, sparePool);
  }
  return {
    moves,
    cordons,
    uncordons,
    targets: Object.fromEntries(
      states.map(({ pool, forecastNeed }) => [pool.name, forecastNeed]),
    ),
    surging: surgingPools.length > 0,
  };
}

function isPastIdleLimit(vm: PlannedVm): boolean {
  return vm.idleMs > IDLE_SHUTDOWN_MS;
}
