import { type Operation, until } from "effection";
import { z } from "zod";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import {
  resolveWarmUpMs,
  waitForEventLoopLag,
  WARM_UP_MS,
} from "./event_loop_lag.ts";
import { parseRecord, STORE_KEYS } from "./ownership.ts";
import type { RecordStore } from "./ports.ts";
import { retryStoreRead } from "./retry_store_read.ts";

const handoverSchema = z.object({
  /** When an owner last handed over because it was too slow, in ms since 1970. */
  atMs: z.number(),
});

/** Dependencies of `handOverWhenSlow`. */
export interface SlowHandoverOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: Logger;
  readonly epoch: number;
  /** Returns whether another entry responds, which can take over. */
  readonly hasSuccessor: () => Promise<boolean>;
  /** Gives up ownership once `prepared` has settled. */
  readonly resign: (reason: string, prepared: Promise<unknown>) => void;
}

/**
 * Hands over when this process lags, unless an earlier owner has done so a short
 * time ago or no other entry responds: a slow owner is better than none.
 */
export function* handOverWhenSlow(
  { store, clock, log, epoch, hasSuccessor, resign }: SlowHandoverOptions,
): Operation<void> {
  const item = yield* retryStoreRead(
    () => store.get(STORE_KEYS.slowHandover),
    log,
  );
  // An unreadable record counts as one of long ago.
  const lastAtMs = item && parseRecord(handoverSchema, item)?.atMs;
  let warmUpMs = resolveWarmUpMs(clock.wallMs() - (lastAtMs ?? 0));
  for (;;) {
    const meanLagMs = yield* waitForEventLoopLag(clock, warmUpMs);
    const canHandOver = yield* until(hasSuccessor());
    log.warn("this entry is too slow to be the owner", {
      epoch,
      meanLagMs: Math.round(meanLagMs),
      canHandOver,
    });
    if (canHandOver) break;
    warmUpMs = WARM_UP_MS;
  }
  const recorded = store.change({
    conditions: [],
    puts: [{
      key: STORE_KEYS.slowHandover,
      value: JSON.stringify({ atMs: clock.wallMs() }),
    }],
  });
  resign("this entry is too slow", recorded);
}
