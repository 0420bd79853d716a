import type { Outcome } from "./outcome.ts";

/** Memory limits of the key table. */
export interface KeyOutcomesLimits {
  /** Maximum number of keys that have a request in progress or a stored outcome. */
  readonly maximumKeys: number;
  /** Maximum total size of the stored response bodies, in bytes. */
  readonly maximumBodyBytes: number;
}

/** Fraction of the memory that the stored response bodies may occupy; the keys may occupy as much. */
const MEMORY_FRACTION = 0.1;
/** Memory of a key besides the body of its response, in bytes. */
const KEY_COST_BYTES = 1_100;

/** Returns the limits of the key table on a VM with a given memory, in MB. */
export function resolveKeyLimits(memoryMb: number): KeyOutcomesLimits {
  const bytes = Math.floor(memoryMb * 1_048_576 * MEMORY_FRACTION);
  return {
    maximumKeys: Math.floor(bytes / KEY_COST_BYTES),
    maximumBodyBytes: bytes,
  };
}

/** A key whose request is running or has run. */
export interface KeyRecord {
  /** Sequence number of the key among those that this entry issued. */
  readonly sequence: number;
  /** Monotonic expiry time, in ms. */
  readonly expiresAtMs: number;
  /** Hash of the request that the key was used for. */
  readonly fingerprint: string;
  /** Resolves with the outcome of the request. */
  readonly outcome: Promise<Outcome>;
}

interface StoredRecord extends KeyRecord {
  running: boolean;
  bodyBytes: number;
}

/** Keys per chunk of the bitmap; one chunk takes 1 KiB. */
const KEYS_PER_CHUNK = 8_192;
/** Maximum number of chunks, which cover about 8 million keys. */
const MAXIMUM_CHUNKS = 1_024;

/** Bitmap of the used keys, with one bit per issued key; the oldest chunks are dropped. */
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

  /** Returns whether the key was used; true when its chunk has been dropped. */
  has(sequence: number): boolean {
    const index = Math.floor(sequence / KEYS_PER_CHUNK);
    if (index < this.#firstChunk) return true;
    const chunk = this.#chunks.get(index);
    const offset = sequence % KEYS_PER_CHUNK;
    return chunk !== undefined &&
      (chunk[offset >> 3]! & (1 << (offset & 7))) !== 0;
  }
}

/** Outcomes of the keys that this entry issued, stored until the keys expire. */
export class KeyOutcomes {
  #limits: KeyOutcomesLimits;
  #records = new Map<number, StoredRecord>();
  /** Sequence numbers of the keys whose response body is stored, the oldest response first. */
  #withBody = new Set<number>();
  #used = new UsedKeys();
  #bodyBytes = 0;
  #discardedOutcome: Outcome;

  constructor(limits: KeyOutcomesLimits, discardedOutcome: Outcome) {
    this.#limits = limits;
    this.#discardedOutcome = discardedOutcome;
  }

  /** Returns the record of a key; undefined if no request with it is running or has run, or after its expiry. */
  get(sequence: number): KeyRecord | undefined {
    return this.#records.get(sequence);
  }

  /** Whether the table has reached its maximum number of keys. */
  get isFull(): boolean {
    return this.#records.size >= this.#limits.maximumKeys;
  }

  /** Returns whether a request with the key may have run. */
  wasUsed(sequence: number): boolean {
    return this.#used.has(sequence);
  }

  /** Records the only run of a key's request. After the outcome `not_run` the key can be used again. */
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

  /** Removes the outcomes of expired keys. */
  removeExpired(nowMs: number): void {
    for (const record of this.#records.values()) {
      if (!record.running && record.expiresAtMs <= nowMs) this.#remove(record);
    }
  }

  /** Returns the size of the key table for the dump. */
  describe(): unknown {
    return { keys: this.#records.size, bodyBytes: this.#bodyBytes };
  }

  #remove(record: StoredRecord): void {
    this.#records.delete(record.sequence);
    this.#withBody.delete(record.sequence);
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
      this.#withBody.add(record.sequence);
      this.#enforceBodyLimit();
      return;
    }
    if (outcome.kind === "streamed_answer") this.#discardResponse(record);
  }

  #enforceBodyLimit(): void {
    for (const sequence of this.#withBody) {
      if (this.#bodyBytes <= this.#limits.maximumBodyBytes) return;
      this.#discardResponse(this.#records.get(sequence)!);
    }
  }

  /** Drops the stored response; the key still counts as used. */
  #discardResponse(record: StoredRecord): void {
    this.#withBody.delete(record.sequence);
    this.#bodyBytes -= record.bodyBytes;
    this.#records.set(record.sequence, {
      ...record,
      bodyBytes: 0,
      outcome: Promise.resolve(this.#discardedOutcome),
    });
  }
}
