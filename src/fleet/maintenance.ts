import { isWindowOpen, windowCoverage } from "../config/daily_window.ts";
import type { PoolConfig } from "../config/schema.ts";
import {
  type Availability,
  canTakeVm,
  evaluateAvailability,
  type PoolAvailability,
  reserveVm,
} from "./availability.ts";
import {
  type DecisionDraft,
  type PlanningContext,
  startDrain,
  type VmChange,
  type VmRecords,
} from "./planning_context.ts";
import { isLent, type MaintenanceState, type VmRecord } from "./record.ts";
import { findCorrelatedFailures } from "./wave_pause.ts";

const DAY_MS = 24 * 3_600_000;
/** Share of the remaining time that a wave may need without being reported as late. */
const LATE_MARGIN = 0.8;

/** Result of the maintenance stage: new drains and the state of the waves. */
export interface MaintenancePlan {
  readonly changes: readonly VmChange[];
  readonly state: MaintenanceState;
  readonly decisions: readonly DecisionDraft[];
}

/** Whether the VM still has to be maintained in its pool's current wave. */
export function isMaintenanceDue(
  vm: VmRecord,
  state: MaintenanceState,
): boolean {
  const startedAtMs = state.waves[vm.homePool];
  return startedAtMs !== undefined && vm.maintainedAtMs < startedAtMs;
}

/** End of the pool's current wave, as wall-clock time in ms. */
export function waveEndMs(pool: PoolConfig, state: MaintenanceState): number {
  const startedAtMs = state.waves[pool.name] ?? 0;
  return startedAtMs + pool.maintenance.periodDays * DAY_MS;
}

/** Starts a wave for each pool that has none or whose period is over. */
function advanceWaves(
  state: MaintenanceState,
  context: PlanningContext,
): MaintenanceState {
  const waves: Record<string, number> = {};
  let changed = false;
  for (const pool of context.pools.values()) {
    const current = state.waves[pool.name];
    const isOver = current === undefined ||
      context.nowMs >= waveEndMs(pool, state);
    waves[pool.name] = isOver ? context.nowMs : current;
    changed ||= isOver;
  }
  const removed = Object.keys(state.waves).some((name) =>
    !context.pools.has(name)
  );
  return changed || removed ? { ...state, waves } : state;
}

type Candidate = readonly [vmId: string, vm: VmRecord];

/** Racks in the order in which their VMs are maintained: longest without maintenance first. */
function orderRacks(candidates: readonly Candidate[]): string[] {
  const oldest = new Map<string, number>();
  for (const [, vm] of candidates) {
    const oldestMs = oldest.get(vm.rack) ?? Infinity;
    oldest.set(vm.rack, Math.min(oldestMs, vm.maintainedAtMs));
  }
  return [...oldest].sort(([rackA, a], [rackB, b]) =>
    a - b || rackA.localeCompare(rackB)
  ).map(([rack]) => rack);
}

function chooseNextVm(
  pool: PoolConfig,
  candidates: readonly Candidate[],
  busyRacks: ReadonlySet<string>,
): Candidate | undefined {
  const racks = orderRacks(candidates);
  const rack = pool.maintenance.order === "rack"
    ? racks.find((name) => busyRacks.has(name)) ??
      (busyRacks.size === 0 ? racks[0] : undefined)
    : racks.find((name) => !busyRacks.has(name));
  return candidates.find(([, vm]) => vm.rack === rack);
}

interface PoolWave {
  readonly pool: PoolConfig;
  readonly counts: PoolAvailability;
  /** Owned VMs that are due and not under maintenance. */
  readonly due: readonly Candidate[];
  /** Due VMs that serve in the pool and are reachable. */
  readonly ready: Candidate[];
  /** Racks with a VM under maintenance: of the pool, or of the region for spread order. */
  readonly busyRacks: Set<string>;
}

function startDrains(wave: PoolWave, context: PlanningContext): VmChange[] {
  const { pool, counts, ready, busyRacks } = wave;
  const changes: VmChange[] = [];
  if (!isWindowOpen(pool.maintenance.windows, context.nowMs)) return changes;
  while (
    counts.inMaintenance < pool.maintenance.maximumConcurrentVms &&
    canTakeVm(counts)
  ) {
    const next = chooseNextVm(pool, ready, busyRacks);
    if (next === undefined) break;
    const [vmId, vm] = next;
    ready.splice(ready.indexOf(next), 1);
    busyRacks.add(vm.rack);
    const facts = {
      remainingVms: wave.due.length,
      ownServingVms: counts.ownServing,
      minimumServingVms: counts.minimumServingVms,
      rack: vm.rack,
    };
    reserveVm(counts, "inMaintenance");
    const reason = `wave of ${pool.name}, rack ${vm.rack}`;
    changes.push({
      vmId,
      next: startDrain(vm, { vmId, kind: "maintain", reason }, context),
      decision: {
        kind: "maintain",
        vmId,
        pools: [pool.name],
        summary: `${vmId} is maintained: ${reason}`,
        facts,
        rejected: ready.slice(0, 3).map(([option, other]) => ({
          option,
          reason: other.rack === vm.rack ? "later in the rack" : "other rack",
        })),
      },
    });
  }
  return changes;
}

