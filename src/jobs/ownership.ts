import type { EntryDigest } from "../peers/messages.ts";
import { rendezvousHash } from "../requests/rendezvous_hash.ts";

/** The entry that owns a shard. */
export interface ShardOwner {
  readonly entryId: string;
  /**
   * `host:port` of the owner's port for callers; undefined if this entry is the
   * owner.
   */
  readonly callerAddress: string | undefined;
}

/**
 * Chooses the owner of a shard among the live entries by rendezvous hashing.
 * Entries with the same view choose the same owner.
 */
export function ownerOf(
  shard: number,
  thisEntry: { readonly entryId: string; readonly region: string },
  entries: readonly EntryDigest[],
): ShardOwner {
  const { entryId, region } = thisEntry;
  const stopping = entries.some((digest) =>
    digest.entryId === entryId && digest.stopping
  );
  const candidates = new Map<string, string | undefined>();
  for (const digest of entries) {
    if (digest.region !== region || digest.stopping || !digest.ready) continue;
    // An entry that doesn't serve callers can't own shards.
    if (digest.callerAddress === "") continue;
    candidates.set(digest.entryId, digest.callerAddress);
  }
  if (!stopping || candidates.size === 0) candidates.set(entryId, undefined);
  const score = (id: string) => rendezvousHash(id, `shard ${shard}`);
  const [best] = [...candidates.keys()].sort((a, b) =>
    score(b) - score(a) || (a < b ? -1 : 1)
  );
  return best === entryId
    ? { entryId, callerAddress: undefined }
    : { entryId: best!, callerAddress: candidates.get(best!) };
}
