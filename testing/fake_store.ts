import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { MAXIMUM_STORE_VALUE_BYTES } from "../src/constants.ts";
import { StoreError } from "../src/errors.ts";
import type {
  LeaseResult,
  Store,
  SwapRequest,
  SwapResult,
  VersionedValue,
} from "../src/ports/store.ts";

/** Faults of the fake store. Each counter decreases by one with each fault that it injects. */
export interface FakeStoreFaults {
  /** Rejects every call with `unavailable` and without effect. */
  unavailable: boolean;
  /** Number of upcoming writes that take effect but reject with `unknown_outcome`. */
  loseAnswers: number;
  /** Number of upcoming writes that have no effect and reject with `unknown_outcome`. */
  dropWrites: number;
  /** Number of upcoming reads that return the value before the latest write. */
  staleReads: number;
}

/** Probability of each fault per call, in percent, drawn from a seeded generator. */
export interface RandomFaults {
  readonly seed: number;
  readonly unavailablePercent?: number;
  readonly lostAnswerPercent?: number;
  readonly droppedWritePercent?: number;
  readonly staleReadPercent?: number;
  /** Probability that a held lease expires right before an attempt to acquire it. */
  readonly expiredLeasePercent?: number;
}

/** A recorded call to the fake store. */
export interface FakeStoreCall {
  readonly method: keyof Store;
  readonly key: string;
}

/** Options for `createFakeStore`. */
export interface FakeStoreOptions {
  readonly random?: RandomFaults;
  /** Awaited before each call takes effect, so that a test can pause or interleave callers. */
  readonly beforeCall?: (call: FakeStoreCall) => Promise<void> | void;
}

/** An in-memory store with a manual clock and injectable faults. */
export interface FakeStore extends Store {
  readonly faults: FakeStoreFaults;
  /** Calls so far, including failed ones, oldest first. */
  readonly calls: FakeStoreCall[];
  /** Returns all versions of a key, oldest first. */
  history(key: string): readonly VersionedValue[];
  /** Advances the store's clock, which expires leases and ends watches that have waited long enough. */
  advance(ms: number): void;
  /** Expires a lease immediately without notifying its holder. */
  expireLease(name: string): void;
  /** Rejects pending watches with `unavailable`, as when the connection to the store breaks. */
  breakWatches(): void;
}

interface LeaseState {
  holder: string;
  expiresAtMs: number;
  fencingToken: number;
}

/** Result of reading a key without a value. */
const ABSENT: VersionedValue = { value: "", version: 0 };

function unavailable(): StoreError {
  return new StoreError("unavailable", "The store is unavailable");
}

function createFaultSampler(random: RandomFaults | undefined) {
  if (random === undefined) return () => false;
  const generator = xoroshiro128plus(random.seed);
  return (percent = 0) =>
    percent > 0 && uniformInt(generator, 1, 100) <= percent;
}

