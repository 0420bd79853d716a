import process from "node:process";
import { parseFleetRecord } from "../../src/fleet/follower.ts";
import { createFleetRecord, type FleetRecord } from "../../src/fleet/record.ts";
import { vmSchema } from "../../src/ports/vm_list.ts";
import { buildPoolViews } from "../../src/requests/pool_views.ts";
import { createSingleRegion, type Deployment } from "../fleet/deployments.ts";
import { measurePlanning } from "../fleet/planning_cost.ts";
import type { ReportTable } from "../report.ts";

const WORKER_COUNTS = [35, 350, 1_400];
const WARM_UP_ITERATIONS = 30;
const ITERATIONS = 100;

/** CPU time and data sizes of an entry for a fleet of one size. */
export interface FleetSizeRow {
  readonly workers: number;
  readonly recordBytes: number;
  /** CPU time to parse and validate the fleet record after a change, in ms. */
  readonly parseMs: number;
  /** CPU time to compute the pool map after a change, in ms. */
  readonly poolMapMs: number;
  readonly vmListBytes: number;
  /** CPU time to parse and validate one response of the VM list, in ms. */
  readonly vmListParseMs: number;
  /** CPU time of a controller's planning step, parsing and serializing the record included, in ms. */
  readonly planningStepMs: number;
}

function meanCpuMs(operation: () => void): number {
  for (let count = 0; count < WARM_UP_ITERATIONS; count++) operation();
  const before = process.cpuUsage();
  for (let count = 0; count < ITERATIONS; count++) operation();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000 / ITERATIONS;
}

function createRecord({ region, vms }: Deployment): FleetRecord {
  const record = createFleetRecord(region);
  return {
    ...record,
    vms: Object.fromEntries(vms.map((vm) => [vm.id, {
      pool: vm.pool ?? "",
      homePool: vm.pool ?? "",
      state: "serving" as const,
      incarnation: vm.incarnation,
      dataCentre: vm.dataCentre,
      rack: vm.rack,
      changedAtMs: 1_790_000_000_000,
      maintainedAtMs: 1_790_000_000_000,
    }])),
  };
}

function measureFleetSize(workers: number): FleetSizeRow {
  const deployment = createSingleRegion(workers);
  const { config, region, vms } = deployment;
  const record = createRecord(deployment);
  const text = JSON.stringify(record);
  const listText = JSON.stringify({ vms });
  const leavingVms = new Set<string>();
  const parseMs = meanCpuMs(() => parseFleetRecord(text));
  const poolMapMs = meanCpuMs(() =>
    buildPoolViews({ region, config, record, vms, leavingVms })
  );
  const vmListParseMs = meanCpuMs(() =>
    vmSchema.array().parse(JSON.parse(listText).vms)
  );
  return {
    workers,
    recordBytes: Buffer.byteLength(text),
    parseMs,
    poolMapMs,
    vmListBytes: Buffer.byteLength(listText),
    vmListParseMs,
    planningStepMs: measurePlanning(deployment).stepCpuMs,
  };
}

/** Measures the cost of a fleet for each number of workers in `WORKER_COUNTS`. */
export function measureFleetSizes(): FleetSizeRow[] {
  return WORKER_COUNTS.map(measureFleetSize);
}

/** Returns a report table with one row per fleet size. */
export function formatFleetSizes(rows: readonly FleetSizeRow[]): ReportTable {
  return {
    title: "fleet record and VM list by number of workers, one region",
    rows: [
      [
        "workers",
        "record bytes",
        "parse ms",
        "pool map ms",
        "VM list bytes",
        "parse ms",
        "planning step ms",
      ],
      ...rows.map((row) => Object.values(row) as number[]),
    ],
  };
}
