import { type Operation, spawn } from "effection";
import { createNotifier } from "../notifier.ts";
import { type CommitLane, createCommitLane } from "./commit_lane.ts";
import { selectRecords } from "./commit_selection.ts";
import type { Journal, JournalOptions } from "./journal.ts";
import { createRepeatedChanges } from "./repeated_change.ts";

/** Minimum time between the first attempts of two commits, in ms, unless a full commit is pending; limits small commits to 40 per second. */
const COMMIT_INTERVAL_MS = 25;
/** Time for which a commit must have been in flight before a further lane is used, in ms; a response normally takes 4 ms. */
const SLOW_RESPONSE_MS = 50;
/** Longest time between two checks for pending records, in ms; every change wakes the journal. */
const IDLE_WAIT_MS = 1_000;

interface PendingRecord {
  encode: () => string | undefined;
  onRejected: ((reason: string) => void) | undefined;
  urgent: boolean;
  after: string | undefined;
  /** Number of the earliest `put` that the record stands for. */
  readonly sequence: number;
  readonly callbacks: (() => void)[];
  /** Callbacks that also wait for all records scheduled before them. */
  readonly orderedCallbacks: Barrier[];
}

/** A callback that waits until no record of a `put` up to `sequence` is pending or in flight. */
interface Barrier {
  readonly sequence: number;
  readonly callback: () => void;
}

interface LaneState {
  readonly lane: CommitLane;
  /** Monotonic time of the first attempt of the commit in flight, in ms; undefined while the lane is free. */
  sentAtMs: number | undefined;
}

/**
 * Creates the journal of a tenure with several lanes, which keeps several commits
 * in flight while the store is slow. A record may be stored before records of
 * other keys that were scheduled earlier, unless it names one in `after`.
 */
export function createLanedJournal(options: JournalOptions): Journal {
  const { tenure, clock } = options;
  // Shared by the lanes, so that one slow response is enough to learn the response time.
  const changes = createRepeatedChanges(options);
  const lanes = Array.from({ length: tenure.lanes }, (_, lane): LaneState => ({
    lane: createCommitLane({ ...options, changes, lane }),
    sentAtMs: undefined,
  }));
  /** Records in the order of their earliest `put`. */
  const pending = new Map<string, PendingRecord>();
  /** Numbers of the earliest `put` of the records in flight, by key. */
  const inFlight = new Map<string, number>();
  /** Numbers of rejected records, by key, until the record scheduled in their place is stored or rejected. */
  const replaced = new Map<string, number>();
  const wake = createNotifier();
  let barriers: Barrier[] = [];
  let latestSequence = 0;
  let latestSendAtMs = -Infinity;

  /** Returns the first free lane and the time until it may send, in ms; undefined if nothing can be sent. */
  function findSendingLane():
    | { state: LaneState; delayMs: number }
    | undefined {
    if (pending.size === 0) return undefined;
    const state = lanes.find(({ sentAtMs }) => sentAtMs === undefined);
    if (state === undefined) return undefined;
    const nowMs = clock.monotonicMs();
    const intervalEndMs = pending.size >= state.lane.capacity
      ? nowMs
      : latestSendAtMs + COMMIT_INTERVAL_MS;
    const slowAtMs = state === lanes[0]
      ? nowMs
      : Math.min(...lanes.map(({ sentAtMs }) => sentAtMs ?? Infinity)) +
        SLOW_RESPONSE_MS;
    return { state, delayMs: Math.max(intervalEndMs, slowAtMs) - nowMs };
  }

  function runBarriers(): void {
    if (barriers.length === 0) return;
    const [firstPending] = pending.values();
    const oldest = Math.min(
      firstPending?.sequence ?? Infinity,
      ...inFlight.values(),
      ...replaced.values(),
    );
    const passed = barriers.filter(({ sequence }) => sequence < oldest);
    barriers = barriers.filter(({ sequence }) => sequence >= oldest);
    for (const { callback } of passed) callback();
  }

  /** Takes the records of the next commit; returns undefined if all pending ones have to wait for commits in flight. */
  function takeRecords(
    { lane }: LaneState,
  ): { key: string; record: PendingRecord }[] | undefined {
    const keys = selectRecords(
      pending,
      (key) => inFlight.has(key),
      lane.capacity,
    );
    if (keys.length === 0) return undefined;
    return keys.map((key) => {
      const record = pending.get(key)!;
      pending.delete(key);
      inFlight.set(key, record.sequence);
      return { key, record };
    });
  }

  function* store(
    state: LaneState,
    records: readonly { key: string; record: PendingRecord }[],
  ): Operation<void> {
    const rejected = yield* state.lane.commit(
      records.map(({ key, record }) => ({ key, encode: record.encode })),
    );
    state.sentAtMs = undefined;
    for (const { key } of records) {
      inFlight.delete(key);
      replaced.delete(key);
    }
    for (const { key, record } of records) {
      const rejection = rejected.find((other) => other.key === key);
      if (rejection === undefined) {
        barriers.push(...record.orderedCallbacks);
        for (const callback of record.callbacks) callback();
      } else {
        record.onRejected?.(rejection.reason);
        if (pending.has(key)) replaced.set(key, record.sequence);
      }
    }
    wake.notify();
  }

  return {
    put(
      {
        key,
        encode,
        onStored,
        onRejected,
        urgent = false,
        inOrder = false,
        after,
      },
    ) {
      const sequence = ++latestSequence;
      const record: PendingRecord = pending.get(key) ?? {
        encode,
        urgent,
        onRejected,
        after,
        sequence,
        callbacks: [],
        orderedCallbacks: [],
      };
      record.encode = encode;
      record.onRejected = onRejected ?? record.onRejected;
      record.urgent ||= urgent;
      record.after ??= after;
      if (onStored !== undefined) {
        if (inOrder) {
          record.orderedCallbacks.push({ sequence, callback: onStored });
        } else record.callbacks.push(onStored);
      }
      pending.set(key, record);
      wake.notify();
    },
    afterFlush(callback) {
      barriers.push({ sequence: latestSequence, callback });
      wake.notify();
    },
    pending: () => pending.size,
    *run() {
      for (;;) {
        runBarriers();
        const next = findSendingLane();
        if (next === undefined || next.delayMs > 0) {
          yield* wake.wait(Math.min(next?.delayMs ?? Infinity, IDLE_WAIT_MS));
          continue;
        }
        const records = takeRecords(next.state);
        if (records === undefined) {
          yield* wake.wait(IDLE_WAIT_MS);
          continue;
        }
        next.state.sentAtMs = latestSendAtMs = clock.monotonicMs();
        yield* spawn(() => store(next.state, records));
      }
    },
  };
}
