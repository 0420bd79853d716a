import { type Operation, scoped, sleep, spawn, until } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { ByteMeter } from "./byte_meter.ts";
import { createPeerClient, type PeerClient } from "./client.ts";
import { createNotifier, type Notifier } from "../notifier.ts";

/**
 * Time to wait for the store to deliver a newer revision before it is fetched
 * from a peer, in ms. Without the wait, each change would be transferred twice.
 */
const STORE_DELIVERY_WAIT_MS = 100;
/**
 * Hedging delay: time after which another peer is asked while earlier calls are
 * pending, in ms. A frozen link accepts calls without an error, and waiting for
 * two such calls to time out takes longer than a rollout may.
 */
const HEDGE_DELAY_MS = 300;
/** Delay before the peers are asked again after none returned a newer revision, in ms. */
const RETRY_DELAY_MS = 100;
/** Maximum time between two checks for newer reports, in ms. */
const IDLE_WAIT_MS = 1_000;

/** Revision that a peer reported. */
export interface RevisionReport {
  /** `host:port` of the peer server. */
  readonly address: string;
  readonly revision: number;
}

/** Options of `runRevisionSync`. */
export interface RevisionSyncOptions {
  /** Name of the synchronized document in log lines. */
  readonly name: string;
  readonly currentRevision: () => number;
  /** Latest revision that each peer reported. */
  readonly reports: () => readonly RevisionReport[];
  /** Fetches the document as JSON; undefined if the peer has none above the revision. */
  readonly fetchBody: (
    client: PeerClient,
    aboveRevision: number,
  ) => Promise<string | undefined>;
  /** Applies a document if it is newer and returns whether it is; throws if it is invalid. */
  readonly applyIfNewer: (body: string) => boolean;
  readonly meter: ByteMeter;
  /** Wakes the task after the reports have changed. */
  readonly notifier: Notifier;
  readonly log: Logger;
  readonly random: () => number;
}

/**
 * Task that keeps a document, such as the configuration, at the newest revision
 * that peers report, until it is halted.
 */
export function* runRevisionSync(
  options: RevisionSyncOptions,
): Operation<void> {
  const { name, currentRevision, reports, applyIfNewer, notifier, log } =
    options;
  // Peers whose last call failed are asked again only after all others.
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

  /** Returns whether the peer's document was newer and has been applied. */
  function* fetchFrom(address: string): Operation<boolean> {
    const client = createPeerClient(address, options.meter);
    try {
      const body = yield* until(options.fetchBody(client, currentRevision()));
      failedPeers.delete(address);
      if (body === undefined || !applyIfNewer(body)) return false;
      log.info(`fetched ${name} revision ${currentRevision()}`, { address });
      return true;
    } catch (error) {
      log.warn(`failed to fetch the ${name}`, {
        address,
        reason: messageOf(error),
      });
      failedPeers.add(address);
      return false;
    } finally {
      client.close();
    }
  }

  /**
   * Asks one peer after another until no peer reports a newer revision, or each
   * has been asked and all calls have ended. The end of the surrounding scope
   * halts pending calls.
   */
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
      yield* notifier.wait(IDLE_WAIT_MS);
      continue;
    }
    yield* sleep(STORE_DELIVERY_WAIT_MS);
    yield* scoped(fetchNewerBody);
    if (newerReports().length > 0) yield* sleep(RETRY_DELAY_MS);
  }
}
