import { type Operation, spawn, type Task } from "effection";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import type { Observable } from "../observable.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";
import type { ByteMeter } from "./byte_meter.ts";
import { classifyDigestChange } from "./digest_change.ts";
import type {
  LivenessEvidence,
  Membership,
  MergeResult,
} from "./membership.ts";
import type { EntryDigest } from "./messages.ts";
import { findListedPeer } from "./peer_addresses.ts";
import { createPeerLink, type PeerLink } from "./peer_link.ts";
import type { Notifier } from "../notifier.ts";

/** Interval between regular gossip rounds, in ms. */
const ROUND_INTERVAL_MS = 500;
/** Number of peers called in a regular round. */
const ROUND_FANOUT = 1;
/** Number of peers called at once after a change of state. */
const STATE_CHANGE_FANOUT = 3;
/**
 * Average interval between an entry's own digests, for each entry of the region,
 * in ms. Each digest reaches each entry once, so an interval that grows with the
 * number of entries keeps the bytes per entry constant. It applies above 11
 * entries; with fewer, the minimum interval is longer.
 */
const DIGEST_INTERVAL_PER_ENTRY_MS = 45;
/** Minimum average interval between an entry's own digests, in ms. */
const MINIMUM_DIGEST_INTERVAL_MS = 500;
/**
 * Digest credit that regular rounds leave in reserve, in digests, so that a
 * change of demand can be sent early without raising the average rate.
 */
const RESERVED_DIGEST_CREDIT = 0.5;
/** Interval between comparisons of the entry's load with its last digest, in ms. */
const LOAD_CHECK_INTERVAL_MS = 100;
/** Delay of a check above which the process counts as having been paused, in ms. */
const PAUSE_THRESHOLD_MS = 1_000;

/** Options of `runGossip`. */
export interface GossipOptions {
  readonly membership: Membership;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  /** Peer server addresses (`host:port`) of the region's other entries by entry id. */
  readonly peerAddresses: () => ReadonlyMap<string, string>;
  /** The entry's current digest; the sequence number is ignored. */
  readonly currentDigest: () => EntryDigest;
  /** Whether the load can't change before `notifier` is notified. */
  readonly isIdle: () => boolean;
  /** Links by address; the task adds and removes them. */
  readonly links: Map<string, PeerLink>;
  readonly clock: Clock;
  readonly meter: ByteMeter;
  /** Wakes the task when the entry's state may have changed. */
  readonly notifier: Notifier;
  readonly log: Logger;
  readonly random: () => number;
  /** Called after each merged reply of a peer. */
  readonly onMerged: (result: MergeResult) => void;
  /** Called after each successful call with its duration in ms. */
  readonly onCallEnd: (durationMs: number) => void;
  /** Called after a change of the membership or of this entry's digest. */
  readonly onChange: () => void;
}

function findLivenessEvidence(
  options: GossipOptions,
  entryId: string,
): LivenessEvidence {
  const address = options.peerAddresses().get(entryId) ?? "";
  if (options.links.get(address)?.lastFailure() === "refused") return "refused";
  const snapshot = options.vmList.get();
  if (snapshot === undefined) return "listed";
  const isLive = findListedPeer(snapshot.vms, entryId)?.state === "live";
  return isLive ? "listed" : "not_listed";
}

