import { type Operation, sleep, until } from "effection";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { RecordStore, StoredItem } from "./ports.ts";

/** Pause after a failed call, in ms. */
const RETRY_DELAY_MS = 200;

/** How a prefix of the store is followed. */
export interface WatchPrefixOptions {
  readonly store: RecordStore;
  readonly prefix: string;
  /** Store revision up to which the items are known; without it they are read first. */
  readonly fromRevision?: number | undefined;
  readonly log: Logger;
  /** Longest wait of one watch, in ms; a connection that has gone silent is noticed after this time. */
  readonly waitMs: number;
  /** Pause between two watches, in ms; events that come meanwhile share one call. */
  readonly pauseMs: () => number;
  /** Called with every item at the start and after a gap in the history. */
  readonly onSnapshot: (items: readonly StoredItem[]) => void;
  readonly onPut: (item: StoredItem) => void;
  readonly onDelete: (key: string) => void;
  /** Called after each answer of the store. */
  readonly onAnswer?: () => void;
  /** Called after each call that failed. */
  readonly onFailure?: () => void;
}

/** Follows the items below a prefix until it is halted; store failures are retried. */
export function* watchPrefix(options: WatchPrefixOptions): Operation<void> {
  const { store, prefix, log } = options;
  let failing = false;
  let revision = options.fromRevision;

  function* readNext(): Operation<void> {
    if (revision === undefined) {
      const listed = yield* until(store.list(prefix));
      options.onAnswer?.();
      options.onSnapshot(listed.items);
      revision = listed.revision;
      return;
    }
    const watched = yield* until(
      store.watch(prefix, { afterRevision: revision, waitMs: options.waitMs }),
    );
    options.onAnswer?.();
    if (watched.kind === "compacted") {
      log.info("the store has forgotten its history; reading all items again", {
        prefix,
        revision,
      });
      revision = undefined;
      return;
    }
    for (const event of watched.events) {
      if (event.kind === "put") options.onPut(event.item);
      else options.onDelete(event.key);
    }
    revision = watched.revision;
    const pauseMs = options.pauseMs();
    if (pauseMs > 0 && watched.events.length > 0) yield* sleep(pauseMs);
  }

  for (;;) {
    try {
      yield* readNext();
      if (failing) log.info("store regained", { prefix });
      failing = false;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      if (!failing) {
        log.warn("store lost", { prefix, reason: messageOf(error) });
      }
      failing = true;
      options.onFailure?.();
      // A watch may have missed changes while its connection was silent.
      yield* sleep(RETRY_DELAY_MS);
    }
  }
}
