/** Input of the plan for one VM. */
export interface PlannedVm {
  readonly vmId: string;
  readonly pool: string;
  /** Number of tasks on the VM, including those that are being stopped. */
  readonly taskCount: number;
  /** Number of long-running tasks on the VM, including unwanted runs. */
  readonly longRunningTasks: number;
  /** Time since the VM last had a task, in ms. */
  readonly idleMs: number;
  /** Whether the VM is cordoned (gets no new tasks) so that it can leave its pool. */
  readonly cordoned: boolean;
  /** Whether the VM can be moved now: it is up and no other operation is in progress. */
  readonly movable: boolean;
}

/** Input of the plan for one pool: the demand of its service, in VMs. */
export interface PlannedPool {
  readonly name: string;
  /** Whether this is a spare pool, whose VMs are off and cost nothing. */
  readonly spare: boolean;
  /** Capacity that placed tasks use, in VMs; the scarcest resource decides. */
  readonly usedVms: number;
  /** Capacity that waiting tasks request, which no VM of the pool has free now, in VMs; excludes tasks of late jobs. */
  readonly waitingVms: number;
  /** Capacity that waiting tasks of late jobs request, in VMs; a late job can no longer finish on time. */
  readonly lateVms: number;
  /** Longest wait among the pool's tasks that are ready to be placed, in ms. */
  readonly longestWaitMs: number;
  /** Capacity that the forecast work will use, in VMs. */
  readonly expectedVms: number;
  /** Number of VMs that are being moved into the pool or are returning to it. */
  readonly arriving: number;
}

/** VM operations that the plan requests. */
export interface PoolPlan {
  readonly moves: readonly { vmId: string; from: string; to: string }[];
  /** VMs to cordon, so that they drain and can leave their pool. */
  readonly cordons: readonly string[];
  /** VMs to uncordon. */
  readonly uncordons: readonly string[];
  /** Number of VMs that each pool needs. */
  readonly targets: Readonly<Record<string, number>>;
  /** Whether demand is surging in some pool. */
  readonly surging: boolean;
  /** Names of the pools whose placed and waiting tasks need more VMs although no VM is idle. */
  readonly scarcePools: readonly string[];
}

/** Utilization of a VM that the plan assumes; tasks don't pack exactly into a VM. */
const TARGET_UTILIZATION = 0.75;
/** Weight of waiting tasks relative to placed ones: some of them find free capacity before a VM could arrive, which takes about 2 s. */
const WAITING_WEIGHT = 0.7;
/** Weight of late waiting tasks relative to placed ones: they get capacity, but not ahead of another pool's work that can still be on time. */
const LATE_WEIGHT = 0.2;
/** Wait beyond which the pool gets one VM more than its load requires, in ms. */
const STARVATION_LIMIT_MS = 1_200;
/** Minimum size of a serving pool, in VMs, so that one VM may fail. */
const MINIMUM_POOL_VMS = 2;
/** Fraction of an equal share of all VMs that a pool keeps while another pool is in the middle of its surge. */
const RESERVE_SHARE = 0.2;
/** Fraction of an equal share that a pool keeps while its own surge may start next: another pool's surge is ending, or none has been observed yet. */
const SURGE_RESERVE_SHARE = 0.45;
/** A pool's surge is ending once the ratio of its forecast work to its placed work falls below this. */
const SURGE_END_RATIO = 0.8;
/** A pool is surging while its placed work uses more than this fraction of all VMs. */
const SURGE_SHARE = 0.15;
/**
 * Idle time after which a surplus VM is turned off, in ms. After about this time
 * the VM has cost as much as the two moves that turning it off and on again takes.
 */
const IDLE_SHUTDOWN_MS = 2_200;

interface PoolDemand {
  readonly pool: PlannedPool;
  readonly vms: readonly PlannedVm[];
  /** Minimum number of VMs that the pool may have. */
  readonly minimum: number;
  /** VMs needed for the placed and waiting tasks. */
  readonly currentNeed: number;
  /** VMs needed when forecast work is included. */
  readonly forecastNeed: number;
}

interface PoolState extends PoolDemand {
  /** VMs that the pool retains while no other pool needs them. */
  readonly retained: number;
  /** VMs in the pool or arriving, minus those that this plan takes away. */
  allocated: number;
}

