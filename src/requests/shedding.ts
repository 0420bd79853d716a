/** Inputs of the decision about a request that can't start at once. */
export interface SheddingInput {
  /** Queued requests of the service ahead of this one. */
  readonly ahead: number;
  /** Requests of the service in flight; equal to its usable slots, because requests are only queued while all slots are in use. */
  readonly slotsHeld: number;
  readonly meanServiceMs: number;
  /** High quantile of the service time, in ms. */
  readonly slowServiceMs: number;
  /** Time left until the deadline, in ms. */
  readonly remainingMs: number;
  /** Queued requests of all services. */
  readonly queued: number;
  /** Maximum of `queued`. */
  readonly maximumQueued: number;
}

/** Whether a request is queued or refused. */
export type SheddingDecision =
  | { readonly kind: "wait"; readonly waitMs: number }
  | {
    readonly kind: "refuse";
    readonly reason: "queue_full" | "deadline_unreachable";
    readonly waitMs: number;
    /** Time until the queue is expected to be short enough, without jitter, in ms. */
    readonly retryAfterMs: number;
  };

/** Expected time until an entry without slots is assigned some after the next digests, in ms. */
const SHARE_WAIT_MS = 500;
/**
 * Maximum estimated wait of a queued request, as a fraction of the remaining
 * time less the slow service time. Estimates are uncertain, a request that is
 * refused after a long wait has wasted its caller's time, and a longer queue
 * doesn't increase throughput.
 */
const QUEUE_TIME_FRACTION = 0.5;
/** Minimum suggested retry delay, in ms. */
const MINIMUM_RETRY_MS = 20;

/** Estimates the time until a request with `ahead` requests before it in the queue starts, in ms. */
export function estimateWaitMs(
  input: Pick<SheddingInput, "ahead" | "slotsHeld" | "meanServiceMs">,
): number {
  if (input.slotsHeld === 0) {
    return SHARE_WAIT_MS + input.ahead * input.meanServiceMs;
  }
  return (input.ahead + 1) * input.meanServiceMs / input.slotsHeld;
}

/** Inputs of the deadline check for a whole queue. */
export interface QueueCheckInput {
  /** Time left until the deadline of each queued request, in queue order, in ms. */
  readonly remainingMs: Iterable<number>;
  readonly slotsHeld: number;
  readonly meanServiceMs: number;
  readonly slowServiceMs: number;
}

/** Returns the positions of the queued requests that can no longer meet their deadline. */
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

/** Decides whether a request is queued for a slot or refused at once. */
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
      // The queue is short enough once the excess has drained, and at the latest when it is empty.
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

/** Extends a retry delay by up to 50% to spread retries; `random` is in [0, 1). */
export function addRetryJitter(retryAfterMs: number, random: number): number {
  return Math.ceil(retryAfterMs * (1 + random / 2));
}
