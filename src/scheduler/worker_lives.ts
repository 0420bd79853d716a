import { createNotifier, type Notifier } from "../notifier.ts";

/**
 * Number of fencing tokens of each epoch. A worker that ends runs all the time
 * takes a few per second; the token of the last epoch stays a safe integer.
 */
const TOKENS_PER_EPOCH = 100_000_000;
/** Time after which a call without an answer is no longer executed, in ms; platforms have taken up to 12 s. */
export const LATE_CALL_LIMIT_MS = 12_500;

/** Number of workers from which on those are forgotten that haven't been called for a long time: each VM gets a new one with each move. */
const MANY_WORKERS = 20_000;
/** Time after its last call at which a worker may be forgotten, in ms; one that is registered is called all the time. */
const FORGET_AFTER_MS = 600_000;

/** An attempt to send a start order. */
export interface StartAttempt {
  readonly fence: number;
  /** Records the outcome; a start without an answer may be executed late. */
  end(isAnswered: boolean): void;
}

/**
 * What an owner knows of a worker process when it calls it for the first time,
 * and the fencing tokens of its calls.
 *
 * A call without an answer may be executed late by the worker's next process,
 * which has seen no token. A start order and an acknowledgement would be harmful
 * there in that order: the process counts its ends from 1 and would forget the
 * end of the run unread. The next process may also start a task again whose end
 * was acknowledged. So a start has a higher token than each earlier
 * acknowledgement, and an acknowledgement waits until earlier starts are answered
 * or have lapsed.
 */
export interface WorkerLife {
  /** Whether the process started while the owner called the worker, so that no other owner can have called it. */
  readonly isSuccessor: boolean;
  /** Highest fencing token of the calls to the process so far. */
  readonly fence: number;
  /** Records that a call that extends the lease is about to be sent. */
  beginExtension(): void;
  /** Returns the monotonic time until which a call to the worker that extends the lease may still be executed, by whichever process, in ms. */
  extensionsEndMs(): number;
  /** Begins an attempt to send a start order. */
  beginStart(): StartAttempt;
  /** Gives the calls from now on a higher token, so that whichever process executes one of them refuses all earlier starts. */
  raiseFence(): void;
  /** Whether all starts at the worker were answered or have lapsed, so that a poll may acknowledge ends. */
  mayAcknowledge(): boolean;
  /** Records that a poll that acknowledges ends is about to be sent. */
  beginAcknowledgement(): void;
  /** Notified when no start is in progress any more. */
  readonly startsEnded: Notifier;
}

/** Numbers the processes of each worker in the order in which one owner gets to know them. */
export interface WorkerLives {
  /**
   * Adds a process to which a link is opened; `bornAtMs` is its start time in ms
   * since 1970. Its fencing token is higher than that of the worker's earlier
   * processes, so that from the first call on, it refuses calls that were meant for
   * those: they name the same worker ID and may be executed late.
   */
  add(workerId: string, bornAtMs: number): WorkerLife;
  /** Returns the same for a worker; `-Infinity` if there was no such call. */
  extensionsEndMs(workerId: string): number;
}

/** Calls of one owner to a worker, whichever process executes them. */
interface WorkerCalls {
  /** Start time of the process that was added last, in ms since 1970. */
  bornAtMs: number;
  /** The latest token, counted from the epoch's first. */
  latestToken: number;
  /** Monotonic time at which the worker became known, in ms. */
  readonly addedAtMs: number;
  /** Monotonic time of the latest call that extends the lease, in ms. */
  extendedAtMs: number;
  /** Token of the latest poll that acknowledged ends; -1 before the first. */
  acknowledgedWith: number;
  startsInProgress: number;
  /** Monotonic time until which a start without an answer may be executed, in ms. */
  lateStartEndMs: number;
  readonly startsEnded: Notifier;
}

/**
 * Creates the numbering of the owner with an epoch; its tokens are higher than all
 * of earlier owners. `nowMs` is a monotonic clock; `earlierStartsEndMs` returns
 * until when a worker may execute a start without an answer of an earlier owner.
 */
export function createWorkerLives(
  epoch: number,
  nowMs: () => number,
  earlierStartsEndMs: (workerId: string) => number = () => -Infinity,
): WorkerLives {
  const callsByWorker = new Map<string, WorkerCalls>();
  /** Token of the next unknown worker, which is higher than those of forgotten ones. */
  let firstToken = 0;

  // All calls beyond the last token share it, as the next one belongs to the next owner.
  const nextToken = (calls: WorkerCalls) =>
    calls.latestToken = Math.min(calls.latestToken + 1, TOKENS_PER_EPOCH - 1);

  function createLife(calls: WorkerCalls, isSuccessor: boolean): WorkerLife {
    let token = calls.latestToken;
    const fenceOf = (number: number) => epoch * TOKENS_PER_EPOCH + number;
    return {
      isSuccessor,
      get fence() {
        return fenceOf(token);
      },
      beginExtension() {
        calls.extendedAtMs = nowMs();
      },
      extensionsEndMs: () => calls.extendedAtMs + LATE_CALL_LIMIT_MS,
      beginStart() {
        // The tokens after those of an ended process belong to the next one.
        if (calls.acknowledgedWith >= token && calls.latestToken === token) {
          token = nextToken(calls);
        }
        calls.startsInProgress++;
        return {
          fence: fenceOf(token),
          end(isAnswered) {
            calls.startsInProgress--;
            if (!isAnswered) {
              calls.lateStartEndMs = nowMs() + LATE_CALL_LIMIT_MS;
            }
            if (calls.startsInProgress === 0) calls.startsEnded.notify();
          },
        };
      },
      raiseFence() {
        if (calls.latestToken === token) token = nextToken(calls);
      },
      mayAcknowledge: () =>
        calls.startsInProgress === 0 && nowMs() > calls.lateStartEndMs,
      beginAcknowledgement() {
        calls.acknowledgedWith = Math.max(calls.acknowledgedWith, token);
      },
      startsEnded: calls.startsEnded,
    };
  }

  function forgetOldWorkers(): void {
    const limitMs = nowMs() - FORGET_AFTER_MS;
    for (const [workerId, calls] of callsByWorker) {
      const { addedAtMs, extendedAtMs, latestToken } = calls;
      if (Math.max(addedAtMs, extendedAtMs) < limitMs) {
        callsByWorker.delete(workerId);
        firstToken = Math.max(firstToken, latestToken + 1);
      }
    }
  }

  return {
    add(workerId, bornAtMs) {
      const known = callsByWorker.get(workerId);
      if (known === undefined) {
        if (callsByWorker.size >= MANY_WORKERS) forgetOldWorkers();
        const calls: WorkerCalls = {
          bornAtMs,
          latestToken: firstToken,
          addedAtMs: nowMs(),
          extendedAtMs: -Infinity,
          acknowledgedWith: -1,
          startsInProgress: 0,
          lateStartEndMs: earlierStartsEndMs(workerId),
          startsEnded: createNotifier(),
        };
        callsByWorker.set(workerId, calls);
        return createLife(calls, false);
      }
      const isSuccessor = known.bornAtMs < bornAtMs;
      known.bornAtMs = bornAtMs;
      nextToken(known);
      return createLife(known, isSuccessor);
    },
    extensionsEndMs: (workerId) =>
      (callsByWorker.get(workerId)?.extendedAtMs ?? -Infinity) +
      LATE_CALL_LIMIT_MS,
  };
}
