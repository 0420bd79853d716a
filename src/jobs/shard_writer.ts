import { randomUUID } from "node:crypto";
import type { Clock } from "../clock.ts";
import { StoreError } from "../errors.ts";
import type { Store, SwapRequest, SwapResult } from "../ports/store.ts";
import { JobOutcomeUnknownError, JobRefusedError } from "./errors.ts";
import { createNotifier } from "../notifier.ts";
import {
  createShardRecord,
  formatShard,
  parseShard,
  ShardDraft,
  type ShardRecord,
} from "./shard.ts";

/**
 * Initial retry delay when the store is unavailable, in ms; doubled after each
 * failure in a row.
 */
const OUTAGE_RETRY_MS = 500;
/** Maximum retry delay during an outage, in ms. */
const MAXIMUM_OUTAGE_RETRY_MS = 10_000;
/**
 * Retry hint after another entry has taken over the shard, in ms; by then, the
 * new owner is known.
 */
const NOT_OWNER_RETRY_MS = 1_000;

/** Options of one change. */
export interface ChangeOptions {
  /** Deadline for the store to confirm the change, in ms. */
  readonly deadlineMs: number;
  /**
   * Job added by the change. After a write with an unknown outcome, the change
   * counts as applied if the shard contains this job.
   */
  readonly jobId?: string;
  /**
   * Whether the change is also attempted during an outage, which detects the
   * end of the outage.
   */
  readonly allowDuringOutage?: boolean;
}

interface PendingChange {
  readonly apply: (draft: ShardDraft) => unknown;
  readonly resolve: (result: unknown) => void;
  readonly reject: (error: Error) => void;
  readonly deadlineAtMs: number;
  readonly jobId: string | undefined;
  result: unknown;
  settled: boolean;
}

interface PendingWrite {
  readonly request: SwapRequest;
  readonly next: ShardRecord;
  readonly batch: readonly PendingChange[];
}

/** Options of a shard writer. */
export interface ShardWriterOptions {
  readonly store: Store;
  readonly key: string;
  readonly clock: Clock;
}

/**
 * Batches the changes of one shard and writes each batch with one
 * compare-and-swap.
 */
export class ShardWriter {
  #options: ShardWriterOptions;
  #record: ShardRecord | undefined;
  #version = 0;
  #pending: PendingChange[] = [];
  #unresolvedWrite: PendingWrite | undefined;
  /** Write whose call to the store hasn't returned yet. */
  #writeInFlight: PendingWrite | undefined;
  #flushing: Promise<void> | undefined;
  /** Notified when a change is queued. */
  readonly changed = createNotifier();
  /** Notified when a write has taken effect. */
  readonly written = createNotifier();
  /** Number of failed calls to the store in a row. */
  #failures = 0;
  /** Monotonic time until which new changes are rejected, in ms. */
  #rejectsUntilMs = -Infinity;

  constructor(options: ShardWriterOptions) {
    this.#options = options;
  }

  /**
   * Shard as last written or read; undefined after a write by another owner was
   * detected.
   */
  get record(): ShardRecord | undefined {
    return this.#record;
  }

  /** Whether there are pending changes or a write with an unknown outcome. */
  get needsFlush(): boolean {
    return this.#pending.length > 0 || this.#unresolvedWrite !== undefined;
  }

  /**
   * Returns whether the shard, as this writer knows it, doesn't contain a job.
   * False while a write is in flight, its outcome is unknown, or a submission of
   * the job is pending.
   */
  lacksJob(jobId: string): boolean {
    return this.#record !== undefined && this.#unresolvedWrite === undefined &&
      this.#flushing === undefined && !this.#record.jobs.has(jobId) &&
      !this.#pending.some((change) => change.jobId === jobId);
  }

