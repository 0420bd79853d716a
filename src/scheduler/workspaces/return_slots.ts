/**
 * Furthest slot that is assigned, in ms. Callers that give up keep their slots
 * until these expire, so that more distant slots would delay the others longer.
 */
const HORIZON_MS = 30_000;
/** Time for which a slot can be used, in ms: 1 s because `Retry-After` is rounded up to whole seconds, and 2 s for the caller's way back. */
const SLOT_VALID_MS = 3_000;
/** Time before its slot at which a caller counts as returned, in ms, because timers may fire early. */
const EARLY_MARGIN_MS = 50;
/** Maximum number of slots in a table, which limits the owner's memory to about 3 MB. */
const MAXIMUM_SLOTS = 20_000;

/** Longest time until an assigned slot expires, in ms. */
export const LONGEST_SLOT_MS = HORIZON_MS + SLOT_VALID_MS;

/** Time reserved for the return of a refused caller. */
export interface ReturnSlot {
  readonly atMs: number;
  /** A used slot remains until it expires, because the entry may have failed to store the job. */
  used: boolean;
}

/** Slots of one queue of refused callers, by job ID. */
export interface ReturnSlots {
  readonly size: number;
  /** Returns the slot of a job unless it has expired. */
  find(jobId: string): ReturnSlot | undefined;
  /** Whether the time of a slot has come. */
  isDue(slot: ReturnSlot): boolean;
  /**
   * Assigns a slot `delayMs` from now. Returns undefined if it is beyond the
   * horizon or the table is full; the caller is then told to return after the
   * horizon.
   */
  assign(jobId: string, delayMs: number): ReturnSlot | undefined;
  /** Removes a slot and returns it; undefined if the job has none. */
  remove(jobId: string): ReturnSlot | undefined;
  /** Removes expired slots, oldest first, and returns how many of them weren't used. */
  removeExpired(): number;
  /** Time after which the caller is told to return, in ms; `undefined` stands for a caller without a slot. */
  retryAfterMs(slot: ReturnSlot | undefined): number;
}

/** Slots of several queues, which share one limit. */
export interface ReturnSlotTable {
  /** Returns the number of slots in all queues. */
  count(): number;
  /** Creates a queue without slots. */
  createSlots(): ReturnSlots;
  /** Subtracts the slots of a queue that is no longer used. */
  drop(slots: ReturnSlots): void;
}

/** Creates a table without slots; `nowMs` returns the monotonic time. */
export function createReturnSlotTable(nowMs: () => number): ReturnSlotTable {
  let count = 0;
  const isExpired = (slot: ReturnSlot) => nowMs() > slot.atMs + SLOT_VALID_MS;

  function createSlots(): ReturnSlots {
    /** In the order of their assignment. */
    const slots = new Map<string, ReturnSlot>();

    function remove(jobId: string): ReturnSlot | undefined {
      const slot = slots.get(jobId);
      if (slots.delete(jobId)) count--;
      return slot;
    }

    return {
      get size() {
        return slots.size;
      },
      find(jobId) {
        const slot = slots.get(jobId);
        return slot === undefined || isExpired(slot) ? undefined : slot;
      },
      isDue: (slot) => nowMs() >= slot.atMs - EARLY_MARGIN_MS,
      assign(jobId, delayMs) {
        if (delayMs > HORIZON_MS || count >= MAXIMUM_SLOTS) return undefined;
        remove(jobId);
        const slot = { atMs: nowMs() + delayMs, used: false };
        slots.set(jobId, slot);
        count++;
        return slot;
      },
      remove,
      removeExpired() {
        let unused = 0;
        for (const [jobId, slot] of slots) {
          if (!isExpired(slot)) break;
          remove(jobId);
          if (!slot.used) unused++;
        }
        return unused;
      },
      retryAfterMs: (slot) =>
        Math.max(
          1,
          Math.ceil(slot === undefined ? HORIZON_MS : slot.atMs - nowMs()),
        ),
    };
  }

  return {
    count: () => count,
    createSlots,
    drop(slots) {
      count -= slots.size;
    },
  };
}
