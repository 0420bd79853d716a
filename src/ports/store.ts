/** A value in the platform's store. */
export interface VersionedValue {
  readonly value: string;
  /** Grows with each write of the key; 0 stands for a key that doesn't exist. */
  readonly version: number;
}

/** Result of a compare-and-swap. */
export type SwapResult =
  | { readonly kind: "swapped"; readonly version: number }
  | { readonly kind: "conflict"; readonly version: number };

/** A lease held in the store. */
export interface Lease {
  readonly name: string;
  readonly holder: string;
  /** Grows each time that the lease changes hands. */
  readonly fencingToken: number;
  /** Time to live from the moment the request was sent, in ms. */
  readonly ttlMs: number;
}

/** Result of asking for a lease. */
export type LeaseResult =
  | { readonly kind: "granted"; readonly lease: Lease }
  | { readonly kind: "held"; readonly holder: string };

/** A compare-and-swap with its precondition. */
export interface SwapRequest {
  readonly key: string;
  /** Version that the key must have; 0 when it must not exist. */
  readonly expectedVersion: number;
  readonly value: string;
}

/** The platform's key-value store. Each method rejects with a `StoreError`. */
export interface Store {
  /** Resolves with the value, or with undefined when there is none; may show an older value than the latest. */
  get(key: string, signal?: AbortSignal): Promise<VersionedValue | undefined>;
  /** Writes if the key has the expected version. After `unknown_outcome`, repeating the same request is safe: at most one of the two takes effect. */
  compareAndSwap(
    request: SwapRequest,
    signal?: AbortSignal,
  ): Promise<SwapResult>;
  /** Resolves with the entry once its version differs from `afterVersion`, or with undefined after the wait time. An absent key has version 0 and an empty value. */
  watch(
    key: string,
    options: { afterVersion: number; waitMs: number; signal?: AbortSignal },
  ): Promise<VersionedValue | undefined>;
  /** Acquires a free or lapsed lease, or renews one that the holder still has. */
  acquireLease(
    name: string,
    options: { holder: string; ttlMs: number; signal?: AbortSignal },
  ): Promise<LeaseResult>;
  /** Frees a lease that the holder has; without effect otherwise. */
  releaseLease(name: string, holder: string): Promise<void>;
}