  /**
   * Returns whether the shard contains a job, or may contain it because of a
   * submission that is pending, in flight or of unknown outcome.
   */
  mayContain(jobId: string): boolean {
    if (this.#record === undefined || this.#record.jobs.has(jobId)) return true;
    const changes = [
      ...this.#pending,
      ...this.#writeInFlight?.batch ?? [],
      ...this.#unresolvedWrite?.batch ?? [],
    ];
    return changes.some((change) => change.jobId === jobId);
  }

  /**
   * Resets the backoff after any successful call to the store, so that changes
   * are accepted again.
   */
  resetOutageBackoff(): void {
    this.#failures = 0;
    this.#rejectsUntilMs = -Infinity;
  }

  /**
   * Determines the outcome of a write whose response was lost; until then, the
   * record may lack its changes. Rejects with a `StoreError` if it can't.
   */
  async resolve(): Promise<void> {
    await this.#flushing;
    if (this.#unresolvedWrite !== undefined) await this.flush();
    if (this.#unresolvedWrite !== undefined) throw unresolvedError();
  }

  /** Reloads the shard. Rejects with a `StoreError` or a `ValidationError`. */
  async load(): Promise<void> {
    await this.resolve();
    const entry = await this.#call(() =>
      this.#options.store.get(this.#options.key)
    );
    this.#record = entry === undefined
      ? createShardRecord()
      : parseShard(entry.value);
    this.#version = entry?.version ?? 0;
  }

  /**
   * Gives up ownership of the shard and rejects all changes that were not sent.
   */
  abandon(): void {
    this.#record = undefined;
    this.#reject(this.#pending.splice(0), notOwnerError());
  }

  /**
   * Adds a change to the next write. Rejects with a `JobRefusedError` if the
   * change provably had no effect, and with a `JobOutcomeUnknownError` if its
   * outcome isn't known by the deadline.
   */
  change<T>(
    apply: (draft: ShardDraft) => T,
    options: ChangeOptions,
  ): Promise<T> {
    if (this.#record === undefined && this.#unresolvedWrite === undefined) {
      return Promise.reject(notOwnerError());
    }
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs < this.#rejectsUntilMs && options.allowDuringOutage !== true) {
      return Promise.reject(this.#outageError());
    }
    return new Promise<T>((resolve, reject) => {
      this.#pending.push({
        apply,
        resolve: resolve as (result: unknown) => void,
        reject,
        deadlineAtMs: nowMs + options.deadlineMs,
        jobId: options.jobId,
        result: undefined,
        settled: false,
      });
      this.changed.notify();
    });
  }

