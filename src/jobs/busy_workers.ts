import type { Store } from "../ports/store.ts";
import { SHARD_COUNT } from "./job_key.ts";
import { parseShard, shardKey } from "./shard.ts";

/**
 * Returns the number of assigned and running jobs by VM id. Reads the stored
 * shards, because reports don't show tasks that were assigned but not sent yet.
 * Rejects with a `StoreError` or a `ValidationError`.
 */
export async function readBusyWorkers(
  store: Store,
  region: string,
): Promise<ReadonlyMap<string, number>> {
  const entries = await Promise.all(
    Array.from(
      { length: SHARD_COUNT },
      (_, shard) => store.get(shardKey(region, shard)),
    ),
  );
  const counts = new Map<string, number>();
  for (const entry of entries) {
    if (entry === undefined) continue;
    for (const { state } of parseShard(entry.value).jobs.values()) {
      if (state.kind !== "assigned" && state.kind !== "running") continue;
      const { vmId } = state.run;
      counts.set(vmId, (counts.get(vmId) ?? 0) + 1);
    }
  }
  return counts;
}
