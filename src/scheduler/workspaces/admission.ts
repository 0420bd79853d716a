/** Decision about a submission, made by the owner before an entry stores the job. */
export type AdmissionDecision =
  /** `excess` marks a job beyond what its workspace is owed; it comes after the others while the pool is full. */
  | { readonly kind: "admitted"; readonly excess: boolean }
  | {
    readonly kind: "refused";
    readonly reason: "share" | "overload";
    /** Time after which the caller should return, in ms. */
    readonly retryAfterMs: number;
  };
