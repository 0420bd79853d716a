import { StoreError } from "../errors.ts";
import type { Store } from "../platform/store.ts";

/** Store key of the counter from which a region's dispatchers take their fencing tokens. */
export function fencingKey(region: string): string {
  return `jobs/${region}/fencing`;
}

/** Returns the newest token that a dispatcher of the region has taken. */
export async function readFencingToken(
  store: Store,
  region: string,
): Promise<number> {
  const entry = await store.get(fencingKey(region));
  return entry === undefined ? 0 : Number(entry.value);
}

/** Takes a token above every earlier one; a worker refuses lower ones, whichever shard they come from. */
export async function takeFencingToken(
  store: Store,
  region: string,
): Promise<number> {
  const key = fencingKey(region);
  const entry = await store.get(key);
  const token = Number(entry?.value ?? 0) + 1;
  const result = await store.compareAndSwap({
    key,
    expectedVersion: entry?.version ?? 0,
    value: String(token),
  });
  if (result.kind === "conflict") {
    throw new StoreError("unavailable", "Another dispatcher took the token");
  }
  return token;
}
