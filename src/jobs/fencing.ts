import type { Clock } from "../clock.ts";
import { StoreError } from "../errors.ts";
import type { Store } from "../ports/store.ts";

/**
 * Returns the store key of the counter that issues the fencing tokens of a
 * region.
 */
export function fencingKey(region: string): string {
  return `jobs/${region}/fencing`;
}

async function readFencingToken(
  store: Store,
  region: string,
): Promise<number> {
  const entry = await store.get(fencingKey(region));
  return entry === undefined ? 0 : Number(entry.value);
}

/** Time for which the newest token read from the store is cached, in ms. */
const READ_INTERVAL_MS = 2_000;

/**
 * Reads the newest fencing token of the region, with one cache for all
 * dispatchers of an entry.
 */
export class FencingTokenReader {
  #options: { store: Store; region: string; clock: Clock };
  #readAtMs = -Infinity;
  #newestToken = 0;
  #reading: Promise<void> | undefined;

  constructor(options: { store: Store; region: string; clock: Clock }) {
    this.#options = options;
  }

  /**
   * Returns the token that was the newest one at most 2 s ago. Rejects with a
   * `StoreError` if it can't be read.
   */
  async newestToken(): Promise<number> {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - this.#readAtMs < READ_INTERVAL_MS) return this.#newestToken;
    this.#reading ??= this.#read(nowMs).finally(() => {
      this.#reading = undefined;
    });
    await this.#reading;
    return this.#newestToken;
  }

  async #read(startedAtMs: number): Promise<void> {
    const { store, region } = this.#options;
    this.#newestToken = await readFencingToken(store, region);
    this.#readAtMs = startedAtMs;
  }
}

/**
 * Maximum number of attempts to increment the counter when other dispatchers
 * increment it concurrently.
 */
const MAXIMUM_ATTEMPTS = 8;

/**
 * Returns a token higher than the last one written to a shard. A worker rejects
 * commands with a lower token than it has seen, whichever shard they come from.
 */
export async function takeFencingToken(
  store: Store,
  region: string,
  lastToken: number,
): Promise<number> {
  const key = fencingKey(region);
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
    const entry = await store.get(key);
    const newest = Number(entry?.value ?? 0);
    // The previous dispatcher of the shard only used tokens that it had written
    // to the shard.
    if (newest > lastToken) return newest;
    const result = await store.compareAndSwap({
      key,
      expectedVersion: entry?.version ?? 0,
      value: String(newest + 1),
    });
    if (result.kind === "swapped") return newest + 1;
  }
  throw new StoreError(
    "unavailable",
    "The fencing token couldn't be incremented: other dispatchers changed it concurrently",
  );
}
