import { type Operation, sleep, spawn, until } from "effection";
import type { Dispatcher } from "./dispatcher.ts";
import type { ShardWriter } from "./shard_writer.ts";

/** Time between two steps, in ms. */
const STEP_INTERVAL_MS = 500;
/**
 * Longest time between two steps of a shard without open jobs, in ms; each
 * renews the lease. Half of the lease of 3 s is left for attempts that fail.
 */
const IDLE_STEP_INTERVAL_MS = 1_500;
/** Time in which submits and cancellations are collected for one write, in ms. */
const COMMIT_INTERVAL_MS = 200;
/** Longest time without a look at the changes that wait, in ms; each one wakes the commits. */
const IDLE_COMMIT_WAIT_MS = 60_000;

/** Writes at once what comes after a quiet time, and then once in each interval. */
function* runCommits(writer: ShardWriter): Operation<void> {
  while (true) {
    if (!writer.needsFlush) yield* writer.changed.wait(IDLE_COMMIT_WAIT_MS);
    yield* until(writer.flush());
    yield* sleep(COMMIT_INTERVAL_MS);
  }
}

/** Task that runs one shard's jobs until it is halted, then frees the shard's lease. */
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
