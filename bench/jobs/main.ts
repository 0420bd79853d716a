import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { pathToFileURL } from "node:url";
import { chooseSeed, seedFor } from "../../testing/random.ts";
import { type JobsRun, type Placement, runJobs } from "./run.ts";
import { loadJobsDeployment, planJobs } from "./workload.ts";

const OUTPUT_FOLDER = "bench/out";
const DEPLOYMENTS = [
  { region: "khomas", cores: 32, memoryMb: 65_536, dataCentres: 3 },
  { region: "punjab-east", cores: 16, memoryMb: 65_536, dataCentres: 4 },
];
const PLACEMENTS: readonly Placement[] = ["first fit", "learned"];
const COLUMNS = [
  "deployment",
  "placement",
  "jobs",
  "wait p50 / p99 (s)",
  "urgent wait p99 (s)",
  "succeeded of those that can",
  "left over",
  "unfit jobs: end p99 (s)",
  "useful cores of quota",
  "wasted runs",
  "wasted core time",
  "store writes per job",
];

/** Options of the jobs bench. */
export interface JobsBenchOptions {
  readonly seed: number;
  /** Runs of each deployment and placement. */
  readonly runs?: number;
  /** Time in which jobs arrive, in minutes. */
  readonly arrivalMinutes?: number;
  readonly outputFolder?: string;
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
  const jobs = sum((run) => run.jobs);
  return [
    region,
    placement,
    String(jobs),
    `${seconds(percentile(waits, 0.5))} / ${seconds(percentile(waits, 0.99))}`,
    seconds(percentile(all((run) => run.urgentWaitsMs), 0.99)),
    percent(sum((run) => run.succeeded) / sum((run) => run.possible)),
    String(jobs - sum((run) => run.ended)),
    seconds(percentile(all((run) => run.hopelessEndMs), 0.99)),
    percent(sum((run) => run.usefulShare) / runs.length),
    `${sum((run) => run.wastedRuns)} of ${sum((run) => run.runs)}`,
    percent(sum((run) => run.wastedCoreShare) / runs.length),
    (sum((run) => run.storeWrites) / jobs).toFixed(2),
  ];
}

/** Compares learned placement with first fit by declared sizes; writes JSON figures and a Markdown table. */
export async function runJobsBench(options: JobsBenchOptions): Promise<void> {
  const { seed, runs = 3, arrivalMinutes = 20 } = options;
  const folder = options.outputFolder ?? OUTPUT_FOLDER;
  const rows: string[][] = [];
  const figures: unknown[] = [];
  for (const { region, ...size } of DEPLOYMENTS) {
    const deployment = await loadJobsDeployment(region, size);
    for (const placement of PLACEMENTS) {
      const results: JobsRun[] = [];
      for (let run = 0; run < runs; run++) {
        const runSeed = seedFor(seed, `${region}-${run}`);
        const arrivalsMs = arrivalMinutes * 60_000;
        const planned = planJobs(deployment, { seed: runSeed, arrivalsMs });
        const options = { placement, seed: runSeed };
        results.push(await runJobs(deployment, planned, options));
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
