import type { RunEnding } from "./ports.ts";

/** Failed ends in a row, of different jobs, after which a worker gets no new tasks. */
const FAILURES_TO_QUARANTINE = 2;
/** First time out of use, in ms; doubles each time. */
const QUARANTINE_MS = 3_000;
/** Longest time out of use, in ms. */
const MAXIMUM_QUARANTINE_MS = 24_000;
/** Time out of use after a refusal that shows an unhealthy worker, in ms. */
const UNHEALTHY_PAUSE_MS = 800;
/** Weight of the latest task in the slowness of a worker. */
const SMOOTHING_FACTOR = 0.3;
/** Largest effect of one task on the slowness. */
const MAXIMUM_SLOWNESS = 8;
/** Time after which half of a worker's slowness is forgotten, in ms; slow spells last seconds. */
const SLOWNESS_HALF_LIFE_MS = 4_000;

interface HealthRecord {
  failuresInRow: number;
  failedJobs: Set<string>;
  quarantines: number;
  unavailableUntilMs: number;
  slowness: number;
  slownessAtMs: number;
}

/** What the ends of runs say about the workers themselves. */
export interface WorkerHealth {
  /** Notes an end; returns true when it puts the worker into quarantine. */
  recordEnd(
    workerId: string,
    end: { ending: RunEnding; jobId: string },
  ): boolean;
  /** Notes how much longer than expected a task takes or took; 1 is as expected. */
  recordSlowness(workerId: string, ratio: number): void;
  /** Notes a refusal of an unhealthy worker. */
  recordRefusal(workerId: string): void;
  isAvailable(workerId: string): boolean;
  slowness(workerId: string): number;
  forget(workerId: string): void;
}

/** Creates the record of the workers' health; `nowMs` is a monotonic clock. */
export function createWorkerHealth(nowMs: () => number): WorkerHealth {
  const records = new Map<string, HealthRecord>();

  function getRecord(workerId: string): HealthRecord {
    let health = records.get(workerId);
    if (health === undefined) {
      health = {
        failuresInRow: 0,
        failedJobs: new Set(),
        quarantines: 0,
        unavailableUntilMs: 0,
        slowness: 1,
        slownessAtMs: nowMs(),
      };
      records.set(workerId, health);
    }
    return health;
  }

  function currentSlowness(health: HealthRecord): number {
    const ageMs = nowMs() - health.slownessAtMs;
    return 1 + (health.slowness - 1) * 0.5 ** (ageMs / SLOWNESS_HALF_LIFE_MS);
  }

  return {
    recordEnd(workerId, { ending, jobId }) {
      const health = getRecord(workerId);
      if (ending === "done") {
        health.failuresInRow = 0;
        health.failedJobs.clear();
        health.quarantines = 0;
        return false;
      }
      if (ending !== "failed") return false;
      // Several failures of one job may be the job's own fault.
      if (health.failedJobs.has(jobId)) return false;
      health.failedJobs.add(jobId);
      health.failuresInRow++;
      if (health.failuresInRow < FAILURES_TO_QUARANTINE) return false;
      health.failuresInRow = FAILURES_TO_QUARANTINE - 1;
      health.failedJobs.clear();
      health.unavailableUntilMs = nowMs() +
        Math.min(
          QUARANTINE_MS * 2 ** health.quarantines,
          MAXIMUM_QUARANTINE_MS,
        );
      health.quarantines++;
      return true;
    },
    recordSlowness(workerId, ratio) {
      const health = getRecord(workerId);
      const slowness = currentSlowness(health);
      health.slowness = slowness +
        (Math.min(ratio, MAXIMUM_SLOWNESS) - slowness) * SMOOTHING_FACTOR;
      health.slownessAtMs = nowMs();
    },
    recordRefusal(workerId) {
      const health = getRecord(workerId);
      health.unavailableUntilMs = Math.max(
        health.unavailableUntilMs,
        nowMs() + UNHEALTHY_PAUSE_MS,
      );
    },
    isAvailable: (workerId) =>
      (records.get(workerId)?.unavailableUntilMs ?? 0) <= nowMs(),
    slowness(workerId) {
      const health = records.get(workerId);
      return health === undefined ? 1 : currentSlowness(health);
    },
    forget: (workerId) => void records.delete(workerId),
  };
}
