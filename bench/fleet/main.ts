import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { pathToFileURL } from "node:url";
import { chooseSeed } from "../../testing/random.ts";
import { compareStrategies, type Experiment } from "./comparison.ts";
import {
  createSingleRegion,
  type Deployment,
  loadDeployments,
  WEIGHTINGS,
} from "./deployments.ts";
import { measurePlanning } from "./planning_cost.ts";
import {
  type FleetReport,
  formatHtml,
  formatMarkdown,
  type MaintenanceRow,
} from "./report.ts";
import { runSimulation } from "./run.ts";
import { STRATEGIES } from "./strategies.ts";

const HOUR_S = 3_600;
/**
 * Regions with more VMs than this are planned less often and simulated for a shorter time, to limit
 * the running time of the benchmark.
 */
const LARGE_REGION_VMS = 200;
/** Mean demand in the maintenance runs, as a share of the slots of each pool. */
const MAINTENANCE_LOAD = 0.2;
const OUTPUT_FOLDER = "bench/out";

const EXPERIMENTS: readonly Experiment[] = [
  { name: "surges and drift, with overflow", surges: true, commonLoad: 0.4 },
  { name: "drift alone, without overflow", surges: false },
];

/** Options of the fleet benchmark. */
export interface FleetBenchOptions {
  readonly seed: number;
  /** Output folder of the JSON results and the HTML report. */
  readonly outputFolder?: string;
}

function chooseRunTimes(deployment: Deployment) {
  const large = deployment.vms.length > LARGE_REGION_VMS;
  return {
    planningIntervalS: large ? 30 : 10,
    // The demand history is only filled after one day.
    warmUpS: 24 * HOUR_S,
    measuredS: (large ? 6 : 12) * HOUR_S,
  };
}

function measureMaintenance(
  deployment: Deployment,
  seed: number,
): MaintenanceRow[] {
  const strategy = STRATEGIES.find(({ name }) => name === "policy");
  if (strategy === undefined) return [];
  return Object.entries(WEIGHTINGS).map(([weighting, weights]) => {
    const result = runSimulation({
      deployment,
      config: { ...deployment.config, weights },
      strategy,
      load: MAINTENANCE_LOAD,
      seed,
      surges: true,
      maintenanceDue: true,
      planningIntervalS: 10,
      warmUpS: 0,
      measuredS: 24 * HOUR_S,
    });
    return {
      deployment: deployment.name,
      weighting,
      days: result.maintenanceDays,
      violations: result.violations,
    };
  });
}

/** Runs the fleet benchmark, prints its tables and writes them to the output folder. Returns all results. */
export function runFleetBench(options: FleetBenchOptions): FleetReport {
  const { seed, outputFolder: folder = OUTPUT_FOLDER } = options;
  const deployments = loadDeployments();
  const report: FleetReport = {
    seed,
    comparisons: EXPERIMENTS.flatMap((experiment) =>
      deployments.map((deployment) => ({
        deployment: deployment.name,
        experiment: experiment.name,
        rows: compareStrategies({
          deployment,
          experiment,
          seed,
          times: chooseRunTimes(deployment),
        }),
      }))
    ),
    maintenance: deployments.flatMap((deployment) =>
      measureMaintenance(deployment, seed)
    ),
    planning: [...deployments, createSingleRegion()].map(measurePlanning),
  };
  mkdirSync(folder, { recursive: true });
  writeFileSync(`${folder}/fleet.json`, JSON.stringify(report, null, 2));
  writeFileSync(`${folder}/fleet.html`, formatHtml(report));
  console.log(formatMarkdown(report));
  return report;
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
  runFleetBench({ seed: chooseSeed() });
}
