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
const PLANNED_SHARE = 0.75;
/** Weight of waiting tasks against placed ones: part of them finds room before a VM could come, about 2 s later. */
const WAITING_WEIGHT = 0.7;
/** Weight of late waiting tasks: they get room, but not before work of another pool that can be on time. */
const LATE_WEIGHT = 0.2;
/** Waiting time from which the pool gets a VM more than its work seems to need, in ms. */
const STUCK_AFTER_MS = 1_200;
/** Fewest VMs of a pool that serves: one may fail. */
const MINIMUM_VMS = 2;
/** Part of an equal share of all VMs that a pool keeps in the middle of another pool's turn. */
const KEPT_SHARE = 0.2;
/** The same when its own turn may start next: another pool's turn comes to its end, or none has been seen. */
const READY_SHARE = 0.45;
/** Expected work against placed work below which a pool's turn comes to its end. */
const FALLING_RATIO = 0.8;
/** Part of all VMs that the placed work of a pool takes in its turn, at least. */
const TURN_SHARE = 0.15;
/** Time without tasks after which a surplus VM is turned off, in ms: after about this time it has cost as much as the two moves that a VM needs which is wanted again. */
const IDLE_BEFORE_OFF_MS = 2_200;

interface PoolNeeds {
  readonly pool: PlannedPool;
  readonly vms: readonly PlannedVm[];
  /** Fewest VMs that it may have. */
  readonly floor: number;
  /** VMs that its placed and waiting tasks need. */
  readonly due: number;
  /** VMs that it needs with the work that is expected. */
  readonly need: number;
}

interface PoolState extends PoolNeeds {
  /** VMs that it keeps while nobody else needs them. */
  readonly kept: number;
  /** VMs in the pool or on their way, less those that this plan takes. */
  present: number;
}

function pinnedOf(vms: readonly PlannedVm[]): number {
  return vms.filter((vm) => vm.longRunningTasks > 0).length;
}

/** Parts of several wishes, each the same part of what lies above its floor, that sum up to about `total`. */
function scaleDown(
  wishes: readonly { readonly floor: number; readonly wanted: number }[],
  total: number,
): number[] {
  const floors = wishes.reduce((sum, { floor }) => sum + floor, 0);
  const wanted = wishes.reduce((sum, wish) => sum + wish.wanted, 0);
  const share = wanted <= total || wanted === floors
    ? 1
    : Math.max(0, total - floors) / (wanted - floors);
  return wishes.map((wish) =>
    wish.floor + Math.ceil((wish.wanted - wish.floor) * share)
  );
}

/** When the pools need more VMs than there are, each gets the same part of what it needs, so that a backlog doesn't keep the next turn's pool from starting; work that is expected gets what work that is there leaves. */
function divideScarce(needs: readonly PoolNeeds[], total: number): PoolNeeds[] {
  const dues = scaleDown(
    needs.map(({ floor, due }) => ({ floor, wanted: due })),
    total,
  );
  const wants = scaleDown(
    needs.map(({ need }, index) => ({
      floor: dues[index]!,
      wanted: Math.max(need, dues[index]!),
    })),
    total,
  );
  return needs.map((pool, index) => ({
    ...pool,
    due: dues[index]!,
    need: wants[index]!,
  }));
}

