/** Number of fencing tokens of each epoch. */
const TOKENS_PER_EPOCH = 10_000;

/** What an owner knows of a worker process when it calls it for the first time. */
export interface WorkerLife {
  /** Fencing token of the owner's calls to the process. */
  readonly fence: number;
  /** Whether the owner has called an earlier process of the worker, so that no other owner can have called this one. */
  readonly isSuccessor: boolean;
}

/** Numbers the processes of each worker in the order in which one owner gets to know them. */
export interface WorkerLives {
  /**
   * Adds a process that the owner hasn't called yet. Its fencing token is higher
   * than that of the worker's earlier processes, so that from the first call on, it
   * refuses calls that were meant for those: they name the same worker ID and may
   * be executed late.
   */
  add(workerId: string): WorkerLife;
}

/** Creates the numbering of the owner with an epoch; its tokens are higher than all of earlier owners. */
export function createWorkerLives(epoch: number): WorkerLives {
  const lives = new Map<string, number>();
  return {
    add(workerId) {
      const life = lives.get(workerId) ?? 0;
      // The last token is shared by all further processes, as the next one belongs to the next owner.
      lives.set(workerId, Math.min(life + 1, TOKENS_PER_EPOCH - 1));
      return { fence: epoch * TOKENS_PER_EPOCH + life, isSuccessor: life > 0 };
    },
  };
}
