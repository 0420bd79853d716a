import { type Operation, sleep, spawn, type Task } from "effection";
import type { Observable } from "../observable.ts";
import type { EntryDigest } from "../peers/messages.ts";
import type { CallServerOptions } from "../requests/serve_call.ts";
import { createWake } from "../wake.ts";
import { Dispatcher, type DispatcherOptions } from "./dispatcher.ts";
import { FencingReader } from "./fencing.ts";
import { JobMemory } from "./job_memory.ts";
import { SHARD_COUNT } from "./job_key.ts";
import { ownerOf } from "./ownership.ts";
import { JobRoutes, JOBS_PATH } from "./routes.ts";
import { runDispatcher } from "./run_dispatcher.ts";
import { WorkerReports } from "./worker_reports.ts";

/** Shortest time between two reviews of the shards' owners, in ms. */
const REVIEW_INTERVAL_MS = 500;
/** Longest time between two reviews, in ms; each change of the digests wakes them. */
const IDLE_REVIEW_INTERVAL_MS = 60_000;

/** What the jobs of one entry work with. */
export interface JobsOptions extends
  Omit<
    DispatcherOptions,
    "shard" | "holder" | "fencing" | "reports" | "memory"
  > {
  readonly entryId: string;
  /** Digests of the region's live entries, this one included. */
  readonly entries: Observable<readonly EntryDigest[]>;
}

/** Jobs on one entry. */
export interface Jobs {
  /** Answers the calls under `/.cowslipferry/jobs`. */
  readonly systemCalls: NonNullable<CallServerOptions["systemCalls"]>;
  /** Runs the dispatchers of the shards that this entry owns until it is halted. */
  run(): Operation<void>;
}

/** Creates the jobs of one entry. */
export function createJobs(options: JobsOptions): Jobs {
  const { entryId, entries, agent, clock } = options;
  const memory = new JobMemory();
  const reports = new WorkerReports(agent, clock);
  const fencing = new FencingReader(options);
  const running = new Map<
    number,
    { dispatcher: Dispatcher; task: Task<void> }
  >();
  const routes = new JobRoutes({
    ...options,
    dispatcherOf: (shard) => running.get(shard)?.dispatcher,
  });

  function* start(shard: number): Operation<void> {
    const holder = entryId;
    const dispatcher = new Dispatcher({
      ...options,
      shard,
      holder,
      fencing,
      reports,
      memory,
    });
    const task = yield* spawn(() => runDispatcher(dispatcher));
    running.set(shard, { dispatcher, task });
  }

  let reviewed: readonly EntryDigest[] | undefined;

  function* review(): Operation<void> {
    const digests = entries.get();
    // Digests are replaced by each change, so the owners are still the same.
    if (digests === reviewed) return;
    reviewed = digests;
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const owner = ownerOf(shard, options, digests);
      const owned = owner.callerAddress === undefined;
      const known = running.get(shard);
      if (owned && known === undefined) yield* start(shard);
      if (!owned && known !== undefined) {
        running.delete(shard);
        yield* known.task.halt();
      }
    }
  }

  return {
    systemCalls: {
      pathPrefix: JOBS_PATH,
      async handle(call) {
        const { outcome, ...response } = await routes.handle(call);
        return { kind: "forwarded", outcome, response };
      },
    },
    *run() {
      running.clear();
      reviewed = undefined;
      const changed = createWake();
      const unsubscribe = entries.subscribe(() => changed.notify());
      try {
        while (true) {
          yield* review();
          yield* sleep(REVIEW_INTERVAL_MS);
          yield* changed.wait(IDLE_REVIEW_INTERVAL_MS);
        }
      } finally {
        unsubscribe();
      }
    },
  };
}
