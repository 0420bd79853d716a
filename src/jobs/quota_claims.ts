import type { Size } from "./job.ts";
import { listQuotas } from "./jobs_world.ts";
import type { Allowance, Candidate } from "./placement.ts";
import { listCandidates, type ShardPlanInput } from "./plan_shard.ts";
import {
  type QuotaClaim,
  type QuotaGrants,
  type TeamClaim,
  useByTeam,
} from "./quota_ledger.ts";
import { settleWithin } from "./settle_within.ts";
import { addSize, NO_SIZE } from "./size.ts";

/** Time after which an unchanged claim is made again, in ms, so that a new ledger knows the shard soon. */
const REPEAT_MS = 2_000;
/** Time within which a claim must be answered, in ms. */
const ANSWER_LIMIT_MS = 300;

/** Sends a claim to the region's ledger; resolves to undefined if nothing was granted or the ledger can't be reached. */
export type ClaimQuota = (
  claim: QuotaClaim,
) => Promise<QuotaGrants | undefined>;

/** What a shard is planned from, without its allowance. */
export type ClaimInput = Omit<ShardPlanInput, "allowance">;

/** Makes the claims of one shard. */
export class QuotaClaims {
  #send: ClaimQuota;
  #sequence = 0;
  /** What the ledger counts for the shard; undefined when that isn't known. */
  #counted: string | undefined;
  #sentAtMs = -Infinity;

  constructor(send: ClaimQuota) {
    this.#send = send;
  }

  /** Forgets what the ledger counts, as after another dispatcher had the shard. */
  reset(): void {
    this.#counted = undefined;
  }

  /** Asks for what the shard's queued jobs need. */
  async ask(input: ClaimInput): Promise<Allowance> {
    const candidates = listCandidates(input, input.jobs);
    const teams = listClaims(input, candidates);
    const grants = await this.#claim(input, teams);
    return grants === undefined ? { kind: "unanswered" } : {
      kind: "granted",
      byTeam: new Map(Object.entries(grants)),
    };
  }

  /** Tells what the shard uses after a step, which returns what was granted in vain. */
  async settle(input: ClaimInput): Promise<void> {
    await this.#claim(input, listClaims(input, []));
  }

  async #claim(
    { shard, fencingToken, world }: ClaimInput,
    teams: Map<string, TeamClaim>,
  ): Promise<QuotaGrants | undefined> {
    const wants = [...teams.values()].some(({ urgent, normal }) =>
      urgent.cores > 0 || normal.cores > 0
    );
    const counted = JSON.stringify([...teams].map(([team, { use }]) => [
      team,
      use,
    ]));
    const isRepeated = world.nowMs - this.#sentAtMs >= REPEAT_MS;
    if (!wants && counted === this.#counted && !isRepeated) return {};
    if (!wants && teams.size === 0 && counted === this.#counted) return {};
    // Until the answer is known, the ledger may count more than the use.
    this.#counted = undefined;
    this.#sentAtMs = world.nowMs;
    const claim: QuotaClaim = {
      ...{ shard, fencingToken, sequence: ++this.#sequence },
      teams: Object.fromEntries(teams),
    };
    const grants = await settleWithin(
      this.#send(claim).catch(() => undefined),
      ANSWER_LIMIT_MS,
    );
    if (grants === undefined || wants) return grants;
    this.#counted = counted;
    return grants;
  }
}

/** Returns what the shard uses and wants of each quota. */
function listClaims(
  { shard, jobs, world }: ClaimInput,
  candidates: readonly Candidate[],
): Map<string, TeamClaim> {
  const quotas = listQuotas(world.config);
  const isLimited = (team: string) =>
    Object.keys(quotas.get(team) ?? {}).length > 0;
  const claims = new Map<string, TeamClaim>();
  const claimOf = (team: string): TeamClaim =>
    claims.get(team) ??
      { use: NO_SIZE, urgent: NO_SIZE, normal: NO_SIZE, waitedMs: 0 };
  for (const [team, use] of useByTeam(jobs.values())) {
    if (isLimited(team)) claims.set(team, { ...claimOf(team), use });
  }
  for (const { jobId, spec, size, waitedMs } of candidates) {
    const { team, priority } = spec;
    if (!isLimited(team)) continue;
    const known = claimOf(team);
    const wanted: Size = addSize(known[priority], size);
    const wait = world.memory.waits.get(shard)?.get(jobId);
    const waitsForQuota = wait?.reason === "quota" ? waitedMs : 0;
    claims.set(team, {
      ...known,
      [priority]: wanted,
      waitedMs: Math.max(known.waitedMs, waitsForQuota),
    });
  }
  return claims;
}
