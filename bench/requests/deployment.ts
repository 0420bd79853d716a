import { readFileSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { resolveConfig } from "../../src/config/validate.ts";
import type { ResolvedConfig } from "../../src/config/schema.ts";
import { type Deployment, startDeployment } from "../../testing/deployment.ts";
import { waitUntilServing } from "../../testing/wait_until_serving.ts";

const WORKER_PROCESSES = 3;
const CLOCK_TICKS_PER_SECOND = 100;

/** What a bench runs against. */
export interface BenchDeploymentOptions {
  readonly configFile: string;
  readonly dataCentres: readonly string[];
  readonly entryCount: number;
  readonly binary: string;
  readonly serviceTimeMs: number;
  readonly distribution: "constant" | "exponential";
  readonly seed: number;
  /** Whether pools lend free slots; off for a comparison. */
  readonly overflow: boolean;
  /** Folder for the configuration that is applied. */
  readonly folder: string;
}

/** Starts a deployment that serves every service, runs the body, and ends the deployment. */
export async function withDeployment<T>(
  options: BenchDeploymentOptions,
  body: (deployment: Deployment, config: ResolvedConfig) => Promise<T>,
): Promise<T> {
  const { configFile, serviceTimeMs, distribution, seed } = options;
  const user = JSON.parse(readFileSync(configFile, "utf8"));
  if (!options.overflow) {
    for (const pool of user.pools) pool.lending.overflow = false;
  }
  const file = join(options.folder, "config.json");
  await writeFile(file, JSON.stringify(user));
  const config = resolveConfig(JSON.stringify(user), file);
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

/** Processor time that a process has used, in ms. */
export function cpuTimeMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The command's name may hold spaces; the fields after it are numbers.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * 1_000 / CLOCK_TICKS_PER_SECOND;
}

/** Resident memory of a process, in MB. */
export function residentMb(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024;
}
