/** Number of fencing tokens of each epoch. */
const TOKENS_PER_EPOCH = 10_000;

/** What an owner knows of a worker process when it calls it for the first time. */
export interface WorkerLife {
  /** Fencing token of the owner's calls to the process. */
  readonly fence: number;
  /** Whether the process started while the owner called the worker, so that no other owner can have called it. */
  readonly isSuccessor: boolean;
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
}

/** Creates the numbering of the owner with an epoch; its tokens are higher than all of earlier owners. */
export function createWorkerLives(epoch: number): WorkerLives {
  /** The process that was added last, by worker ID. */
  const latest = new Map<string, { life: number; bornAtMs: number }>();
  return {
    add(workerId, bornAtMs) {
      const previous = latest.get(workerId);
      // All processes beyond the last token share it, as the next one belongs to the next owner.
      const life = previous === undefined
        ? 0
        : Math.min(previous.life + 1, TOKENS_PER_EPOCH - 1);
      latest.set(workerId, { life, bornAtMs });
      return {
        fence: epoch * TOKENS_PER_EPOCH + life,
        isSuccessor: previous !== undefined && previous.bornAtMs < bornAtMs,
      };
    },
  };
}
