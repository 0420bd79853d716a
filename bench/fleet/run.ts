import { WAVE_PAUSE_MS } from "../../src/constants.ts";
import { performance } from "node:perf_hooks";
import type { ResolvedConfig } from "../../src/config/schema.ts";
import {
  createDemandState,
  type DemandState,
  observeDemand,
} from "../../src/fleet/demand.ts";
import type { WorkerView } from "../../src/fleet/planning_context.ts";
import { createFleetRecord, type FleetRecord } from "../../src/fleet/record.ts";
import { checkRecordChange } from "../../src/fleet/record_check.ts";
import type { EntryDigest } from "../../src/peers/messages.ts";
import { createCapacityModel } from "./capacity.ts";
import { createDemandSeries } from "./demand_series.ts";
import type { Deployment } from "./deployments.ts";
import type { Strategy } from "./strategies.ts";

/** Time constant of the smoothing of the demand that entries report, in s. */
const DIGEST_SMOOTHING_S = 10;
/** Duration of a reboot, in s. */
const REBOOT_DURATION_S = 180;
const START_MS = Date.UTC(2026, 0, 5);
const DAY_S = 86_400;

/** Options of one simulation run. */
export interface SimulationOptions {
  readonly deployment: Deployment;
  /** Configuration to plan with, instead of the deployment's own. */
  readonly config: ResolvedConfig;
  readonly strategy: Strategy;
  /** Mean demand as a share of the slots of each pool. */
  readonly load: number;
  readonly seed: number;
  /** Whether services surge in turn. */
  readonly surges: boolean;
  /** Time between planning steps, in s. */
  readonly planningIntervalS: number;
  readonly warmUpS: number;
  readonly measuredS: number;
  /** Whether every VM is due for maintenance at the start. */
  readonly maintenanceDue?: boolean;
}

/** Results of one simulation run, measured after its warm-up unless stated otherwise. */
export interface SimulationResult {
  /** Share of the work that was late. */
  readonly lateShare: number;
  /** Ratio of idle slots to the slots that the demand needs on average. */
  readonly buffer: number;
  /** Moves between pools per VM and day. */
  readonly movesPerVmDay: number;
  /** Number of invariant violations by planning steps, warm-up included. */
  readonly violations: number;
  /** Days until every VM was maintained; undefined if the run ended first or none was due. */
  readonly maintenanceDays: number | undefined;
  /** Mean duration of a planning step, warm-up included, in ms. */
  readonly planMeanMs: number;
  readonly planMaximumMs: number;
}

function createRecord(options: SimulationOptions): FleetRecord {
  const { deployment, config, maintenanceDue } = options;
  const waves = Object.fromEntries(
    config.pools.filter((pool) => pool.region === deployment.region)
      .map((pool) => [pool.name, START_MS]),
  );
  const vms = deployment.vms.map((vm) =>
    [vm.id, {
      pool: vm.pool ?? "",
      homePool: vm.pool ?? "",
      state: "serving",
      incarnation: vm.incarnation,
      dataCentre: vm.dataCentre,
      rack: vm.rack,
      changedAtMs: START_MS,
      maintainedAtMs: maintenanceDue ? 0 : START_MS,
    }] as const
  );
  return {
    ...createFleetRecord(deployment.region),
    revision: 1,
    vms: Object.fromEntries(vms),
    maintenance: { waves, late: {} },
  };
}

/** Creates the digest of an entry that reports the given demand. */
export function createDigest(
  region: string,
  record: FleetRecord,
  demandSlots: ReadonlyMap<string, number>,
): EntryDigest {
  const services = [...demandSlots].map(([service, slots]) =>
    [service, { inFlight: 0, waiting: 0, demandSlots: slots }] as const
  );
  return {
    entryId: "entry-1",
    incarnation: "1",
    sequence: 1,
    region,
    peerAddress: "",
    callerAddress: "",
    ready: true,
    stopping: false,
    configRevision: 1,
    fleetRevision: record.revision,
    services: Object.fromEntries(services),
    drainingInFlight: {},
    leavingVms: [],
  };
}

function createWorkerViews(record: FleetRecord, nowMs: number) {
  const views = new Map<string, WorkerView>();
  for (const [vmId, vm] of Object.entries(record.vms)) {
    const rebooted = vm.state === "rebooting" &&
      nowMs - vm.changedAtMs >= REBOOT_DURATION_S * 1_000;
    views.set(vmId, {
      reachable: true,
      responding: vm.state !== "rebooting" || rebooted,
      lastRebootIntentId: rebooted ? vm.transition?.intentId : undefined,
      runningTasks: 0,
    });
  }
  return views;
}

function countMoves(before: FleetRecord, after: FleetRecord): number {
  let moves = 0;
  for (const vmId in after.vms) {
    if (after.vms[vmId]?.pool !== before.vms[vmId]?.pool) moves++;
  }
  return moves;
}

