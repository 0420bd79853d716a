import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { writeReport } from "../report.ts";
import { formatIdleEntries, measureIdleEntries } from "./idle_entries.ts";
import { formatFleetSizes, measureFleetSizes } from "./records.ts";
import { formatRollOuts, measureRollOuts } from "./roll_outs.ts";
import { formatSchedulingCosts, measureSchedulingCosts } from "./scheduling.ts";

/** Options of the `capacity` benchmark. */
export interface CapacityBenchOptions {
  readonly seed: number;
  readonly configFile: string;
  readonly dataCentres: readonly string[];
  readonly binary: string;
  readonly command: string;
  /** Names of the parts to run, from `CAPACITY_PARTS`. */
  readonly parts: readonly string[];
  /** Entry counts that the part `idle` measures. */
  readonly entryCounts: readonly number[];
}

/** Names of the parts of the benchmark. */
export const CAPACITY_PARTS: readonly string[] = [
  "records",
  "scheduling",
  "roll-outs",
  "idle",
];

/** Measures how the control-plane cost grows with the number of entries, the size of the fleet and the size of the configuration. */
export async function runCapacityBench(
  options: CapacityBenchOptions,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-capacity-"));
  try {
    const deployment = {
      ...options,
      serviceTimeMs: 5,
      distribution: "constant" as const,
      overflow: true,
      folder,
    };
    const isSelected = (part: string) => options.parts.includes(part);
    const records = isSelected("records") ? measureFleetSizes() : [];
    const scheduling = isSelected("scheduling") ? measureSchedulingCosts() : [];
    const rollOuts = isSelected("roll-outs")
      ? await measureRollOuts(deployment)
      : [];
    const idleEntries = isSelected("idle")
      ? await measureIdleEntries(deployment, options.entryCounts)
      : [];
    await writeReport({
      name: "capacity",
      command: options.command,
      results: {
        seed: options.seed,
        records,
        scheduling,
        rollOuts,
        idleNodes: idleEntries,
      },
      tables: [
        formatFleetSizes(records),
        formatSchedulingCosts(scheduling),
        formatRollOuts(rollOuts),
        formatIdleEntries(idleEntries),
      ],
      charts: [],
    });
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}
