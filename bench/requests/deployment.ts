import { readFileSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { resolveConfig } from "../../src/config/validate.ts";
import type { ResolvedConfig } from "../../src/config/schema.ts";
import { type Deployment, startDeployment } from "../../testing/deployment.ts";
import { waitUntilServing } from "../../testing/wait_until_serving.ts";

const WORKER_PROCESSES = 3;
const CLOCK_TICKS_PER_SECOND = 100;

/** Options of the deployment that a benchmark runs against. */
export interface BenchDeploymentOptions {
  readonly configFile: string;
  readonly dataCentres: readonly string[];
  readonly entryCount: number;
  readonly binary: string;
  readonly serviceTimeMs: number;
  readonly distribution: "constant" | "exponential";
  readonly seed: number;
  /** Whether pools serve the overflow of other pools. */
  readonly overflow: boolean;
  /** Folder to which the applied configuration is written. */
  readonly folder: string;
}

/** Starts a deployment, waits until it serves every service, runs the body and closes the deployment. */
export async function withDeployment<T>(
  options: BenchDeploymentOptions,
  body: (deployment: Deployment, config: ResolvedConfig) => Promise<T>,
): Promise<T> {
  const { configFile, serviceTimeMs, distribution, seed } = options;
  const userConfig = JSON.parse(readFileSync(configFile, "utf8"));
  if (!options.overflow) {
    for (const pool of userConfig.pools) pool.lending.overflow = false;
  }
  const file = join(options.folder, "config.json");
  await writeFile(file, JSON.stringify(userConfig));
  const config = resolveConfig(JSON.stringify(userConfig), file);
  const deployment = await startDeployment({
    configFile,
    entryCount: options.entryCount,
    program: { kind: "binary", path: options.binary },
    dataCentres: options.dataCentres,
    worker: { backend: { serviceTimeMs, distribution, seed, journal: false } },
    workerProcesses: WORKER_PROCESSES,
    settings: { logLevel: "warn" },
  });
  try {
    await deployment.apply(file);
    const services = config.services.map((service) => service.name);
    await waitUntilServing(deployment.entries, services);
    return await body(deployment, config);
  } finally {
    await deployment.close();
  }
}

/** Returns the CPU time that a process has used, in ms. */
export function readCpuTimeMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The command name in parentheses may contain spaces, so fields are counted after it.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * 1_000 / CLOCK_TICKS_PER_SECOND;
}

/** Returns the resident memory of a process, in MB. */
export function readResidentMb(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024;
}
