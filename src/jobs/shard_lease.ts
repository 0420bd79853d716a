import type { Clock } from "../clock.ts";
import type { Store } from "../ports/store.ts";

/**
 * Time to live of a shard's lease, in ms. Bounds the time without a dispatcher
 * after its entry has crashed.
 */
const LEASE_TTL_MS = 3_000;
/** Time between two renewals of a shard's lease, in ms. */
const LEASE_RENEW_MS = 1_000;
/**
 * Part of the lease reserved for commands in flight, in ms. No command is sent
 * in this last part.
 */
const LEASE_MARGIN_MS = 500;

/** Options of a shard's lease. */
export interface ShardLeaseOptions {
  readonly store: Store;
  /** Store key of the shard. */
  readonly key: string;
  /** Id of this entry as the lease holder. */
  readonly holder: string;
  readonly clock: Clock;
  /** Called after each response of the store to a renewal. */
  readonly onResponse: () => void;
  /**
   * Called when the shard must no longer be used as loaded: another dispatcher
   * may own it or may have owned it, or the lease is released.
   */
  readonly onLost: () => void;
}

/** The lease of one shard, for a dispatcher of this entry. */
export class ShardLease {
  #options: ShardLeaseOptions;
  #lease: { token: number; renewedAtMs: number } | undefined;
  #released = false;

  constructor(options: ShardLeaseOptions) {
    this.#options = options;
  }

  /** Returns whether the lease is held for long enough to send commands. */
  isValid(): boolean {
    return !this.#released && this.#ageMs() < LEASE_TTL_MS - LEASE_MARGIN_MS;
  }

  /**
   * Acquires the lease, or renews it when that is due; returns whether it is
   * held. Rejects with a `StoreError` if the store can't be reached.
   */
  async ensure(): Promise<boolean> {
    if (this.#released) return false;
    if (this.#ageMs() < LEASE_RENEW_MS) return true;
    const { store, key, holder, clock, onResponse, onLost } = this.#options;
    const renewedAtMs = clock.monotonicMs();
    const result = await store.acquireLease(key, {
      holder,
      ttlMs: LEASE_TTL_MS,
    });
    onResponse();
    // The dispatcher was released during the call; the lease must not be kept.
    if (this.#released && result.kind === "granted") await this.release();
    if (this.#released) return false;
    if (result.kind === "held") {
      onLost();
      this.#lease = undefined;
      return false;
    }
    const token = result.lease.fencingToken;
    // A new token means that the lease had expired, and another dispatcher may
    // have owned the shard in between.
    if (this.#lease?.token !== token) onLost();
    this.#lease = { token, renewedAtMs };
    return true;
  }

  /**
   * Releases the lease and never acquires it again. A failure of the store is
   * ignored, because the lease expires anyway.
   */
  async release(): Promise<void> {
    const { store, key, holder, onLost } = this.#options;
    this.#released = true;
    onLost();
    this.#lease = undefined;
    await store.releaseLease(key, holder).catch(() => {});
  }

  #ageMs(): number {
    return this.#options.clock.monotonicMs() -
      (this.#lease?.renewedAtMs ?? -Infinity);
  }
}
