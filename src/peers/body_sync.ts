import { type Operation, sleep, until } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { ByteMeter } from "./byte_meter.ts";
import { createPeerClient, type PeerClient } from "./client.ts";
import type { Wake } from "../wake.ts";

/**
 * Time that the store has to deliver a newer body before it is fetched from a
 * peer, in ms. Without it, each change would cross the network twice.
 */
const STORE_HEAD_START_MS = 100;
/** Delay before the next peer is asked after a failed fetch, in ms. */
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

  function candidates(): RevisionReport[] {
    const newer = reports().filter((report) =>
      report.revision > currentRevision()
    );
    const untried = newer.filter((report) => !failed.has(report.address));
    if (untried.length === 0) failed.clear();
    return untried.length === 0 ? newer : untried;
  }

  function* fetchFrom(address: string): Operation<void> {
    const client = createPeerClient(address, options.meter);
    try {
      const body = yield* until(options.fetch(client, currentRevision()));
      if (body !== undefined && advance(body)) {
        log.info(`${name} revision ${currentRevision()} fetched`, { address });
      }
    } finally {
      client.close();
    }
  }

  while (true) {
    if (candidates().length === 0) {
      failed.clear();
      yield* wake.wait(IDLE_WAIT_MS);
      continue;
    }
    yield* sleep(STORE_HEAD_START_MS);
    const choices = candidates();
    const choice = choices[Math.floor(options.random() * choices.length)];
    if (choice === undefined) continue;
    try {
      yield* fetchFrom(choice.address);
    } catch (error) {
      log.warn(`fetch of the ${name} failed`, {
        address: choice.address,
        reason: messageOf(error),
      });
      failed.add(choice.address);
      yield* sleep(RETRY_DELAY_MS);
    }
  }
}
