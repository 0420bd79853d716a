import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Deployment, EntryProcess } from "../../testing/deployment.ts";
import type { ReportTable } from "../report.ts";
import {
  type BenchDeploymentOptions,
  readCpuTimeMs,
  readResidentMb,
  withDeployment,
} from "../requests/deployment.ts";

/** Control-plane cost of the entries of one deployment that gets no requests. */
export interface IdleEntriesRow {
  readonly entries: number;
  /** CPU time of the median entry, as a percentage of one core. */
  readonly medianCpuPercent: number;
  /** CPU time of the entry that used most, as a percentage of one core. */
  readonly highestCpuPercent: number;
  readonly highestMemoryMb: number;
  /** Bytes that the entry with the most peer traffic sent and received per second. */
  readonly highestPeerBytesPerSecond: number;
  /** Store reads per second, over all entries. */
  readonly storeReadsPerSecond: number;
  /** Store writes per second, over all entries. */
  readonly storeWritesPerSecond: number;
  /** Store watch calls per second, over all entries. */
  readonly storeWatchesPerSecond: number;
}

/** Entry counts that are measured by default. */
export const ENTRY_COUNTS: readonly number[] = [3, 9, 18, 27];
/**
 * Warm-up, in ms. Covers JIT compilation and the first maintenance wave; with a shorter warm-up,
 * the measured CPU time was up to twice as high.
 */
const WARM_UP_MS = 90_000;
const MEASUREMENT_MS = 20_000;

async function readPeerBytes(entry: EntryProcess): Promise<number> {
  const { body } = await request(`http://${entry.adminAddress}/metrics`);
  const lines = (await body.text()).split("\n").filter((line) =>
    line.includes("peer_bytes_total{")
  );
  return lines.reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

async function measureDeployment(
  deployment: Deployment,
): Promise<IdleEntriesRow> {
  const { entries, store } = deployment;
  await delay(WARM_UP_MS);
  const pids = entries.map((entry) => entry.process.pid!);
  const cpuBefore = pids.map(readCpuTimeMs);
  const bytesBefore = await Promise.all(entries.map(readPeerBytes));
  const countsBefore = { ...store.counts };
  await delay(MEASUREMENT_MS);
  const cpuPercent = pids.map((pid, index) =>
    (readCpuTimeMs(pid) - cpuBefore[index]!) / MEASUREMENT_MS * 100
  ).toSorted((a, b) => a - b);
  const bytes = await Promise.all(entries.map(readPeerBytes));
  const perSecond = (count: number) => count / MEASUREMENT_MS * 1_000;
  return {
    entries: entries.length,
    medianCpuPercent: cpuPercent[Math.floor(cpuPercent.length / 2)]!,
    highestCpuPercent: cpuPercent.at(-1)!,
    highestMemoryMb: Math.max(...pids.map(readResidentMb)),
    highestPeerBytesPerSecond: Math.max(
      ...bytes.map((value, index) => perSecond(value - bytesBefore[index]!)),
    ),
    storeReadsPerSecond: perSecond(store.counts.reads - countsBefore.reads),
    storeWritesPerSecond: perSecond(store.counts.writes - countsBefore.writes),
    storeWatchesPerSecond: perSecond(
      store.counts.watches - countsBefore.watches,
    ),
  };
}

/** Measures the control-plane cost per entry without requests; returns one row per entry count. */
export async function measureIdleEntries(
  options: Omit<BenchDeploymentOptions, "entryCount">,
  entryCounts: readonly number[],
): Promise<IdleEntriesRow[]> {
  const rows: IdleEntriesRow[] = [];
  for (const entryCount of entryCounts) {
    console.log(`measuring idle cost with ${entryCount} entries`);
    rows.push(
      await withDeployment({ ...options, entryCount }, measureDeployment),
    );
  }
  return rows;
}

/** Returns a report table with one row per entry count. */
export function formatIdleEntries(
  rows: readonly IdleEntriesRow[],
): ReportTable {
  return {
    title: `control-plane cost without requests, ${
      MEASUREMENT_MS / 1_000
    } s each`,
    rows: [
      [
        "entries",
        "CPU % median",
        "CPU % highest",
        "memory MB",
        "peer bytes/s",
        "store reads/s",
        "writes/s",
        "watches/s",
      ],
      ...rows.map((row) => Object.values(row) as number[]),
    ],
  };
}
