import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { pathToFileURL } from "node:url";
import { chooseSeed, deriveSeed } from "../../testing/random.ts";
import {
  DEFAULT_TAIL_MS,
  type JobsRunResult,
  type PlacementStrategy,
  runJobs,
} from "./run.ts";
import {
  createTwoYearJobs,
  type JobsDeployment,
  loadJobsDeployment,
  planJobs,
} from "./workload.ts";

const OUTPUT_FOLDER = "bench/out";
/** Name of the largest region of the size expected in two years. Seeds are derived from it, so it must not change. */
const TWO_YEAR_REGION = "two-year region";
const EXAMPLE_DEPLOYMENTS = [
  { region: "khomas", cores: 32, memoryMb: 65_536, dataCentres: 3 },
  { region: "punjab-east", cores: 16, memoryMb: 65_536, dataCentres: 4 },
];
/** Placement strategies that the benchmark compares. */
export const PLACEMENTS: readonly PlacementStrategy[] = [
  "first fit",
  "learned",
];
const COLUMNS = [
  "deployment",
  "placement",
  "jobs",
  "wait p50 / p99 (s)",
  "urgent jobs",
  "urgent wait p99 / longest (s)",
  "succeeded of those that can",
  "left over",
  "unfit jobs: end p99 (s)",
  "useful cores of quota",
  "wasted runs",
  "wasted core time",
  "store writes per job",
  "ledger calls/s / KB/s in all",
  "step CPU mean / p99 / max (ms)",
  "largest use of a quota / mean excess",
  "starts above quota / with unseen tasks",
  "overcommitted workers",
  "wasted runs by cause",
];

/** Regions of the deployments that the jobs benchmark can run. */
export const JOB_REGIONS: readonly string[] = [
  ...EXAMPLE_DEPLOYMENTS.map(({ region }) => region),
  TWO_YEAR_REGION,
];

async function loadDeployment(name: string): Promise<JobsDeployment> {
  const example = EXAMPLE_DEPLOYMENTS.find(({ region }) => region === name);
  return example === undefined
    ? createTwoYearJobs()
    : await loadJobsDeployment(name, example);
}

/** Options of the jobs benchmark. */
export interface JobsBenchOptions {
  readonly seed: number;
  /** Number of runs per deployment and placement strategy. */
  readonly runs?: number;
  /** Duration of the arrivals, in minutes. */
  readonly arrivalMinutes?: number;
  /** Number of entries that share the shards in learned placement. */
  readonly entries?: number;
  /** Time after the last arrival at which a run ends even if jobs are unfinished, in minutes. */
  readonly tailMinutes?: number | undefined;
  /** All placement strategies by default. */
  readonly placements?: readonly PlacementStrategy[] | undefined;
  readonly outputFolder?: string;
  /** All regions by default. */
  readonly regions?: readonly string[] | undefined;
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.ceil(share * sorted.length) - 1] ?? NaN;
}

const seconds = (ms: number) =>
  Number.isFinite(ms) ? (ms / 1_000).toFixed(1) : "never";
const percent = (share: number) => `${(100 * share).toFixed(1)}%`;

function formatRow(
  region: string,
  placement: PlacementStrategy,
  runs: readonly JobsRunResult[],
): string[] {
  const collect = (select: (run: JobsRunResult) => readonly number[]) =>
    runs.flatMap(select);
  const sum = (select: (run: JobsRunResult) => number) =>
    runs.reduce((total, run) => total + select(run), 0);
  const waits = collect((run) => run.waitsMs);
  const urgent = collect((run) => run.urgentWaitsMs);
  const steps = collect((run) => run.stepCpuMs);
  const jobs = sum((run) => run.jobs);
  return [
    region,
    placement,
    String(jobs),
    `${seconds(percentile(waits, 0.5))} / ${seconds(percentile(waits, 0.99))}`,
    String(urgent.length),
    `${seconds(percentile(urgent, 0.99))} / ${seconds(percentile(urgent, 1))}`,
    percent(sum((run) => run.succeeded) / sum((run) => run.feasible)),
    String(jobs - sum((run) => run.ended)),
    seconds(percentile(collect((run) => run.unplaceableEndMs), 0.99)),
    percent(sum((run) => run.usefulCoreShare) / runs.length),
    `${sum((run) => run.wastedRuns)} of ${sum((run) => run.runs)}`,
    percent(sum((run) => run.wastedCoreShare) / runs.length),
    (sum((run) => run.storeWrites) / jobs).toFixed(2),
    `${(sum((run) => run.ledgerCallsPerSecond) / runs.length).toFixed(0)} / ${
      (sum((run) => run.ledgerBytesPerSecond) / runs.length / 1_000).toFixed(1)
    }`,
    steps.length === 0 ? "" : [
      steps.reduce((a, b) => a + b, 0) / steps.length,
      percentile(steps, 0.99),
      percentile(steps, 1),
    ].map((ms) => ms.toFixed(2)).join(" / "),
    ...formatQuotaUsage(runs),
  ];
}

