import { type Operation, scoped, sleep, spawn, until } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { ByteMeter } from "./byte_meter.ts";
import { createPeerClient, type PeerClient } from "./client.ts";
import { createNotifier, type Notifier } from "../notifier.ts";

/**
 * Time that the store has to deliver a newer body before it is fetched from a
 * peer, in ms. Without it, each change would cross the network twice.
 */
const STORE_DELIVERY_WAIT_MS = 100;
/**
 * Time after which one more peer is asked while those asked before have not
 * answered, in ms. A frozen link takes calls without an error, and to wait for
 * the end of two such calls takes longer than a roll-out may.
 */
const HEDGE_DELAY_MS = 300;
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
export interface RevisionSyncOptions {
  readonly name: string;
  readonly currentRevision: () => number;
  /** The latest revision reported by each peer. */
  readonly reports: () => readonly RevisionReport[];
  readonly fetchBody: (
    client: PeerClient,
    aboveRevision: number,
  ) => Promise<string | undefined>;
  /** Puts a body in force if it is newer; throws when it is unreadable. */
  readonly applyIfNewer: (body: string) => boolean;
  readonly meter: ByteMeter;
  /** Wakes the task when reports have changed. */
  readonly wake: Notifier;
  readonly log: Logger;
  readonly random: () => number;
}

/** Task that fetches newer bodies from peers until it is halted. */
export function* runRevisionSync(
  options: RevisionSyncOptions,
): Operation<void> {
  const { name, currentRevision, reports, applyIfNewer, wake, log } = options;
  // Peers that failed are asked again only after every other one.
  const failedPeers = new Set<string>();

  function newerReports(): RevisionReport[] {
    return reports().filter((report) => report.revision > currentRevision());
  }

  function choosePeer(askedPeers: ReadonlySet<string>): string | undefined {
    const candidates = newerReports().filter((report) =>
      !askedPeers.has(report.address)
    );
    const healthy = candidates.filter((report) =>
      !failedPeers.has(report.address)
    );
    const preferred = healthy.length === 0 ? candidates : healthy;
    return preferred[Math.floor(options.random() * preferred.length)]?.address;
  }

  /** Returns whether the peer's body is in force now. */
  function* fetchFrom(address: string): Operation<boolean> {
    const client = createPeerClient(address, options.meter);
    try {
      const body = yield* until(options.fetchBody(client, currentRevision()));
      failedPeers.delete(address);
      if (body === undefined || !applyIfNewer(body)) return false;
      log.info(`${name} revision ${currentRevision()} fetched`, { address });
      return true;
    } catch (error) {
      log.warn(`fetch of the ${name} failed`, {
        address,
        reason: messageOf(error),
      });
      failedPeers.add(address);
      return false;
    } finally {
      client.close();
    }
  }

  /** Asks one peer after the other until none has a newer body or all calls have ended; the scope's end halts the calls that are left. */
  function* fetchNewerBody(): Operation<void> {
    const asked = new Set<string>();
    const callEnded = createNotifier();
    let pendingCalls = 0;
    while (newerReports().length > 0) {
      const address = choosePeer(asked);
      if (address === undefined && pendingCalls === 0) return;
      if (address !== undefined) {
        asked.add(address);
        pendingCalls++;
        yield* spawn(function* () {
          if (yield* fetchFrom(address)) asked.delete(address);
          pendingCalls--;
          callEnded.notify();
        });
      }
      yield* callEnded.wait(HEDGE_DELAY_MS);
    }
  }

  while (true) {
    if (newerReports().length === 0) {
      failedPeers.clear();
      yield* wake.wait(IDLE_WAIT_MS);
      continue;
    }
    yield* sleep(STORE_DELIVERY_WAIT_MS);
    yield* scoped(fetchNewerBody);
    if (newerReports().length > 0) yield* sleep(RETRY_DELAY_MS);
  }
}
