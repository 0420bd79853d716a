import type { Random } from "./random.ts";

/** A fault that a fake backend server injects into one request. */
export type BackendFault =
  /** Adds `extraMs` to the service time of the request. */
  | { readonly kind: "slow"; readonly extraMs: number }
  | {
    /** Resets the connection before the request runs, after it has run, or halfway through the response body. */
    readonly kind: "reset";
    readonly at: "before_run" | "after_run" | "half_body";
  }
  /** Closes the connection without a reset before the body reaches its `content-length`. */
  | { readonly kind: "truncated_body" }
  /** Sends a second response right after the complete first one. */
  | { readonly kind: "extra_bytes" };

/** A fault and the fraction of requests that it affects. */
export interface FaultRate {
  readonly fault: BackendFault;
  /** Between 0 and 1. */
  readonly rate: number;
}

/** Picks the fault for one request at random, or undefined for no fault. */
export function chooseFault(
  faults: readonly FaultRate[],
  random: Random,
): BackendFault | undefined {
  if (faults.length === 0) return undefined;
  let remaining = random.next();
  for (const { fault, rate } of faults) {
    if (remaining < rate) return fault;
    remaining -= rate;
  }
  return undefined;
}
