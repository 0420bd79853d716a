import { z } from "zod";
import { StoreError } from "../errors.ts";
import { networkAddressSchema } from "./network_address.ts";
import type { RecordStore, StoreChange, StoredItem } from "./ports.ts";

/** Maximum number of lanes: the change of an election must hold the heads of its own lanes and of an earlier owner's. */
export const MAXIMUM_LANES = 8;

/** Keys that the scheduler uses in the platform's store. */
export const STORE_KEYS = {
  /** ID, address and epoch of the owner; attached to its lease. */
  owner: "ctl/owner",
  /** Epoch and number of the latest commit; not attached to a lease, so that the epoch never decreases. Further lanes have heads of their own below this key. */
  head: "ctl/head",
  /** When an owner last gave up because its process was too slow. */
  slowHandover: "ctl/slow_handover",
  controlPrefix: "ctl/",
  /** Accepted jobs and cancellations; written by any entry. */
  queuePrefix: "queue/",
  jobPrefix: "queue/job/",
  cancelPrefix: "queue/cancel/",
  /** Jobs that were cancelled before they were stored; written by any entry. */
  withdrawnPrefix: "withdrawn/",
  progressPrefix: "progress/",
  /** Tasks whose start orders a worker may still execute. */
  lateStartPrefix: "late/",
  wavePrefix: "fleet/wave/",
} as const;

const ownerSchema = z.object({
  entryId: z.string(),
  address: networkAddressSchema,
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

/** Returns the epoch in the first head; if it can't be read, a number that no epoch has reached, as each election has raised the store's revision. */
function readEpoch(head: StoredItem): number {
  return parseHead(head)?.epoch ?? head.revision;
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

/** Returns the key of the head of one of the journal's lanes; lane 0 is the only one that each owner uses. */
export function headKey(lane: number): string {
  return lane === 0 ? STORE_KEYS.head : `${STORE_KEYS.head}/${lane}`;
}

/** Encodes the head of a lane. */
export function encodeHead(epoch: number, commit: number): string {
  return JSON.stringify({ epoch, commit });
}

/** The time during which an entry is the owner, from its election until it resigns or is replaced. */
export interface Tenure {
  readonly epoch: number;
  readonly leaseId: number;
  readonly leaseTtlMs: number;
  /** Number of the journal's lanes. */
  readonly lanes: number;
  /** Store revision of the election, which wrote the owner's key and the heads of all lanes. */
  readonly headRevision: number;
}

/**
 * Reads the heads that earlier elections have left. Only elections add or remove
 * heads, and each changes the first one, so that a condition on its revision also
 * guards the list.
 */
async function readHeads(
  store: RecordStore,
): Promise<{ first: StoredItem | undefined; further: string[] }> {
  const { items } = await store.list(STORE_KEYS.head);
  return {
    first: items.find(({ key }) => key === STORE_KEYS.head),
    further: items.map(({ key }) => key).filter((key) =>
      key.startsWith(`${STORE_KEYS.head}/`)
    ),
  };
}

/**
 * Tries to become the owner: one change writes the owner's key under a lease,
 * raises the epoch in the heads of this owner's lanes and, if it has several,
 * deletes those of further lanes that an earlier owner has used, so that no earlier
 * owner can commit in any lane. `replacedRevision` is the revision of the key of an owner that has failed,
 * or 0 if there is no key. Returns undefined if another entry is the owner;
 * rejects with a `StoreError`.
 */
export async function acquireOwnership(
  store: RecordStore,
  self: { entryId: string; address: string },
  { leaseTtlMs, replacedRevision, lanes = 1 }: {
    readonly leaseTtlMs: number;
    readonly replacedRevision: number;
    /** Number of the journal's lanes, at most `MAXIMUM_LANES`; 1 if omitted. */
    readonly lanes?: number | undefined;
  },
): Promise<Tenure | undefined> {
  // With one lane, heads of an earlier owner's further lanes may stay: their commits are conditional on the owner's key too.
  const { first: head, further } = lanes === 1
    ? { first: await store.get(STORE_KEYS.head), further: [] }
    : await readHeads(store);
  const ownHeads = Array.from({ length: lanes }, (_, lane) => headKey(lane));
  const epoch = (head === undefined ? 0 : readEpoch(head)) + 1;
  const lease = await store.grantLease(leaseTtlMs);
  const tenure = (headRevision: number): Tenure => ({
    epoch,
    leaseId: lease.leaseId,
    leaseTtlMs: lease.ttlMs,
    lanes,
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
      ...ownHeads.map((key) => ({ key, value: encodeHead(epoch, 0) })),
    ],
    deletes: further.filter((key) => !ownHeads.includes(key)),
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