/** Task that runs gossip rounds, and a task for each peer's link, until it is halted. */
export function* runGossip(options: GossipOptions): Operation<void> {
  const { membership, links, clock, notifier, log, random } = options;
  const linkTasks = new Map<string, Task<void>>();
  let lastRoundAtMs = 0;
  // Number of digests that the average rate allows; publishing one costs 1.
  let digestCredit = 0;
  let lastCheckAtMs = clock.monotonicMs();
  let waitMs = 0;
  let lastMemberCheckAtMs = -Infinity;
  let publishedDigest = publishDigest(0);

  function publishDigest(previousSequence: number): EntryDigest {
    const storedSequence = membership.ownRecord()?.record[1] ?? 0;
    const digest = {
      ...options.currentDigest(),
      sequence: Math.max(previousSequence, storedSequence) + 1,
    };
    digestCredit -= 1;
    if (membership.setOwnDigest(digest, clock.monotonicMs())) {
      options.onChange();
    }
    return digest;
  }

  function* updateLinks(): Operation<void> {
    const addresses = new Set(options.peerAddresses().values());
    for (const address of addresses) {
      if (links.has(address)) continue;
      const link = createPeerLink({ ...options, address });
      links.set(address, link);
      linkTasks.set(address, yield* spawn(() => link.run()));
    }
    for (const [address, task] of linkTasks) {
      if (addresses.has(address)) continue;
      links.delete(address);
      linkTasks.delete(address);
      yield* task.halt();
    }
  }

  // Chooses the peers called least recently, so that each cycle reaches every peer once.
  function startRound(nowMs: number, fanout: number): void {
    lastRoundAtMs = nowMs;
    [...links.values()]
      .filter((link) => !link.isBackingOff(nowMs))
      .map((link) => ({ link, tieBreak: random() }))
      .sort((a, b) =>
        a.link.triggeredAtMs - b.link.triggeredAtMs || a.tieBreak - b.tieBreak
      )
      .slice(0, fanout)
      .forEach(({ link }) => link.trigger(nowMs));
  }

  function addDigestCredit(elapsedMs: number): void {
    const intervalMs = Math.max(
      MINIMUM_DIGEST_INTERVAL_MS,
      membership.digests().length * DIGEST_INTERVAL_PER_ENTRY_MS,
    );
    digestCredit = Math.min(
      Math.max(0, digestCredit) + elapsedMs / intervalMs,
      1 + RESERVED_DIGEST_CREDIT,
    );
  }

  function discountPause(nowMs: number): void {
    const lateMs = nowMs - lastCheckAtMs - waitMs;
    if (lateMs > PAUSE_THRESHOLD_MS) {
      log.warn("process was paused", { pauseMs: Math.round(lateMs) });
      membership.discountPause(lateMs);
    }
    lastCheckAtMs = nowMs;
  }

  function dropSilentPeers(nowMs: number): void {
    const ids = membership.dropSilentMembers(
      nowMs,
      (entryId) => findLivenessEvidence(options, entryId),
    );
    for (const id of ids) log.info(`dropped peer ${id}`, { entryId: id });
    if (ids.length > 0) options.onChange();
  }

  function runRound(nowMs: number): void {
    const change = classifyDigestChange(
      publishedDigest,
      options.currentDigest(),
    );
    if (change === "state") {
      publishedDigest = publishDigest(publishedDigest.sequence);
      startRound(nowMs, STATE_CHANGE_FANOUT);
      return;
    }
    const isEarly = change === "demand" && digestCredit >= 1;
    if (!isEarly && nowMs - lastRoundAtMs < ROUND_INTERVAL_MS) return;
    if (isEarly || digestCredit >= 1 + RESERVED_DIGEST_CREDIT) {
      publishedDigest = publishDigest(publishedDigest.sequence);
    }
    startRound(nowMs, ROUND_FANOUT);
  }

  while (true) {
    const nowMs = clock.monotonicMs();
    addDigestCredit(nowMs - lastCheckAtMs);
    discountPause(nowMs);
    if (nowMs - lastMemberCheckAtMs >= ROUND_INTERVAL_MS) {
      lastMemberCheckAtMs = nowMs;
      dropSilentPeers(nowMs);
      yield* updateLinks();
    }
    runRound(nowMs);
    const untilRoundMs = lastRoundAtMs + ROUND_INTERVAL_MS -
      clock.monotonicMs();
    const checkIntervalMs = options.isIdle()
      ? ROUND_INTERVAL_MS
      : LOAD_CHECK_INTERVAL_MS;
    // Rounds up, because a timer that fires a fraction of a millisecond early costs another wake-up.
    waitMs = Math.max(1, Math.ceil(Math.min(checkIntervalMs, untilRoundMs)));
    yield* notifier.wait(waitMs);
  }
}
