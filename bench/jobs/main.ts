import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { pathToFileURL } from "node:url";
import { chooseSeed, deriveSeed } from "../../testing/random.ts";
import {
  DEFAULT_TAIL_MS,
  type JobsRun,
  type Placement,
  runJobs,
} from "./run.ts";
import {
  createTwoYearJobs,
  type JobsDeployment,
  loadJobsDeployment,
  planJobs,
} from "./workload.ts";

const OUTPUT_FOLDER = "bench/out";
/** Name of the largest region of the two-year size. */
const TWO_YEAR_REGION = "two-year region";
const DEPLOYMENTS = [
  { region: "khomas", cores: 32, memoryMb: 65_536, dataCentres: 3 },
  { region: "punjab-east", cores: 16, memoryMb: 65_536, dataCentres: 4 },
];
/** Ways of placing jobs that the bench compares. */
export const PLACEMENTS: readonly Placement[] = ["first fit", "learned"];
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

/** Deployments of the jobs bench. */
export const REGIONS: readonly string[] = [
  ...DEPLOYMENTS.map(({ region }) => region),
  TWO_YEAR_REGION,
];

async function loadDeployment(name: string): Promise<JobsDeployment> {
  const known = DEPLOYMENTS.find(({ region }) => region === name);
  return known === undefined
    ? createTwoYearJobs()
    : await loadJobsDeployment(name, known);
}

/** Options of the jobs bench. */
export interface JobsBenchOptions {
  readonly seed: number;
  /** Runs of each deployment and placement. */
  readonly runs?: number;
  /** Time in which jobs arrive, in minutes. */
  readonly arrivalMinutes?: number;
  /** Entries among which learned placement divides the shards. */
  readonly entries?: number;
  /** Time after the last arrival until a run ends with jobs left over, in minutes. */
  readonly tailMinutes?: number | undefined;
  /** All of them by default. */
  readonly placements?: readonly Placement[] | undefined;
  readonly outputFolder?: string;
  /** All of them by default. */
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
  placement: Placement,
  runs: readonly JobsRun[],
): string[] {
  const all = (of: (run: JobsRun) => readonly number[]) => runs.flatMap(of);
  const sum = (of: (run: JobsRun) => number) =>
    runs.reduce((total, run) => total + of(run), 0);
  const waits = all((run) => run.waitsMs);
  const urgent = all((run) => run.urgentWaitsMs);
  const steps = all((run) => run.stepCpuMs);
  const jobs = sum((run) => run.jobs);
  return [
    region,
    placement,
    String(jobs),
    `${seconds(percentile(waits, 0.5))} / ${seconds(percentile(waits, 0.99))}`,
    String(urgent.length),
    `${seconds(percentile(urgent, 0.99))} / ${seconds(percentile(urgent, 1))}`,
    percent(sum((run) => run.succeeded) / sum((run) => run.possible)),
    String(jobs - sum((run) => run.ended)),
    seconds(percentile(all((run) => run.hopelessEndMs), 0.99)),
    percent(sum((run) => run.usefulShare) / runs.length),
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
    ...formatQuotaUse(runs),
  ];
}

function formatQuotaUse(runs: readonly JobsRun[]): string[] {
  const sum = (of: (run: JobsRun) => number) =>
    runs.reduce((total, run) => total + of(run), 0);
  const mean = (of: (run: JobsRun) => number) => percent(sum(of) / runs.length);
  const largest = Math.max(...runs.map((run) => run.quotaUse.largest));
  const causes = new Set(runs.flatMap((run) => [...run.wastedBy.keys()]));
  return [
    `${percent(largest)} / ${mean((run) => run.quotaUse.meanExcess)}`,
    `${sum((run) => run.quotaUse.startsAbove)} / ${
      sum((run) => run.quotaUse.unseenCause)
    }`,
    mean((run) => run.quotaUse.overcommittedWorkers),
    [...causes].sort().map((cause) =>
      `${cause} ${sum((run) => run.wastedBy.get(cause) ?? 0)}`
    ).join(", "),
  ];
}

/** Compares learned placement with first fit by declared sizes; writes JSON figures and a Markdown table. */
export async function runJobsBench(options: JobsBenchOptions): Promise<void> {
  const { seed, runs = 3, arrivalMinutes = 20, entries = 1 } = options;
  const tailMs = options.tailMinutes === undefined
    ? DEFAULT_TAIL_MS
    : options.tailMinutes * 60_000;
  const folder = options.outputFolder ?? OUTPUT_FOLDER;
  const rows: string[][] = [];
  const figures: unknown[] = [];
  const chosen = options.regions ?? REGIONS;
  for (const region of chosen) {
    const deployment = await loadDeployment(region);
    // First fit has no use for the cost of a dispatcher's step.
    const placements = region === TWO_YEAR_REGION
      ? (["learned"] as const)
      : options.placements ?? PLACEMENTS;
    for (const placement of placements) {
      const results: JobsRun[] = [];
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
      figures.push({
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
    JSON.stringify({ seed, runs, arrivalMinutes, figures }, null, 2),
  );
  writeFileSync(`${folder}/jobs.md`, `${table}\n`);
  console.log(`figures in ${folder}/jobs.json and ${folder}/jobs.md`);
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
  await runJobsBench({
    seed: chooseSeed(),
    runs: Number(process.env.RUNS ?? 3),
    arrivalMinutes: Number(process.env.MINUTES ?? 20),
  });
}
