import { type Operation, scoped, sleep, spawn, until } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { ByteMeter } from "./byte_meter.ts";
import { createPeerClient, type PeerClient } from "./client.ts";
import { createWake, type Wake } from "../wake.ts";

/**
 * Time that the store has to deliver a newer body before it is fetched from a
 * peer, in ms. Without it, each change would cross the network twice.
 */
const STORE_HEAD_START_MS = 100;
/**
 * Time after which one more peer is asked while those asked before have not
 * answered, in ms. A frozen link takes calls without an error, and to wait for
 * the end of two such calls takes longer than a roll-out may.
 */
const NEXT_PEER_DELAY_MS = 300;
/** Delay before the peers are asked again when none had a newer body, in ms. */
const RETRY_DELAY_MS = 100;
const IDLE_WAIT_MS = 1_000;

/** A revision that a peer has reported. */
export interface RevisionReport {
  /** `host:port` of the peer. */
  readonly address: string;
  readonly revision: number;
}

/** What the fetch of one kind of body works with. */
export interface BodySyncOptions {
  readonly name: string;
  readonly currentRevision: () => number;
  /** The latest revision reported by each peer. */
  readonly reports: () => readonly RevisionReport[];
  readonly fetch: (
    client: PeerClient,
    aboveRevision: number,
  ) => Promise<string | undefined>;
  /** Puts a body in force if it is newer; throws when it is unreadable. */
  readonly advance: (body: string) => boolean;
  readonly meter: ByteMeter;
  /** Wakes the task when reports have changed. */
  readonly wake: Wake;
  readonly log: Logger;
  readonly random: () => number;
}

/** Task that fetches newer bodies from peers until it is halted. */
export function* runBodySync(options: BodySyncOptions): Operation<void> {
  const { name, currentRevision, reports, advance, wake, log } = options;
  // Peers that failed are asked again only after every other one.
  const failed = new Set<string>();

  function newer(): RevisionReport[] {
    return reports().filter((report) => report.revision > currentRevision());
  }

  function choose(asked: ReadonlySet<string>): string | undefined {
    const open = newer().filter((report) => !asked.has(report.address));
    const untried = open.filter((report) => !failed.has(report.address));
    const choices = untried.length === 0 ? open : untried;
    return choices[Math.floor(options.random() * choices.length)]?.address;
  }

  /** Returns whether the peer's body is in force now. */
  function* fetchFrom(address: string): Operation<boolean> {
    const client = createPeerClient(address, options.meter);
    try {
      const body = yield* until(options.fetch(client, currentRevision()));
      failed.delete(address);
      if (body === undefined || !advance(body)) return false;
      log.info(`${name} revision ${currentRevision()} fetched`, { address });
      return true;
    } catch (error) {
      log.warn(`fetch of the ${name} failed`, {
        address,
        reason: messageOf(error),
      });
      failed.add(address);
      return false;
    } finally {
      client.close();
    }
  }

  /** Asks one peer after the other until none has a newer body or all calls have ended; the scope's end halts the calls that are left. */
  function* fetchNewer(): Operation<void> {
    const asked = new Set<string>();
    const ended = createWake();
    let calls = 0;
    while (newer().length > 0) {
      const address = choose(asked);
      if (address === undefined && calls === 0) return;
      if (address !== undefined) {
        asked.add(address);
        calls++;
        yield* spawn(function* () {
          if (yield* fetchFrom(address)) asked.delete(address);
          calls--;
          ended.notify();
        });
      }
      yield* ended.wait(NEXT_PEER_DELAY_MS);
    }
  }

  while (true) {
    if (newer().length === 0) {
      failed.clear();
      yield* wake.wait(IDLE_WAIT_MS);
      continue;
    }
    yield* sleep(STORE_HEAD_START_MS);
    yield* scoped(fetchNewer);
    if (newer().length > 0) yield* sleep(RETRY_DELAY_MS);
  }
}
