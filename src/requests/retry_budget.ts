/** Token bucket that limits a service's retries; a retry after a sent request costs one token. */
export interface RetryBudget {
  readonly tokens: number;
}

/** Capacity of a bucket, in tokens. */
const MAXIMUM_TOKENS = 20;

/** Returns the initial, half-full bucket of a service; empty when its budget is 0%. */
export function createRetryBudget(percent: number): RetryBudget {
  return { tokens: percent > 0 ? MAXIMUM_TOKENS / 2 : 0 };
}

/** Returns the bucket after a successful request, which adds `percent` hundredths of a token. */
export function refillRetryBudget(
  budget: RetryBudget,
  percent: number,
): RetryBudget {
  return { tokens: Math.min(MAXIMUM_TOKENS, budget.tokens + percent / 100) };
}

/** Inputs of the retry decision. */
export interface RetryInput {
  /** Whether any byte of any attempt may have reached a backend server. */
  readonly sent: boolean;
  readonly idempotent: boolean;
  readonly attempts: number;
  readonly remainingMs: number;
  /** Whether another instance can run the request. */
  readonly otherInstance: boolean;
  readonly budget: RetryBudget;
}

/** Whether a failed attempt is retried. */
export type RetryDecision =
  | { readonly kind: "retry"; readonly budget: RetryBudget }
  | {
    readonly kind: "stop";
    readonly reason:
      | "not_idempotent"
      | "attempts_used"
      | "deadline"
      | "no_other_instance"
      | "budget_empty";
  };

/** Maximum attempts per request, including the first. */
const MAXIMUM_ATTEMPTS = 3;

/**
 * Decides whether a failed attempt is retried on another instance. The retry
 * costs no token if nothing was sent, because such an attempt put no load on a
 * backend server.
 */
export function decideRetry(input: RetryInput): RetryDecision {
  if (input.sent && !input.idempotent) {
    return { kind: "stop", reason: "not_idempotent" };
  }
  if (input.attempts >= MAXIMUM_ATTEMPTS) {
    return { kind: "stop", reason: "attempts_used" };
  }
  if (input.remainingMs <= 0) return { kind: "stop", reason: "deadline" };
  if (!input.otherInstance) {
    return { kind: "stop", reason: "no_other_instance" };
  }
  if (!input.sent) return { kind: "retry", budget: input.budget };
  if (input.budget.tokens < 1) return { kind: "stop", reason: "budget_empty" };
  return { kind: "retry", budget: { tokens: input.budget.tokens - 1 } };
}
