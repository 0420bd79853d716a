import type { Outcome } from "./outcome.ts";

/** Limits of the memory for keys. */
export interface KeyOutcomesLimits {
  /** Keys that are running or have a stored outcome. */
  readonly maximumKeys: number;
  /** Bodies of stored responses, in bytes. */
  readonly maximumBodyBytes: number;
}

/** One key that is running or has run. */
export interface KeyRecord {
  readonly sequence: number;
  readonly expiresAtMs: number;
  /** Identifies the request that the key was used for. */
  readonly fingerprint: string;
  /** Resolves with the outcome of the run. */
  readonly outcome: Promise<Outcome>;
}

interface StoredRecord extends KeyRecord {
  running: boolean;
  bodyBytes: number;
}

const KEYS_PER_CHUNK = 8_192;
/** Chunks of 1 KiB that are kept: about 8 million keys. */
const MAXIMUM_CHUNKS = 1_024;

/** Remembers in one bit for each issued key whether it was used. */
class UsedKeys {
  #chunks = new Map<number, Uint8Array>();
  #firstChunk = 0;

  set(sequence: number, used: boolean): void {
    const index = Math.floor(sequence / KEYS_PER_CHUNK);
    if (index < this.#firstChunk) return;
    let chunk = this.#chunks.get(index);
    if (chunk === undefined) {
      chunk = new Uint8Array(KEYS_PER_CHUNK / 8);
      this.#chunks.set(index, chunk);
      for (; this.#firstChunk <= index - MAXIMUM_CHUNKS; this.#firstChunk++) {
        this.#chunks.delete(this.#firstChunk);
      }
    }
    const offset = sequence % KEYS_PER_CHUNK;
    const mask = 1 << (offset & 7);
    if (used) chunk[offset >> 3]! |= mask;
    else chunk[offset >> 3]! &= ~mask;
  }

  /** Whether the key was used; true when that isn't known any more. */
  has(sequence: number): boolean {
    const index = Math.floor(sequence / KEYS_PER_CHUNK);
    if (index < this.#firstChunk) return true;
    const chunk = this.#chunks.get(index);
    const offset = sequence % KEYS_PER_CHUNK;
    return chunk !== undefined &&
      (chunk[offset >> 3]! & (1 << (offset & 7))) !== 0;
  }
}

/** Outcomes of this entry's keys, kept until the keys expire. */
export class KeyOutcomes {
  #limits: KeyOutcomesLimits;
  #records = new Map<number, StoredRecord>();
  #used = new UsedKeys();
  #bodyBytes = 0;
  #discardedOutcome: Outcome;

  constructor(limits: KeyOutcomesLimits, discardedOutcome: Outcome) {
    this.#limits = limits;
    this.#discardedOutcome = discardedOutcome;
  }

  get(sequence: number): KeyRecord | undefined {
    return this.#records.get(sequence);
  }

  get isFull(): boolean {
    return this.#records.size >= this.#limits.maximumKeys;
  }

  /** Whether a request with the key may have run. */
  wasUsed(sequence: number): boolean {
    return this.#used.has(sequence);
  }

  /** Starts the key's one run. An outcome `not_run` leaves the key free. */
  start(
    key: Omit<KeyRecord, "outcome">,
    run: Promise<Outcome>,
  ): KeyRecord {
    this.#used.set(key.sequence, true);
    const record: StoredRecord = {
      ...key,
      outcome: run,
      running: true,
      bodyBytes: 0,
    };
    this.#records.set(key.sequence, record);
    run.then((outcome) => this.#store(record, outcome));
    return record;
  }

  /** Forgets the outcomes of expired keys. */
  removeExpired(nowMs: number): void {
    for (const record of this.#records.values()) {
      if (!record.running && record.expiresAtMs <= nowMs) this.#remove(record);
    }
  }

  describe(): unknown {
    return { keys: this.#records.size, bodyBytes: this.#bodyBytes };
  }

  #remove(record: StoredRecord): void {
    this.#records.delete(record.sequence);
    this.#bodyBytes -= record.bodyBytes;
  }

  #store(record: StoredRecord, outcome: Outcome): void {
    record.running = false;
    if (outcome.kind === "not_run") {
      this.#used.set(record.sequence, false);
      this.#remove(record);
      return;
    }
    if (outcome.kind === "answer") {
      record.bodyBytes = outcome.response.body.length;
      this.#bodyBytes += record.bodyBytes;
      this.#enforceBodyLimit();
      return;
    }
    if (outcome.kind === "streamed_answer") this.#discardResponse(record);
  }

  #enforceBodyLimit(): void {
    if (this.#bodyBytes <= this.#limits.maximumBodyBytes) return;
    for (const record of this.#records.values()) {
      if (this.#bodyBytes <= this.#limits.maximumBodyBytes) return;
      if (record.bodyBytes > 0) this.#discardResponse(record);
    }
  }

  /** The key stays used, but its response isn't held any more. */
  #discardResponse(record: StoredRecord): void {
    this.#bodyBytes -= record.bodyBytes;
    this.#records.set(record.sequence, {
      ...record,
      bodyBytes: 0,
      outcome: Promise.resolve(this.#discardedOutcome),
    });
  }
}
