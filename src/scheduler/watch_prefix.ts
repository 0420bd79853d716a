import { type Operation, sleep, until } from "effection";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { RecordStore, StoredItem } from "./ports.ts";

/** Pause after a failed call, in ms. */
const RETRY_DELAY_MS = 200;

/** Options of a watch on a key prefix. */
export interface WatchPrefixOptions {
  readonly store: RecordStore;
  readonly prefix: string;
  /** Store revision after which to watch; if omitted, all items are read first. */
  readonly fromRevision?: number | undefined;
  readonly log: Logger;
  /** Duration of one long poll, in ms; a dead connection is detected after this time. */
  readonly waitMs: number;
  /** Duration of the first long poll, in ms; `waitMs` if omitted. */
  readonly firstWaitMs?: number | undefined;
  /** Pause between two long polls, in ms; batches the events that arrive in the meantime. */
  readonly pauseMs: () => number;
  /** Called with all items, read at a store revision, at the start and after the store has compacted its history. */
  readonly onSnapshot: (
    items: readonly StoredItem[],
    revision: number,
  ) => void;
  readonly onPut: (item: StoredItem) => void;
  readonly onDelete: (key: string) => void;
  /** Called once all changes up to a store revision have been reported. */
  readonly onRevision?: (revision: number) => void;
  /** Called after each response of the store. */
  readonly onResponse?: () => void;
  /** Called after each failed call. */
  readonly onFailure?: () => void;
}

/** Watches the items below a key prefix until it is halted; retries after store failures. */
export function* watchPrefix(options: WatchPrefixOptions): Operation<void> {
  const { store, prefix, log } = options;
  let failing = false;
  let revision = options.fromRevision;
  let waitMs = options.firstWaitMs ?? options.waitMs;

  function* readNext(): Operation<void> {
    if (revision === undefined) {
      const listed = yield* until(store.list(prefix));
      options.onResponse?.();
      options.onSnapshot(listed.items, listed.revision);
      revision = listed.revision;
      return;
    }
    const watched = yield* until(
      store.watch(prefix, { afterRevision: revision, waitMs }),
    );
    waitMs = options.waitMs;
    options.onResponse?.();
    if (watched.kind === "compacted") {
      log.info("the store has compacted its history; reading all items again", {
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
    options.onRevision?.(revision);
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
      // `revision` is unchanged, so the next watch also reports changes made in the meantime.
      yield* sleep(RETRY_DELAY_MS);
    }
  }
}
