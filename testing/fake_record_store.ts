import { Buffer } from "node:buffer";
import { setTimeout as delay } from "node:timers/promises";
import { StoreError } from "../src/errors.ts";
import type {
  ChangeOutcome,
  RecordStore,
  StoreChange,
  StoredItem,
  StoreEvent,
} from "../src/scheduler/ports.ts";
import { MAXIMUM_OPERATIONS_PER_CHANGE } from "../src/scheduler/ports.ts";
import type { Random } from "./random.ts";

interface Item extends StoredItem {
  readonly leaseId: number;
}

/** Faults of the store; tests may change them at any time. */
export interface StoreFaults {
  /** Fails every call. */
  down: boolean;
  /** Ids of clients whose calls fail. */
  readonly refusedClients: Set<string>;
  /** Fraction of changes that are applied but whose response is lost. */
  lostAnswerRate: number;
  /** Fraction of changes that are applied late and whose response is lost. */
  lateChangeRate: number;
  /** Delay of a late change, in ms. */
  lateMs: number;
  /** Delay of each response, in ms. */
  responseMs: number;
  /** Rejects every change. */
  rejecting: boolean;
  /** Size of a value above which a change is rejected, in bytes. */
  maximumValueBytes: number;
}

/** Normal delay of a response, in ms. */
const RESPONSE_DELAY_MS = 2;

/** An in-memory store with the guarantees and the faults of the platform's store. */
export class FakeRecordStore {
  readonly faults: StoreFaults = {
    down: false,
    refusedClients: new Set(),
    lostAnswerRate: 0,
    lateChangeRate: 0,
    lateMs: 1_000,
    responseMs: RESPONSE_DELAY_MS,
    rejecting: false,
    maximumValueBytes: 1_048_576,
  };
  /** Stored records by key. */
  readonly items = new Map<string, Item>();
  #history: { revision: number; event: StoreEvent }[] = [];
  #compactedUpTo = 0;
  #revision = 1;
  #leases = new Map<number, { ttlMs: number; timer: NodeJS.Timeout }>();
  #nextLease = 1;
  #watchers = new Set<() => void>();
  /** Number of changes that reached the store, including conflicting ones. */
  changeCount = 0;

  constructor(readonly random: Random) {}

  /** Drops the history, so that pending watches return `compacted` and clients list all records again. */
  compactHistory(): void {
    this.#history = [];
    this.#compactedUpTo = this.#revision;
    this.#wakeWatchers();
  }

  /** Writes a value without conditions or a lease, as an operator or a worker does. */
  write(key: string, value: string): void {
    this.#put(key, value, 0, ++this.#revision);
    this.#wakeWatchers();
  }

  /** Deletes a record without conditions; does nothing if it doesn't exist. */
  remove(key: string): void {
    if (!this.items.has(key)) return;
    this.#delete(key, ++this.#revision);
    this.#wakeWatchers();
  }

  /** Ends every lease, as an outage can. */
  expireAllLeases(): void {
    for (const leaseId of [...this.#leases.keys()]) this.#endLease(leaseId);
  }

  /** Ends all leases without deleting their records, and wakes the pending watches. */
  close(): void {
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
    this.#leases.clear();
    this.#wakeWatchers();
  }

  #wakeWatchers(): void {
    for (const waiter of [...this.#watchers]) waiter();
  }

  #put(key: string, value: string, leaseId: number, revision: number): void {
    const item = { key, value, revision, leaseId };
    this.items.set(key, item);
    this.#history.push({ revision, event: { kind: "put", item } });
  }

  #delete(key: string, revision: number): void {
    this.items.delete(key);
    this.#history.push({ revision, event: { kind: "delete", key } });
  }

  #endLease(leaseId: number): void {
    const lease = this.#leases.get(leaseId);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    this.#leases.delete(leaseId);
    for (const item of [...this.items.values()]) {
      if (item.leaseId === leaseId) this.#delete(item.key, ++this.#revision);
    }
    this.#wakeWatchers();
  }

  #startLease(leaseId: number, ttlMs: number): void {
    const timer = setTimeout(() => this.#endLease(leaseId), ttlMs);
    timer.unref();
    this.#leases.set(leaseId, { ttlMs, timer });
  }

