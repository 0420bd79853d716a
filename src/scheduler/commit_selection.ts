/**
 * Places of a commit that the oldest records get even if more urgent ones wait,
 * so that ends are stored, and the workers' lists of ended runs shrink, while
 * starts fill every commit.
 */
const RESERVED_PLACES = 6;

/** What the selection needs to know of a pending record. */
export interface SelectableRecord {
  /** Whether an order waits for the record. */
  readonly urgent: boolean;
  /** Key of a record that must be stored before this one or with it. */
  readonly after: string | undefined;
}

/**
 * Chooses the keys of the next commit: urgent records first, each group in the
 * order in which its records were scheduled. A key that another commit in flight
 * stores has to wait, so that the records of one key are stored in order.
 */
export function selectRecords(
  pending: ReadonlyMap<string, SelectableRecord>,
  isInFlight: (key: string) => boolean,
  capacity: number,
): string[] {
  const chosen = new Set<string>();
  const mayFollow = (key: string) =>
    !isInFlight(key) && (!pending.has(key) || chosen.has(key));

  function choose(
    limit: number,
    accepts: (record: SelectableRecord) => boolean,
  ): void {
    for (const [key, record] of pending) {
      if (chosen.size >= limit) return;
      if (
        accepts(record) && !chosen.has(key) && !isInFlight(key) &&
        (record.after === undefined || mayFollow(record.after))
      ) chosen.add(key);
    }
  }

  choose(capacity - RESERVED_PLACES, ({ urgent }) => urgent);
  choose(capacity, ({ urgent }) => !urgent);
  choose(capacity, ({ urgent }) => urgent);
  return [...chosen];
}
