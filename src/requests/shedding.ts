/** What is known when a request can't start at once. */
export interface SheddingInput {
  /** Requests of the service that wait before this one. */
  readonly ahead: number;
  /** Requests of the service in flight; a queue only forms while every usable slot is taken. */
  readonly slotsHeld: number;
  readonly meanServiceMs: number;
  /** High quantile of the service time, in ms. */
  readonly slowServiceMs: number;
  /** Time left until the deadline, in ms. */
  readonly remainingMs: number;
  /** Waiting requests of all services, and how many may wait. */
  readonly queued: number;
  readonly maximumQueued: number;
}

/** Whether a request may wait. */
export type SheddingDecision =
  | { readonly kind: "wait"; readonly waitMs: number }
  | {
    readonly kind: "refuse";
    readonly reason: "queue_full" | "deadline_unreachable";
    readonly waitMs: number;
    /** Time in which the queue gets short enough, without jitter, in ms. */
    readonly retryAfterMs: number;
  };

/** Time in which an entry without slots gets a share from the next digests, in ms. */
const SHARE_WAIT_MS = 500;
/**
 * Part of the time left that a request may be expected to wait. Estimates are
 * uncertain, a request that is refused after a long wait has cost its caller
 * that time, and a longer queue answers no more requests.
 */
const QUEUE_TIME_FRACTION = 0.5;
/** Shortest time after which a retry is useful, in ms. */
const MINIMUM_RETRY_MS = 20;

/** Returns the time until a request with so many others before it starts, in ms. */
export function estimateWaitMs(
  input: Pick<SheddingInput, "ahead" | "slotsHeld" | "meanServiceMs">,
): number {
  if (input.slotsHeld === 0) {
    return SHARE_WAIT_MS + input.ahead * input.meanServiceMs;
  }
  return (input.ahead + 1) * input.meanServiceMs / input.slotsHeld;
}

/** What a review of a whole queue depends on. */
export interface QueueCheckInput {
  /** Time left of each waiting request, first in the queue first, in ms. */
  readonly remainingMs: Iterable<number>;
  readonly slotsHeld: number;
  readonly meanServiceMs: number;
  readonly slowServiceMs: number;
}

/** Returns the positions of the waiting requests that can't meet their deadline any more. */
export function findUnreachableDeadlines(input: QueueCheckInput): Set<number> {
  const unreachable = new Set<number>();
  const { slotsHeld, meanServiceMs, slowServiceMs } = input;
  const firstFinishMs = estimateWaitMs({ ahead: 0, slotsHeld, meanServiceMs }) +
    slowServiceMs;
  const stepMs = meanServiceMs / Math.max(1, slotsHeld);
  let position = 0;
  let ahead = 0;
  for (const remainingMs of input.remainingMs) {
    if (firstFinishMs + ahead * stepMs > remainingMs) unreachable.add(position);
    else ahead++;
    position++;
  }
  return unreachable;
}

/** Decides whether a request may wait for a slot or is refused at once. */
export function decideShedding(input: SheddingInput): SheddingDecision {
  const waitMs = estimateWaitMs(input);
  const acceptableWaitMs = (input.remainingMs - input.slowServiceMs) *
    QUEUE_TIME_FRACTION;
  const excessMs = waitMs - acceptableWaitMs;
  if (excessMs > 0) {
    return {
      kind: "refuse",
      reason: "deadline_unreachable",
      waitMs,
      // The queue is short enough once the excess has drained, at most when it is empty.
      retryAfterMs: Math.max(MINIMUM_RETRY_MS, Math.min(excessMs, waitMs)),
    };
  }
  if (input.queued >= input.maximumQueued) {
    return {
      kind: "refuse",
      reason: "queue_full",
      waitMs,
      retryAfterMs: Math.max(MINIMUM_RETRY_MS, waitMs / 2),
    };
  }
  return { kind: "wait", waitMs };
}

/** Spreads retries over half as much time again; `random` is in [0, 1). */
export function addRetryJitter(retryAfterMs: number, random: number): number {
  return Math.ceil(retryAfterMs * (1 + random / 2));
}
