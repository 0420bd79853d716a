import type { RunEnding } from "./ports.ts";

/** Consecutive failed runs, of different jobs, after which a worker is quarantined. */
const FAILURES_TO_QUARANTINE = 2;
/** Length of the first quarantine, in ms; it doubles with each further one. */
const QUARANTINE_MS = 3_000;
/** Maximum length of a quarantine, in ms. */
const MAXIMUM_QUARANTINE_MS = 24_000;
/** Pause in placing tasks on a worker after it refused an order or could not be reached, in ms. */
const UNHEALTHY_PAUSE_MS = 800;
/** Weight of the latest task in the moving average of a worker's slowness. */
const SMOOTHING_FACTOR = 0.3;
/** Upper limit of the duration ratio that one task contributes to a worker's slowness. */
const MAXIMUM_SLOWNESS = 8;
/** Half-life of the part of a worker's slowness above 1, in ms; workers are slow for a few seconds at a time. */
const SLOWNESS_HALF_LIFE_MS = 4_000;

interface HealthRecord {
  failuresInRow: number;
  failedJobs: Set<string>;
  quarantines: number;
  unavailableUntilMs: number;
  slowness: number;
  slownessAtMs: number;
}

/** Tracks the health of workers from the outcomes of runs and orders. */
export interface WorkerHealth {
  /** Records how a run ended; returns true if the worker is quarantined because of it. */
  recordEnd(
    workerId: string,
    end: {
      ending: RunEnding;
      jobId: string;
      /** Whether a long-running task was at work for so long that the worker isn't at fault. */
      hasLasted?: boolean;
    },
  ): boolean;
  /** Records the ratio of a task's actual or projected duration to the expected one. */
  recordSlowness(workerId: string, ratio: number): void;
  /** Records that a start order was refused, not delivered or not answered. */
  recordRefusal(workerId: string): void;
  /** Whether the worker is neither quarantined nor paused after a refusal. */
  isAvailable(workerId: string): boolean;
  /** Returns how many times longer than expected tasks take on the worker; 1 is normal. */
  slowness(workerId: string): number;
  /** Drops what was recorded about a worker. */
  forget(workerId: string): void;
}

/** Creates the health tracking of workers; `nowMs` is a monotonic clock. */
export function createWorkerHealth(nowMs: () => number): WorkerHealth {
  const records = new Map<string, HealthRecord>();

  function getRecord(workerId: string): HealthRecord {
    let record = records.get(workerId);
    if (record === undefined) {
      record = {
        failuresInRow: 0,
        failedJobs: new Set(),
        quarantines: 0,
        unavailableUntilMs: 0,
        slowness: 1,
        slownessAtMs: nowMs(),
      };
      records.set(workerId, record);
    }
    return record;
  }

  function currentSlowness(record: HealthRecord): number {
    const ageMs = nowMs() - record.slownessAtMs;
    return 1 + (record.slowness - 1) * 0.5 ** (ageMs / SLOWNESS_HALF_LIFE_MS);
  }

  return {
    recordEnd(workerId, { ending, jobId, hasLasted = false }) {
      const record = getRecord(workerId);
      if (ending === "done" || hasLasted) {
        record.failuresInRow = 0;
        record.failedJobs.clear();
        record.quarantines = 0;
        return false;
      }
      if (ending !== "failed") return false;
      // Repeated failures of one job may be the job's own fault, so each job counts once.
      if (record.failedJobs.has(jobId)) return false;
      record.failedJobs.add(jobId);
      record.failuresInRow++;
      if (record.failuresInRow < FAILURES_TO_QUARANTINE) return false;
      record.failuresInRow = FAILURES_TO_QUARANTINE - 1;
      record.failedJobs.clear();
      record.unavailableUntilMs = nowMs() +
        Math.min(
          QUARANTINE_MS * 2 ** record.quarantines,
          MAXIMUM_QUARANTINE_MS,
        );
      record.quarantines++;
      return true;
    },
    recordSlowness(workerId, ratio) {
      const record = getRecord(workerId);
      const slowness = currentSlowness(record);
      record.slowness = slowness +
        (Math.min(ratio, MAXIMUM_SLOWNESS) - slowness) * SMOOTHING_FACTOR;
      record.slownessAtMs = nowMs();
    },
    recordRefusal(workerId) {
      const record = getRecord(workerId);
      record.unavailableUntilMs = Math.max(
        record.unavailableUntilMs,
        nowMs() + UNHEALTHY_PAUSE_MS,
      );
    },
    isAvailable: (workerId) =>
      (records.get(workerId)?.unavailableUntilMs ?? 0) <= nowMs(),
    slowness(workerId) {
      const record = records.get(workerId);
      return record === undefined ? 1 : currentSlowness(record);
    },
    forget: (workerId) => void records.delete(workerId),
  };
}
