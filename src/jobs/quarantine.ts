import type { WorkerStanding } from "./worker_view.ts";

/** First time until a quarantined worker is probed, in ms; doubled after each failed probe. */
const FIRST_PROBE_MS = 30_000;
/** Longest time between two probes, in ms. */
const MAXIMUM_PROBE_MS = 1_800_000;

/** One worker that was blamed. */
export interface QuarantineState {
  readonly failures: number;
  /** Time of the next probe, in ms. */
  readonly probeAtMs: number;
}

/** A pool with what its budget leaves for quarantines. */
export interface PoolBudget {
  readonly servingVms: number;
  readonly minimumServingVms: number;
}

/** Returns a worker's state after a failure that counts against it. */
export function extendQuarantine(
  known: QuarantineState | undefined,
  nowMs: number,
): QuarantineState {
  // Tasks that were already running when the worker was blamed say nothing new.
  if (known !== undefined && nowMs < known.probeAtMs) return known;
  const failures = (known?.failures ?? 0) + 1;
  const delayMs = Math.min(
    FIRST_PROBE_MS * 2 ** (failures - 1),
    MAXIMUM_PROBE_MS,
  );
  return { failures, probeAtMs: nowMs + delayMs };
}

/** Decides how blamed workers of one pool are used; the budget leaves the longest blamed in quarantine and the rest as suspects. */
export function assignStandings(
  blamed: ReadonlyMap<string, QuarantineState>,
  budget: PoolBudget,
  nowMs: number,
): Map<string, WorkerStanding> {
  const worst = [...blamed].sort(([idA, a], [idB, b]) =>
    b.failures - a.failures || a.probeAtMs - b.probeAtMs || (idA < idB ? -1 : 1)
  );
  let spare = budget.servingVms - budget.minimumServingVms;
  return new Map(
    worst.map(([vmId, { probeAtMs }]): [string, WorkerStanding] => {
      if (spare-- <= 0) return [vmId, "suspect"];
      return [vmId, nowMs < probeAtMs ? "quarantined" : "probing"];
    }),
  );
}
