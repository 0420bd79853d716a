import { RetryableError, TaggedError } from "../errors.ts";

/** Why a call about jobs was refused; the call had no effect. */
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

/** A call about jobs that provably had no effect. */
export class JobRefusedError extends RetryableError<JobRefusalReason> {}

/** A call about jobs that may have taken effect; the key can be asked for again. */
export class JobOutcomeUnknownError extends TaggedError<"outcome_unknown"> {
  readonly kind = "outcome_unknown";
}
