/** A value in the platform's store and its version. */
export interface VersionedValue {
  readonly value: string;
  /** Grows with each write of the key; 0 means that the key doesn't exist. */
  readonly version: number;
}

/** Result of a compare-and-swap. */
export type SwapResult =
  | { readonly kind: "swapped"; readonly version: number }
  | { readonly kind: "conflict"; readonly version: number };

/** A lease in the platform's store that its holder has acquired. */
export interface Lease {
  readonly name: string;
  readonly holder: string;
  /** Grows each time the lease passes to another holder. */
  readonly fencingToken: number;
  /** Time to live, counted from when the holder sent its request, in ms. */
  readonly ttlMs: number;
}

/** Result of acquiring or renewing a lease. */
export type LeaseResult =
  | { readonly kind: "granted"; readonly lease: Lease }
  | { readonly kind: "held"; readonly holder: string };

/** A write with the version that it expects. */
export interface SwapRequest {
  readonly key: string;
  /** Version that the key must have; 0 if the key must not exist. */
  readonly expectedVersion: number;
  readonly value: string;
}

/** The platform's key-value store. Each method rejects with a `StoreError`. */
export interface Store {
  /** Resolves with the value, or with undefined if the key doesn't exist. The read may be stale. */
  get(key: string, signal?: AbortSignal): Promise<VersionedValue | undefined>;
  /**
   * Writes the value if the key has the expected version. After
   * `unknown_outcome` the same request may be repeated: at most one of the two
   * takes effect.
   */
  compareAndSwap(
    request: SwapRequest,
    signal?: AbortSignal,
  ): Promise<SwapResult>;
  /**
   * Resolves with the value once its version differs from `afterVersion`, or
   * with undefined after the wait time. A key that doesn't exist has version 0
   * and an empty value.
   */
  watch(
    key: string,
    options: { afterVersion: number; waitMs: number; signal?: AbortSignal },
  ): Promise<VersionedValue | undefined>;
  /** Acquires a free or expired lease, or renews a lease of the same holder. */
  acquireLease(
    name: string,
    options: { holder: string; ttlMs: number; signal?: AbortSignal },
  ): Promise<LeaseResult>;
  /** Releases the lease; no effect if another holder has it. */
  releaseLease(name: string, holder: string): Promise<void>;
}
