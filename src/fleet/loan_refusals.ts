import type { Decision } from "./decision_log.ts";
import type { LendingLimits, PoolLoad } from "./lending_limits.ts";
import { utilisation } from "./lending_limits.ts";
import type { DecisionDraft } from "./planning_context.ts";

/** Kind of decisions that record a request for VMs that no pool granted. */
export const REFUSED_LOAN_KIND = "loan_refused";

/** Minimum time between steps that record changed reasons, in ms; each such step writes the whole log, and reasons can alternate from step to step. */
const CHANGE_INTERVAL_MS = 60_000;
/** Time without a shortage after which the same refusal is recorded again, in ms; it belongs to another surge by then. */
const REFUSAL_RETENTION_MS = 15 * 60_000;

/** Why a pool requests VMs. */
export type LoanNeed = "demand" | "budget";

/** A request for a VM that no pool granted. */
export interface RefusedLoan {
  readonly borrower: PoolLoad;
  readonly need: LoanNeed;
  readonly limits: LendingLimits;
  /** Demand and capacity of the borrower and of the possible lenders. */
  readonly facts: DecisionDraft["facts"];
  readonly rejected: DecisionDraft["rejected"];
}

function toPercent(share: number): number | string {
  return Number.isFinite(share) ? Math.round(share * 100) : "no capacity";
}

/** Number of VMs that would end the shortage. */
function countWantedVms({ borrower, need, limits }: RefusedLoan): number {
  const { counts } = borrower;
  if (need === "budget") {
    return counts.minimumServingVms - counts.serving - counts.incoming;
  }
  const missingSlots = borrower.levelSlots / limits.borrowAbove -
    borrower.overflowSlots - borrower.capacityVms * borrower.slotsPerVm;
  return Math.max(1, Math.ceil(missingSlots / borrower.slotsPerVm));
}

/** Describes a refused loan as a decision about the borrower. */
export function describeRefusedLoan(refused: RefusedLoan): DecisionDraft {
  const { borrower, need, limits, facts, rejected } = refused;
  const { name } = borrower.pool;
  const wantedVms = countWantedVms(refused);
  const reason = need === "budget"
    ? "it is below its budget"
    : "its demand exceeds its capacity";
  return {
    kind: REFUSED_LOAN_KIND,
    pools: [name],
    summary:
      `${name} asks for ${wantedVms} more VM(s) because ${reason}; no pool lends one`,
    facts: {
      need,
      wantedVms,
      utilisationPercent: toPercent(utilisation(borrower)),
      borrowAbovePercent: toPercent(limits.borrowAbove),
      ...facts,
    },
    rejected,
  };
}

/** Selects the refused loans whose reasons are new. */
export interface RefusalFilter {
  /** Returns the refusals to record; called once for each planning step. */
  select(refusals: readonly Decision[], nowMs: number): readonly Decision[];
}

interface RecordedRefusal {
  reasons: string;
  seenAtMs: number;
}

/** Creates a filter; losing its state costs one repeated record for each pool with a shortage. */
export function createRefusalFilter(): RefusalFilter {
  const recorded = new Map<string, RecordedRefusal>();
  let lastChangeAtMs = -Infinity;

  return {
    select(refusals, nowMs) {
      for (const [key, { seenAtMs }] of recorded) {
        if (nowMs - seenAtMs >= REFUSAL_RETENTION_MS) recorded.delete(key);
      }
      const mayRecordChanges = nowMs - lastChangeAtMs >= CHANGE_INTERVAL_MS;
      return refusals.filter((refusal) => {
        // A pool can lack VMs for its budget and for its demand in the same step.
        const key = `${refusal.pools[0]}/${refusal.facts["need"]}`;
        const reasons = JSON.stringify(refusal.rejected);
        const last = recorded.get(key);
        if (last !== undefined) {
          last.seenAtMs = nowMs;
          if (last.reasons === reasons || !mayRecordChanges) return false;
          lastChangeAtMs = nowMs;
        }
        recorded.set(key, { reasons, seenAtMs: nowMs });
        return true;
      });
    },
  };
}
