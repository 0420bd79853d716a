import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { applyConfig } from "../../src/config/apply.ts";
import type { ResolvedConfig } from "../../src/config/schema.ts";
import { resolveConfig } from "../../src/config/validate.ts";
import { createHttpStore } from "../../src/ports/http_store.ts";
import type { Deployment, EntryProcess } from "../../testing/deployment.ts";
import type { ReportTable } from "../report.ts";
import {
  type BenchDeploymentOptions,
  readCpuTimeMs,
  withDeployment,
} from "../requests/deployment.ts";

const ENTRY_COUNT = 9;
/** Numbers of empty pools that are added to the example configuration. */
const ADDED_POOL_COUNTS = [0, 20, 100, 500];
/** Number of applies per configuration size. */
const APPLY_COUNT = 40;
const POLL_INTERVAL_MS = 2;
const ROLL_OUT_TIMEOUT_MS = 30_000;

/** Roll-out times of configurations of one size. A roll-out lasts from the start of the apply until all entries report the revision. */
export interface RollOutRow {
  readonly pools: number;
  readonly configBytes: number;
  /** Time to parse and validate the configuration, in ms. */
  readonly checkMs: number;
  /** Median roll-out time, in ms. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maximumMs: number;
  /** CPU time of one entry per apply, in ms; the highest over all entries. */
  readonly entryCpuMs: number;
}

function createConfigText(configFile: string, addedPools: number): string {
  const userConfig = JSON.parse(readFileSync(configFile, "utf8"));
  const region = userConfig.pools[0].region;
  for (let index = 0; index < addedPools; index++) {
    const name = `added-${index}`;
    userConfig.services.push({ name });
    userConfig.pools.push({
      name,
      region,
      team: userConfig.teams[0].name,
      services: [name],
      vms: 0,
      availability: { minimumServingVms: 0 },
    });
  }
  return JSON.stringify(userConfig);
}

async function fetchRevision(entry: EntryProcess): Promise<number> {
  const { body } = await request(
    `http://${entry.adminAddress}/dump?part=config`,
  );
  const dump = await body.json() as { config?: { revision: number } };
  return dump.config?.revision ?? 0;
}

async function waitForRevision(
  entry: EntryProcess,
  revision: number,
): Promise<void> {
  const endMs = performance.now() + ROLL_OUT_TIMEOUT_MS;
  while (await fetchRevision(entry) < revision) {
    if (performance.now() > endMs) {
      throw new Error(
        `${entry.id} did not reach revision ${revision} within ${ROLL_OUT_TIMEOUT_MS} ms`,
      );
    }
    await delay(POLL_INTERVAL_MS);
  }
}

async function measureRollOut(
  { storeUrl, entries }: Deployment,
  config: ResolvedConfig,
): Promise<number> {
  const startedAtMs = performance.now();
  const result = await applyConfig(createHttpStore(storeUrl), config);
  if (result.kind !== "accepted") {
    throw new Error(`apply was not accepted: ${result.kind}`);
  }
  await Promise.all(
    entries.map((entry) => waitForRevision(entry, result.applied.revision)),
  );
  return performance.now() - startedAtMs;
}

async function measureConfigSize(
  deployment: Deployment,
  text: string,
): Promise<RollOutRow> {
  const startedAtMs = performance.now();
  const config = resolveConfig(text, "capacity");
  const checkMs = performance.now() - startedAtMs;
  const pids = deployment.entries.map((entry) => entry.process.pid!);
  const cpuBefore = pids.map(readCpuTimeMs);
  const timesMs: number[] = [];
  for (let index = 1; index <= APPLY_COUNT; index++) {
    const weights = { bufferCost: index, moves: 1 };
    timesMs.push(await measureRollOut(deployment, { ...config, weights }));
  }
  timesMs.sort((a, b) => a - b);
  return {
    pools: config.pools.length,
    configBytes: Buffer.byteLength(text),
    checkMs,
    p50Ms: timesMs[Math.floor(APPLY_COUNT * 0.5)]!,
    p99Ms: timesMs[Math.floor(APPLY_COUNT * 0.99)]!,
    maximumMs: timesMs.at(-1)!,
    entryCpuMs: Math.max(
      ...pids.map((pid, index) => (readCpuTimeMs(pid) - cpuBefore[index]!)),
    ) / APPLY_COUNT,
  };
}

/** Measures how long configurations of several sizes take to reach all entries. */
export function measureRollOuts(
  options: Omit<BenchDeploymentOptions, "entryCount">,
): Promise<RollOutRow[]> {
  return withDeployment(
    { ...options, entryCount: ENTRY_COUNT },
    async (deployment) => {
      const rows: RollOutRow[] = [];
      for (const added of ADDED_POOL_COUNTS) {
        console.log(`measuring roll-outs with ${added} added pools`);
        const text = createConfigText(options.configFile, added);
        rows.push(await measureConfigSize(deployment, text));
      }
      return rows;
    },
  );
}

/** Returns a report table with one row per configuration size. */
export function formatRollOuts(rows: readonly RollOutRow[]): ReportTable {
  return {
    title:
      `roll-out to ${ENTRY_COUNT} entries, ${APPLY_COUNT} consecutive applies; CPU time includes the polls for the revision`,
    rows: [
      [
        "pools",
        "config bytes",
        "check ms",
        "p50 ms",
        "p99 ms",
        "max ms",
        "entry CPU ms",
      ],
      ...rows.map((row) => Object.values(row) as number[]),
    ],
  };
}
