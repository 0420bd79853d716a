import { z } from "zod";
import type { Clock } from "../clock.ts";
import type { Store } from "../ports/store.ts";
import { activeRun, type Job, type Size, sizeSchema } from "./job.ts";
import { SHARD_COUNT } from "./job_key.ts";
import type { Quota } from "./placement.ts";
import { createShardRecord, parseShard, shardKey } from "./shard.ts";
import { addSize, ZERO_SIZE } from "./size.ts";

/** Shard whose dispatcher divides the quotas among all shards. */
export const LEDGER_SHARD = 0;
/** Time after its request within which a grant may be used, in ms. */
export const GRANT_LIFETIME_MS = 1_000;
/**
 * Time after a take-over until shards without a claim are read from the store,
 * in ms. By then, the grants of the previous ledger have expired and the writes
 * that used them have ended.
 */
const GRANT_EXPIRY_WAIT_MS = 3_000;
/**
 * Waiting time after which a job blocks normal jobs of other shards from its
 * team's quota, in ms, so that smaller jobs can't starve it.
 */
const STARVED_AFTER_MS = 60_000;

const teamClaimSchema = z.object({
  /** Resources reserved by the shard's started jobs. */
  use: sizeSchema,
  /** Resources requested for the shard's urgent waiting jobs. */
  urgent: sizeSchema,
  /** Resources requested for the shard's other waiting jobs. */
  normal: sizeSchema,
  /** Longest wait for quota among the shard's waiting jobs, in ms. */
  waitedMs: z.number(),
});

/**
 * Schema of a claim: usage and demand of one shard. A claim replaces the
 * shard's previous claim and returns the unused grants of the previous claim.
 */
export const quotaClaimSchema = z.object({
  shard: z.number().int().min(0).max(SHARD_COUNT - 1),
  /** Orders the claims of successive dispatchers of the shard. */
  fencingToken: z.number().int(),
  /** Orders the claims of one dispatcher. */
  sequence: z.number().int(),
  /**
   * Whether the claim requests grants. Otherwise it only returns grants and
   * reports the remaining demand.
   */
  asks: z.boolean(),
  teams: z.record(z.string(), teamClaimSchema),
});

/** Usage and demand of one shard. */
export type QuotaClaim = z.infer<typeof quotaClaimSchema>;

/** Usage and demand of one shard for one team's quota. */
export type TeamClaim = z.infer<typeof teamClaimSchema>;

/** Schema of the resources that a shard may start to use now, by team. */
export const quotaGrantsSchema = z.record(z.string(), sizeSchema);

/** Resources that a shard may start to use now, by team. */
export type QuotaGrants = z.infer<typeof quotaGrantsSchema>;

interface ShardClaim extends QuotaClaim {
  readonly granted: QuotaGrants;
}

/** Options of the quota ledger. */
export interface QuotaLedgerOptions {
  readonly store: Store;
  readonly region: string;
  readonly clock: Clock;
  /**
   * Whether this is the region's first ledger, so that no grants of a previous
   * one can be in use.
   */
  readonly isFirst: boolean;
}

/** Returns the resources reserved by started jobs, by team. */
export function useByTeam(jobs: Iterable<Job>): Map<string, Size> {
  const use = new Map<string, Size>();
  for (const job of jobs) {
    const run = activeRun(job);
    if (run === undefined) continue;
    const { team } = job.spec;
    use.set(team, addSize(use.get(team) ?? ZERO_SIZE, run.size));
  }
  return use;
}

function clampSize(wanted: Size, available: Quota): Size {
  const clamp = (a: number, b = Infinity) => Math.max(0, Math.min(a, b));
  return {
    cores: clamp(wanted.cores, available.cores),
    memoryMb: clamp(wanted.memoryMb, available.memoryMb),
    accelerators: clamp(wanted.accelerators, available.accelerators),
  };
}

function subtract(available: Quota, size: Size): Quota {
  return Object.fromEntries(
    Object.entries(available).map(([name, value]) => [
      name,
      value - size[name as keyof Size],
    ]),
  );
}

/**
 * Divides the teams' quotas among the shards. The usage and the grants of a
 * shard count until its dispatcher sends a new claim, so that a lost answer or
 * a crashed entry never frees quota that may be in use. The ledger is kept in
 * memory only: a new one grants nothing until it knows the usage of all shards.
 */
