import type { ResolvedConfig } from "../../src/config/schema.ts";
import { resolveConfig } from "../../src/config/validate.ts";
import { readTextFile } from "../../src/settings/load.ts";
import { type JobSpec, jobSpecSchema } from "../../src/jobs/job.ts";
import type { Vm } from "../../src/ports/vm_list.ts";
import { createRandom, type Random } from "../../testing/random.ts";
import { loadDeployments } from "../fleet/deployments.ts";

/** One deployment with the size of its workers. */
export interface JobsDeployment {
  readonly region: string;
  readonly config: ResolvedConfig;
  readonly vms: readonly Vm[];
  /** The teams that submit jobs, with the pool of each. */
  readonly submitters: readonly {
    readonly team: string;
    readonly pool: string;
  }[];
}

/** What a job is, apart from its declaration. */
export type JobNature =
  | "normal"
  /** Fails on every worker. */
  | "always_fails"
  /** Fits no worker. */
  | "fits_nowhere";

/** One job of a run. */
export interface PlannedJob {
  /** Time from the start of the run, in ms. */
  readonly arrivalMs: number;
  readonly spec: JobSpec;
  readonly nature: JobNature;
}

const CLASSES_PER_TEAM = 6;
/** Mean load as a share of the cores that the teams' quotas allow. */
const LOAD = 0.7;
const NEVER_FITS_SHARE = 0.02;
const ALWAYS_FAILS_SHARE = 0.01;
const URGENT_SHARE = 0.03;
const IDEMPOTENT_SHARE = 0.8;

/** Loads an example configuration and creates its workers, four to a rack. */
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

/** Returns the largest region of the two-year size. All teams submit there, each to one pool, and their quotas share out the pool's cores. */
export function createTwoYearJobs(): JobsDeployment {
  const { region, config, vms } = loadDeployments().find(({ name }) =>
    name === "two-year region"
  )!;
  const pools = config.pools.filter((pool) => pool.region === region);
  const submitters = config.teams.map(({ name }, index) => ({
    team: name,
    pool: pools[index % pools.length]!.name,
  }));
  const coresOf = (pool: string) =>
    vms.filter((vm) => vm.pool === pool).reduce((sum, vm) => sum + vm.cores, 0);
  const teams = config.teams.map((team, index) => {
    const { pool } = submitters[index]!;
    const sharers = submitters.filter((other) => other.pool === pool).length;
    return { ...team, quota: { cores: Math.floor(coresOf(pool) / sharers) } };
  });
  return {
    region,
    config: { ...config, teams },
    // The fake workers are addressed by their id.
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
  /** Declared size over true size. */
  readonly declaredFactor: number;
  readonly declaredTimeFactor: number;
}

/** A factor between 1/limit and limit, even on a logarithmic scale. */
function drawFactor(random: Random, limit: number): number {
  return limit ** (2 * random.next() - 1);
}

function createClasses(pool: string, team: string, random: Random): JobClass[] {
  return Array.from({ length: CLASSES_PER_TEAM }, (_, index) => ({
    pool,
    team,
    jobClass: `class-${index}`,
    cores: 0.5 + 3.5 * random.next(),
    memoryMb: 1_000 + 5_000 * random.next(),
    runMs: 5_000 + 55_000 * random.next(),
    // From a third of the true size up to eight times as much.
    declaredFactor: drawFactor(random, 5) * 1.6,
    declaredTimeFactor: drawFactor(random, 10),
  }));
}

function drawJob(
  of: JobClass,
  random: Random,
): Omit<PlannedJob, "arrivalMs"> {
  const draw = random.next();
  const nature: JobNature = draw < NEVER_FITS_SHARE
    ? "fits_nowhere"
    : draw < NEVER_FITS_SHARE + ALWAYS_FAILS_SHARE
    ? "always_fails"
    : "normal";
  const vary = () => 0.8 + 0.4 * random.next();
  const cores = of.cores * vary();
  const memoryMb = Math.round(of.memoryMb * vary());
  const runMs = Math.round(of.runMs * (0.5 + random.next()));
  const verb = nature === "always_fails" ? "fail" : "run";
  const spec = jobSpecSchema.parse({
    pool: of.pool,
    team: of.team,
    jobClass: nature === "normal" ? of.jobClass : nature.replaceAll("_", "-"),
    command: `${verb} ${runMs} ${cores.toFixed(2)} ${memoryMb}`,
    cores: Number((of.cores * of.declaredFactor).toFixed(2)),
    memoryMb: Math.round(of.memoryMb * of.declaredFactor),
    accelerators: nature === "fits_nowhere" ? 1 : 0,
    runTimeMs: Math.round(of.runMs * of.declaredTimeFactor),
    priority: random.next() < URGENT_SHARE ? "urgent" : "normal",
    idempotent: random.next() < IDEMPOTENT_SHARE,
  });
  return { spec, nature };
}

/** Plans the jobs of one run, by time of arrival. */
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
    const classes = createClasses(pool, team, random);
    const meanWork = classes.reduce((sum, { cores, runMs }) =>
      sum + cores * runMs, 0) / classes.length;
    const intervalMs = meanWork / (LOAD * cores);
    let atMs = random.exponential(intervalMs);
    while (atMs < options.arrivalsMs) {
      const of = classes[random.nextInteger(classes.length)]!;
      jobs.push({ arrivalMs: atMs, ...drawJob(of, random) });
      atMs += random.exponential(intervalMs);
    }
  }
  return jobs.sort((a, b) => a.arrivalMs - b.arrivalMs);
}