/** Creates the planner of one run. Each planning step updates the fleet record and the totals. */
function createPlanner(options: SimulationOptions) {
  const { deployment, config, strategy } = options;
  const { region, vms } = deployment;
  let record = createRecord(options);
  let demand: DemandState = createDemandState();
  const totals = { moves: 0, violations: 0, steps: 0, ms: 0, maximumMs: 0 };

  function plan(
    second: number,
    reportedSlots: ReadonlyMap<string, number>,
  ): void {
    const nowMs = START_MS + second * 1_000;
    const entries = [createDigest(region, record, reportedSlots)];
    demand = observeDemand(demand, {
      config,
      region,
      entries,
      listedEntries: 1,
      nowMs,
    });
    const input = {
      record,
      config,
      configRevision: 1,
      vms,
      entries,
      workers: createWorkerViews(record, nowMs),
      demand,
      newDrainsBlocked: false,
      wavePauseMs: WAVE_PAUSE_MS,
      nowMs,
    };
    const startedAtMs = performance.now();
    const result = strategy.plan(input);
    const elapsedMs = performance.now() - startedAtMs;
    totals.steps++;
    totals.ms += elapsedMs;
    totals.maximumMs = Math.max(totals.maximumMs, elapsedMs);
    if (result.kind !== "changed") return;
    totals.moves += countMoves(record, result.record);
    totals.violations +=
      checkRecordChange(record, result.record, config).length;
    record = result.record;
  }

  return { plan, totals, record: () => record };
}

function countServing(record: FleetRecord, pools: readonly string[]) {
  const positions = new Map(pools.map((pool, position) => [pool, position]));
  const serving = pools.map(() => 0);
  for (const vmId in record.vms) {
    const vm = record.vms[vmId];
    const position = positions.get(vm?.pool ?? "");
    if (vm?.state === "serving" && position !== undefined) {
      serving[position] = (serving[position] ?? 0) + 1;
    }
  }
  return serving;
}

/** Simulates one strategy under one demand series. */
export function runSimulation(options: SimulationOptions): SimulationResult {
  const { deployment, config, strategy, load, seed } = options;
  const pools = config.pools.filter((pool) =>
    pool.region === deployment.region
  );
  const poolNames = pools.map((pool) => pool.name);
  const slotsPerVm = config.services[0]?.slotsPerInstance ?? 8;
  const series = createDemandSeries(pools.length, {
    seed,
    surges: options.surges,
  });
  const capacity = createCapacityModel(pools, {
    slotsPerVm,
    overflow: strategy.overflow,
  });
  const planner = createPlanner(options);
  const meanSlots = pools.map((pool) => pool.vms * slotsPerVm * load);
  const reportedSlots = new Map<string, number>();
  const endS = options.warmUpS + options.measuredS;
  let serving = countServing(planner.record(), poolNames);
  let movesBefore = 0;
  let demandedSlotSeconds = 0;
  let late = 0;
  let maintenanceEndS: number | undefined;

  for (let second = 0; second < endS; second++) {
    const demand = series.next().map((value, index) =>
      value * (meanSlots[index] ?? 0)
    );
    pools.forEach(({ services: [ownService = ""] }, index) => {
      const previous = reportedSlots.get(ownService) ?? demand[index] ?? 0;
      const change = ((demand[index] ?? 0) - previous) / DIGEST_SMOOTHING_S;
      reportedSlots.set(ownService, previous + change);
    });
    if (second % options.planningIntervalS === 0) {
      planner.plan(second, reportedSlots);
      serving = countServing(planner.record(), poolNames);
      const isDone = options.maintenanceDue && maintenanceEndS === undefined &&
        Object.values(planner.record().vms).every((vm) => vm.maintainedAtMs);
      if (isDone) {
        maintenanceEndS = second;
        break;
      }
    }
    const result = capacity(demand, serving);
    if (second === options.warmUpS) movesBefore = planner.totals.moves;
    if (second < options.warmUpS) continue;
    late += result.late;
    for (const slots of demand) demandedSlotSeconds += slots;
  }

  const { totals } = planner;
  const slots = deployment.vms.length * slotsPerVm;
  const neededSlots = demandedSlotSeconds / options.measuredS;
  const days = options.measuredS / DAY_S;
  return {
    lateShare: late / demandedSlotSeconds,
    buffer: (slots - neededSlots) / neededSlots,
    movesPerVmDay: (totals.moves - movesBefore) / deployment.vms.length / days,
    violations: totals.violations,
    maintenanceDays: maintenanceEndS === undefined
      ? undefined
      : maintenanceEndS / DAY_S,
    planMeanMs: totals.ms / totals.steps,
    planMaximumMs: totals.maximumMs,
  };
}
