import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { writeReport } from "../report.ts";
import { formatIdleNodes, measureIdleNodes } from "./idle_nodes.ts";
import { formatRecords, measureRecords } from "./records.ts";
import { formatRollOuts, measureRollOuts } from "./roll_outs.ts";

/** Options of the `capacity` experiment. */
export interface CapacityBenchOptions {
  readonly seed: number;
  readonly configFile: string;
  readonly dataCentres: readonly string[];
  readonly binary: string;
  readonly command: string;
  /** Parts to run. */
  readonly parts: readonly string[];
  /** Numbers of entries of the part `idle`. */
  readonly entryCounts: readonly number[];
}

/** Parts of the experiment. */
export const CAPACITY_PARTS: readonly string[] = [
  "records",
  "roll-outs",
  "idle",
];

/** Measures the slopes of control: number of entries, size of the fleet, size of the configuration. */
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
    const runs = (part: string) => options.parts.includes(part);
    const records = runs("records") ? measureRecords() : [];
    const rollOuts = runs("roll-outs") ? await measureRollOuts(deployment) : [];
    const idleNodes = runs("idle")
      ? await measureIdleNodes(deployment, options.entryCounts)
      : [];
    await writeReport({
      name: "capacity",
      command: options.command,
      figures: { seed: options.seed, records, rollOuts, idleNodes },
      tables: [
        formatRecords(records),
        formatRollOuts(rollOuts),
        formatIdleNodes(idleNodes),
      ],
      charts: [],
    });
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}
