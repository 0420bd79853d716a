import { mkdir, mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Command } from "commander";
import { createRandom } from "../random.ts";
import { buildProgram } from "./build_program.ts";
import { playSeed } from "./soak.ts";

/** Seeds that have failed, with the cause; `--regressions` plays them again. */
const REGRESSIONS: readonly { seed: number; cause: string }[] = [
  {
    seed: 300,
    cause:
      "the soak gave one port to two entries (ports now lie outside the range of connections)",
  },
  {
    seed: 308,
    cause:
      "the stand-in of the store lost a write that came while a watch answered; the owner never heard of five jobs",
  },
  { seed: 311, cause: "as with 308" },
];

const program = new Command("soak")
  .description("Plays random faults against real scheduler processes")
  .option("--seed <number>", "first seed; a new one without it")
  .option("--seeds <number>", "seeds to play, counted up from the first", "10")
  .option("--regressions", "play the seeds that have failed before")
  .option("--at-once <number>", "seeds that are played at the same time", "2")
  .option("--entries <number>", "scheduler processes of a seed", "3")
  .option("--vms <number>", "worker VMs of a seed", "10")
  .option("--faults-s <number>", "time in which faults are injected", "20")
  .option("--out <folder>", "where logs of failed seeds go", "bench/out/soak");
program.parse(process.argv);
const options = program.opts<
  Record<string, string> & { regressions?: boolean }
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

async function playNext(): Promise<void> {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const report = await playSeed({
      seed,
      entries: Number(options.entries),
      vms: Number(options.vms),
      faultsMs: Number(options.faultsS) * 1_000,
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
  Array.from({ length: Number(options.atOnce) }, () => playNext()),
);
console.log(
  failed.length === 0
    ? "no violations"
    : `violations with seeds ${failed.join(", ")}`,
);
process.exit(failed.length === 0 ? 0 : 1);
