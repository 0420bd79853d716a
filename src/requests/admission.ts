import type { Clock } from "../clock.ts";
import type { ServiceConfig } from "../config/schema.ts";
import type { ServiceLoad } from "../peers/messages.ts";
import {
  addArrival,
  type ArrivalRate,
  createArrivalRate,
  estimateDemandSlots,
} from "./demand.ts";
import type { AttemptResult } from "./instance_state.ts";
import { NotRunError } from "./outcome.ts";
import type { Router, SlotGrant } from "./router.ts";
import { ServiceTimes } from "./service_times.ts";
import {
  addRetryJitter,
  decideShedding,
  estimateWaitMs,
  findUnreachableDeadlines,
} from "./shedding.ts";

/** A request that needs a slot of a backend server. */
export interface AdmissionRequest {
  readonly service: ServiceConfig;
  readonly idempotent: boolean;
  /** Monotonic time by which the request must be answered, in ms. */
  readonly deadlineAtMs: number;
  /** Ids of the VMs on which an attempt of this request has failed. */
  readonly excluded: ReadonlySet<string>;
  /** Returns whether the caller has disconnected and doesn't need the outcome. */
  readonly isAbandoned: () => boolean;
}

/** Result of an admission: a slot, or a refusal. */
export type Admission =
  | { readonly kind: "granted"; readonly grant: SlotGrant }
  | {
    readonly kind: "refused";
    readonly error: NotRunError;
    /** Inputs of the decision, shown in the dump. */
    readonly details: Record<string, unknown> | undefined;
  };

/** Dependencies and limits of the admission queues. */
export interface AdmissionOptions {
  readonly router: () => Router;
  readonly maximumQueued: number;
  readonly clock: Clock;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Called when a request is added to empty queues. */
  readonly onQueued: () => void;
  /** Called when the first request arrives after `isIdle` returned true. */
  readonly onActive: () => void;
}

/** Time without requests after which an entry is idle, in ms; by then the smoothed arrival rates have decayed to about 0. */
const IDLE_AFTER_MS = 5_000;

/** A request in an admission queue. */
interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly resolve: (admission: Admission) => void;
}

/** Queue and load of one service. */
interface ServiceState {
  readonly name: string;
  readonly serviceTimes: ServiceTimes;
  waiting: QueuedRequest[];
  inFlight: number;
  arrivals: ArrivalRate;
}

/** Suggested retry delay when no estimate is available, in ms. */
const UNKNOWN_RETRY_MS = 1_000;

/** Admission queues of one entry, one queue per service. */
export class AdmissionQueues {
  #options: AdmissionOptions;
  #services = new Map<string, ServiceState>();
  #queued = 0;
  #dispatching = false;
  #lastArrivalAtMs = -Infinity;
  #idle = false;

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Number of requests that wait for a slot, over all services. */
  get queued(): number {
    return this.#queued;
  }

