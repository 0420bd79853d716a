import { z } from "zod";
import { REFUSED_LOAN_KIND } from "./loan_refusals.ts";

/** One decision about the fleet, as shown by `explain`. */
export const decisionSchema = z.object({
  /** Wall-clock time, in ms. */
  atMs: z.number(),
  /** Fleet revision that carries the decision. */
  fleetRevision: z.number().int(),
  kind: z.string(),
  vmId: z.string().optional(),
  pools: z.array(z.string()),
  teams: z.array(z.string()),
  summary: z.string(),
  /** Values on which the decision was based. */
  facts: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
  rejected: z.array(z.object({ option: z.string(), reason: z.string() })),
});

/** One decision about the fleet. */
export type Decision = z.infer<typeof decisionSchema>;

/** The store's value of recent decisions, oldest first. */
export const decisionLogSchema = z.object({
  decisions: z.array(decisionSchema),
});

/** Maximum number of decisions that are kept for each region. */
export const MAXIMUM_DECISIONS = 500;

/** Maximum number of refused loans that are kept for each pool, so that they don't displace decisions that moved VMs. */
export const MAXIMUM_REFUSED_LOANS = 5;

/** Store key of a region's recent decisions. */
export function decisionLogKey(region: string): string {
  return `fleet-log/${region}`;
}

function createDecisionKey(decision: Decision): string {
  const { fleetRevision, kind, vmId = "", pools, atMs } = decision;
  // Refused loans write no revision, so one revision can have several at different times.
  return `${fleetRevision}/${kind}/${vmId}/${pools.join(",")}/${atMs}`;
}

/** Drops the oldest refused loans of each pool beyond their limit. */
function limitRefusedLoans(log: readonly Decision[]): Decision[] {
  const counts = new Map<string, number>();
  return log.toReversed().filter(({ kind, pools }) => {
    if (kind !== REFUSED_LOAN_KIND) return true;
    const pool = pools[0] ?? "";
    const count = (counts.get(pool) ?? 0) + 1;
    counts.set(pool, count);
    return count <= MAXIMUM_REFUSED_LOANS;
  }).reverse();
}

/** Appends the decisions that the log doesn't contain yet and drops the oldest ones beyond the limit. */
export function appendDecisions(
  log: readonly Decision[],
  added: readonly Decision[],
): Decision[] {
  const knownKeys = new Set(log.map(createDecisionKey));
  const newDecisions = added.filter((decision) =>
    !knownKeys.has(createDecisionKey(decision))
  );
  return limitRefusedLoans([...log, ...newDecisions]).slice(-MAXIMUM_DECISIONS);
}
