import { z } from "zod";
import { StoreError } from "../errors.ts";
import type { RecordStore, StoreChange, StoredItem } from "./ports.ts";

/** Keys that the scheduler uses in the platform's store. */
export const STORE_KEYS = {
  /** ID, address and epoch of the owner; attached to its lease. */
  owner: "ctl/owner",
  /** Epoch and number of the latest commit; not attached to a lease, so that the epoch never decreases. */
  head: "ctl/head",
  /** When an owner last gave up because its process was too slow. */
  slowHandover: "ctl/slow_handover",
  controlPrefix: "ctl/",
  /** Accepted jobs and cancellations; written by any entry. */
  queuePrefix: "queue/",
  jobPrefix: "queue/job/",
  cancelPrefix: "queue/cancel/",
  progressPrefix: "progress/",
  wavePrefix: "fleet/wave/",
} as const;

const ownerSchema = z.object({
  entryId: z.string(),
  address: z.string(),
  epoch: z.number().int(),
});

const headSchema = z.object({
  epoch: z.number().int(),
  commit: z.number().int(),
});

/** The entry that owns the queues and workers, and its epoch. */
export type Owner = z.infer<typeof ownerSchema>;

/** Decodes the owner's record; returns undefined if it is invalid. */
export function parseOwner(item: StoredItem): Owner | undefined {
  return parseRecord(ownerSchema, item);
}

/** Decodes the head of the journal; returns undefined if it is invalid. */
export function parseHead(
  item: StoredItem,
): z.infer<typeof headSchema> | undefined {
  return parseRecord(headSchema, item);
}

/** Decodes a record that an owner has written; returns undefined if it is invalid. */
export function parseRecord<T extends z.ZodType>(
  schema: T,
  item: StoredItem,
): z.output<T> | undefined {
  try {
    return schema.parse(JSON.parse(item.value));
  } catch {
    // Not written by the scheduler; the caller decides how to handle it.
    return undefined;
  }
}

/** Encodes the head of the journal. */
export function encodeHead(epoch: number, commit: number): string {
  return JSON.stringify({ epoch, commit });
}

/** The time during which an entry is the owner, from its election until it resigns or is replaced. */
export interface Tenure {
  readonly epoch: number;
  readonly leaseId: number;
  readonly leaseTtlMs: number;
  /** Store revision of the journal's head at the start of the tenure. */
  readonly headRevision: number;
}

/**
 * Tries to become the owner: one change writes the owner's key under a lease and
 * raises the epoch in the journal's head. `replacedRevision` is the revision of
 * the key of an owner that has failed, or 0 if there is no key. Returns undefined
 * if another entry is the owner; rejects with a `StoreError`.
 */
export async function acquireOwnership(
  store: RecordStore,
  self: { entryId: string; address: string },
  { leaseTtlMs, replacedRevision }: {
    readonly leaseTtlMs: number;
    readonly replacedRevision: number;
  },
): Promise<Tenure | undefined> {
  const head = await store.get(STORE_KEYS.head);
  const epoch = (head === undefined ? 0 : parseHead(head)?.epoch ?? 0) + 1;
  const lease = await store.grantLease(leaseTtlMs);
  const tenure = (headRevision: number): Tenure => ({
    epoch,
    leaseId: lease.leaseId,
    leaseTtlMs: lease.ttlMs,
    headRevision,
  });
  // The lease tells this attempt apart from an earlier one for the same epoch, which may still be executed.
  const ownerRecord = JSON.stringify({
    ...self,
    epoch,
    leaseId: lease.leaseId,
  });
  const change: StoreChange = {
    conditions: [
      { key: STORE_KEYS.owner, revision: replacedRevision },
      { key: STORE_KEYS.head, revision: head?.revision ?? 0 },
    ],
    puts: [
      {
        key: STORE_KEYS.owner,
        value: ownerRecord,
        leaseId: lease.leaseId,
      },
      { key: STORE_KEYS.head, value: encodeHead(epoch, 0) },
    ],
  };
  try {
    const outcome = await store.change(change);
    // After a conflict, the unused lease expires by itself.
    return outcome.kind === "committed" ? tenure(outcome.revision) : undefined;
  } catch (error) {
    if (!(error instanceof StoreError)) throw error;
    if (error.failure !== "unknown_outcome") throw error;
    // The change may have been executed and only its response lost; the owner's key shows which.
    const item = await store.get(STORE_KEYS.owner);
    if (item?.value !== ownerRecord) throw error;
    return tenure(item.revision);
  }
}