function countPinnedVms(vms: readonly PlannedVm[]): number {
  return vms.filter((vm) => vm.longRunningTasks > 0).length;
}

/** Scales claims down to about `total` in sum; the part of each claim above its minimum is reduced by the same factor. */
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

/**
 * Divides the VMs proportionally when the pools need more than there are, so
 * that one pool's backlog doesn't block the next pool's surge. Forecast work
 * gets what the current work leaves.
 */
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
  // Ending tasks free capacity too, so the weights add VMs only for tasks that would wait longer.
  const loadVms = Math.ceil(
    (pool.usedVms + pool.waitingVms * WAITING_WEIGHT +
      pool.lateVms * LATE_WEIGHT) / TARGET_UTILIZATION,
  );
  // A task that has waited this long fits on no single VM of the pool, whatever their total free capacity.
  const starvationVms = pool.longestWaitMs > STARVATION_LIMIT_MS
    ? vms.length + 1
    : 0;
  return Math.max(MINIMUM_POOL_VMS, pinned, loadVms, starvationVms);
}

/**
 * Divides the VMs among pools whose demand surges one pool after another. A
 * pool that needs more VMs than it has gets idle VMs that other pools don't
 * need, then VMs of the spare pool; busy VMs that their pool doesn't need are
 * drained for it. When no pool is short, each retains a reserve, which is larger
 * while one surge ends and the next is about to start; VMs that stay idle beyond
 * the reserve are turned off. `surgeSeen` tells whether a surge was observed
 * earlier.
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
  const demands = servingPools.map((pool): PoolDemand => {
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
  });
  const undividedNeeds = new Map(
    demands.map(({ pool, currentNeed }) => [pool.name, currentNeed]),
  );
  const poolStates = divideScarceVms(demands, totalVms).map((
    demand,
  ): PoolState => ({
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

  /** Takes an idle VM from a pool with a surplus above `keep`, starting with the largest surplus. */
  function takeIdleVm(
    keep: (state: PoolState) => number,
    matches: (vm: PlannedVm) => boolean = () => true,
  ): PlannedVm | undefined {
    const donors = poolStates.filter((state) => state.allocated > keep(state))
      .sort((a, b) => (b.allocated - keep(b)) - (a.allocated - keep(a)));
    for (const state of donors) {
      const idleVm = state.vms.filter((vm) =>
        vm.movable && vm.taskCount === 0 && vm.longRunningTasks === 0 &&
        !movedVmIds.has(vm.vmId) && matches(vm)
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
      const neediest = poolStates.filter((state) =>
        state.allocated < wanted(state)
      )
        .sort((a, b) =>
          (wanted(b) - b.allocated) - (wanted(a) - a.allocated)
        )[0];
      const vm = neediest && take();
      if (neediest === undefined || vm === undefined) return;
      planMove(vm, neediest.pool.name);
      neediest.allocated++;
    }
  }

  /** Cordons up to `missing` busy VMs of pools with a surplus above `keep`; returns how many are still missing. */
  function cordonBusyVms(
    missing: number,
    keep: (state: PoolState) => number,
  ): number {
    for (const state of poolStates) {
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
    poolStates.reduce(
      (sum, state) => sum + Math.max(0, wanted(state) - state.allocated),
      0,
    );

  // Surplus VMs are taken first, then spare ones, then retained ones that aren't needed. Waiting work
  // takes precedence over forecast work.
  fillPools(
    ({ currentNeed }) => currentNeed,
    () =>
      takeIdleVm((state) => state.retained) ?? takeSpareVm() ??
        takeIdleVm((state) => state.forecastNeed) ??
        takeIdleVm((state) => state.currentNeed),
  );
  const scarcePools = poolStates.filter((state) =>
    state.allocated < undividedNeeds.get(state.pool.name)!
  ).map(({ pool }) => pool.name);
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
      poolStates.map(({ pool, forecastNeed }) => [pool.name, forecastNeed]),
    ),
    surging: surgingPools.length > 0,
    scarcePools,
  };
}

function isPastIdleLimit(vm: PlannedVm): boolean {
  return vm.idleMs > IDLE_SHUTDOWN_MS;
}
