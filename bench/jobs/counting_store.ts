import type { Lease, Store, VersionedValue } from "../../src/ports/store.ts";

/** In-memory store that never fails, keeps only the latest value of each key and counts its calls. */
export interface CountingStore extends Store {
  /** Number of value writes, without lease calls. */
  writes: number;
  /** Number of calls that acquire or renew a lease. */
  leaseCalls: number;
  /** Advances the simulated clock. */
  advance(ms: number): void;
}

/** Creates an empty store whose leases end by a simulated clock. */
export function createCountingStore(): CountingStore {
  const values = new Map<string, VersionedValue>();
  const leases = new Map<string, { lease: Lease; endMs: number }>();
  let nowMs = 0;
  const store: CountingStore = {
    writes: 0,
    leaseCalls: 0,
    advance(ms) {
      nowMs += ms;
    },
    get: (key) => Promise.resolve(values.get(key)),
    compareAndSwap({ key, expectedVersion, value }) {
      store.writes++;
      const version = values.get(key)?.version ?? 0;
      if (version !== expectedVersion) {
        return Promise.resolve({ kind: "conflict", version });
      }
      values.set(key, { value, version: version + 1 });
      return Promise.resolve({ kind: "swapped", version: version + 1 });
    },
    watch: () => Promise.resolve(undefined),
    acquireLease(name, { holder, ttlMs }) {
      store.leaseCalls++;
      const current = leases.get(name);
      const isActive = current !== undefined && current.endMs > nowMs;
      if (isActive && current.lease.holder !== holder) {
        return Promise.resolve({ kind: "held", holder: current.lease.holder });
      }
      const fencingToken = (current?.lease.fencingToken ?? 0) +
        (isActive ? 0 : 1);
      const lease = { name, holder, ttlMs, fencingToken };
      leases.set(name, { lease, endMs: nowMs + ttlMs });
      return Promise.resolve({ kind: "granted", lease });
    },
    releaseLease: () => Promise.resolve(),
  };
  return store;
}
