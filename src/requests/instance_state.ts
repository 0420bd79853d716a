import type { Clock } from "../clock.ts";
import { BackendConnections } from "./backend_connections.ts";
import {
  ejectionBackoffMs,
  type EjectionReason,
  type InstanceHealth,
} from "./ejection.ts";
import type { Instance } from "./pool_views.ts";

/** How an attempt on an instance ended, as far as the instance's health is concerned. */
export type AttemptResult =
  | { readonly kind: "response"; readonly latencyMs: number }
  | { readonly kind: "failure" }
  /** Ended by the request's own deadline, which says little about the instance. */
  | { readonly kind: "timeout" };

/** Weight of the newest response in the smoothed response time. */
const LATENCY_WEIGHT = 0.1;
/** Responses after which an instance's earlier ejections don't count any more. */
const RECOVERY_SAMPLES = 20;
/** Factor to the backoff after which a request that isn't idempotent may probe. */
const UNSAFE_PROBE_FACTOR = 4;

interface EjectionState {
  readonly reason: EjectionReason;
  readonly untilMs: number;
  readonly backoffMs: number;
}

/** Requests in flight, health and connections of one instance, as this entry sees them. */
export class InstanceState {
  readonly connections: BackendConnections;
  instance: Instance;
  /** Slots that this entry may use. */
  share = 0;
  /** Whether the instance takes new work. */
  active = true;
  inFlight = 0;
  #clock: Clock;
  #consecutiveFailures = 0;
  #latencyMs = 0;
  #samples = 0;
  /** When the first request was sent that no response has followed. */
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

  get ejected(): boolean {
    return this.#ejection !== undefined;
  }

  freeSlots(): number {
    // A granted slot counts before its request takes a connection.
    return Math.min(this.share, this.connections.limit) - this.inFlight;
  }

  /** Whether an ejected instance may be tried with one request. */
  canProbe(idempotent: boolean): boolean {
    const ejection = this.#ejection;
    if (ejection === undefined || this.#probing) return false;
    // A failed connection attempt is repeated elsewhere, so any request may try that.
    const extraMs = idempotent || ejection.reason === "failures"
      ? 0
      : (UNSAFE_PROBE_FACTOR - 1) * ejection.backoffMs;
    return this.#clock.monotonicMs() >= ejection.untilMs + extraMs;
  }

  /** Counts a request in; returns whether it probes an ejected instance. */
  startRequest(): boolean {
    this.inFlight++;
    this.#unansweredSinceMs ??= this.#clock.monotonicMs();
    if (!this.ejected) return false;
    this.#probing = true;
    return true;
  }

  /** Counts a request out. Only a probe changes the state of an ejected instance. */
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

  eject(reason: EjectionReason): void {
    this.#probing = false;
    const backoffMs = ejectionBackoffMs(++this.#ejectionsInRow);
    this.#ejection = {
      reason,
      untilMs: this.#clock.monotonicMs() + backoffMs,
      backoffMs,
    };
  }

  reinstate(): void {
    this.#ejection = undefined;
    this.#probing = false;
    this.#consecutiveFailures = 0;
    this.#samples = 0;
    this.#unansweredSinceMs = undefined;
  }

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
