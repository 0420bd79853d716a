import { WAVE_PAUSE_MS } from "../../src/constants.ts";
import process from "node:process";
import { performance } from "node:perf_hooks";
import type { ResolvedConfig } from "../../src/config/schema.ts";
import { createDemandState, observeDemand } from "../../src/fleet/demand.ts";
import { parseFleetRecord } from "../../src/fleet/follower.ts";
import { planFleet } from "../../src/fleet/plan.ts";
import type {
  PlanInput,
  WorkerView,
} from "../../src/fleet/planning_context.ts";
import { createFleetRecord, type FleetRecord } from "../../src/fleet/record.ts";
import type { Deployment } from "./deployments.ts";
import { createDigest } from "./run.ts";

const ENTRY_COUNT = 9;
const WARM_UP_STEPS = 20;
/** Maintenance period in days, short enough that a wave is in progress in every step. */
const MAINTENANCE_PERIOD_DAYS = 0.02;
const MEASURED_STEPS = 500;
const STEP_INTERVAL_MS = 10_000;
const START_MS = Date.UTC(2026, 0, 5);

/** Cost of a planning step while a maintenance wave and loans are in progress. */
export interface PlanningCost {
  readonly deployment: string;
  readonly workers: number;
  readonly pools: number;
  /** Mean duration of `planFleet`, in ms. */
  readonly planMeanMs: number;
  readonly planP99Ms: number;
  readonly planMaximumMs: number;
  /** Mean CPU time of a step, parsing and serializing the record included, in ms. */
  readonly stepCpuMs: number;
  /** Number of the `MEASURED_STEPS` steps that changed the fleet record. */
  readonly changedSteps: number;
  /** Size of the largest fleet record as JSON, in bytes. */
  readonly recordBytes: number;
}

function createWorkerViews(record: FleetRecord): Map<string, WorkerView> {
  return new Map(
    Object.entries(record.vms).map(([vmId, vm]) => [vmId, {
      reachable: true,
      responding: true,
      lastRebootIntentId: vm.transition?.intentId,
      runningTasks: 0,
    }]),
  );
}

function createDigests(
  deployment: Deployment,
  record: FleetRecord,
  step: number,
) {
  const pools = deployment.config.pools.filter((pool) =>
    pool.region === deployment.region
  );
  const demand = new Map(pools.map((pool, index) => {
    const busy = (index + Math.floor(step / 60)) % pools.length < 3;
    return [
      pool.services[0] ?? "",
      pool.vms * 8 * (busy ? 0.95 : 0.2) / ENTRY_COUNT,
    ];
  }));
  return Array.from({ length: ENTRY_COUNT }, (_, index) => ({
    ...createDigest(deployment.region, record, demand),
    entryId: `entry-${index}`,
  }));
}

/** Returns a configuration with continuous maintenance waves and without overflow, so that demand is met by loans. */
function configureConstantPlanning(config: ResolvedConfig): ResolvedConfig {
  const pools = config.pools.map((pool) => ({
    ...pool,
    lending: { ...pool.lending, overflow: false },
    maintenance: { ...pool.maintenance, periodDays: MAINTENANCE_PERIOD_DAYS },
  }));
  return { ...config, pools };
}

/** Measures the planning steps of a region while maintenance waves and loans are in progress. */
export function measurePlanning(deployment: Deployment): PlanningCost {
  const { region, vms } = deployment;
  const config = configureConstantPlanning(deployment.config);
  let text = JSON.stringify(createFleetRecord(region));
  let demand = createDemandState();
  const timesMs: number[] = [];
  let changedSteps = 0;
  let recordBytes = 0;
  let cpuMs = 0;
  for (let step = 0; step < WARM_UP_STEPS + MEASURED_STEPS; step++) {
    const nowMs = START_MS + step * STEP_INTERVAL_MS;
    const cpuStart = process.cpuUsage();
    const record = parseFleetRecord(text);
    const parseCpu = process.cpuUsage(cpuStart);
    const entries = createDigests(deployment, record, step);
    demand = observeDemand(demand, {
      config,
      region,
      entries,
      listedEntries: ENTRY_COUNT,
      nowMs,
    });
    const input: PlanInput = {
      record,
      config,
      configRevision: 1,
      vms,
      entries,
      workers: createWorkerViews(record),
      demand,
      newDrainsBlocked: false,
      wavePauseMs: WAVE_PAUSE_MS,
      nowMs,
    };
    const planStart = process.cpuUsage();
    const startedAtMs = performance.now();
    const plan = planFleet(input);
    const planMs = performance.now() - startedAtMs;
    if (plan.kind === "changed") text = JSON.stringify(plan.record);
    const planCpu = process.cpuUsage(planStart);
    recordBytes = Math.max(recordBytes, Buffer.byteLength(text));
    if (step < WARM_UP_STEPS) continue;
    timesMs.push(planMs);
    if (plan.kind === "changed") changedSteps++;
    cpuMs += (parseCpu.user + parseCpu.system + planCpu.user + planCpu.system) /
      1_000;
  }
  timesMs.sort((a, b) => a - b);
  return {
    deployment: deployment.name,
    workers: vms.length,
    pools: config.pools.filter((pool) => pool.region === region).length,
    planMeanMs: timesMs.reduce((sum, ms) => sum + ms, 0) / MEASURED_STEPS,
    planP99Ms: timesMs[Math.floor(MEASURED_STEPS * 0.99)] ?? 0,
    planMaximumMs: timesMs.at(-1) ?? 0,
    stepCpuMs: cpuMs / MEASURED_STEPS,
    changedSteps,
    recordBytes,
  };
}
