import { run } from "effection";
import { systemClock } from "../src/clock.ts";
import { silentLogger } from "../src/logger.ts";
import { createJournal, type Journal } from "../src/scheduler/journal.ts";
import { acquireOwnership } from "../src/scheduler/ownership.ts";
import type {
  ChangeOutcome,
  RecordStore,
  StoreChange,
} from "../src/scheduler/ports.ts";
import { FakeRecordStore } from "./fake_record_store.ts";
import { createRandom } from "./random.ts";

/** Lease of the owners, in ms; it outlasts each test. */
export const LEASE_TTL_MS = 60_000;

/** Intercepts a change of the first owner; `apply` executes it on the store. */
type Intercept = (
  change: StoreChange,
  apply: () => Promise<ChangeOutcome>,
) => Promise<ChangeOutcome>;

interface Context {
  readonly journal: Journal;
  readonly store: FakeRecordStore;
  /** Reasons for which the tenure was lost. */
  readonly lost: string[];
  /** Halts the journal as the end of its process does. */
  readonly kill: () => Promise<void>;
}

/** Runs a test with the journal of an owner that has `lanes` lanes. */
export async function withLanes(
  lanes: number,
  body: (context: Context) => Promise<void>,
  intercept: Intercept = (_, apply) => apply(),
): Promise<void> {
  const store = new FakeRecordStore(createRandom(3));
  const client = store.client("entry-1");
  const tenure = await acquireOwnership(
    client,
    { entryId: "entry-1", address: "" },
    { leaseTtlMs: LEASE_TTL_MS, replacedRevision: 0, lanes },
  );
  const interceptedClient: RecordStore = {
    ...client,
    change: (change) => intercept(change, () => client.change(change)),
  };
  const lost: string[] = [];
  const journal = createJournal({
    store: interceptedClient,
    tenure: tenure!,
    clock: systemClock,
    log: silentLogger,
    onLost: (reason) => lost.push(reason),
    onResponse() {},
    onFailure() {},
  });
  const task = run(() => journal.run());
  const kill = async () => void await task.halt();
  try {
    await body({ journal, store, lost, kill });
  } finally {
    await kill();
    store.close();
  }
}

/** Returns the key of the head that a commit advances. */
export function headOf(change: StoreChange): string {
  return change.puts[0]!.key;
}

/** Schedules `count` records of different keys. */
export function putNumbered(journal: Journal, count: number): void {
  for (let index = 0; index < count; index++) {
    journal.put({ key: `progress/${index}`, encode: () => String(index) });
  }
}