function findLateReason(
  wave: PoolWave,
  state: MaintenanceState,
  nowMs: number,
): string | undefined {
  const { pool, counts, due } = wave;
  if (due.length === 0) return undefined;
  const availableVms = counts.ownServing + counts.inMaintenance -
    counts.minimumServingVms;
  const concurrent = Math.min(
    pool.maintenance.maximumConcurrentVms,
    availableVms,
  );
  if (concurrent <= 0) {
    return `the budget leaves no VM to maintain; ${due.length} VM(s) are due`;
  }
  const durationMs = state.averageDurationMs ??
    pool.maintenance.vmMaintenanceMs;
  const neededMs = Math.ceil(due.length / concurrent) * durationMs;
  const remainingMs = (waveEndMs(pool, state) - nowMs) *
    windowCoverage(pool.maintenance.windows);
  if (neededMs <= remainingMs * LATE_MARGIN) return undefined;
  return `${due.length} VM(s) are due and ${concurrent} at a time do not fit into the period`;
}

/** Groups the record's VMs into the waves of their pools. */
function collectWaves(
  context: PlanningContext,
  options: {
    vms: VmRecords;
    state: MaintenanceState;
    availability: Availability;
  },
): PoolWave[] {
  const { vms, state, availability } = options;
  const waves = new Map<string, PoolWave & { due: Candidate[] }>();
  const regionRacks = new Set<string>();
  for (const pool of context.pools.values()) {
    const counts = availability.get(pool.name);
    if (counts === undefined) continue;
    const busyRacks = pool.maintenance.order === "spread"
      ? regionRacks
      : new Set<string>();
    waves.set(pool.name, { pool, counts, due: [], ready: [], busyRacks });
  }
  for (const [vmId, vm] of Object.entries(vms)) {
    if (vm.transition?.kind === "maintain") {
      regionRacks.add(vm.rack);
      if (vm.state !== "failed") waves.get(vm.pool)?.busyRacks.add(vm.rack);
      continue;
    }
    const wave = waves.get(vm.homePool);
    if (wave === undefined || !isMaintenanceDue(vm, state)) continue;
    if (vm.state === "failed" || vm.state === "leaving") continue;
    wave.due.push([vmId, vm]);
    const isReady = vm.state === "serving" && !isLent(vm) &&
      !context.unreachable.has(vmId);
    if (isReady) wave.ready.push([vmId, vm]);
  }
  return [...waves.values()];
}

function updatePause(
  context: PlanningContext,
  vms: VmRecords,
  state: MaintenanceState,
): { state: MaintenanceState; decisions: DecisionDraft[] } {
  const failures = findCorrelatedFailures(context, vms);
  const { pausedReason, pausedAtMs = 0, ...rest } = state;
  const decision = (kind: string, summary: string): DecisionDraft => ({
    kind,
    pools: [],
    summary,
    facts: { failedVms: failures.vmIds.length },
    rejected: [],
  });
  if (failures.correlated) {
    if (pausedReason !== undefined) return { state, decisions: [] };
    const reason = `failed inside a wave: ${failures.vmIds.join(", ")}`;
    return {
      state: { ...rest, pausedReason: reason, pausedAtMs: context.nowMs },
      decisions: [decision("maintenance_paused", `paused; ${reason}`)],
    };
  }
  // A new controller doesn't know yet which workers are unreachable.
  const mayResume = !context.newDrainsBlocked &&
    context.nowMs - pausedAtMs >= context.wavePauseMs;
  if (pausedReason === undefined || !mayResume) {
    return { state, decisions: [] };
  }
  return {
    state: rest,
    decisions: [
      decision("maintenance_resumed", "resumed; no more correlated failures"),
    ],
  };
}

function reportLateWaves(
  waves: readonly PoolWave[],
  state: MaintenanceState,
  nowMs: number,
): { state: MaintenanceState; decisions: DecisionDraft[] } {
  const late: Record<string, string> = {};
  const decisions: DecisionDraft[] = [];
  for (const wave of waves) {
    const { name } = wave.pool;
    const reason = findLateReason(wave, state, nowMs);
    if (reason === undefined) continue;
    // Keeps the first reason while the wave is late, so that changed counts don't rewrite the record in each step.
    late[name] = state.late[name] ?? reason;
    if (state.late[name] !== undefined) continue;
    decisions.push({
      kind: "maintenance_late",
      pools: [name],
      summary: `the wave of ${name} will not finish in its period: ${reason}`,
      facts: {
        dueVms: wave.due.length,
        leftMs: waveEndMs(wave.pool, state) - nowMs,
      },
      rejected: [],
    });
  }
  const isUnchanged =
    Object.keys(late).length === Object.keys(state.late).length &&
    decisions.length === 0;
  return { state: isUnchanged ? state : { ...state, late }, decisions };
}

/** Decides which VMs are drained for maintenance, and pauses, resumes and reports the waves. */
export function planMaintenance(
  context: PlanningContext,
  vms: VmRecords,
  before: MaintenanceState,
): MaintenancePlan {
  const paused = updatePause(context, vms, advanceWaves(before, context));
  const availability = evaluateAvailability({
    vms,
    pools: context.pools.values(),
    unreachable: context.unreachable,
  });
  const waves = collectWaves(context, {
    vms,
    state: paused.state,
    availability,
  });
  const reported = reportLateWaves(waves, paused.state, context.nowMs);
  const mayDrain = paused.state.pausedReason === undefined &&
    !context.newDrainsBlocked;
  const changes = mayDrain
    ? waves.flatMap((wave) => startDrains(wave, context))
    : [];
  return {
    changes,
    state: reported.state,
    decisions: [...paused.decisions, ...reported.decisions],
  };
}
