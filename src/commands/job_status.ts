import { z } from "zod";
import type { PoolConfig } from "../config/schema.ts";
import { SHARD_COUNT } from "../jobs/job_key.ts";

const count = z.number().int();

const dumpSchema = z.object({
  jobs: z.object({
    shards: z.array(z.object({ shard: count, active: z.boolean() })),
    pools: z.array(z.object({
      pool: z.string(),
      queued: count,
      running: count,
      urgentWaitMs: z.number(),
    })),
  }),
});

/** Job counts of a pool, summed over all entries of its region. */
export interface PoolJobs {
  readonly pool: string;
  readonly queued: number;
  readonly running: number;
  /** Longest wait among urgent jobs that have not started, in ms. */
  readonly urgentWaitMs: number;
}

/** Job counts of a region as reported by its entries. */
export interface RegionJobs {
  readonly region: string;
  readonly pools: readonly PoolJobs[];
  /** Shards that no entry reported as active; their jobs are not counted. */
  readonly missingShards: readonly number[];
}

/** The dump of an entry and the entry's region. */
export interface RegionalDump {
  readonly region: string;
  readonly dump: unknown;
}

function summarizeRegionJobs(
  region: string,
  dumps: readonly unknown[],
  poolNames: readonly string[],
): RegionJobs {
  const missing = new Set(Array.from({ length: SHARD_COUNT }, (_, n) => n));
  const pools = new Map(
    poolNames.map((pool): [string, PoolJobs] => [
      pool,
      { pool, queued: 0, running: 0, urgentWaitMs: 0 },
    ]),
  );
  for (const dump of dumps) {
    const parsed = dumpSchema.safeParse(dump);
    // Entries without the `requests` role have no jobs in their dump.
    if (!parsed.success) continue;
    const { jobs } = parsed.data;
    for (const { shard, active } of jobs.shards) {
      if (active) missing.delete(shard);
    }
    for (const { pool, queued, running, urgentWaitMs } of jobs.pools) {
      const total = pools.get(pool);
      pools.set(pool, {
        pool,
        queued: queued + (total?.queued ?? 0),
        running: running + (total?.running ?? 0),
        urgentWaitMs: Math.max(urgentWaitMs, total?.urgentWaitMs ?? 0),
      });
    }
  }
  return { region, pools: [...pools.values()], missingShards: [...missing] };
}

/** Sums the job counts of all entries for each region. */
export function summarizeJobs(
  dumps: readonly RegionalDump[],
  pools: readonly Pick<PoolConfig, "name" | "region">[],
): RegionJobs[] {
  const regions = [...new Set(dumps.map(({ region }) => region))].sort();
  return regions.map((region) =>
    summarizeRegionJobs(
      region,
      dumps.filter((item) => item.region === region).map(({ dump }) => dump),
      pools.filter((pool) => pool.region === region).map(({ name }) => name),
    )
  );
}

/** Formats the job counts of a region, one line per pool. */
export function formatJobs(jobs: RegionJobs): string[] {
  const { region, pools, missingShards } = jobs;
  return [
    ...(missingShards.length === 0 ? [] : [
      `jobs of ${region}: ${missingShards.length} of ${SHARD_COUNT} shards have no dispatcher that reported`,
    ]),
    ...pools.map(({ pool, queued, running, urgentWaitMs }) =>
      `jobs of ${region}/${pool}: ${queued} queued, ${running} running, ` +
      `longest urgent wait ${Math.round(urgentWaitMs)} ms`
    ),
  ];
}
