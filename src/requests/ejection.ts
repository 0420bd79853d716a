/** Health of one instance of a pool, as observed by this entry. */
export interface InstanceHealth {
  readonly vmId: string;
  readonly consecutiveFailures: number;
  /** Smoothed response time, in ms; 0 before the first response. */
  readonly latencyMs: number;
  /** Number of responses that `latencyMs` covers. */
  readonly samples: number;
  /** Time since the first request that was sent after the last response, in ms; 0 when there is none. */
  readonly silentMs: number;
  /** Monotonic time of the next probe of an ejected instance, in ms; undefined when it isn't ejected. */
  readonly ejectedUntilMs: number | undefined;
}

/** Why an instance is temporarily excluded from routing. */
export type EjectionReason = "failures" | "latency" | "silent";

/** An instance to eject. */
export interface Ejection {
  readonly vmId: string;
  readonly reason: EjectionReason;
}

/** Inputs of the ejection decisions for one pool. */
export interface EjectionInput {
  readonly instances: readonly InstanceHealth[];
  readonly minimumServingVms: number;
}

/** Consecutive failures that eject an instance. */
const FAILURES_TO_EJECT = 3;
/** Minimum samples before an instance's response time is compared with the pool's median. */
const SAMPLES_TO_COMPARE = 20;
/** Multiple of the pool's median response time above which an instance is ejected. */
const SLOW_FACTOR = 5;
/** Response time below which an instance is never ejected for latency, in ms. */
const SLOW_FLOOR_MS = 50;
/**
 * Multiple of the pool's median response time without a response after which an
 * instance counts as silent. This median covers all instances that have ever
 * responded: with responses of 6 s, `SAMPLES_TO_COMPARE` takes half a minute, and
 * until then healthy instances would be ejected after `SILENT_FLOOR_MS`.
 */
const SILENT_FACTOR = 20;
/** Time without a response below which an instance never counts as silent, in ms. */
const SILENT_FLOOR_MS = 1_000;
/** Duration of the first ejection, in ms; doubles with each failed probe. */
const FIRST_BACKOFF_MS = 500;
/** Maximum duration of an ejection, in ms. */
const MAXIMUM_BACKOFF_MS = 30_000;

function median(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/**
 * Returns the time without a response after which an instance counts as silent,
 * in ms; infinite until any instance has responded, because a slow service can't
 * be told from a silent instance before that.
 */
function computeSilenceLimitMs(instances: readonly InstanceHealth[]): number {
  const latenciesMs = instances.map((health) => health.latencyMs)
    .filter((latencyMs) => latencyMs > 0);
  if (latenciesMs.length === 0) return Infinity;
  return Math.max(SILENT_FLOOR_MS, SILENT_FACTOR * median(latenciesMs));
}

function findEjectionReason(
  health: InstanceHealth,
  { medianMs, silenceLimitMs }: {
    readonly medianMs: number;
    readonly silenceLimitMs: number;
  },
): EjectionReason | undefined {
  if (health.consecutiveFailures >= FAILURES_TO_EJECT) return "failures";
  if (health.silentMs > silenceLimitMs) return "silent";
  if (
    health.samples >= SAMPLES_TO_COMPARE && medianMs > 0 &&
    health.latencyMs > Math.max(SLOW_FLOOR_MS, SLOW_FACTOR * medianMs)
  ) return "latency";
  return undefined;
}

/** Returns the instances to eject, worst first, but leaves at least `minimumServingVms` and one instance. */
export function decideEjections(input: EjectionInput): Ejection[] {
  const serving = input.instances.filter((health) =>
    health.ejectedUntilMs === undefined
  );
  const medianMs = median(
    input.instances.filter((health) => health.samples >= SAMPLES_TO_COMPARE)
      .map((health) => health.latencyMs),
  );
  const silenceLimitMs = computeSilenceLimitMs(input.instances);
  const maximumEjections = Math.max(
    0,
    serving.length - Math.max(1, input.minimumServingVms),
  );
  const evaluated = serving.map((health) => ({
    health,
    reason: findEjectionReason(health, { medianMs, silenceLimitMs }),
  }));
  // When most instances are silent, the service itself is slow and ejections wouldn't help.
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

/** Returns the ejected instances to reinstate so that the pool keeps `minimumServingVms`, those with the earliest probe first. */
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

/** Returns the duration of an ejection after the given number of consecutive ejections, in ms. */
export function ejectionBackoffMs(ejectionsInRow: number): number {
  return Math.min(
    MAXIMUM_BACKOFF_MS,
    FIRST_BACKOFF_MS * 2 ** Math.max(0, ejectionsInRow - 1),
  );
}
