import type { ResolvedConfig } from "../../src/config/schema.ts";
import { resolveConfig } from "../../src/config/validate.ts";
import { readTextFile } from "../../src/settings/load.ts";
import { type JobSpec, jobSpecSchema } from "../../src/jobs/job.ts";
import type { Vm } from "../../src/ports/vm_list.ts";
import { createRandom, type Random } from "../../testing/random.ts";
import { loadDeployments } from "../fleet/deployments.ts";

/** Deployment with its workers and the teams that submit jobs. */
export interface JobsDeployment {
  readonly region: string;
  readonly config: ResolvedConfig;
  readonly vms: readonly Vm[];
  /** Teams that submit jobs and the pool that each submits to. */
  readonly submitters: readonly {
    readonly team: string;
    readonly pool: string;
  }[];
}

/** Actual behaviour of a job, independent of what it declares. */
export type JobBehaviour =
  | "normal"
  /** Fails on every worker. */
  | "always_fails"
  /** Fits no worker. */
  | "fits_nowhere";

/** Job to be submitted in a run. */
export interface PlannedJob {
  /** Time from the start of the run, in ms. */
  readonly arrivalMs: number;
  readonly spec: JobSpec;
  readonly behaviour: JobBehaviour;
}

const CLASSES_PER_TEAM = 6;
/** Mean load as a share of the teams' core quotas. */
const LOAD = 0.7;
/** Shares of jobs that fit no worker, always fail, are urgent and are idempotent. */
const UNPLACEABLE_SHARE = 0.02;
const ALWAYS_FAILS_SHARE = 0.01;
const URGENT_SHARE = 0.03;
const IDEMPOTENT_SHARE = 0.8;

/** Loads an example configuration and creates its workers with the given size, four per rack. */
export async function loadJobsDeployment(
  region: string,
  size: { cores: number; memoryMb: number; dataCentres: number },
): Promise<JobsDeployment> {
  const file = `examples/${region}.json`;
  const config = resolveConfig(await readTextFile(file), file);
  const vms: Vm[] = [];
  for (const pool of config.pools) {
    for (let number = 0; number < pool.vms; number++) {
      const index = vms.length;
      const dataCentre = `${region}-${index % size.dataCentres + 1}`;
      const rack = Math.floor(index / (4 * size.dataCentres));
      const id = `${pool.name}-${number + 1}`;
      vms.push({
        id,
        role: "worker",
        state: "live",
        incarnation: "1",
        region,
        dataCentre,
        rack: `${dataCentre}-rack-${rack}`,
        address: id,
        controlAddress: id,
        pool: pool.name,
        cores: size.cores,
        memoryMb: size.memoryMb,
        accelerators: 0,
      });
    }
  }
  const submitters = config.pools.map(({ name, team }) => ({
    team,
    pool: name,
  }));
  return { region, config, vms, submitters };
}

/**
 * Creates the largest region of the size expected in two years. Each team submits to one pool of the
 * region; quotas divide a pool's cores evenly among its teams.
 */
export function createTwoYearJobs(): JobsDeployment {
  const { region, config, vms } = loadDeployments().find(({ name }) =>
    name === "two-year region"
  )!;
  const pools = config.pools.filter((pool) => pool.region === region);
  const submitters = config.teams.map(({ name }, index) => ({
    team: name,
    pool: pools[index % pools.length]!.name,
  }));
  const sumPoolCores = (pool: string) =>
    vms.filter((vm) => vm.pool === pool).reduce((sum, vm) => sum + vm.cores, 0);
  const teams = config.teams.map((team, index) => {
    const { pool } = submitters[index]!;
    const submitterCount = submitters.filter((other) =>
      other.pool === pool
    ).length;
    return {
      ...team,
      quota: { cores: Math.floor(sumPoolCores(pool) / submitterCount) },
    };
  });
  return {
    region,
    config: { ...config, teams },
    // Fake workers are addressed by their id.
    vms: vms.map((vm) => ({ ...vm, controlAddress: vm.id })),
    submitters,
  };
}

