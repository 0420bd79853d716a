import type { Clock } from "../clock.ts";
import { StoreError } from "../errors.ts";
import type { Store } from "../ports/store.ts";

/** Store key of the counter from which a region's dispatchers take their fencing tokens. */
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

/** Time between two reads of the region's newest token, in ms. */
const READ_INTERVAL_MS = 2_000;

/** Reads the region's newest token for all dispatchers of one entry. */
export class FencingTokenReader {
  #options: { store: Store; region: string; clock: Clock };
  #readAtMs = -Infinity;
  #newestToken = 0;
  #reading: Promise<void> | undefined;

  constructor(options: { store: Store; region: string; clock: Clock }) {
    this.#options = options;
  }

  /** Returns a token that was the newest one at most 2 s ago; rejects with a `StoreError` while that can't be read. */
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

/** Attempts to raise the counter while other dispatchers raise it too. */
const MAXIMUM_ATTEMPTS = 8;

/** Returns a token above the one that a shard's last dispatcher wrote to it; a worker refuses lower ones, whichever shard they come from. */
export async function takeFencingToken(
  store: Store,
  region: string,
  lastToken: number,
): Promise<number> {
  const key = fencingKey(region);
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
    const entry = await store.get(key);
    const newest = Number(entry?.value ?? 0);
    // The shard's last dispatcher can't have used a token that it didn't write.
    if (newest > lastToken) return newest;
    const result = await store.compareAndSwap({
      key,
      expectedVersion: entry?.version ?? 0,
      value: String(newest + 1),
    });
    if (result.kind === "swapped") return newest + 1;
  }
  throw new StoreError("unavailable", "Other dispatchers took the tokens");
}
