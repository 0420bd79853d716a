/** Long-poll time for ended runs on a worker that runs tasks, in ms; limits how late an unreachable worker is detected. */
const ACTIVE_WAIT_MS = 900;
/** Long-poll time on an idle worker, in ms. */
const IDLE_WAIT_MS = 2_000;
/** Long-poll time while the worker needs frequent polls, in ms. */
const FREQUENT_WAIT_MS = 350;
/** Pause after a poll without a response, in ms. */
const FAILED_POLL_PAUSE_MS = 150;

/** Time for which lost responses count, in ms. */
const LOSS_WINDOW_MS = 3_000;
/** Number of workers that must have left a poll unanswered and responded again for responses to count as being lost. */
const LOSSY_WORKERS = 3;
/** Long-poll time on a worker that runs tasks while responses are lost, in ms: nothing is learned from it until the poll times out. */
const LOSSY_ACTIVE_WAIT_MS = 200;
/** Long-poll time on an idle worker while responses are lost, in ms; a task that starts meanwhile may end unseen. */
const LOSSY_IDLE_WAIT_MS = 500;
/** Time that a response may take beyond the long-poll time while responses are lost, in ms; usually it takes a few ms. */
const LOSSY_RESPONSE_TIMEOUT_MS = 150;
/** Pause after a poll without a response while responses are lost, in ms. */
const LOSSY_PAUSE_MS = 10;

/** Shortest pause before a poll of a worker whose ends can't be acknowledged yet, in ms; they end a long poll at once. */
const WITHHELD_PAUSE_MS = 80;
/** Pause for each such worker, in ms, so that many of them don't use up the owner's processor. */
const WITHHELD_PAUSE_PER_WORKER_MS = 1.5;
/** Time after its latest poll for which such a worker counts, in ms. */
const WITHHELD_WINDOW_MS = 1_000;

/** What the owner knows of a worker that it is about to poll. */
export interface PolledWorker {
  readonly mayHaveRuns: boolean;
  readonly needsFrequentPolls: boolean;
}

/** How a worker is polled. */
export interface PollTimes {
  /** Long-poll time, in ms. */
  readonly waitMs: number;
  /** Time that the response may take beyond `waitMs`, in ms; undefined for the usual one. */
  readonly responseTimeoutMs: number | undefined;
}

/** Chooses how long the owner's polls of its workers wait. */
export interface PollPacing {
  /** Records that a worker that responded before has left a poll unanswered. */
  recordSilence(workerId: string): void;
  /** Records that a worker responds again after a silence. */
  recordReturn(workerId: string): void;
  next(worker: PolledWorker): PollTimes;
  /** Returns the pause after a poll without a response, in ms. */
  failedPollPauseMs(): number;
  /** Returns the pause before a poll of a worker whose ends can't be acknowledged yet, in ms. */
  withheldPauseMs(workerId: string): number;
}

/**
 * Creates the pacing of one tenure. A worker whose response to a long poll is
 * lost reports nothing until that poll times out. With one poll in twenty lost,
 * a busy worker would spend more than half of the time like that, and each job
 * would end about a second late. While several workers fall silent and respond
 * again, polls are therefore short; a worker that stays silent doesn't count.
 * `nowMs` is a monotonic clock.
 */
export function createPollPacing(nowMs: () => number): PollPacing {
  const silentWorkers = new Set<string>();
  /** Time of the latest lost response of each worker, in ms. */
  const lostAtMs = new Map<string, number>();

  /** Time of the latest poll of each worker whose ends couldn't be acknowledged, in ms. */
  const withheldAtMs = new Map<string, number>();

  function isLossy(): boolean {
    const limitMs = nowMs() - LOSS_WINDOW_MS;
    for (const [workerId, timeMs] of lostAtMs) {
      if (timeMs < limitMs) lostAtMs.delete(workerId);
    }
    return lostAtMs.size >= LOSSY_WORKERS;
  }

  function usualWaitMs(worker: PolledWorker): number {
    if (worker.needsFrequentPolls) return FREQUENT_WAIT_MS;
    return worker.mayHaveRuns ? ACTIVE_WAIT_MS : IDLE_WAIT_MS;
  }

  return {
    recordSilence(workerId) {
      silentWorkers.add(workerId);
    },
    recordReturn(workerId) {
      if (silentWorkers.delete(workerId)) lostAtMs.set(workerId, nowMs());
    },
    next(worker) {
      if (!isLossy()) {
        return { waitMs: usualWaitMs(worker), responseTimeoutMs: undefined };
      }
      return {
        waitMs: worker.mayHaveRuns ? LOSSY_ACTIVE_WAIT_MS : LOSSY_IDLE_WAIT_MS,
        responseTimeoutMs: LOSSY_RESPONSE_TIMEOUT_MS,
      };
    },
    withheldPauseMs(workerId) {
      withheldAtMs.set(workerId, nowMs());
      const limitMs = nowMs() - WITHHELD_WINDOW_MS;
      for (const [id, timeMs] of withheldAtMs) {
        if (timeMs < limitMs) withheldAtMs.delete(id);
      }
      return Math.max(
        WITHHELD_PAUSE_MS,
        withheldAtMs.size * WITHHELD_PAUSE_PER_WORKER_MS,
      );
    },
    failedPollPauseMs: () => isLossy() ? LOSSY_PAUSE_MS : FAILED_POLL_PAUSE_MS,
  };
}
