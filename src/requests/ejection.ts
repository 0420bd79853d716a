/** What is known about one instance of a pool. */
export interface InstanceHealth {
  readonly vmId: string;
  readonly consecutiveFailures: number;
  /** Smoothed response time, in ms. */
  readonly latencyMs: number;
  readonly samples: number;
  /** Time since the first request that no response has followed, in ms; 0 when there is none. */
  readonly silentMs: number;
  /** Time of the next probe of an ejected instance, in ms; undefined when it isn't ejected. */
  readonly ejectedUntilMs: number | undefined;
}

/** Why an instance gets no requests for some time. */
export type EjectionReason = "failures" | "latency" | "silent";

/** An instance to eject. */
export interface Ejection {
  readonly vmId: string;
  readonly reason: EjectionReason;
}

/** What ejections of one pool are decided from. */
export interface EjectionInput {
  readonly instances: readonly InstanceHealth[];
  readonly minimumServingVms: number;
}

const FAILURES_TO_EJECT = 3;
/** Samples before an instance's response time is compared with others. */
const SAMPLES_TO_COMPARE = 20;
/** Factor to the pool's median response time that counts as far from it. */
const SLOW_FACTOR = 5;
/** Response times below this never eject, in ms. */
const SLOW_FLOOR_MS = 50;
/** Factor to the pool's median response time after which an instance counts as silent. */
const SILENT_FACTOR = 20;
/** Silence below this never ejects, in ms. */
const SILENT_FLOOR_MS = 1_000;
/** First time out of routing, in ms; doubles with each failed probe. */
const FIRST_BACKOFF_MS = 500;
/** Longest time out of routing, in ms. */
const MAXIMUM_BACKOFF_MS = 30_000;

function median(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

function findEjectionReason(
  health: InstanceHealth,
  medianMs: number,
): EjectionReason | undefined {
  if (health.consecutiveFailures >= FAILURES_TO_EJECT) return "failures";
  if (
    health.silentMs > Math.max(SILENT_FLOOR_MS, SILENT_FACTOR * medianMs)
  ) return "silent";
  if (
    health.samples >= SAMPLES_TO_COMPARE && medianMs > 0 &&
    health.latencyMs > Math.max(SLOW_FLOOR_MS, SLOW_FACTOR * medianMs)
  ) return "latency";
  return undefined;
}

/** Decides which instances to eject, worst first, never below the pool's availability budget. */
export function decideEjections(input: EjectionInput): Ejection[] {
  const serving = input.instances.filter((health) =>
    health.ejectedUntilMs === undefined
  );
  const medianMs = median(
    input.instances.filter((health) => health.samples >= SAMPLES_TO_COMPARE)
      .map((health) => health.latencyMs),
  );
  const maximumEjections = Math.max(
    0,
    serving.length - Math.max(1, input.minimumServingVms),
  );
  const evaluated = serving.map((health) => ({
    health,
    reason: findEjectionReason(health, medianMs),
  }));
  // When most instances are silent, the service is slow and no instance is to blame.
  const silent = evaluated.filter((item) => item.reason === "silent").length;
  const ignoreSilence = silent * 2 > serving.length;
  return evaluated
    .filter(({ reason }) =>
      reason !== undefined && !(reason === "silent" && ignoreSilence)
    )
    .sort((a, b) =>
      b.health.consecutiveFailures - a.health.consecutiveFailures ||
      b.health.latencyMs - a.health.latencyMs
    )
    .slice(0, maximumEjections)
    .map(({ health, reason }) => ({ vmId: health.vmId, reason: reason! }));
}

/** Returns the ejected instances that the availability budget needs back, the next to be probed first. */
export function decideReinstatements(input: EjectionInput): string[] {
  const ejected = input.instances
    .filter((health) => health.ejectedUntilMs !== undefined)
    .sort((a, b) => a.ejectedUntilMs! - b.ejectedUntilMs!);
  const maximumEjected = Math.max(
    0,
    input.instances.length - Math.max(1, input.minimumServingVms),
  );
  return ejected.slice(0, Math.max(0, ejected.length - maximumEjected))
    .map((health) => health.vmId);
}

/** Returns how long an instance stays out of routing after so many ejections in a row, in ms. */
export function ejectionBackoffMs(ejectionsInRow: number): number {
  return Math.min(
    MAXIMUM_BACKOFF_MS,
    FIRST_BACKOFF_MS * 2 ** Math.max(0, ejectionsInRow - 1),
  );
}
