interface Entry<T> {
  readonly deadlineAtMs: number;
  /** Position in the order of insertion, which decides between equal deadlines. */
  readonly sequence: number;
  readonly item: T;
}

/** Priority queue that returns the item with the earliest deadline first; a binary heap. */
export class DeadlineQueue<T> {
  #heap: Entry<T>[] = [];
  #nextSequence = 0;

  /** Number of queued items. */
  get size(): number {
    return this.#heap.length;
  }

  /** Adds an item with its deadline, in monotonic ms. */
  add(item: T, deadlineAtMs: number): void {
    const entry = { deadlineAtMs, sequence: this.#nextSequence++, item };
    const heap = this.#heap;
    let index = heap.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent]!, entry)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = entry;
  }

  /** Removes and returns the item with the earliest deadline; undefined when the queue is empty. */
  take(): T | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined) return undefined;
    if (heap.length > 0) this.#replaceFirst(last);
    return first.item;
  }

  #replaceFirst(entry: Entry<T>): void {
    const heap = this.#heap;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (
        child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)
      ) child++;
      if (isBefore(entry, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = entry;
  }
}

function isBefore<T>(first: Entry<T>, second: Entry<T>): boolean {
  return first.deadlineAtMs < second.deadlineAtMs ||
    (first.deadlineAtMs === second.deadlineAtMs &&
      first.sequence < second.sequence);
}