function dueOf(pool: PlannedPool, vms: readonly PlannedVm[]): number {
  const pinned = pinnedOf(vms);
  // Room becomes free as tasks end; VMs are added for what would wait longer than that.
  const surge = Math.ceil(
    (pool.usedVms + pool.waitingVms * WAITING_WEIGHT +
      pool.lateVms * LATE_WEIGHT) / PLANNED_SHARE,
  );
  // A task that has waited long fits on none of the VMs that are there, however much room they have together.
  const stuck = pool.longestWaitMs > STUCK_AFTER_MS ? vms.length + 1 : 0;
  return Math.max(MINIMUM_VMS, pinned, surge, stuck);
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
  const releases: string[] = [];
  const taken = new Set<string>();
  const cordoned = new Set<string>();
  const total = pools.reduce((sum, { arriving }) => sum + arriving, 0) +
    allVms.length;
  const serving = pools.filter(({ spare }) => !spare);
  const inTurn = serving.filter(({ usedVms }) => usedVms > total * TURN_SHARE);
  const mayTurnNext = !(surgeSeen || inTurn.length > 0) ||
    inTurn.some((pool) => pool.expectedVms < pool.usedVms * FALLING_RATIO);
  const kept = Math.ceil(
    total / Math.max(1, serving.length) *
      (mayTurnNext ? READY_SHARE : KEPT_SHARE),
  );
  const states = divideScarce(
    serving.map((pool) => {
      const vms = allVms.filter((vm) => vm.pool === pool.name);
      const due = dueOf(pool, vms);
      return {
        pool,
        vms,
        floor: Math.max(MINIMUM_VMS, pinnedOf(vms)),
        due,
        need: Math.max(due, Math.ceil(pool.expectedVms / PLANNED_SHARE)),
      };
    }),
    total,
  ).map((needs): PoolState => ({
    ...needs,
    kept: Math.max(needs.need, kept),
    present: needs.vms.length + needs.pool.arriving,
  }));
  const spareNames = pools.filter(({ spare }) => spare).map(({ name }) => name);
  const spareVms = allVms.filter((vm) =>
    spareNames.includes(vm.pool) && vm.movable
  );

  function move(vm: PlannedVm, to: string): void {
    moves.push({ vmId: vm.vmId, from: vm.pool, to });
    taken.add(vm.vmId);
  }

  /** An idle VM of a pool that holds more than `keep` says. */
  function takeIdle(
    keep: (state: PoolState) => number,
    fits: (vm: PlannedVm) => boolean = () => true,
  ): PlannedVm | undefined {
    const donors = states.filter((state) => state.present > keep(state))
      .sort((a, b) => (b.present - keep(b)) - (a.present - keep(a)));
    for (const state of donors) {
      const idle = state.vms.filter((vm) =>
        vm.movable && vm.taskCount === 0 && !taken.has(vm.vmId) && fits(vm)
      ).sort((a, b) =>
        Number(b.cordoned) - Number(a.cordoned)
      )[0];
      if (idle === undefined) continue;
      state.present--;
      return idle;
    }
    return undefined;
  }

  const takeSpare = () => spareVms.find((vm) => !taken.has(vm.vmId));

  function fill(
    wanted: (state: PoolState) => number,
    take: () => PlannedVm | undefined,
  ): void {
    for (;;) {
      const neediest = states.filter((state) => state.present < wanted(state))
        .sort((a, b) => (wanted(b) - b.present) - (wanted(a) - a.present))[0];
      const vm = neediest && take();
      if (neediest === undefined || vm === undefined) return;
      move(vm, neediest.pool.name);
      neediest.present++;
    }
  }

  /** Empties busy VMs of pools that hold more than `keep` says, as many as are missing; returns how many still are. */
  function cordonBusy(
    missing: number,
    keep: (state: PoolState) => number,
  ): number {
    for (const state of states) {
      let allowed = state.present - keep(state);
      const busy = state.vms.filter((vm) =>
        vm.longRunningTasks === 0 && vm.movable && vm.taskCount > 0 &&
        !taken.has(vm.vmId) && !cordoned.has(vm.vmId)
      ).sort((a, b) =>
        Number(b.cordoned) - Number(a.cordoned) || a.taskCount - b.taskCount
      );
      for (const vm of busy) {
        if (missing <= 0 || allowed <= 0) break;
        cordoned.add(vm.vmId);
        missing--;
        allowed--;
        state.present--;
      }
    }
    return missing;
  }

  const missingOf = (wanted: (state: PoolState) => number) =>
    states.reduce(
      (sum, state) => sum + Math.max(0, wanted(state) - state.present),
      0,
    );

  // VMs beyond what is kept go first, then those that are off, then those that are kept without need. Work that waits goes before work that is only expected.
  fill(
    ({ due }) => due,
    () =>
      takeIdle((state) => state.kept) ?? takeSpare() ??
        takeIdle((state) => state.need) ?? takeIdle((state) => state.due),
  );
  const waiting = cordonBusy(
    missingOf((state) => state.due),
    (state) => state.due,
  );
  fill(
    ({ need }) => need,
    () =>
      takeIdle((state) => state.kept) ?? takeSpare() ??
        takeIdle((state) => state.need),
  );
  const missing = waiting +
    cordonBusy(
      missingOf((state) => state.need) - waiting,
      (state) => state.need,
    );
  for (const vm of allVms) {
    if (cordoned.has(vm.vmId) && !vm.cordoned) cordons.push(vm.vmId);
    if (vm.cordoned && !cordoned.has(vm.vmId) && !taken.has(vm.vmId)) {
      releases.push(vm.vmId);
    }
  }

  if (missing === 0) {
    fill(
      (state) => state.kept,
      () => takeIdle((state) => state.kept) ?? takeSpare(),
    );
    const [spare] = spareNames;
    for (
      let vm = spare && takeIdle((state) => state.kept, isLongIdle);
      vm && spare;
      vm = takeIdle((state) => state.kept, isLongIdle)
    ) move(vm, spare);
  }
  return {
    moves,
    cordons,
    uncordons: releases,
    targets: Object.fromEntries(
      states.map(({ pool, need }) => [pool.name, need]),
    ),
    surging: inTurn.length > 0,
  };
}

function isLongIdle(vm: PlannedVm): boolean {
  return vm.idleMs > IDLE_BEFORE_OFF_MS;
}