  #apply(change: StoreChange): ChangeOutcome {
    this.changeCount++;
    const items = change.conditions.map(({ key }) =>
      this.items.get(key) ?? { key, value: "", revision: 0, leaseId: 0 }
    );
    const conditionsHold = change.conditions.every(({ revision }, index) =>
      items[index]!.revision === revision
    );
    if (!conditionsHold) return { kind: "conflict", items };
    for (const { leaseId } of change.puts) {
      if (leaseId !== undefined && !this.#leases.has(leaseId)) {
        return { kind: "lease_ended" };
      }
    }
    const revision = ++this.#revision;
    for (const { key, value, leaseId } of change.puts) {
      this.#put(key, value, leaseId ?? 0, revision);
    }
    for (const key of change.deletes ?? []) {
      if (this.items.has(key)) this.#delete(key, revision);
    }
    this.#wakeWatchers();
    return { kind: "committed", revision };
  }

  async #simulateCall(clientId: string): Promise<void> {
    await delay(this.faults.responseMs);
    if (this.faults.down || this.faults.refusedClients.has(clientId)) {
      throw new StoreError("unavailable", "The store is unavailable");
    }
  }

  /** Returns the store as one client sees it, with that client's faults. */
  client(clientId: string): RecordStore {
    const simulateCall = () => this.#simulateCall(clientId);
    return {
      get: async (key) => {
        await simulateCall();
        return this.items.get(key);
      },
      list: async (prefix) => {
        await simulateCall();
        const items = [...this.items.values()].filter(({ key }) =>
          key.startsWith(prefix)
        );
        return { items, revision: this.#revision };
      },
      watch: async (prefix, { afterRevision, waitMs }) => {
        await simulateCall();
        const endMs = performance.now() + waitMs;
        for (;;) {
          if (afterRevision < this.#compactedUpTo) return { kind: "compacted" };
          const events = this.#history.filter(({ revision, event }) =>
            revision > afterRevision &&
            (event.kind === "put" ? event.item.key : event.key)
              .startsWith(prefix)
          ).map(({ event }) => event);
          // Read before the response delay: writes during the delay belong to the next watch.
          const revision = this.#revision;
          const remainingMs = endMs - performance.now();
          if (events.length > 0 || remainingMs <= 0) {
            await simulateCall();
            return { kind: "events", events, revision };
          }
          await new Promise<void>((resolve) => {
            const done = () => {
              clearTimeout(timer);
              this.#watchers.delete(done);
              resolve();
            };
            const timer = setTimeout(done, remainingMs);
            this.#watchers.add(done);
          });
        }
      },
      change: async (change) => {
        const operationCount = change.conditions.length + change.puts.length +
          (change.deletes?.length ?? 0);
        if (operationCount > MAXIMUM_OPERATIONS_PER_CHANGE) {
          throw new StoreError(
            "rejected",
            `The change has ${operationCount} operations, more than ${MAXIMUM_OPERATIONS_PER_CHANGE}`,
          );
        }
        await simulateCall();
        const isTooLarge = change.puts.some(({ value }) =>
          Buffer.byteLength(value) > this.faults.maximumValueBytes
        );
        if (this.faults.rejecting || isTooLarge) {
          throw new StoreError("rejected", "The store rejects the change");
        }
        if (this.random.next() < this.faults.lateChangeRate) {
          setTimeout(() => this.#apply(change), this.faults.lateMs).unref();
          throw new StoreError("unknown_outcome", "The store did not respond");
        }
        const outcome = this.#apply(change);
        if (this.random.next() < this.faults.lostAnswerRate) {
          throw new StoreError(
            "unknown_outcome",
            "The store's response was lost",
          );
        }
        return outcome;
      },
      grantLease: async (ttlMs) => {
        await simulateCall();
        const leaseId = this.#nextLease++;
        this.#startLease(leaseId, ttlMs);
        return { leaseId, ttlMs };
      },
      renewLease: async (leaseId) => {
        await simulateCall();
        const lease = this.#leases.get(leaseId);
        if (lease === undefined) return false;
        clearTimeout(lease.timer);
        this.#startLease(leaseId, lease.ttlMs);
        return true;
      },
      endLease: async (leaseId) => {
        await simulateCall();
        this.#endLease(leaseId);
      },
    };
  }
}
