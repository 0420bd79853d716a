import { type Operation, sleep, spawn, until } from "effection";
import type { Clock } from "../clock.ts";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { createNotifier } from "../notifier.ts";
import { createStopwatch, type Stopwatch } from "./stopwatch.ts";
import { watchPrefix } from "./watch_prefix.ts";
import { createEntryDirectory } from "./entry_directory.ts";
import { EntryCallError, type EntryClient } from "./entry_client.ts";
import { createLocalClient } from "./local_entry_client.ts";
import { isOwnerUnreachable, probeThroughPeers } from "./owner_reachability.ts";
import {
  acquireOwnership,
  type Owner,
  parseOwner,
  STORE_KEYS,
  type Tenure,
} from "./ownership.ts";
import type { RecordStore, StoredItem } from "./ports.ts";
import type { RelayOffer } from "./relay/control.ts";
import { createRelayOffers } from "./relay/offers.ts";
import {
  createTenureRunner,
  type OwnerApi,
  type TenureRunner,
  type TenureRunnerOptions,
} from "./tenure_runner.ts";

/** TTL of the owner's lease, in ms. A killed owner is replaced after this time, which must allow several renewals even when the store is slow. */
const OWNER_LEASE_MS = 2_000;
/** Longest long poll of a watch, in ms. A dead connection must be detected within 3 s, after which the entry is expected to work normally again. */
const WATCH_WAIT_MS = 1_800;
/** Maximum random delay before an entry campaigns, in ms, so that the entries don't all write to the store at once. */
const MAXIMUM_JITTER_MS = 40;
/** Additional delay before an entry that has resigned campaigns again, in ms, so that another entry, if there is one, wins. */
const RESIGNED_CANDIDATE_DELAY_MS = 600;
/** Time after a resignation during which the additional delay applies, in ms. */
const RESIGNED_DELAY_PERIOD_MS = 10_000;
/** Pause after a lost or failed election, in ms. */
const RETRY_DELAY_MS = 150;
/** Time without contact to the store, beyond one watch, after which other entries are asked for the owner, in ms. */
const DISCOVERY_AFTER_MS = 700;
/** Interval between rounds of owner discovery while the store doesn't respond, in ms. */
const DISCOVERY_INTERVAL_MS = 500;
/** Minimum pause between two rounds of owner discovery, in ms. */
const DISCOVERY_PAUSE_MS = 100;
/** Number of entries that are asked in each round of owner discovery. */
const DISCOVERY_PEERS = 4;

/** Time for which a new owner isn't suspected, in ms, because it is busy loading its records. */
const SUSPECT_AFTER_MS = 5_000;
/** Number of entries that an owner asks to take over. */
const TAKEOVER_PEERS = 6;

/** Dependencies and settings of an entry's part in the election. */
export interface ElectionOptions
  extends
    Omit<TenureRunnerOptions, "tenure" | "requestTakeover" | "hasSuccessor"> {
  readonly store: RecordStore;
  readonly self: { readonly entryId: string; readonly address: string };
  readonly seedPeers: readonly string[];
  readonly dataCentre: string;
  /** Creates a client of the entry at an address. */
  readonly connect: (address: string) => EntryClient;
  /** Checks whether a connection to the entry at an address can be opened. */
  readonly probe: (address: string) => Promise<boolean>;
  /** Called after each response of the store to the watch on the owner's key. */
  readonly onStoreResponse: () => void;
  /** Called after each failed call of the watch on the owner's key. */
  readonly onStoreFailure: () => void;
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly random: () => number;
  /** Delay before this entry campaigns, in ms, so that better suited entries win. */
  readonly candidateDelayMs: number;
  /** Number of the journal's lanes while this entry is the owner; 1 if omitted. */
  readonly lanes?: number;
}