export class QuotaLedger {
  #options: QuotaLedgerOptions;
  #createdAtMs: number;
  #claims = new Map<number, ShardClaim>();
  #reading: Promise<unknown> | undefined;

  constructor(options: QuotaLedgerOptions) {
    this.#options = options;
    this.#createdAtMs = options.clock.monotonicMs();
  }

  /**
   * Records a claim and returns the grants. Resolves to undefined if the claim
   * is outdated or the usage of other shards isn't known yet. Rejects with a
   * `StoreError`.
   */
  async claim(
    claim: QuotaClaim,
    quotas: ReadonlyMap<string, Quota>,
  ): Promise<QuotaGrants | undefined> {
    if (!this.#recordClaim({ ...claim, granted: {} })) return undefined;
    if (!await this.#knowsAllShards()) return undefined;
    // Another claim of the shard may have arrived during the read.
    if (this.#claims.get(claim.shard)?.sequence !== claim.sequence) {
      return undefined;
    }
    const granted: QuotaGrants = {};
    if (!claim.asks) return granted;
    for (const [team, wanted] of Object.entries(claim.teams)) {
      const quota = quotas.get(team) ?? {};
      granted[team] = this.#grant(claim.shard, { team, wanted, quota });
    }
    this.#claims.set(claim.shard, { ...claim, granted });
    return granted;
  }

  #recordClaim(claim: ShardClaim): boolean {
    const previous = this.#claims.get(claim.shard);
    const isNewer = previous === undefined ||
      claim.fencingToken > previous.fencingToken ||
      claim.fencingToken === previous.fencingToken &&
        claim.sequence > previous.sequence;
    if (isNewer) this.#claims.set(claim.shard, claim);
    return isNewer;
  }

  #grant(
    shard: number,
    { team, wanted, quota }: { team: string; wanted: TeamClaim; quota: Quota },
  ): Size {
    let available = subtract(quota, wanted.use);
    let urgentOfOthers = ZERO_SIZE;
    let longestWaitMs = 0;
    for (const [other, { teams, granted }] of this.#claims) {
      const claim = teams[team];
      if (other === shard || claim === undefined) continue;
      const pendingGrant = granted[team] ?? ZERO_SIZE;
      available = subtract(available, addSize(claim.use, pendingGrant));
      const ungranted = addSize(claim.urgent, pendingGrant, -1);
      urgentOfOthers = addSize(urgentOfOthers, clampSize(ungranted, {}));
      longestWaitMs = Math.max(longestWaitMs, claim.waitedMs);
    }
    const urgent = clampSize(wanted.urgent, available);
    if (
      longestWaitMs >= STARVED_AFTER_MS && longestWaitMs > wanted.waitedMs
    ) {
      return urgent;
    }
    const left = subtract(subtract(available, urgent), urgentOfOthers);
    return addSize(urgent, clampSize(wanted.normal, left));
  }

  async #knowsAllShards(): Promise<boolean> {
    if (this.#claims.size === SHARD_COUNT) return true;
    const { clock, isFirst } = this.#options;
    const ageMs = clock.monotonicMs() - this.#createdAtMs;
    if (ageMs < GRANT_EXPIRY_WAIT_MS && !isFirst) return false;
    this.#reading ??= this.#readMissing().finally(() => {
      this.#reading = undefined;
    });
    await this.#reading;
    return true;
  }

  /**
   * Reads the shards that sent no claim, such as those without jobs or without
   * a dispatcher.
   */
  async #readMissing(): Promise<void> {
    const { store, region } = this.#options;
    const missingShards = Array.from(
      { length: SHARD_COUNT },
      (_, shard) => shard,
    )
      .filter((shard) => !this.#claims.has(shard));
    await Promise.all(missingShards.map(async (shard) => {
      const entry = await store.get(shardKey(region, shard));
      const record = entry === undefined
        ? createShardRecord()
        : parseShard(entry.value);
      const noDemand = { urgent: ZERO_SIZE, normal: ZERO_SIZE, waitedMs: 0 };
      const teams = [...useByTeam(record.jobs.values())]
        .map(([team, use]) => [team, { use, ...noDemand }]);
      const { fencingToken } = record;
      if (this.#claims.has(shard)) return;
      this.#recordClaim({
        shard,
        fencingToken,
        sequence: -1,
        asks: false,
        granted: {},
        teams: Object.fromEntries(teams),
      });
    }));
  }
}
