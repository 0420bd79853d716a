import { RetryableError, TaggedError } from "../errors.ts";

/** Why a job request was rejected. A rejected request had no effect. */
export type JobRefusalReason =
  | "store_unavailable"
  | "shard_full"
  | "not_owner"
  | "owner_unreachable"
  | "malformed_key"
  | "expired_key"
  | "key_reused"
  | "unknown_job"
  | "unknown_pool"
  | "unknown_team"
  | "invalid_job";

/** Thrown if a job request provably had no effect. */
export class JobRefusedError extends RetryableError<JobRefusalReason> {}

/**
 * Thrown if a job request may have taken effect. Retrying it with the same key
 * shows whether it did.
 */
export class JobOutcomeUnknownError extends TaggedError<"outcome_unknown"> {
  readonly kind = "outcome_unknown";
}