  /** Returns whether no request has arrived recently and none is queued or in flight. */
  isIdle(): boolean {
    const nowMs = this.#options.clock.monotonicMs();
    this.#idle = this.#queued === 0 &&
      nowMs - this.#lastArrivalAtMs >= IDLE_AFTER_MS &&
      [...this.#services.values()].every(({ inFlight }) => inFlight === 0);
    return this.#idle;
  }

  /** Returns whether requests of a service are queued. */
  hasQueuedRequests(service: string): boolean {
    return (this.#services.get(service)?.waiting.length ?? 0) > 0;
  }

  /** Updates the service's arrival rate and ends the idle state. */
  recordArrival(service: string): void {
    const state = this.#getState(service);
    const nowMs = this.#options.clock.monotonicMs();
    state.arrivals = addArrival(state.arrivals, nowMs);
    this.#lastArrivalAtMs = nowMs;
    if (!this.#idle) return;
    this.#idle = false;
    this.#options.onActive();
  }

  /** Grants a slot or refuses the request at once if possible; otherwise queues it and resolves when it leaves the queue. */
  acquire(request: AdmissionRequest): Admission | Promise<Admission> {
    const state = this.#getState(request.service.name);
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs >= request.deadlineAtMs) return this.#refuseExpired();
    if (state.waiting.length === 0) {
      const grant = this.#tryAcquire(state, request);
      if (grant !== undefined) return { kind: "granted", grant };
    }
    const router = this.#options.router();
    if (!router.hasInstance(state.name, request.excluded)) {
      return this.#refuse("no_instance", {
        message: "No instance takes requests of the service",
        retryAfterMs: UNKNOWN_RETRY_MS,
      });
    }
    const refusal = this.#checkShedding(state, request, {
      ahead: state.waiting.length,
      queued: this.#queued,
    });
    if (refusal !== undefined) return refusal;
    return new Promise((resolve) => {
      state.waiting.push({ request, resolve });
      if (++this.#queued === 1) this.#options.onQueued();
    });
  }

  /** Releases a slot and starts queued requests that can use it. */
  release(grant: SlotGrant, result: AttemptResult): void {
    const state = this.#getState(grant.service);
    state.inFlight--;
    if (result.kind === "response") state.serviceTimes.record(result.latencyMs);
    this.#options.router().release(grant, result);
    this.dispatchWaiting(grant.ownService);
  }

  /** Starts queued requests while slots are free, beginning with those of the given service. */
  dispatchWaiting(firstService?: string): void {
    if (this.#queued === 0 || this.#dispatching) return;
    this.#dispatching = true;
    try {
      const first = this.#services.get(firstService ?? "");
      if (first !== undefined) this.#dispatchService(first);
      for (const state of this.#services.values()) this.#dispatchService(state);
    } finally {
      this.#dispatching = false;
    }
  }

  /** Refuses the queued requests that can no longer meet their deadline. */
  refuseUnreachableDeadlines(): void {
    if (this.#queued === 0) return;
    const nowMs = this.#options.clock.monotonicMs();
    for (const state of this.#services.values()) {
      if (state.waiting.length === 0) continue;
      const { meanMs, slowMs } = state.serviceTimes.estimates();
      const unreachable = findUnreachableDeadlines({
        remainingMs: state.waiting.map(({ request }) =>
          request.deadlineAtMs - nowMs
        ),
        slotsHeld: state.inFlight,
        meanServiceMs: meanMs,
        slowServiceMs: slowMs,
      });
      if (unreachable.size === 0) continue;
      const removed = state.waiting.filter((_, position) =>
        unreachable.has(position)
      );
      state.waiting = state.waiting.filter((_, position) =>
        !unreachable.has(position)
      );
      for (const queuedRequest of removed) {
        const remainingMs = queuedRequest.request.deadlineAtMs - nowMs;
        this.#settle(
          queuedRequest,
          this.#refuseUnreachable(state, remainingMs),
        );
      }
    }
    this.dispatchWaiting();
  }

  /** Returns the load of each service, as sent to peers. */
  load(services: readonly ServiceConfig[]): Record<string, ServiceLoad> {
    const nowMs = this.#options.clock.monotonicMs();
    return Object.fromEntries(services.map(({ name }) => {
      const state = this.#getState(name);
      const { inFlight, waiting, arrivals } = state;
      const demandSlots = estimateDemandSlots({
        rate: arrivals,
        nowMs,
        meanServiceMs: state.serviceTimes.estimates().meanMs,
        inFlight,
        waiting: waiting.length,
      });
      return [name, {
        inFlight,
        waiting: waiting.length,
        demandSlots: Math.round(demandSlots * 100) / 100,
      }];
    }));
  }

  /** Returns the state of the queues for the dump. */
  describe(): unknown {
    return Object.fromEntries(
      [...this.#services.values()].map((state) => {
        const { meanMs, slowMs } = state.serviceTimes.estimates();
        return [state.name, {
          waiting: state.waiting.length,
          inFlight: state.inFlight,
          meanServiceMs: meanMs,
          slowServiceMs: slowMs,
        }];
      }),
    );
  }

  #getState(name: string): ServiceState {
    let state = this.#services.get(name);
    if (state === undefined) {
      state = {
        name,
        serviceTimes: new ServiceTimes(this.#options.clock),
        waiting: [],
        inFlight: 0,
        arrivals: createArrivalRate(this.#options.clock.monotonicMs()),
      };
      this.#services.set(name, state);
    }
    return state;
  }

  #tryAcquire(
    state: ServiceState,
    request: AdmissionRequest,
  ): SlotGrant | undefined {
    const grant = this.#options.router().acquire({
      service: state.name,
      idempotent: request.idempotent,
      excluded: request.excluded,
    });
    if (grant !== undefined) state.inFlight++;
    return grant;
  }

  #dispatchService(state: ServiceState): void {
    while (state.waiting.length > 0) {
      const queuedRequest = state.waiting[0]!;
      const { request } = queuedRequest;
      if (request.isAbandoned()) {
        state.waiting.shift();
        this.#settle(queuedRequest, this.#refuseAbandoned());
        continue;
      }
      const remainingMs = request.deadlineAtMs -
        this.#options.clock.monotonicMs();
      // Running a request that can't finish in time would waste a slot.
      if (remainingMs < state.serviceTimes.estimates().meanMs) {
        state.waiting.shift();
        this.#settle(
          queuedRequest,
          this.#refuseUnreachable(state, remainingMs),
        );
        continue;
      }
      const grant = this.#tryAcquire(state, request);
      if (grant === undefined) return;
      state.waiting.shift();
      this.#settle(queuedRequest, { kind: "granted", grant });
    }
  }

  #settle(queuedRequest: QueuedRequest, admission: Admission): void {
    this.#queued--;
    queuedRequest.resolve(admission);
  }

  #checkShedding(
    state: ServiceState,
    request: AdmissionRequest,
    counts: { readonly ahead: number; readonly queued: number },
  ): Admission | undefined {
    const { meanMs, slowMs } = state.serviceTimes.estimates();
    const input = {
      ...counts,
      slotsHeld: state.inFlight,
      meanServiceMs: meanMs,
      slowServiceMs: slowMs,
      remainingMs: request.deadlineAtMs - this.#options.clock.monotonicMs(),
      maximumQueued: this.#options.maximumQueued,
    };
    const decision = decideShedding(input);
    if (decision.kind === "wait") return undefined;
    return this.#refuse(decision.reason, {
      message: decision.reason === "queue_full"
        ? "The queue is full"
        : "The deadline can't be met",
      retryAfterMs: decision.retryAfterMs,
      details: { ...input, waitMs: decision.waitMs },
    });
  }

  #refuseUnreachable(state: ServiceState, remainingMs: number): Admission {
    const { meanMs } = state.serviceTimes.estimates();
    const waitMs = estimateWaitMs({
      ahead: state.waiting.length,
      slotsHeld: state.inFlight,
      meanServiceMs: meanMs,
    });
    return this.#refuse("deadline_unreachable", {
      message: "The deadline can't be met",
      retryAfterMs: waitMs,
      details: { remainingMs, meanServiceMs: meanMs, waitMs },
    });
  }

  #refuseExpired(): Admission {
    return this.#refuse("deadline_expired", {
      message: "The deadline has passed",
      retryAfterMs: 0,
    });
  }

  #refuseAbandoned(): Admission {
    return this.#refuse("caller_gone", {
      message: "The caller closed its connection",
      retryAfterMs: 0,
    });
  }

  #refuse(
    reason:
      | "caller_gone"
      | "no_instance"
      | "queue_full"
      | "deadline_unreachable"
      | "deadline_expired",
    options: {
      readonly message: string;
      readonly retryAfterMs: number;
      readonly details?: Record<string, unknown>;
    },
  ): Admission {
    const retryAfterMs = addRetryJitter(
      options.retryAfterMs,
      this.#options.random(),
    );
    return {
      kind: "refused",
      error: new NotRunError(reason, options.message, retryAfterMs),
      details: options.details,
    };
  }
}
