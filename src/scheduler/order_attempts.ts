import { assertNever } from "../errors.ts";
import type { OrderOutcome, OrderRefusal } from "./ports.ts";

/**
 * Whether the outcome of the latest attempt to send an order also proves what
 * becomes of earlier attempts that had no answer. Most refusals speak only for
 * their own attempt: a worker that is full or unhealthy now may still execute an
 * earlier one later.
 */
export function settlesEarlierAttempts(outcome: OrderOutcome): boolean {
  switch (outcome.kind) {
    case "done":
      // Repeating an executed order has no effect.
      return true;
    case "other_life":
      // Another worker has the address, and every attempt names the one that it is meant for.
      return true;
    case "not_sent":
    case "unknown":
      return false;
    case "refused":
      return refusesEarlierAttempts(outcome.reason);
    default:
      return assertNever(outcome);
  }
}

function refusesEarlierAttempts(reason: OrderRefusal): boolean {
  switch (reason) {
    case "fenced":
    case "superseded":
      // The worker keeps the fencing token and the run number because of which it refuses.
      return true;
    case "expired":
    case "no_room":
    case "ticket":
    case "unhealthy":
    case "invalid":
      return false;
    default:
      return assertNever(reason);
  }
}
