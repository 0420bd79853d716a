import process from "node:process";
import { Command, Option } from "commander";
import { chooseSeed } from "../testing/random.ts";
import { ENTRY_COUNTS } from "./capacity/idle_entries.ts";
import { CAPACITY_PARTS, runCapacityBench } from "./capacity/main.ts";
import { runFleetBench } from "./fleet/main.ts";
import { JOB_REGIONS, PLACEMENTS, runJobsBench } from "./jobs/main.ts";
import type { PlacementStrategy } from "./jobs/run.ts";
import { runRequestsBench } from "./requests/main.ts";

const DATA_CENTRES_BY_REGION: Record<string, readonly string[]> = {
  khomas: ["khomas-1", "khomas-2", "khomas-3"],
  "punjab-east": [
    "punjab-east-1",
    "punjab-east-2",
    "punjab-east-3",
    "punjab-east-4",
  ],
};
const REQUEST_PARTS = ["latency", "throughput", "surge"];

interface CapacityOptions {
  readonly region: string;
  readonly binary: string;
  readonly part: readonly string[] | undefined;
  readonly entries: readonly string[] | undefined;
}

interface RequestsOptions {
  readonly region: string;
  readonly part: readonly string[] | undefined;
  readonly runs: string;
  readonly entries: string;
  readonly meanShare: string;
  readonly binary: string;
  readonly name: string;
}

interface JobsCommandOptions {
  readonly runs: string;
  readonly minutes: string;
  readonly tailMinutes: string | undefined;
  readonly entries: string;
  readonly region: readonly string[] | undefined;
  readonly placement: readonly PlacementStrategy[] | undefined;
}

const program = new Command("bench").description(
  "Runs benchmarks; SEED=<number> repeats a run",
);

program.command("requests")
  .description(
    "measures added latency, requests per second and the surge profile",
  )
  .addOption(
    new Option("--region <name>", "example configuration")
      .choices(Object.keys(DATA_CENTRES_BY_REGION)).default("khomas"),
  )
  .addOption(
    new Option("--part <name...>", "parts to run; all by default")
      .choices(REQUEST_PARTS),
  )
  .option("--runs <count>", "runs of each measurement", "3")
  .option("--entries <count>", "number of entries in the surge profile", "3")
  .option(
    "--mean-share <share>",
    "mean load of a service as a share of its own pool's slots",
    "0.5",
  )
  .option("--binary <file>", "binary that the entries run", "dist/cowslipferry")
  .option("--name <name>", "name of the report", "requests")
  .action(async (options: RequestsOptions) => {
    await runRequestsBench({
      seed: chooseSeed(),
      runs: Number(options.runs),
      binary: options.binary,
      configFile: `examples/${options.region}.json`,
      dataCentres: DATA_CENTRES_BY_REGION[options.region] ?? [],
      entries: Number(options.entries),
      meanShare: Number(options.meanShare),
      parts: options.part ?? REQUEST_PARTS,
      name: options.name,
      command: `npm run bench -- ${process.argv.slice(2).join(" ")}`,
    });
  });

program.command("fleet")
  .description(
    "compares static pools, threshold lending and the planner's policy",
  )
  .action(() => {
    runFleetBench({ seed: chooseSeed() });
  });

program.command("jobs")
  .description("compares learned placement with first fit by declared sizes")
  .option("--runs <count>", "runs per deployment and placement strategy", "3")
  .option("--minutes <count>", "duration of the arrivals, in minutes", "20")
  .addOption(
    new Option("--region <name...>", "deployments to run; all by default")
      .choices(JOB_REGIONS),
  )
  .addOption(
    new Option("--placement <name...>", "placement strategies; all by default")
      .choices(PLACEMENTS),
  )
  .option("--entries <count>", "entries that share the shards", "1")
  .option(
    "--tail-minutes <count>",
    "minutes after the last arrival at which a run ends even if jobs are unfinished; 30 by default",
  )
  .action(async (options: JobsCommandOptions) => {
    await runJobsBench({
      seed: chooseSeed(),
      runs: Number(options.runs),
      arrivalMinutes: Number(options.minutes),
      regions: options.region,
      placements: options.placement,
      entries: Number(options.entries),
      tailMinutes: options.tailMinutes === undefined
        ? undefined
        : Number(options.tailMinutes),
    });
  });

program.command("capacity")
  .description(
    "measures CPU time, memory and traffic of the control plane per entry",
  )
  .addOption(
    new Option("--region <name>", "example configuration")
      .choices(Object.keys(DATA_CENTRES_BY_REGION)).default("khomas"),
  )
  .option("--binary <file>", "binary that the entries run", "dist/cowslipferry")
  .addOption(
    new Option("--part <name...>", "parts to run; all by default").choices(
      CAPACITY_PARTS,
    ),
  )
  .option("--entries <number...>", "entry counts that the part `idle` measures")
  .action(async ({ region, binary, part, entries }: CapacityOptions) => {
    await runCapacityBench({
      parts: part ?? CAPACITY_PARTS,
      entryCounts: entries?.map(Number) ?? ENTRY_COUNTS,
      seed: chooseSeed(),
      configFile: `examples/${region}.json`,
      dataCentres: DATA_CENTRES_BY_REGION[region] ?? [],
      binary,
      command: `npm run bench -- ${process.argv.slice(2).join(" ")}`,
    });
  });

await program.parseAsync();
process.exit();
