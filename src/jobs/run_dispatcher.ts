import { type Operation, sleep, spawn, until } from "effection";
import type { Dispatcher } from "./dispatcher.ts";
import type { ShardWriter } from "./shard_writer.ts";

/** Time between two steps, in ms. */
const STEP_INTERVAL_MS = 500;
/**
 * Maximum time between two steps of a shard without open jobs, in ms. Each step
 * renews the lease of 3 s, so half of it is left for failed attempts.
 */
const IDLE_STEP_INTERVAL_MS = 1_500;
/**
 * Time for which submissions and cancellations are batched into one write, in
 * ms.
 */
const COMMIT_INTERVAL_MS = 200;
/**
 * Maximum time between two checks for pending changes, in ms. Each new change
 * triggers a check at once.
 */
const IDLE_COMMIT_WAIT_MS = 60_000;

/**
 * Writes pending changes. The first change after an idle period is written at
 * once, later ones once per interval.
 */
function* runCommits(writer: ShardWriter): Operation<void> {
  while (true) {
    if (!writer.needsFlush) yield* writer.changed.wait(IDLE_COMMIT_WAIT_MS);
    yield* until(writer.flush());
    yield* sleep(COMMIT_INTERVAL_MS);
  }
}

/**
 * Runs the dispatcher of one shard until it is halted, then releases the
 * shard's lease.
 */
export function* runDispatcher(dispatcher: Dispatcher): Operation<void> {
  yield* spawn(() => runCommits(dispatcher.writer));
  try {
    while (true) {
      const result = yield* until(dispatcher.step());
      if (result === "done" && dispatcher.isIdle()) {
        yield* dispatcher.writer.written.wait(IDLE_STEP_INTERVAL_MS);
      } else {
        yield* sleep(STEP_INTERVAL_MS);
      }
    }
  } finally {
    yield* until(dispatcher.release());
  }
}
