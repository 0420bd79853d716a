import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { PlacementAdvisor } from "./ports.ts";

/** Maximum number of workers in one request; each one adds to the response time. */
const WORKERS_PER_CALL = 30;
/** A ticket isn't used in the last part of its validity, in ms, as storing the placement and sending the start order take that long. */
const EXPIRY_MARGIN_MS = 400;
/** Delay after a request without a response, in ms. */
const RETRY_DELAY_MS = 300;
/** Delay before the next request for a step that may run on none of the workers asked about, in ms. */
const EMPTY_RESPONSE_DELAY_MS = 2_000;

interface StepTickets {
  /** Tickets by worker ID; `usableUntilMs` is monotonic time. */
  tickets: Map<string, { ticket: string; usableUntilMs: number }>;
  /** Workers that the service was asked about; whether it allows a worker doesn't change. */
  askedWorkers: Set<string>;
  /** Monotonic time before which no further request is sent for the step, in ms. */
  nextCallAtMs: number;
}

/** Caches the tickets of the placement advice service, by step and worker. */
export interface TicketCache {
  /** Returns the workers with a valid ticket for the step; requests more tickets if there are none. */
  allowedWorkers(
    stepId: string,
    workerIds: readonly string[],
  ): ReadonlySet<string>;
  /** Returns the latest ticket of a step for a worker, which may have expired; undefined if there is none. */
  find(stepId: string, workerId: string): string | undefined;
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
  let isCalling = false;

  async function callPending(): Promise<void> {
    if (isCalling) return;
    isCalling = true;
    try {
      for (const [stepId, workerIds] of pendingSteps) {
        pendingSteps.delete(stepId);
        await requestTickets(stepId, workerIds);
      }
    } catch (error) {
      log.error("placement advice request failed", {
        reason: messageOf(error),
      });
    } finally {
      isCalling = false;
    }
  }

  async function requestTickets(
    stepId: string,
    workerIds: readonly string[],
  ): Promise<void> {
    const stepTickets = steps.get(stepId)!;
    const asked = workerIds.slice(0, WORKERS_PER_CALL);
    const response = await advice.advise(stepId, asked);
    const now = clock.monotonicMs();
    if (response === undefined) {
      stepTickets.nextCallAtMs = now + RETRY_DELAY_MS;
      return;
    }
    for (const workerId of asked) stepTickets.askedWorkers.add(workerId);
    for (const { workerId, ticket } of response.tickets) {
      stepTickets.tickets.set(workerId, {
        ticket,
        usableUntilMs: now + response.validityMs - EXPIRY_MARGIN_MS,
      });
    }
    stepTickets.nextCallAtMs = response.tickets.length > 0
      ? now
      : now + EMPTY_RESPONSE_DELAY_MS;
    log.debug("placement advice received", {
      step: stepId,
      asked: asked.length,
      allowed: response.tickets.length,
    });
    options.onChange();
  }

  return {
    allowedWorkers(stepId, workerIds) {
      const now = clock.monotonicMs();
      let stepTickets = steps.get(stepId);
      if (stepTickets === undefined) {
        stepTickets = {
          tickets: new Map(),
          askedWorkers: new Set(),
          nextCallAtMs: 0,
        };
        steps.set(stepId, stepTickets);
      }
      const validWorkers = new Set(
        workerIds.filter((id) =>
          (stepTickets.tickets.get(id)?.usableUntilMs ?? 0) > now
        ),
      );
      if (validWorkers.size === 0 && stepTickets.nextCallAtMs <= now) {
        // Workers with an expired ticket come first, as the service will grant them one again.
        const expired = workerIds.filter((id) => stepTickets.tickets.has(id));
        const notAsked = workerIds.filter((id) =>
          !stepTickets.askedWorkers.has(id)
        );
        const nextWorkers = expired.length > 0 ? expired : notAsked;
        if (nextWorkers.length > 0) {
          pendingSteps.set(stepId, nextWorkers);
          void callPending();
        }
      }
      return validWorkers;
    },
    find: (stepId, workerId) =>
      steps.get(stepId)?.tickets.get(workerId)?.ticket,
    forgetWorker(workerId) {
      for (const stepTickets of steps.values()) {
        stepTickets.tickets.delete(workerId);
        stepTickets.askedWorkers.delete(workerId);
      }
    },
  };
}
