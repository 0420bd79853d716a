import type { Size } from "./job.ts";
import type { LedgerClient } from "./ledger_client.ts";
import { listQuotas } from "./jobs_world.ts";
import type { Allowance, Candidate } from "./placement.ts";
import { listCandidates, type ShardPlanInput } from "./plan_shard.ts";
import { type QuotaGrants, type TeamClaim, useByTeam } from "./quota_ledger.ts";
import { addSize, ZERO_SIZE } from "./size.ts";

/** What a shard is planned from, without its allowance. */
export type ClaimInput = Omit<ShardPlanInput, "allowance">;

/** Makes the claims of one shard. */
export class QuotaClaims {
  #ledgerClient: LedgerClient;
  #sequence = 0;
  /** What the ledger counts for the shard; undefined when that isn't known. */
  #counted: string | undefined;

  constructor(ledgerClient: LedgerClient) {
    this.#ledgerClient = ledgerClient;
  }

  /** Forgets what the ledger counts, as after another dispatcher had the shard. */
  reset(): void {
    this.#counted = undefined;
  }

  /** Whether the ledger counts what the shard uses, and no notice waits for a claim. */
  get isSettled(): boolean {
    return this.#counted !== undefined && !this.#ledgerClient.hasNotices;
  }

  /** Asks for what the shard's queued jobs need. */
  async ask(input: ClaimInput): Promise<Allowance> {
    const candidates = listCandidates(input, input.jobs);
    const teams = listClaims(input, candidates);
    // Open jobs claim in each step, because the answers bring other entries' notices.
    const isOpen = [...input.jobs.values()].some(({ state }) =>
      state.kind !== "ended"
    );
    const grants = isOpen || this.#counted === undefined
      ? await this.#claim(input, teams, true)
      : {};
    return grants === undefined ? { kind: "unanswered" } : {
      kind: "granted",
      byTeam: new Map(Object.entries(grants)),
    };
  }

  /** Tells what the shard uses after a step, which returns what was granted in vain. */
  async settle(input: ClaimInput): Promise<void> {
    const candidates = listCandidates(input, input.jobs);
    await this.#claim(input, listClaims(input, candidates), false);
  }

  async #claim(
    { shard, fencingToken }: ClaimInput,
    teams: Map<string, TeamClaim>,
    asks: boolean,
  ): Promise<QuotaGrants | undefined> {
    const counted = JSON.stringify(
      [...teams].map(([team, { use, urgent }]) => [team, use, urgent]),
    );
    const tells = asks || this.#ledgerClient.hasNotices;
    if (!tells && counted === this.#counted) return {};
    // Until the answer is known, the ledger may count more than the use.
    this.#counted = undefined;
    const grants = await this.#ledgerClient.claim({
      shard,
      fencingToken,
      sequence: ++this.#sequence,
      asks,
      teams: Object.fromEntries(teams),
    });
    const isExact = grants !== undefined &&
      Object.values(grants).every((size) => size.cores === 0);
    if (isExact) this.#counted = counted;
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
      { use: ZERO_SIZE, urgent: ZERO_SIZE, normal: ZERO_SIZE, waitedMs: 0 };
  for (const [team, use] of useByTeam(jobs.values())) {
    if (isLimited(team)) claims.set(team, { ...claimOf(team), use });
  }
  for (const { jobId, spec, size, waitedMs } of candidates) {
    const { team, priority } = spec;
    if (!isLimited(team)) continue;
    const known = claimOf(team);
    const wanted: Size = addSize(known[priority], size);
    const wait = world.schedulerState.waits.get(shard)?.get(jobId);
    const waitsForQuota = wait?.reason === "quota" ? waitedMs : 0;
    claims.set(team, {
      ...known,
      [priority]: wanted,
      waitedMs: Math.max(known.waitedMs, waitsForQuota),
    });
  }
  return claims;
}
