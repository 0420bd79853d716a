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
/** Time for which a grant may be used after it was asked for, in ms. */
export const GRANT_LIFETIME_MS = 1_000;
/**
 * Time after a take-over until shards that made no claim are read from the
 * store, in ms. By then the grants of the last ledger have lapsed, and writes
 * that used them have ended.
 */
const SETTLE_MS = 3_000;
/** Time after which a job that waits for quota keeps others from it, in ms, so that smaller jobs of other shards can't use it up forever. */
const HOLD_AFTER_MS = 60_000;

const teamClaimSchema = z.object({
  /** Reserved by the shard's started jobs. */
  use: sizeSchema,
  /** Wanted by its urgent and other queued jobs. */
  urgent: sizeSchema,
  normal: sizeSchema,
  /** Longest wait for quota among its queued jobs, in ms. */
  waitedMs: z.number(),
});

/** What one shard uses and wants; replaces its last claim and returns the grants that came with it. */
export const quotaClaimSchema = z.object({
  shard: z.number().int().min(0).max(SHARD_COUNT - 1),
  /** Orders the claims of successive dispatchers of the shard. */
  fencingToken: z.number().int(),
  /** Orders the claims of one dispatcher. */
  sequence: z.number().int(),
  /** Whether the claim asks for grants; otherwise it returns them and tells what still waits. */
  asks: z.boolean(),
  teams: z.record(z.string(), teamClaimSchema),
});

/** What one shard uses and wants. */
export type QuotaClaim = z.infer<typeof quotaClaimSchema>;

/** What a shard uses and wants of one team's quota. */
export type TeamClaim = z.infer<typeof teamClaimSchema>;

/** What a shard may start now, by team. */
export const quotaGrantsSchema = z.record(z.string(), sizeSchema);

/** What a shard may start now, by team. */
export type QuotaGrants = z.infer<typeof quotaGrantsSchema>;

interface ShardClaim extends QuotaClaim {
  readonly granted: QuotaGrants;
}

/** Where claims come from and are read from. */
export interface QuotaLedgerOptions {
  readonly store: Store;
  readonly region: string;
  readonly clock: Clock;
  /** Whether no ledger can have granted anything before. */
  readonly isFirst: boolean;
}

/** Returns what started jobs reserve, by team. */
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

function leastOf(wanted: Size, room: Quota): Size {
  const least = (a: number, b = Infinity) => Math.max(0, Math.min(a, b));
  return {
    cores: least(wanted.cores, room.cores),
    memoryMb: least(wanted.memoryMb, room.memoryMb),
    accelerators: least(wanted.accelerators, room.accelerators),
  };
}

function subtract(room: Quota, size: Size): Quota {
  return Object.fromEntries(
    Object.entries(room).map(([name, value]) => [
      name,
      value - size[name as keyof Size],
    ]),
  );
}

/**
 * Divides the teams' quotas among the shards. What a shard uses or was granted
 * counts until the shard's dispatcher claims anew, so that a lost answer or a
 * lost entry frees nothing that may be in use. It is kept in memory only: a
 * new ledger grants nothing before it knows each shard.
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

  /** Notes a claim and returns what the shard may start; undefined for an outdated claim or while other shards aren't known. Rejects with a `StoreError`. */
  async claim(
    claim: QuotaClaim,
    quotas: ReadonlyMap<string, Quota>,
  ): Promise<QuotaGrants | undefined> {
    if (!this.#note({ ...claim, granted: {} })) return undefined;
    if (!await this.#knowsAll()) return undefined;
    // Another claim of the shard may have come during a read.
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

  #note(claim: ShardClaim): boolean {
    const known = this.#claims.get(claim.shard);
    const isNewer = known === undefined ||
      claim.fencingToken > known.fencingToken ||
      claim.fencingToken === known.fencingToken &&
        claim.sequence > known.sequence;
    if (isNewer) this.#claims.set(claim.shard, claim);
    return isNewer;
  }

  #grant(
    shard: number,
    { team, wanted, quota }: { team: string; wanted: TeamClaim; quota: Quota },
  ): Size {
    let room = subtract(quota, wanted.use);
    let urgentOfOthers = ZERO_SIZE;
    let longestWaitMs = 0;
    for (const [other, { teams, granted }] of this.#claims) {
      const claim = teams[team];
      if (other === shard || claim === undefined) continue;
      const held = granted[team] ?? ZERO_SIZE;
      room = subtract(room, addSize(claim.use, held));
      const missing = addSize(claim.urgent, held, -1);
      urgentOfOthers = addSize(urgentOfOthers, leastOf(missing, {}));
      longestWaitMs = Math.max(longestWaitMs, claim.waitedMs);
    }
    const urgent = leastOf(wanted.urgent, room);
    if (longestWaitMs >= HOLD_AFTER_MS && longestWaitMs > wanted.waitedMs) {
      return urgent;
    }
    const left = subtract(subtract(room, urgent), urgentOfOthers);
    return addSize(urgent, leastOf(wanted.normal, left));
  }

  async #knowsAll(): Promise<boolean> {
    if (this.#claims.size === SHARD_COUNT) return true;
    const { clock, isFirst } = this.#options;
    const ageMs = clock.monotonicMs() - this.#createdAtMs;
    if (ageMs < SETTLE_MS && !isFirst) return false;
    this.#reading ??= this.#readMissing().finally(() => {
      this.#reading = undefined;
    });
    await this.#reading;
    return true;
  }

  /** Reads shards that made no claim, such as those without jobs or dispatcher. */
  async #readMissing(): Promise<void> {
    const { store, region } = this.#options;
    const missing = Array.from({ length: SHARD_COUNT }, (_, shard) => shard)
      .filter((shard) => !this.#claims.has(shard));
    await Promise.all(missing.map(async (shard) => {
      const entry = await store.get(shardKey(region, shard));
      const record = entry === undefined
        ? createShardRecord()
        : parseShard(entry.value);
      const none = { urgent: ZERO_SIZE, normal: ZERO_SIZE, waitedMs: 0 };
      const teams = [...useByTeam(record.jobs.values())]
        .map(([team, use]) => [team, { use, ...none }]);
      const { fencingToken } = record;
      if (this.#claims.has(shard)) return;
      this.#note({
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
