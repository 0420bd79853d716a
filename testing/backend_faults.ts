import type { Random } from "./random.ts";

/** How a backend server stand-in misbehaves on one request. */
export type BackendFault =
  | { readonly kind: "slow"; readonly extraMs: number }
  | {
    /** Resets the connection instead of, or in the middle of, the response. */
    readonly kind: "reset";
    readonly at: "before_run" | "after_run" | "half_body";
  }
  /** Ends the connection in an orderly way before the announced body length. */
  | { readonly kind: "truncated_body" }
  /** Sends bytes of another response right after a complete one. */
  | { readonly kind: "extra_bytes" };

/** A fault with the share of requests that it hits. */
export interface FaultRate {
  readonly fault: BackendFault;
  /** From 0 to 1. */
  readonly rate: number;
}

/** Chooses the fault of one request; undefined for a healthy one. */
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