/** Creates an empty store whose clock starts at 0. */
export function createFakeStore(options: FakeStoreOptions = {}): FakeStore {
  const { random, beforeCall } = options;
  const faults: FakeStoreFaults = {
    unavailable: false,
    loseAnswers: 0,
    dropWrites: 0,
    staleReads: 0,
  };
  const calls: FakeStoreCall[] = [];
  const histories = new Map<string, VersionedValue[]>();
  const leases = new Map<string, LeaseState>();
  const watchers = new Set<(error?: StoreError) => void>();
  const sampleFault = createFaultSampler(random);
  let nowMs = 0;

  const history = (key: string): readonly VersionedValue[] =>
    histories.get(key) ?? [];
  const wakeWatchers = (error?: StoreError) => {
    for (const wake of [...watchers]) wake(error);
  };
  function consumeFault(
    fault: "loseAnswers" | "dropWrites" | "staleReads",
  ): boolean {
    if (faults[fault] <= 0) return false;
    faults[fault]--;
    return true;
  }

  async function startCall(call: FakeStoreCall, signal?: AbortSignal) {
    calls.push(call);
    await beforeCall?.(call);
    if (
      faults.unavailable || signal?.aborted ||
      sampleFault(random?.unavailablePercent)
    ) throw unavailable();
  }

  function write<T>(effect: () => T): T {
    const dropped = consumeFault("dropWrites") ||
      sampleFault(random?.droppedWritePercent);
    const result = dropped ? undefined : effect();
    const lost = dropped || consumeFault("loseAnswers") ||
      sampleFault(random?.lostAnswerPercent);
    if (lost) {
      throw new StoreError("unknown_outcome", "The store's answer was lost");
    }
    return result as T;
  }

  function read(key: string): VersionedValue {
    const versions = history(key);
    const stale = consumeFault("staleReads") ||
      sampleFault(random?.staleReadPercent);
    return versions.at(stale && versions.length > 1 ? -2 : -1) ?? ABSENT;
  }

  function waitForWake(endMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      function wake(error?: StoreError) {
        watchers.delete(wake);
        signal?.removeEventListener("abort", abort);
        error === undefined ? resolve() : reject(error);
      }
      const abort = () => wake(unavailable());
      watchers.add(wake);
      signal?.addEventListener("abort", abort);
      if (nowMs >= endMs) wake();
    });
  }

  function swap({ key, expectedVersion, value }: SwapRequest): SwapResult {
    const version = history(key).at(-1)?.version ?? 0;
    if (version !== expectedVersion) return { kind: "conflict", version };
    const versions = histories.get(key) ?? [];
    versions.push({ value, version: version + 1 });
    histories.set(key, versions);
    wakeWatchers();
    return { kind: "swapped", version: version + 1 };
  }

  function acquire(name: string, holder: string, ttlMs: number): LeaseResult {
    const current = leases.get(name);
    const free = current === undefined || current.expiresAtMs <= nowMs;
    if (!free && current.holder !== holder) {
      return { kind: "held", holder: current.holder };
    }
    const fencingToken = (current?.fencingToken ?? 0) + (free ? 1 : 0);
    leases.set(name, { holder, expiresAtMs: nowMs + ttlMs, fencingToken });
    return { kind: "granted", lease: { name, holder, ttlMs, fencingToken } };
  }

  function expireLease(name: string): void {
    const current = leases.get(name);
    if (current !== undefined) current.expiresAtMs = nowMs;
  }

  return {
    faults,
    calls,
    history,
    expireLease,
    advance(ms) {
      nowMs += ms;
      wakeWatchers();
    },
    breakWatches: () => wakeWatchers(unavailable()),

    async get(key, signal) {
      await startCall({ method: "get", key }, signal);
      const current = read(key);
      return current.version === 0 ? undefined : current;
    },

    async compareAndSwap(request, signal) {
      await startCall({ method: "compareAndSwap", key: request.key }, signal);
      if (Buffer.byteLength(request.value) > MAXIMUM_STORE_VALUE_BYTES) {
        throw new StoreError("rejected", "The value is too large");
      }
      return write(() => swap(request));
    },

    async watch(key, { afterVersion, waitMs, signal }) {
      await startCall({ method: "watch", key }, signal);
      const endMs = nowMs + waitMs;
      while (true) {
        const current = read(key);
        if (current.version !== afterVersion) return current;
        if (nowMs >= endMs) return undefined;
        await waitForWake(endMs, signal);
        if (faults.unavailable) throw unavailable();
      }
    },

    async acquireLease(name, { holder, ttlMs, signal }) {
      await startCall({ method: "acquireLease", key: name }, signal);
      if (sampleFault(random?.expiredLeasePercent)) expireLease(name);
      return write(() => acquire(name, holder, ttlMs));
    },

    async releaseLease(name, holder) {
      await startCall({ method: "releaseLease", key: name });
      write(() => {
        if (leases.get(name)?.holder === holder) expireLease(name);
      });
    },
  };
}
