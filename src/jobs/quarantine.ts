import type { WorkerStanding } from "./worker_view.ts";

/**
 * Delay before the first probe of a quarantined worker, in ms; doubled after
 * each failed probe.
 */
const FIRST_PROBE_MS = 30_000;
/** Maximum delay between two probes, in ms. */
const MAXIMUM_PROBE_MS = 1_800_000;

/** Quarantine of a worker to which failures were attributed. */
export interface QuarantineState {
  /** Number of quarantines in a row. */
  readonly failures: number;
  /** Wall-clock time of the next probe, in ms. */
  readonly probeAtMs: number;
}

/** Availability budget of a pool, which limits quarantines. */
export interface PoolBudget {
  readonly servingVms: number;
  readonly minimumServingVms: number;
}

/** Returns the quarantine of a worker after a failure attributed to it. */
export function extendQuarantine(
  previous: QuarantineState | undefined,
  nowMs: number,
): QuarantineState {
  // Failures of tasks that were running when the quarantine began add no
  // information.
  if (previous !== undefined && nowMs < previous.probeAtMs) return previous;
  const failures = (previous?.failures ?? 0) + 1;
  const delayMs = Math.min(
    FIRST_PROBE_MS * 2 ** (failures - 1),
    MAXIMUM_PROBE_MS,
  );
  return { failures, probeAtMs: nowMs + delayMs };
}

/**
 * Decides which workers of a pool are quarantined or probed. Those with the
 * most quarantines come first; once the pool's budget is used up, the rest
 * remain in use as suspects.
 */
export function assignStandings(
  quarantines: ReadonlyMap<string, QuarantineState>,
  budget: PoolBudget,
  nowMs: number,
): Map<string, WorkerStanding> {
  const byFailures = [...quarantines].sort(([idA, a], [idB, b]) =>
    b.failures - a.failures || a.probeAtMs - b.probeAtMs || (idA < idB ? -1 : 1)
  );
  let spareVms = budget.servingVms - budget.minimumServingVms;
  return new Map(
    byFailures.map(([vmId, { probeAtMs }]): [string, WorkerStanding] => {
      if (spareVms-- <= 0) return [vmId, "suspect"];
      return [vmId, nowMs < probeAtMs ? "quarantined" : "probing"];
    }),
  );
}
