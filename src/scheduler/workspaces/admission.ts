import {
  createReturnSlotTable,
  LONGEST_SLOT_MS,
  type ReturnSlots,
} from "./return_slots.ts";

/** Decision about a submission, made by the owner before an entry stores the job. */
export type AdmissionDecision =
  /** `excess` marks a job beyond what its workspace is owed; it comes after the others while the pool is full. */
  | { readonly kind: "admitted"; readonly excess: boolean }
  | {
    readonly kind: "refused";
    readonly reason: "share" | "overload" | "memory";
    /** Time after which the caller should return, in ms. */
    readonly retryAfterMs: number;
  };

/** Time for which a workspace may send its entitlement in advance, in seconds. */
const BURST_S = 2;
/** Minimum burst, in jobs; a workspace of a small weight sends several jobs at once, too. */
const MINIMUM_BURST_JOBS = 5;
/** Minimum rate of a workspace, in jobs per second, so that slots are finite for a weight of 0. */
const MINIMUM_RATE_PER_S = 0.1;
/** Number of buckets above which full ones are dropped; workspaces may be renamed any number of times. */
const MAXIMUM_BUCKETS = 1_000;

interface Bucket {
  /** Jobs that may be sent now; negative if slots have been assigned in advance. */
  tokens: number;
  updatedAtMs: number;
  readonly slots: ReturnSlots;
}

/** Facts about a submission that decide its admission. */
export interface AdmissionRequest {
  readonly workspace: string;
  /** Number of jobs that the workspace may send per second. */
  readonly weight: number;
  readonly jobId: string;
  /** Whether a job beyond the entitlement would have to wait. */
  readonly isFull: boolean;
}

/** Admission control of one tenure. */
export interface Admission {
  decide(request: AdmissionRequest): AdmissionDecision;
  /** Returns the number of assigned slots. */
  slotCount(): number;
}

const ADMITTED = { kind: "admitted", excess: false } as const;
const ADMITTED_AS_EXCESS = { kind: "admitted", excess: true } as const;

/**
 * Creates admission control with full buckets; `nowMs` returns the monotonic
 * time. An assigned slot takes a token in advance, so the slots of a workspace
 * are consecutive and, with its other jobs, never exceed its entitlement.
 */
export function createAdmission(
  { nowMs }: { readonly nowMs: () => number },
): Admission {
  const buckets = new Map<string, Bucket>();
  const table = createReturnSlotTable(nowMs);

  /** Adds the tokens of the time that has passed and those of slots that weren't used. */
  function refill(bucket: Bucket, ratePerS: number): void {
    bucket.tokens += bucket.slots.removeExpired();
    const elapsedS = (nowMs() - bucket.updatedAtMs) / 1_000;
    bucket.tokens = Math.min(
      computeBurst(ratePerS),
      bucket.tokens + elapsedS * ratePerS,
    );
    bucket.updatedAtMs = nowMs();
  }

  /** Removes the slot of a job, if it has one; its token returns if it wasn't used. */
  function removeSlot(bucket: Bucket, jobId: string): void {
    if (bucket.slots.remove(jobId)?.used === false) bucket.tokens++;
  }

  function findBucket(workspace: string, ratePerS: number): Bucket {
    const known = buckets.get(workspace);
    if (known !== undefined) {
      refill(known, ratePerS);
      return known;
    }
    if (buckets.size >= MAXIMUM_BUCKETS) dropIdleBuckets();
    const bucket: Bucket = {
      tokens: computeBurst(ratePerS),
      updatedAtMs: nowMs(),
      slots: table.createSlots(),
    };
    buckets.set(workspace, bucket);
    return bucket;
  }

  /** Drops the buckets that are full by now; a new bucket is full as well. */
  function dropIdleBuckets(): void {
    for (const [workspace, bucket] of buckets) {
      const idleMs = nowMs() - bucket.updatedAtMs;
      if (idleMs > LONGEST_SLOT_MS + BURST_S * 1_000) {
        table.drop(bucket.slots);
        buckets.delete(workspace);
      }
    }
  }

  function assignSlot(
    bucket: Bucket,
    jobId: string,
    ratePerS: number,
  ): AdmissionDecision {
    const delayMs = (1 - bucket.tokens) * 1_000 / ratePerS;
    const slot = bucket.slots.assign(jobId, delayMs);
    if (slot !== undefined) bucket.tokens--;
    return refuse(bucket.slots.retryAfterMs(slot));
  }

  return {
    slotCount: table.count,
    decide({ workspace, weight, jobId, isFull }) {
      const ratePerS = Math.max(weight, MINIMUM_RATE_PER_S);
      const bucket = findBucket(workspace, ratePerS);
      const slot = bucket.slots.find(jobId);
      if (slot !== undefined) {
        if (slot.used || bucket.slots.isDue(slot)) {
          slot.used = true;
          return ADMITTED;
        }
        if (isFull) return refuse(bucket.slots.retryAfterMs(slot));
        removeSlot(bucket, jobId);
        return ADMITTED_AS_EXCESS;
      }
      removeSlot(bucket, jobId);
      if (bucket.tokens >= 1) {
        bucket.tokens--;
        return ADMITTED;
      }
      return isFull ? assignSlot(bucket, jobId, ratePerS) : ADMITTED_AS_EXCESS;
    },
  };
}

function computeBurst(ratePerS: number): number {
  return Math.max(ratePerS * BURST_S, MINIMUM_BURST_JOBS);
}

function refuse(retryAfterMs: number): AdmissionDecision {
  return {
    kind: "refused",
    reason: "share",
    retryAfterMs,
  };
}
