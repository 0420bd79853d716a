import type { Clock } from "../clock.ts";
import { BackendConnections } from "./backend_connections.ts";
import {
  ejectionBackoffMs,
  type EjectionReason,
  type InstanceHealth,
} from "./ejection.ts";
import type { Instance } from "./pool_views.ts";

/** Result of an attempt, as it affects the instance's health. */
export type AttemptResult =
  | { readonly kind: "response"; readonly latencyMs: number }
  | { readonly kind: "failure" }
  /** Ended by the request's own deadline, which says little about the instance's health. */
  | { readonly kind: "timeout" };

/** Weight of the latest response in the moving average of response times. */
const LATENCY_WEIGHT = 0.1;
/** Number of responses after which the count of consecutive ejections is reset. */
const RECOVERY_SAMPLES = 20;
/** Multiple of the backoff after which a non-idempotent request may be used as a probe. */
const UNSAFE_PROBE_FACTOR = 4;

interface EjectionState {
  readonly reason: EjectionReason;
  readonly untilMs: number;
  readonly backoffMs: number;
}

/** This entry's requests in flight, health data and connections of one instance. */
export class InstanceState {
  readonly connections: BackendConnections;
  instance: Instance;
  /** Number of the instance's slots that this entry may use. */
  share = 0;
  /** Whether the instance accepts new requests. */
  active = true;
  /** Number of this entry's requests that have a slot of the instance. */
  inFlight = 0;
  #clock: Clock;
  #consecutiveFailures = 0;
  #latencyMs = 0;
  #samples = 0;
  /** Monotonic time of the first request after the last response, in ms; undefined when there is none. */
  #unansweredSinceMs: number | undefined;
  #ejection: EjectionState | undefined;
  #ejectionsInRow = 0;
  #probing = false;

  constructor(instance: Instance, clock: Clock) {
    this.instance = instance;
    this.#clock = clock;
    this.connections = new BackendConnections(
      instance.address,
      instance.connections,
    );
  }

  /** Whether the instance is excluded from routing, except for probes. */
  get ejected(): boolean {
    return this.#ejection !== undefined;
  }

  /** Returns how many more requests this entry may send to the instance now. */
  freeSlots(): number {
    // Counts granted slots, whose requests may not use a connection yet.
    return Math.min(this.share, this.connections.limit) - this.inFlight;
  }

  /** Returns whether a request may be sent to the ejected instance as a probe. */
  canProbe(idempotent: boolean): boolean {
    const ejection = this.#ejection;
    if (ejection === undefined || this.#probing) return false;
    // Any request may probe an instance ejected for failures: a failed connection attempt is retried on another instance.
    const extraMs = idempotent || ejection.reason === "failures"
      ? 0
      : (UNSAFE_PROBE_FACTOR - 1) * ejection.backoffMs;
    return this.#clock.monotonicMs() >= ejection.untilMs + extraMs;
  }

  /** Records the start of a request; returns whether it is a probe of an ejected instance. */
  startRequest(): boolean {
    this.inFlight++;
    this.#unansweredSinceMs ??= this.#clock.monotonicMs();
    if (!this.ejected) return false;
    this.#probing = true;
    return true;
  }

  /** Records the end of a request. Only a probe changes the state of an ejected instance. */
  finishRequest(result: AttemptResult, probe: boolean): void {
    this.inFlight--;
    if (result.kind === "response") {
      this.#onResponse(result.latencyMs);
      if (probe) this.reinstate();
      return;
    }
    if (result.kind === "failure") this.#consecutiveFailures++;
    if (probe && this.#ejection !== undefined) {
      this.eject(this.#ejection.reason);
    }
  }

  /** Excludes the instance from routing until the next probe. */
  eject(reason: EjectionReason): void {
    this.#probing = false;
    const backoffMs = ejectionBackoffMs(++this.#ejectionsInRow);
    this.#ejection = {
      reason,
      untilMs: this.#clock.monotonicMs() + backoffMs,
      backoffMs,
    };
  }

  /** Ends the ejection and resets the health data. */
  reinstate(): void {
    this.#ejection = undefined;
    this.#probing = false;
    this.#consecutiveFailures = 0;
    this.#samples = 0;
    this.#unansweredSinceMs = undefined;
  }

  /** Returns the health data for the ejection decisions. */
  health(): InstanceHealth {
    return {
      vmId: this.instance.vmId,
      consecutiveFailures: this.#consecutiveFailures,
      latencyMs: this.#latencyMs,
      samples: this.#samples,
      silentMs: this.#unansweredSinceMs === undefined
        ? 0
        : this.#clock.monotonicMs() - this.#unansweredSinceMs,
      ejectedUntilMs: this.#ejection?.untilMs,
    };
  }

  /** Returns the state for the dump. */
  describe(): Record<string, unknown> {
    const { silentMs: _, ...health } = this.health();
    return {
      ...health,
      pool: this.instance.pool,
      share: this.share,
      inFlight: this.inFlight,
      active: this.active,
      ejectionReason: this.#ejection?.reason,
    };
  }

  #onResponse(latencyMs: number): void {
    this.#consecutiveFailures = 0;
    this.#unansweredSinceMs = this.inFlight > 0
      ? this.#clock.monotonicMs()
      : undefined;
    this.#latencyMs = this.#samples++ === 0
      ? latencyMs
      : this.#latencyMs + LATENCY_WEIGHT * (latencyMs - this.#latencyMs);
    if (!this.ejected && this.#samples > RECOVERY_SAMPLES) {
      this.#ejectionsInRow = 0;
    }
  }
}