/** Tracks the current owner and campaigns for ownership when there is none. */
export interface Election {
  /** Returns the owner that this entry knows of; undefined if there is none. */
  owner(): Owner | undefined;
  /** Returns a client of the owner, which may be this entry; undefined while no owner can be called. */
  ownerClient(): EntryClient | undefined;
  /** Returns the owner's API if this entry is the owner. */
  localOwner(): OwnerApi | undefined;
  /** Time since the store last responded. */
  readonly storeContact: Stopwatch;
  /** Probes an owner that didn't respond; campaigns if it is unreachable. */
  suspectOwner(): void;
  /** Asks other entries for the current owner without waiting for the interval. */
  discoverOwner(): void;
  /** Takes over from an owner that has requested it; returns false if this entry can't. */
  replaceOwner(epoch: number): boolean;
  /** Adds a relay if this entry is the owner; returns false if it isn't. */
  addRelay(offer: RelayOffer): boolean;
  /** Returns clients of other entries: the owner's first, then at most `limit` more. */
  peers(limit: number): EntryClient[];
  /** Checks whether this entry can connect to the one at an address. */
  reaches(address: string): Promise<boolean>;
  /** Records the IP address of an entry that has called this one. */
  recordCaller(ip: string): void;
  /** Resigns if this entry is the owner, and campaigns again after the others. */
  handOver(reason: string): void;
  /** Resigns if this entry is the owner and stops campaigning. */
  stop(): void;
  run(): Operation<void>;
}