  /** Writes all pending changes in one batch. Never rejects. */
  flush(): Promise<void> {
    // The write in flight doesn't contain the newest changes.
    if (this.#flushing !== undefined) {
      return this.#flushing.then(() => this.flush());
    }
    this.#flushing = this.#flushOnce().finally(() => {
      this.#flushing = undefined;
    });
    return this.#flushing;
  }

  async #flushOnce(): Promise<void> {
    if (this.#unresolvedWrite !== undefined) {
      await this.#resolveWrite().catch(() => {});
      if (this.#unresolvedWrite !== undefined) return;
    }
    const batch = this.#pending.splice(0);
    if (batch.length === 0) return;
    if (this.#record === undefined) return this.#reject(batch, notOwnerError());
    const draft = new ShardDraft(this.#record, this.#options.clock.wallMs());
    const applied = batch.filter((change) => applyChange(change, draft));
    draft.dropExpired();
    if (!draft.changed) return settleAll(applied);
    const next = draft.build(randomUUID());
    const request = {
      key: this.#options.key,
      expectedVersion: this.#version,
      value: formatShard(next),
    };
    await this.#write({ request, next, batch: applied });
  }

  async #write(write: PendingWrite): Promise<void> {
    this.#writeInFlight = write;
    try {
      const result = await this.#call(() =>
        this.#options.store.compareAndSwap(write.request)
      );
      this.#applyWriteResult(write, result);
    } catch (error) {
      if (
        error instanceof StoreError && error.failure === "unknown_outcome"
      ) {
        this.#unresolvedWrite = write;
        await this.#resolveWrite().catch(() => {});
      } else if (
        error instanceof StoreError && error.failure === "unavailable"
      ) {
        this.#reject(write.batch, this.#outageError());
      } else {
        const reason = error instanceof Error ? error.message : String(error);
        this.#reject(
          write.batch,
          new JobRefusedError("store_unavailable", reason, OUTAGE_RETRY_MS),
        );
      }
    } finally {
      this.#writeInFlight = undefined;
    }
  }

  #applyWriteResult(write: PendingWrite, result: SwapResult): void {
    if (result.kind === "swapped") {
      this.#record = write.next;
      this.#version = result.version;
      this.written.notify();
      return settleAll(write.batch);
    }
    this.#record = undefined;
    this.#reject(write.batch, notOwnerError());
  }

  /**
   * Retries a write whose response was lost. Both attempts have the same expected
   * version, so at most one of them takes effect.
   */
  async #resolveWrite(): Promise<void> {
    const write = this.#unresolvedWrite!;
    try {
      const result = await this.#call(() =>
        this.#options.store.compareAndSwap(write.request)
      );
      if (result.kind === "swapped") this.#applyWriteResult(write, result);
      else await this.#checkStoredWrite(write, result.version);
      this.#unresolvedWrite = undefined;
    } catch (error) {
      this.#rejectExpired(write);
      throw error;
    }
  }

  /**
   * Reads the shard, at the conflicting version or later, to find out whether
   * the write took effect.
   */
  async #checkStoredWrite(write: PendingWrite, version: number): Promise<void> {
    const entry = await this.#call(() =>
      this.#options.store.get(this.#options.key)
    );
    // A stale read proves nothing about the write.
    if (entry === undefined || entry.version < version) throw unresolvedError();
    const record = parseShard(entry.value);
    if (record.writeId === write.next.writeId) {
      return this.#applyWriteResult(write, {
        kind: "swapped",
        version: entry.version,
      });
    }
    this.#record = undefined;
    for (const change of write.batch) {
      if (change.jobId !== undefined && record.jobs.has(change.jobId)) {
        settle(change);
      } else if (change.jobId !== undefined) {
        this.#reject([change], notOwnerError());
      } else {
        settle(change, outcomeUnknownError());
      }
    }
  }

  #rejectExpired(write: PendingWrite): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const change of write.batch) {
      if (nowMs >= change.deadlineAtMs) settle(change, outcomeUnknownError());
    }
    const waiting = this.#pending.splice(0);
    this.#reject(waiting, this.#outageError());
  }

  #reject(batch: readonly PendingChange[], error: Error): void {
    for (const change of batch) settle(change, error);
  }

  #outageError(): JobRefusedError {
    const waitMs = this.#rejectsUntilMs - this.#options.clock.monotonicMs();
    return new JobRefusedError(
      "store_unavailable",
      "The store doesn't answer, so the change can't be made durable",
      Math.max(waitMs, OUTAGE_RETRY_MS),
    );
  }

  async #call<T>(run: () => Promise<T>): Promise<T> {
    try {
      const result = await run();
      this.resetOutageBackoff();
      return result;
    } catch (error) {
      const delayMs = Math.min(
        OUTAGE_RETRY_MS * 2 ** this.#failures++,
        MAXIMUM_OUTAGE_RETRY_MS,
      );
      this.#rejectsUntilMs = this.#options.clock.monotonicMs() + delayMs;
      throw error;
    }
  }
}

function applyChange(change: PendingChange, draft: ShardDraft): boolean {
  try {
    change.result = change.apply(draft);
    return true;
  } catch (error) {
    settle(change, error as Error);
    return false;
  }
}

function settle(change: PendingChange, error?: Error): void {
  if (change.settled) return;
  change.settled = true;
  if (error === undefined) change.resolve(change.result);
  else change.reject(error);
}

function settleAll(batch: readonly PendingChange[]): void {
  for (const change of batch) settle(change);
}

function notOwnerError(): JobRefusedError {
  return new JobRefusedError(
    "not_owner",
    "Another entry owns the shard",
    NOT_OWNER_RETRY_MS,
  );
}

function outcomeUnknownError(): JobOutcomeUnknownError {
  return new JobOutcomeUnknownError(
    "The store didn't confirm the change in time; ask again with the key",
  );
}

function unresolvedError(): StoreError {
  return new StoreError(
    "unavailable",
    "The last write isn't resolved yet",
  );
}
