/** Decision about a submission, made by the owner before an entry stores the job. */
export type AdmissionDecision =
  /** `excess` marks a job beyond what its workspace is owed; it comes after the others while the pool is full. */
  | { readonly kind: "admitted"; readonly excess: boolean }
  | {
    readonly kind: "refused";
    readonly reason: "share" | "overload";
    /** Time after which the caller should return, in ms. */
    readonly retryAfterMs: number;
  };

/** Time for which a workspace may send its entitlement in advance, in seconds. */
const BURST_S = 2;
/** Minimum burst, in jobs; a workspace of a small weight sends several jobs at once, too. */
const MINIMUM_BURST_JOBS = 5;
/** Minimum rate of a workspace, in jobs per second, so that slots are finite for a weight of 0. */
const MINIMUM_RATE_PER_S = 0.1;
/**
 * Furthest slot that is assigned, in ms. Callers that give up keep their slots
 * until these expire, so that more distant slots would delay the others longer.
 */
const HORIZON_MS = 30_000;
/** Time for which a slot can be used, in ms: 1 s because `Retry-After` is rounded up to whole seconds, and 2 s for the caller's way back. */
const SLOT_VALID_MS = 3_000;
/** Time before its slot at which a caller is admitted already, in ms, because timers may fire early. */
const EARLY_MARGIN_MS = 50;
/** Maximum number of slots of all workspaces, which limits the owner's memory to about 3 MB. */
const MAXIMUM_SLOTS = 20_000;
/** Number of buckets above which full ones are dropped; workspaces may be renamed any number of times. */
const MAXIMUM_BUCKETS = 1_000;

/** Time reserved for the return of a refused caller. */
interface Slot {
  readonly atMs: number;
  /** A used slot remains until it expires, because the entry may have failed to store the job. */
  used: boolean;
}

interface Bucket {
  /** Jobs that may be sent now; negative if slots have been assigned in advance. */
  tokens: number;
  updatedAtMs: number;
  /** Slots by job ID, in the order of their assignment. */
  readonly slots: Map<string, Slot>;
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
  let slotCount = 0;

  function removeSlot(bucket: Bucket, jobId: string, slot: Slot): void {
    bucket.slots.delete(jobId);
    slotCount--;
    if (!slot.used) bucket.tokens++;
  }

  const isExpired = (slot: Slot) => nowMs() > slot.atMs + SLOT_VALID_MS;

  /** Adds the tokens of the time that has passed and those of slots that weren't used. */
  function refill(bucket: Bucket, ratePerS: number): void {
    for (const [jobId, slot] of bucket.slots) {
      if (!isExpired(slot)) break;
      removeSlot(bucket, jobId, slot);
    }
    const elapsedS = (nowMs() - bucket.updatedAtMs) / 1_000;
    bucket.tokens = Math.min(
      computeBurst(ratePerS),
      bucket.tokens + elapsedS * ratePerS,
    );
    bucket.updatedAtMs = nowMs();
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
      slots: new Map(),
    };
    buckets.set(workspace, bucket);
    return bucket;
  }

  /** Drops the buckets that are full by now; a new bucket is full as well. */
  function dropIdleBuckets(): void {
    for (const [workspace, bucket] of buckets) {
      const idleMs = nowMs() - bucket.updatedAtMs;
      if (idleMs > HORIZON_MS + SLOT_VALID_MS + BURST_S * 1_000) {
        slotCount -= bucket.slots.size;
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
    const isAssignable = delayMs <= HORIZON_MS && slotCount < MAXIMUM_SLOTS;
    if (isAssignable) {
      bucket.tokens--;
      bucket.slots.set(jobId, { atMs: nowMs() + delayMs, used: false });
      slotCount++;
    }
    return refuse(isAssignable ? delayMs : HORIZON_MS);
  }

  return {
    slotCount: () => slotCount,
    decide({ workspace, weight, jobId, isFull }) {
      const ratePerS = Math.max(weight, MINIMUM_RATE_PER_S);
      const bucket = findBucket(workspace, ratePerS);
      const slot = bucket.slots.get(jobId);
      if (slot !== undefined && !isExpired(slot)) {
        if (slot.used || nowMs() >= slot.atMs - EARLY_MARGIN_MS) {
          slot.used = true;
          return ADMITTED;
        }
        if (isFull) return refuse(slot.atMs - nowMs());
        removeSlot(bucket, jobId, slot);
        return ADMITTED_AS_EXCESS;
      }
      if (slot !== undefined) removeSlot(bucket, jobId, slot);
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
    retryAfterMs: Math.max(1, Math.ceil(retryAfterMs)),
  };
}
