import { mkdir, mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Command } from "commander";
import { createRandom } from "../random.ts";
import { buildProgram } from "./build_program.ts";
import { runSeed } from "./soak.ts";

/** Seeds that failed in the past, with the cause; `--regressions` runs them again. */
const REGRESSIONS: readonly { seed: number; cause: string }[] = [
  {
    seed: 300,
    cause:
      "the soak test gave the same port to two entries (ports are now outside the ephemeral range)",
  },
  {
    seed: 308,
    cause:
      "the fake store missed a write that arrived while a watch was answered, so the owner never saw five jobs",
  },
  { seed: 311, cause: "same as 308" },
];

const program = new Command("soak")
  .description("Runs real scheduler processes under random faults")
  .option("--seed <number>", "first seed; random by default")
  .option("--seeds <number>", "number of consecutive seeds to run", "10")
  .option("--regressions", "run the seeds that failed in the past")
  .option("--at-once <number>", "number of seeds to run concurrently", "2")
  .option("--entries <number>", "number of scheduler processes per seed", "3")
  .option("--vms <number>", "number of worker VMs per seed", "10")
  .option(
    "--faults-s <number>",
    "duration of fault injection, in seconds",
    "20",
  )
  .option(
    "--kinds <names...>",
    "names of the kinds of faults to inject; all by default",
  )
  .option(
    "--out <folder>",
    "output folder for logs of failed seeds",
    "bench/out/soak",
  );
program.parse(process.argv);
const options = program.opts<
  Record<string, string> & { regressions?: boolean; kinds?: string[] }
>();

const folder = await mkdtemp(join(tmpdir(), "cowslipferry-soak-"));
const bundle = await buildProgram(folder);
const first = Number(
  options.seed ?? 1 + createRandom(Date.now()).nextInteger(1e9),
);
const seeds = options.regressions
  ? REGRESSIONS.map(({ seed }) => seed)
  : Array.from(
    { length: Number(options.seeds) },
    (_, index) => first + index,
  );
const failed: number[] = [];

async function runSeeds(): Promise<void> {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const report = await runSeed({
      seed,
      hasWorkspaces: seed % 2 === 1,
      entries: Number(options.entries),
      vms: Number(options.vms),
      faultsMs: Number(options.faultsS) * 1_000,
      kinds: options.kinds,
      program: bundle,
      folder,
    });
    const { violations, faults, accepted, refused, starts } = report;
    console.log(
      `seed ${seed}: ${faults.length} faults, ${accepted} jobs accepted, ` +
        `${refused} refusals, ${starts} starts, ` +
        `${violations.length} violations`,
    );
    if (violations.length === 0) continue;
    failed.push(seed);
    for (const violation of violations.slice(0, 5)) {
      console.log(`  ${violation}`);
    }
    const out = options.out!;
    await mkdir(out, { recursive: true });
    await writeFile(
      join(out, `${seed}.log`),
      [...violations, ...faults, report.logs].join("\n"),
    );
  }
}

await Promise.all(
  Array.from({ length: Number(options.atOnce) }, () => runSeeds()),
);
console.log(
  failed.length === 0
    ? "no violations"
    : `violations with seeds ${failed.join(", ")}`,
);
process.exit(failed.length === 0 ? 0 : 1);