interface JobClass {
  readonly pool: string;
  readonly team: string;
  readonly jobClass: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly runMs: number;
  /** Ratio of declared to actual size. */
  readonly declaredFactor: number;
  /** Ratio of declared to actual run time. */
  readonly declaredTimeFactor: number;
}

/** Draws a factor between 1/limit and limit, uniformly distributed on a logarithmic scale. */
function drawFactor(random: Random, limit: number): number {
  return limit ** (2 * random.next() - 1);
}

function createJobClasses(
  pool: string,
  team: string,
  random: Random,
): JobClass[] {
  return Array.from({ length: CLASSES_PER_TEAM }, (_, index) => ({
    pool,
    team,
    jobClass: `class-${index}`,
    cores: 0.5 + 3.5 * random.next(),
    memoryMb: 1_000 + 5_000 * random.next(),
    runMs: 5_000 + 55_000 * random.next(),
    // Declared sizes range from a third to eight times the actual size.
    declaredFactor: drawFactor(random, 5) * 1.6,
    declaredTimeFactor: drawFactor(random, 10),
  }));
}

function drawJob(
  jobClass: JobClass,
  random: Random,
): Omit<PlannedJob, "arrivalMs"> {
  const draw = random.next();
  const behaviour: JobBehaviour = draw < UNPLACEABLE_SHARE
    ? "fits_nowhere"
    : draw < UNPLACEABLE_SHARE + ALWAYS_FAILS_SHARE
    ? "always_fails"
    : "normal";
  const randomVariation = () => 0.8 + 0.4 * random.next();
  const cores = jobClass.cores * randomVariation();
  const memoryMb = Math.round(jobClass.memoryMb * randomVariation());
  const runMs = Math.round(jobClass.runMs * (0.5 + random.next()));
  const commandName = behaviour === "always_fails" ? "fail" : "run";
  const spec = jobSpecSchema.parse({
    pool: jobClass.pool,
    team: jobClass.team,
    jobClass: behaviour === "normal"
      ? jobClass.jobClass
      : behaviour.replaceAll("_", "-"),
    command: `${commandName} ${runMs} ${cores.toFixed(2)} ${memoryMb}`,
    cores: Number((jobClass.cores * jobClass.declaredFactor).toFixed(2)),
    memoryMb: Math.round(jobClass.memoryMb * jobClass.declaredFactor),
    accelerators: behaviour === "fits_nowhere" ? 1 : 0,
    runTimeMs: Math.round(jobClass.runMs * jobClass.declaredTimeFactor),
    priority: random.next() < URGENT_SHARE ? "urgent" : "normal",
    idempotent: random.next() < IDEMPOTENT_SHARE,
  });
  return { spec, behaviour };
}

/** Draws the jobs of one run with Poisson arrivals for each submitter; returns them sorted by arrival time. */
export function planJobs(
  { config, vms, submitters }: JobsDeployment,
  options: { readonly seed: number; readonly arrivalsMs: number },
): PlannedJob[] {
  const random = createRandom(options.seed);
  const jobs: PlannedJob[] = [];
  for (const { team, pool } of submitters) {
    const quota = config.teams.find(({ name }) => name === team)?.quota;
    const poolCores = vms.filter((vm) => vm.pool === pool)
      .reduce((sum, vm) => sum + vm.cores, 0);
    const cores = Math.min(quota?.cores ?? Infinity, poolCores);
    const classes = createJobClasses(pool, team, random);
    const meanCoreMs = classes.reduce((sum, { cores, runMs }) =>
      sum + cores * runMs, 0) / classes.length;
    const intervalMs = meanCoreMs / (LOAD * cores);
    let arrivalAtMs = random.exponential(intervalMs);
    while (arrivalAtMs < options.arrivalsMs) {
      const jobClass = classes[random.nextInteger(classes.length)]!;
      jobs.push({ arrivalMs: arrivalAtMs, ...drawJob(jobClass, random) });
      arrivalAtMs += random.exponential(intervalMs);
    }
  }
  return jobs.sort((a, b) => a.arrivalMs - b.arrivalMs);
}
