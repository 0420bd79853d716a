/** Sends orders, of which at most a number are in progress at a time; the others wait in the order in which they came. */
export interface OrderQueue<Key> {
  /**
   * Sends an order once there is room, unless one with the same key waits or is in
   * progress. `send` never rejects.
   */
  add(key: Key, send: () => Promise<unknown>): void;
}

/** Creates a queue that has at most `limit` orders in progress. */
export function createOrderQueue<Key>(limit: number): OrderQueue<Key> {
  const waiting = new Map<Key, () => Promise<unknown>>();
  const inProgress = new Set<Key>();

  async function send(
    key: Key,
    order: () => Promise<unknown>,
  ): Promise<void> {
    waiting.delete(key);
    inProgress.add(key);
    try {
      await order();
    } finally {
      inProgress.delete(key);
      sendNext();
    }
  }

  function sendNext(): void {
    for (const [key, order] of waiting) {
      if (inProgress.size >= limit) return;
      void send(key, order);
    }
  }

  return {
    add(key, order) {
      if (waiting.has(key) || inProgress.has(key)) return;
      waiting.set(key, order);
      sendNext();
    },
  };
}
