import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { UserConfig } from "../../src/config/schema.ts";
import type { Deployment, DeploymentOptions } from "../deployment.ts";
import { withDeployment } from "./scenario.ts";

/** Shortest intervals that the settings allow, so that a controller acts within the duration of a test. */
export const CONTROLLER_TIMING = {
  unreachableAfterMs: 10_000,
  wavePauseMs: 5_000,
};

type PoolOverrides = Partial<UserConfig["pools"][number]>;

/** Builds a configuration with the given pools, each serving one service of the same name. */
export function buildConfigWithPools(
  pools: Record<string, PoolOverrides>,
): UserConfig {
  const names = Object.keys(pools);
  return {
    version: 1,
    weights: { bufferCost: 1, moves: 0 },
    teams: names.map((name) => ({ name })),
    services: names.map((name) => ({ name, defaultDeadlineMs: 30_000 })),
    pools: names.map((name) => ({
      name,
      region: "khomas",
      team: name,
      services: [name],
      vms: 6,
      availability: { minimumServingVms: 1 },
      ...pools[name],
    })),
  };
}

/**
 * Runs a test with `CONTROLLER_TIMING`, so that a controller may start loans and maintenance after
 * 10 s. The `apply` that the test gets applies another configuration.
 */
export async function withController(
  config: UserConfig,
  options: Partial<DeploymentOptions>,
  body: (
    deployment: Deployment,
    apply: (next: UserConfig) => Promise<void>,
  ) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-config-"));
  const configFile = join(folder, "config.json");
  try {
    await writeFile(configFile, JSON.stringify(config));
    const settings = { ...options.settings, controller: CONTROLLER_TIMING };
    await withDeployment(
      { ...options, configFile, settings },
      (deployment) =>
        body(deployment, async (next) => {
          await writeFile(configFile, JSON.stringify(next));
          await deployment.apply(configFile);
        }),
    );
  } finally {
    await rm(folder, { recursive: true });
  }
}
