import type { Size } from "./job.ts";
import type { LedgerClient } from "./ledger_client.ts";
import { listQuotas } from "./scheduling_context.ts";
import type { Allowance, Candidate } from "./placement.ts";
import { listCandidates, type ShardPlanInput } from "./plan_shard.ts";
import { type QuotaGrants, type TeamClaim, useByTeam } from "./quota_ledger.ts";
import { addSize, ZERO_SIZE } from "./size.ts";

/** Input of a claim: that of `planShard` without the allowance. */
export type ClaimInput = Omit<ShardPlanInput, "allowance">;

/** Claims quota for one shard at the region's ledger. */
export class QuotaClient {
  #ledgerClient: LedgerClient;
  #sequence = 0;
  /**
   * Usage that the ledger has recorded for the shard, as JSON; undefined if
   * that isn't known.
   */
  #acknowledgedUse: string | undefined;

  constructor(ledgerClient: LedgerClient) {
    this.#ledgerClient = ledgerClient;
  }

  /**
   * Discards the known state of the ledger, because another dispatcher may have
   * owned the shard.
   */
  reset(): void {
    this.#acknowledgedUse = undefined;
  }

  /**
   * Whether the ledger has recorded the shard's usage and no notices are
   * waiting.
   */
  get isUpToDate(): boolean {
    return this.#acknowledgedUse !== undefined &&
      !this.#ledgerClient.hasNotices;
  }

  /**
   * Requests quota for the shard's waiting jobs; returns the grants by team, or
   * `unanswered` if the ledger can't be reached or grants nothing yet.
   */
  async requestGrants(input: ClaimInput): Promise<Allowance> {
    const candidates = listCandidates(input, input.jobs);
    const teams = listClaims(input, candidates);
    // A shard with open jobs sends a claim in every step, because the answer
    // also carries the notices of other entries.
    const isOpen = [...input.jobs.values()].some(({ state }) =>
      state.kind !== "ended"
    );
    const grants = isOpen || this.#acknowledgedUse === undefined
      ? await this.#claim(input, teams, true)
      : {};
    return grants === undefined ? { kind: "unanswered" } : {
      kind: "granted",
      byTeam: new Map(Object.entries(grants)),
    };
  }

  /** Reports the shard's usage after a step, which returns unused grants. */
  async reportUsage(input: ClaimInput): Promise<void> {
    const candidates = listCandidates(input, input.jobs);
    await this.#claim(input, listClaims(input, candidates), false);
  }

  async #claim(
    { shard, fencingToken }: ClaimInput,
    teams: Map<string, TeamClaim>,
    asks: boolean,
  ): Promise<QuotaGrants | undefined> {
    const reportedUse = JSON.stringify(
      [...teams].map(([team, { use, urgent }]) => [team, use, urgent]),
    );
    const mustSend = asks || this.#ledgerClient.hasNotices;
    if (!mustSend && reportedUse === this.#acknowledgedUse) return {};
    // Until the answer arrives, the ledger may count more than the actual
    // usage.
    this.#acknowledgedUse = undefined;
    const grants = await this.#ledgerClient.claim({
      shard,
      fencingToken,
      sequence: ++this.#sequence,
      asks,
      teams: Object.fromEntries(teams),
    });
    const isExact = grants !== undefined &&
      Object.values(grants).every((size) => size.cores === 0);
    if (isExact) this.#acknowledgedUse = reportedUse;
    return grants;
  }
}

/** Returns the shard's usage and demand for each team with a quota. */
function listClaims(
  { shard, jobs, context }: ClaimInput,
  candidates: readonly Candidate[],
): Map<string, TeamClaim> {
  const quotas = listQuotas(context.config);
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
    const claim = claimOf(team);
    const wanted: Size = addSize(claim[priority], size);
    const wait = context.schedulerState.waitsByShard.get(shard)?.get(jobId);
    const waitsForQuota = wait?.reason === "quota" ? waitedMs : 0;
    claims.set(team, {
      ...claim,
      [priority]: wanted,
      waitedMs: Math.max(claim.waitedMs, waitsForQuota),
    });
  }
  return claims;
}