/** Creates an entry's participation in owner elections. */
export function createElection(options: ElectionOptions): Election {
  const { store, self, clock, log } = options;
  const changed = createNotifier();
  const discoveryRequested = createNotifier();
  const storeContact = createStopwatch(clock);
  const directory = createEntryDirectory({
    ...options,
    selfAddress: self.address,
  });
  const relayOffers = options.candidateDelayMs > 0
    ? undefined
    : createRelayOffers({
      offer: { address: self.address, dataCentre: options.dataCentre },
      client: directory.client,
      isLatest: ({ epoch }) => !stopping && knownOwner?.epoch === epoch,
      log,
    });
  /** Epochs in which this process was elected. */
  const electedEpochs = new Set<number>();
  let knownOwner: Owner | undefined;
  let knownOwnerSinceMs = clock.monotonicMs();
  /** Store revision of the owner's key; 0 if the key doesn't exist. */
  let ownerRevision = 0;
  /** Epoch in the owner's key when it was last read from the store. */
  let storedEpoch = 0;
  /** Highest epoch whose key was deleted; an entry that can't reach the store may still report its owner. */
  let endedEpoch = 0;
  /** Whether the latest call of the watch on the owner's key failed. */
  let watchFailing = false;
  /** Epoch whose owner has failed although its key still exists. */
  let failedEpoch: number | undefined;
  let acquiringOwnership = false;
  let probingOwner = false;
  let ownerKeyRead = false;
  let stopping = false;
  let resignedAtMs = -Infinity;
  let currentTenure: { runner: TenureRunner; epoch: number } | undefined;

  function setKnownOwner(owner: Owner | undefined): void {
    const isNew = owner?.epoch !== knownOwner?.epoch;
    if (isNew) {
      log.info("owner changed", {
        from: knownOwner?.entryId,
        to: owner?.entryId,
        epoch: owner?.epoch,
      });
      knownOwnerSinceMs = clock.monotonicMs();
    }
    knownOwner = owner;
    if (isNew && owner !== undefined && owner.address !== self.address) {
      relayOffers?.offerTo(owner);
    }
    if (currentTenure !== undefined && owner?.epoch !== currentTenure.epoch) {
      currentTenure.runner.abandon(
        owner === undefined
          ? "the owner's key was deleted"
          : `epoch ${owner.epoch} has started`,
      );
    }
    checkForEarlierProcess();
    changed.notify();
  }

  function onPut(item: StoredItem): void {
    if (item.key !== STORE_KEYS.owner) return;
    const owner = parseOwner(item);
    if (owner === undefined) {
      log.error("the owner's record is invalid and will be replaced", {
        revision: item.revision,
      });
    }
    ownerRevision = item.revision;
    storedEpoch = owner?.epoch ?? storedEpoch;
    setKnownOwner(owner);
  }

  function onDelete(): void {
    ownerRevision = 0;
    endedEpoch = Math.max(endedEpoch, storedEpoch);
    // A later owner that another entry has reported stays known, so that it can be called.
    if ((knownOwner?.epoch ?? 0) <= endedEpoch) setKnownOwner(undefined);
    changed.notify();
  }

  /** Lets this entry take over although the owner's key still exists; fencing stops an owner that is still running. */
  function declareOwnerFailed(epoch: number, reason: string): void {
    if (
      knownOwner?.epoch !== epoch || failedEpoch === epoch || stopping
    ) return;
    log.info("the owner is taken as gone", {
      owner: knownOwner.entryId,
      epoch,
      reason,
    });
    failedEpoch = epoch;
    changed.notify();
  }

  /** Declares the owner failed if its key names this entry but this process didn't write it: it is from an earlier process on this VM. */
  function checkForEarlierProcess(): void {
    if (
      acquiringOwnership || knownOwner === undefined ||
      electedEpochs.has(knownOwner.epoch) ||
      knownOwner.address !== self.address || knownOwner.entryId !== self.entryId
    ) return;
    declareOwnerFailed(
      knownOwner.epoch,
      "its key was written by an earlier process of this entry",
    );
  }

  /** Whether this entry should campaign. What the store shows decides: an owner that only other entries report may have ended. */
  const isOwnerMissing = () =>
    knownOwner === undefined || knownOwner.epoch === failedEpoch ||
    (ownerRevision === 0 && !watchFailing);

  async function confirmOwnerFailed(owner: Owner): Promise<void> {
    if (await options.probe(owner.address)) return;
    const probeResults = await probeThroughPeers(owner.address, directory);
    log.info("the owner doesn't answer", {
      owner: owner.entryId,
      epoch: owner.epoch,
      testimonies: probeResults,
    });
    if (isOwnerUnreachable(probeResults)) {
      declareOwnerFailed(
        owner.epoch,
        "no entry that was asked can connect to it",
      );
    }
  }

  function* watchOwnerKey(): Operation<void> {
    yield* watchPrefix({
      store,
      prefix: STORE_KEYS.owner,
      log,
      waitMs: WATCH_WAIT_MS,
      pauseMs: () => 0,
      onResponse() {
        watchFailing = false;
        storeContact.restart();
        options.onStoreResponse();
      },
      onFailure() {
        watchFailing = true;
        options.onStoreFailure();
      },
      onSnapshot(items) {
        ownerKeyRead = true;
        const item = items.find(({ key }) => key === STORE_KEYS.owner);
        if (item === undefined) onDelete();
        else onPut(item);
      },
      onPut,
      onDelete,
    });
  }

  /** Asks other entries for the current owner, on request or while the store doesn't respond. */
  function* runOwnerDiscovery(): Operation<void> {
    for (;;) {
      const requested = yield* discoveryRequested.wait(DISCOVERY_INTERVAL_MS);
      if (
        !requested &&
        storeContact.elapsedMs() < DISCOVERY_AFTER_MS + WATCH_WAIT_MS
      ) continue;
      for (const address of directory.list(DISCOVERY_PEERS)) {
        try {
          const owner = yield* until(directory.client(address).owner());
          const latestEpoch = Math.max(endedEpoch, knownOwner?.epoch ?? 0);
          if (owner !== undefined && owner.epoch > latestEpoch) {
            setKnownOwner(owner);
          }
        } catch (error) {
          if (!(error instanceof EntryCallError)) throw error;
          log.debug("entry did not respond", { address });
        }
      }
      // Limits the rate, because every failing request may request a round.
      yield* sleep(DISCOVERY_PAUSE_MS);
    }
  }

  function* campaign(): Operation<Tenure | undefined> {
    acquiringOwnership = true;
    try {
      const tenure = yield* until(acquireOwnership(store, self, {
        leaseTtlMs: OWNER_LEASE_MS,
        replacedRevision: ownerRevision,
        lanes: options.lanes,
      }));
      if (tenure !== undefined) electedEpochs.add(tenure.epoch);
      return tenure;
    } finally {
      acquiringOwnership = false;
      // Either the key has changed, or the owner must be found unreachable again before the next campaign.
      failedEpoch = undefined;
      checkForEarlierProcess();
    }
  }

  /** Asks other entries to take over; the one that does raises the epoch, which fences this owner. */
  function requestTakeover(epoch: number): void {
    for (const address of directory.list(TAKEOVER_PEERS)) {
      void directory.client(address).replaceOwner(epoch).then(
        (willing) =>
          log.info("asked to take over", { address, epoch, willing }),
        (error) => {
          if (!(error instanceof EntryCallError)) throw error;
          log.debug("entry did not respond", { address });
        },
      );
    }
  }

  async function hasSuccessor(): Promise<boolean> {
    const responses = await Promise.allSettled(
      directory.list(TAKEOVER_PEERS).map((address) =>
        directory.client(address).owner()
      ),
    );
    return responses.some(({ status }) => status === "fulfilled");
  }

  function* runElections(): Operation<void> {
    for (;;) {
      if (!ownerKeyRead || !isOwnerMissing() || stopping) {
        yield* changed.wait(1_000);
        continue;
      }
      const sinceResignedMs = clock.monotonicMs() - resignedAtMs;
      yield* sleep(
        options.candidateDelayMs + options.random() * MAXIMUM_JITTER_MS +
          (sinceResignedMs < RESIGNED_DELAY_PERIOD_MS
            ? RESIGNED_CANDIDATE_DELAY_MS
            : 0),
      );
      if (!isOwnerMissing() || stopping) continue;
      try {
        const tenure = yield* campaign();
        if (tenure === undefined) {
          yield* changed.wait(RETRY_DELAY_MS);
          continue;
        }
        log.info("became owner", {
          epoch: tenure.epoch,
          replaced: knownOwner?.entryId,
        });
        knownOwner = { ...self, epoch: tenure.epoch };
        ownerRevision = tenure.headRevision;
        storedEpoch = tenure.epoch;
        const runner = createTenureRunner({
          ...options,
          tenure,
          requestTakeover,
          hasSuccessor,
        });
        currentTenure = { runner, epoch: tenure.epoch };
        yield* runner.run();
        if (runner.hasResigned()) resignedAtMs = clock.monotonicMs();
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.info("election failed", { reason: messageOf(error) });
        yield* sleep(RETRY_DELAY_MS);
      } finally {
        const epoch = currentTenure?.epoch;
        currentTenure = undefined;
        if (epoch !== undefined && knownOwner?.epoch === epoch) {
          // The watch reports when the key is deleted or names another entry.
          yield* sleep(RETRY_DELAY_MS);
        }
      }
    }
  }

  const localClient: EntryClient = createLocalClient(() =>
    currentTenure?.runner.api()
  );

  return {
    owner: () => knownOwner,
    ownerClient() {
      if (currentTenure?.runner.api() !== undefined) return localClient;
      if (knownOwner === undefined || knownOwner.address === self.address) {
        return undefined;
      }
      return directory.client(knownOwner.address);
    },
    localOwner: () => currentTenure?.runner.api(),
    storeContact,
    suspectOwner() {
      const owner = knownOwner;
      if (
        probingOwner || owner === undefined || owner.address === self.address ||
        options.candidateDelayMs > 0 ||
        clock.monotonicMs() - knownOwnerSinceMs < SUSPECT_AFTER_MS
      ) return;
      probingOwner = true;
      void confirmOwnerFailed(owner).finally(() => {
        probingOwner = false;
      });
    },
    discoverOwner: () => discoveryRequested.notify(),
    replaceOwner(epoch) {
      const canServe = !stopping && options.candidateDelayMs === 0 &&
        storeContact.elapsedMs() < WATCH_WAIT_MS + DISCOVERY_AFTER_MS;
      if (!canServe || knownOwner?.epoch !== epoch) return false;
      declareOwnerFailed(
        epoch,
        "it lost the store and requested a takeover",
      );
      return true;
    },
    addRelay(offer) {
      currentTenure?.runner.addRelay(offer);
      return currentTenure !== undefined;
    },
    peers(limit) {
      const owner = knownOwner?.address;
      const addresses = directory.list(limit);
      return [
        ...new Set(
          owner === undefined || owner === self.address
            ? addresses
            : [owner, ...addresses],
        ),
      ].map(directory.client);
    },
    reaches: options.probe,
    recordCaller: directory.recordCaller,
    handOver: (reason) => currentTenure?.runner.resign(reason),
    stop() {
      stopping = true;
      currentTenure?.runner.resign("this entry is stopping");
      changed.notify();
    },
    *run() {
      yield* spawn(() => watchOwnerKey());
      yield* spawn(() => runOwnerDiscovery());
      yield* runElections();
    },
  };
}
