import { BlockPool } from "./block_pool.ts";
import type { ConnectionLimits } from "./connection_limits.ts";

/** Why a connection was closed or a request was refused. */
export type EvictionReason =
  /** The connections together occupy more memory than allowed, and this one occupies the most. */
  | "memory"
  /** There are too many connections, and this one has waited for its caller the longest. */
  | "connections"
  /** The caller sent too much ahead of the responses. */
  | "pipelining"
  /** The caller doesn't read a response. */
  | "slow_reader";

/** A connection whose memory is counted. */
export interface BudgetedConnection {
  /** Frees the memory of the connection, with a refusal if one can be sent. */
  refuse(): void;
  /** Closes the connection at once. */
  destroy(): unknown;
}

/** Cost up to which a connection isn't evicted while another one waits for its caller, in bytes. */
const ORDINARY_COST_BYTES = 65_536;

interface ConnectionUsage {
  costBytes: number;
  isEvicted: boolean;
}

/**
 * Limits the number and the memory of all callers' connections of a process.
 * When a limit is reached, it evicts the connection that causes the most of it, so
 * that a new caller is served.
 */
export class ConnectionBudget {
  readonly limits: ConnectionLimits;
  /** Blocks for what the connections receive. */
  readonly blocks: BlockPool;
  #usages = new Map<BudgetedConnection, ConnectionUsage>();
  /** Connections whose caller has to act next, the one that waits the longest first. */
  #waiting = new Set<BudgetedConnection>();
  #usedBytes = 0;
  #evictions = new Map<EvictionReason, number>();

  constructor(limits: ConnectionLimits) {
    this.limits = limits;
    this.blocks = new BlockPool(limits.memoryBytes);
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#usages.size;
  }

  /** Memory of the connections and reservations, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Number of evictions so far. */
  get evictions(): ReadonlyMap<EvictionReason, number> {
    return this.#evictions;
  }

  recordEviction(reason: EvictionReason): void {
    this.#evictions.set(reason, (this.#evictions.get(reason) ?? 0) + 1);
  }

  /** Adds a new connection, which isn't waiting for its caller yet. */
  add(connection: BudgetedConnection): void {
    if (
      this.#usages.size >= this.limits.maximumConnections &&
      this.#waiting.size === 0
    ) {
      this.recordEviction("connections");
      connection.destroy();
      return;
    }
    this.#usages.set(connection, { costBytes: 0, isEvicted: false });
    if (this.#usages.size > this.limits.maximumConnections) {
      this.#closeLongestWaiting();
    }
  }

  remove(connection: BudgetedConnection): void {
    this.#usedBytes -= this.#usages.get(connection)?.costBytes ?? 0;
    this.#usages.delete(connection);
    this.#waiting.delete(connection);
  }

  /** Records whether the caller of a connection has to act next. */
  setWaiting(connection: BudgetedConnection, isWaiting: boolean): void {
    this.#waiting.delete(connection);
    if (!isWaiting || !this.#usages.has(connection)) return;
    this.#waiting.add(connection);
    if (this.#waiting.size > this.limits.maximumWaiting) {
      this.#closeLongestWaiting();
    }
  }

  /** Sets the memory that a connection occupies; may evict connections, also this one. */
  setCost(connection: BudgetedConnection, costBytes: number): void {
    const usage = this.#usages.get(connection);
    if (usage === undefined) return;
    this.#usedBytes += costBytes - usage.costBytes;
    usage.costBytes = costBytes;
    this.#evictUntil(this.limits.memoryBytes, 0);
  }

  /**
   * Reserves memory for a complete request, for which costlier connections are
   * evicted; returns the function that releases it, or undefined if there isn't
   * enough.
   */
  reserve(bytes: number): (() => void) | undefined {
    this.#evictUntil(this.limits.memoryBytes - bytes, bytes);
    if (this.#usedBytes + bytes > this.limits.memoryBytes) {
      this.recordEviction("memory");
      return undefined;
    }
    this.#usedBytes += bytes;
    let isReleased = false;
    return () => {
      if (!isReleased) this.#usedBytes -= bytes;
      isReleased = true;
    };
  }

  #closeLongestWaiting(): void {
    const [longestWaiting] = this.#waiting;
    this.recordEviction("connections");
    longestWaiting?.destroy();
  }

  /** Evicts connections that cost more than `minimumCostBytes` until the usage is small enough. */
  #evictUntil(maximumUsedBytes: number, minimumCostBytes: number): void {
    while (this.#usedBytes > maximumUsedBytes) {
      const victim = this.#chooseVictim(minimumCostBytes);
      if (victim === undefined) return;
      this.#usages.get(victim)!.isEvicted = true;
      this.recordEviction("memory");
      victim.refuse();
    }
  }

  /** Chooses the costliest connection or, if all are ordinary, the one that has waited for its caller the longest. */
  #chooseVictim(minimumCostBytes: number): BudgetedConnection | undefined {
    let costliest: BudgetedConnection | undefined;
    let highestCostBytes = minimumCostBytes;
    for (const [connection, { costBytes, isEvicted }] of this.#usages) {
      if (isEvicted || costBytes <= highestCostBytes) continue;
      costliest = connection;
      highestCostBytes = costBytes;
    }
    if (highestCostBytes > ORDINARY_COST_BYTES) return costliest;
    for (const connection of this.#waiting) {
      if (!this.#usages.get(connection)!.isEvicted) return connection;
    }
    return costliest;
  }
}
