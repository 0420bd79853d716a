import { readFileSync } from "node:fs";
import { configSchema, type ResolvedConfig } from "../../src/config/schema.ts";
import { resolveConfig } from "../../src/config/validate.ts";
import type { Vm } from "../../src/ports/vm_list.ts";

/** Configuration and VMs of one region of a deployment. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly config: ResolvedConfig;
  readonly vms: readonly Vm[];
}

/** Planning weights that are compared on every deployment. */
export const WEIGHTINGS = {
  buffer: { bufferCost: 4, moves: 1 },
  moves: { bufferCost: 1, moves: 4 },
} as const;

/** Name of one of the compared planning weights. */
export type Weighting = keyof typeof WEIGHTINGS;

const VMS_PER_RACK = 4;
/** Size that the deployment is expected to reach in two years. */
const TWO_YEAR_SIZE = {
  workers: 1_400,
  pools: 23,
  teams: 61,
  dataCentresByRegion: [4, 4, 3],
} as const;

function createWorkers(
  config: ResolvedConfig,
  region: string,
  dataCentres: number,
): Vm[] {
  const vms: Vm[] = [];
  for (const pool of config.pools) {
    if (pool.region !== region) continue;
    for (let number = 0; number < pool.vms; number++) {
      const index = vms.length;
      const dataCentre = `${region}-${index % dataCentres}`;
      const rack = Math.floor(index / (VMS_PER_RACK * dataCentres));
      vms.push({
        id: `${pool.name}-${number}`,
        role: "worker",
        state: "live",
        incarnation: "1",
        region,
        dataCentre,
        rack: `${dataCentre}-rack-${rack}`,
        address: "",
        controlAddress: "",
        pool: pool.name,
        cores: 16,
        memoryMb: 65_536,
        accelerators: 0,
      });
    }
  }
  return vms;
}

function readDeployment(file: string, dataCentres: number): Deployment {
  const config = resolveConfig(readFileSync(file, "utf8"), file);
  const region = config.pools[0]?.region ?? "";
  const vms = createWorkers(config, region, dataCentres);
  return { name: region, region, config, vms };
}

/** Generates a configuration of the size expected in two years; each pool is larger than the previous one. */
export function createTwoYearConfig(): ResolvedConfig {
  const regions = TWO_YEAR_SIZE.dataCentresByRegion.map((_, index) =>
    `region-${index}`
  );
  const poolNames = Array.from(
    { length: TWO_YEAR_SIZE.pools },
    (_, index) => ({ name: `pool-${index}`, region: regions[index % 3] ?? "" }),
  );
  const sizes = poolNames.map((_, index) => 39 + 2 * index);
  const sum = sizes.reduce((total, size) => total + size, 0);
  sizes[sizes.length - 1] = (sizes.at(-1) ?? 0) + TWO_YEAR_SIZE.workers - sum;
  return configSchema.parse({
    version: 1,
    teams: Array.from(
      { length: TWO_YEAR_SIZE.teams },
      (_, index) => ({ name: `team-${index}` }),
    ),
    services: poolNames.map(({ name }) => ({ name })),
    pools: poolNames.map(({ name, region }, index) => {
      const vms = sizes[index] ?? 0;
      const others = poolNames.filter((other) =>
        other.region === region && other.name !== name
      );
      return {
        name,
        region,
        team: `team-${index}`,
        services: [name, ...others.map((other) => other.name)],
        vms,
        availability: { minimumServingVms: Math.ceil(vms / 2) },
        lending: {
          maximumLentVms: Math.floor(vms / 3),
          minimumStayMs: 600_000,
          overflow: true,
        },
        maintenance: { maximumConcurrentVms: 2, order: "rack" },
        spare: index < 3,
      };
    }),
  });
}

/** Loads the two example deployments and the largest region of the size expected in two years. */
export function loadDeployments(): Deployment[] {
  const config = createTwoYearConfig();
  const region = "region-1";
  return [
    readDeployment("examples/khomas.json", 3),
    readDeployment("examples/punjab-east.json", 4),
    {
      name: "two-year region",
      region,
      config,
      vms: createWorkers(config, region, 4),
    },
  ];
}

/**
 * Creates a deployment with all pools of the size expected in two years in one region, scaled to a
 * number of workers. At full size it is an upper bound for the cost of a planning step.
 */
export function createSingleRegion(
  workers: number = TWO_YEAR_SIZE.workers,
): Deployment {
  const region = "region-0";
  const base = createTwoYearConfig();
  const scale = workers / TWO_YEAR_SIZE.workers;
  let assigned = 0;
  let exact = 0;
  const pools = base.pools.map((pool) => {
    exact += pool.vms * scale;
    const vms = Math.round(exact) - assigned;
    assigned += vms;
    return {
      ...pool,
      region,
      vms,
      availability: { minimumServingVms: Math.floor(vms / 2) },
    };
  });
  const config = { ...base, pools };
  const vms = createWorkers(config, region, 11);
  return { name: `one region, ${workers} workers`, region, config, vms };
}