function formatQuotaUsage(runs: readonly JobsRunResult[]): string[] {
  const sum = (select: (run: JobsRunResult) => number) =>
    runs.reduce((total, run) => total + select(run), 0);
  const mean = (select: (run: JobsRunResult) => number) =>
    percent(sum(select) / runs.length);
  const largest = Math.max(...runs.map((run) => run.quotaUsage.largestShare));
  const causes = new Set(
    runs.flatMap((run) => [...run.wastedRunsByCause.keys()]),
  );
  return [
    `${percent(largest)} / ${mean((run) => run.quotaUsage.meanExcess)}`,
    `${sum((run) => run.quotaUsage.startsAboveQuota)} / ${
      sum((run) => run.quotaUsage.startsAboveFromReportDelay)
    }`,
    mean((run) => run.quotaUsage.overcommittedWorkers),
    [...causes].sort().map((cause) =>
      `${cause} ${sum((run) => run.wastedRunsByCause.get(cause) ?? 0)}`
    ).join(", "),
  ];
}

/** Compares learned placement with first fit by declared sizes; writes JSON results and a Markdown table. */
export async function runJobsBench(options: JobsBenchOptions): Promise<void> {
  const { seed, runs = 3, arrivalMinutes = 20, entries = 1 } = options;
  const tailMs = options.tailMinutes === undefined
    ? DEFAULT_TAIL_MS
    : options.tailMinutes * 60_000;
  const folder = options.outputFolder ?? OUTPUT_FOLDER;
  const rows: string[][] = [];
  const jsonRows: unknown[] = [];
  const regions = options.regions ?? JOB_REGIONS;
  for (const region of regions) {
    const deployment = await loadDeployment(region);
    // The two-year region is run to measure dispatcher steps, which first fit does not have.
    const placements = region === TWO_YEAR_REGION
      ? (["learned"] as const)
      : options.placements ?? PLACEMENTS;
    for (const placement of placements) {
      const results: JobsRunResult[] = [];
      for (let run = 0; run < runs; run++) {
        const runSeed = deriveSeed(seed, `${region}-${run}`);
        const arrivalsMs = arrivalMinutes * 60_000;
        const planned = planJobs(deployment, { seed: runSeed, arrivalsMs });
        const runOptions = { placement, seed: runSeed, tailMs, entries };
        results.push(await runJobs(deployment, planned, runOptions));
      }
      const row = formatRow(region, placement, results);
      console.log(row.join(" | "));
      rows.push(row);
      jsonRows.push({
        row: Object.fromEntries(
          COLUMNS.map((name, index) => [name, row[index]]),
        ),
      });
    }
  }
  const table = [COLUMNS, COLUMNS.map(() => "---"), ...rows]
    .map((cells) => `| ${cells.join(" | ")} |`).join("\n");
  mkdirSync(folder, { recursive: true });
  writeFileSync(
    `${folder}/jobs.json`,
    JSON.stringify({ seed, runs, arrivalMinutes, figures: jsonRows }, null, 2),
  );
  writeFileSync(`${folder}/jobs.md`, `${table}\n`);
  console.log(`results in ${folder}/jobs.json and ${folder}/jobs.md`);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
  await runJobsBench({
    seed: chooseSeed(),
    runs: Number(process.env.RUNS ?? 3),
    arrivalMinutes: Number(process.env.MINUTES ?? 20),
  });
}
