import { readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { resolveConfig } from "../../src/config/validate.ts";
import { CONFIG_KEY } from "../../src/constants.ts";
import { readTextFile } from "../../src/settings/load.ts";
import {
  type Deployment,
  type DeploymentOptions,
  startDeployment,
} from "../deployment.ts";
import { testedProgram } from "../program.ts";
import { waitUntilServing } from "../wait_until_serving.ts";

/** Default configuration of the tests with real processes. */
export const CONFIG_FILE = "examples/khomas.json";

async function readServices(file: string): Promise<readonly string[]> {
  return resolveConfig(await readTextFile(file), file).services
    .map((service) => service.name);
}

/** Names of the services in the default configuration. */
export const SERVICES: readonly string[] = await readServices(CONFIG_FILE);

/** Starts entry processes, runs the test once they serve all services, and stops them. Prints their logs on failure. */
export async function withDeployment(
  options: Partial<DeploymentOptions>,
  body: (deployment: Deployment) => Promise<void>,
): Promise<void> {
  const { configFile = CONFIG_FILE } = options;
  const services = await readServices(configFile);
  const deployment = await startDeployment({
    configFile,
    entryCount: 3,
    program: testedProgram,
    dataCentres: ["khomas-1", "khomas-2", "khomas-3"],
    ...options,
  });
  try {
    await deployment.apply(configFile);
    await waitUntilServing(deployment.entries, services);
    await body(deployment);
  } catch (error) {
    for (const entry of deployment.entries) {
      console.log(`log of ${entry.id}:\n${entry.output().slice(-4_000)}`);
    }
    throw error;
  } finally {
    await deployment.close();
  }
}

/** Applies the configuration with another default deadline; returns its revision and the Unix time of the apply in ms. */
export async function applyChange(
  deployment: Deployment,
  defaultDeadlineMs: number,
  configFile = CONFIG_FILE,
): Promise<{ revision: number; appliedAtMs: number }> {
  const config = JSON.parse(await readFile(configFile, "utf8"));
  config.services[0].defaultDeadlineMs = defaultDeadlineMs;
  const file = join(
    tmpdir(),
    `change-${process.pid}-${defaultDeadlineMs}.json`,
  );
  await writeFile(file, JSON.stringify(config));
  await deployment.apply(file);
  return JSON.parse(deployment.store.values.get(CONFIG_KEY)!.value);
}

/** Runs `count` operations with at most `concurrency` at a time. */
export async function runConcurrently(
  options: { count: number; concurrency: number },
  run: (index: number) => Promise<void>,
): Promise<void> {
  let next = 0;
  await Promise.all(
    Array.from({ length: options.concurrency }, async () => {
      while (next < options.count) await run(next++);
    }),
  );
}

/** Returns the number of items with each name. */
export function countByName<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const item of items) {
    const name = nameOf(item);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
