import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { PlacementAdvisor } from "./ports.ts";

/** Maximum number of workers in one request; each one adds to the response time. */
const WORKERS_PER_CALL = 30;
/** A ticket isn't used in the last part of its validity, in ms, as storing the placement and sending the start order take that long. */
const EXPIRY_MARGIN_MS = 400;
/** Time after which the tickets of a step that has no waiting tasks are dropped, in ms. */
const UNUSED_STEP_MS = 60_000;
/** Delay after a request without a response, in ms. */
const RETRY_DELAY_MS = 300;

interface StepTickets {
  /** Tickets by worker ID; `usableUntilMs` is monotonic time. */
  tickets: Map<string, { ticket: string; usableUntilMs: number }>;
  /** Workers that the service was asked about; whether it allows a worker doesn't change during the worker's life. */
  askedWorkers: Set<string>;
  /** Monotonic time before which no further request is sent for the step, in ms. */
  nextCallAtMs: number;
  /** Monotonic time of the latest planning round in which the step had waiting tasks, in ms. */
  usedAtMs: number;
}

/** Caches the tickets of the placement advice service, by step and worker. */
export interface TicketCache {
  /** Number of steps with cached tickets. */
  readonly size: () => number;
  /** Returns the workers with a valid ticket for the step. */
  allowedWorkers(
    stepId: string,
    workerIds: readonly string[],
  ): ReadonlySet<string>;
  /** Requests tickets for a step, except for workers that have a valid one or may not run it. */
  request(stepId: string, workerIds: readonly string[]): void;
  /** Returns the latest ticket of a step for a worker, which may have expired; undefined if there is none. */
  find(stepId: string, workerId: string): string | undefined;
  /** Drops a ticket that the worker has refused, so that the service is asked again. */
  drop(stepId: string, workerId: string): void;
  /** Drops a worker's tickets, so that the service is asked about it again. */
  forgetWorker(workerId: string): void;
}

/** Creates a ticket cache; it sends one request at a time, as the service handles one per caller. */
export function createTicketCache(options: {
  readonly advice: PlacementAdvisor;
  readonly clock: Clock;
  readonly log: Logger;
  readonly onChange: () => void;
}): TicketCache {
  const { advice, clock, log } = options;
  const steps = new Map<string, StepTickets>();
  const pendingSteps = new Map<string, readonly string[]>();
  /** The request in progress. */
  let call: {
    readonly stepId: string;
    /** Workers that have ended since, so that the response doesn't apply to their next process. */
    readonly endedWorkers: Set<string>;
  } | undefined;

  async function callPending(): Promise<void> {
    if (call !== undefined) return;
    try {
      for (const [stepId, workerIds] of pendingSteps) {
        pendingSteps.delete(stepId);
        const endedWorkers = new Set<string>();
        call = { stepId, endedWorkers };
        await requestTickets(stepId, workerIds, endedWorkers);
      }
    } catch (error) {
      log.error("placement advice request failed", {
        reason: messageOf(error),
      });
    } finally {
      call = undefined;
    }
  }

  async function requestTickets(
    stepId: string,
    workerIds: readonly string[],
    endedWorkers: ReadonlySet<string>,
  ): Promise<void> {
    const stepTickets = findStep(stepId);
    const asked = workerIds.slice(0, WORKERS_PER_CALL);
    const response = await advice.advise(stepId, asked);
    const now = clock.monotonicMs();
    if (response === undefined) {
      stepTickets.nextCallAtMs = now + RETRY_DELAY_MS;
      return;
    }
    dropUnusedSteps();
    for (const workerId of asked) {
      if (!endedWorkers.has(workerId)) stepTickets.askedWorkers.add(workerId);
    }
    for (const { workerId, ticket } of response.tickets) {
      if (endedWorkers.has(workerId)) continue;
      stepTickets.tickets.set(workerId, {
        ticket,
        usableUntilMs: now + response.validityMs - EXPIRY_MARGIN_MS,
      });
    }
    log.debug("placement advice received", {
      step: stepId,
      asked: asked.length,
      allowed: response.tickets.length,
    });
    options.onChange();
  }

  function findStep(stepId: string): StepTickets {
    const stepTickets = steps.get(stepId) ?? {
      tickets: new Map(),
      askedWorkers: new Set(),
      nextCallAtMs: 0,
      usedAtMs: 0,
    };
    stepTickets.usedAtMs = clock.monotonicMs();
    // The least recently used step comes first.
    steps.delete(stepId);
    steps.set(stepId, stepTickets);
    return stepTickets;
  }

  function dropUnusedSteps(): void {
    const limitMs = clock.monotonicMs() - UNUSED_STEP_MS;
    for (const [stepId, { usedAtMs }] of steps) {
      if (usedAtMs > limitMs) return;
      steps.delete(stepId);
    }
  }

  return {
    size: () => steps.size,
    allowedWorkers(stepId, workerIds) {
      const now = clock.monotonicMs();
      const { tickets } = findStep(stepId);
      return new Set(
        workerIds.filter((id) => (tickets.get(id)?.usableUntilMs ?? 0) > now),
      );
    },
    request(stepId, workerIds) {
      const now = clock.monotonicMs();
      const { tickets, askedWorkers, nextCallAtMs } = findStep(stepId);
      if (nextCallAtMs > now || call?.stepId === stepId) return;
      const expired = workerIds.filter((id) =>
        (tickets.get(id)?.usableUntilMs ?? Infinity) <= now
      );
      const notAsked = workerIds.filter((id) => !askedWorkers.has(id));
      // Workers with an expired ticket come first, as the service will grant them one again.
      const next = [...expired, ...notAsked];
      if (next.length === 0) return;
      pendingSteps.set(stepId, next);
      void callPending();
    },
    find: (stepId, workerId) =>
      steps.get(stepId)?.tickets.get(workerId)?.ticket,
    drop(stepId, workerId) {
      const stepTickets = steps.get(stepId);
      stepTickets?.tickets.delete(workerId);
      stepTickets?.askedWorkers.delete(workerId);
    },
    forgetWorker(workerId) {
      call?.endedWorkers.add(workerId);
      for (const stepTickets of steps.values()) {
        stepTickets.tickets.delete(workerId);
        stepTickets.askedWorkers.delete(workerId);
      }
    },
  };
}
