import { type Operation, sleep, spawn, until } from "effection";
import type { Clock } from "../clock.ts";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { createWake } from "../wake.ts";
import { createStopwatch, type Stopwatch } from "./stopwatch.ts";
import { watchPrefix } from "./watch_prefix.ts";
import { createEntryDirectory } from "./entry_directory.ts";
import { EntryCallError, type EntryClient } from "./entry_client.ts";
import { isOwnerUnreachable, probeThroughPeers } from "./owner_reachability.ts";
import {
  acquireOwnership,
  type Owner,
  parseOwner,
  STORE_KEYS,
  type Tenure,
} from "./ownership.ts";
import type { RecordStore, StoredItem } from "./ports.ts";
import {
  createTenureRunner,
  type OwnerApi,
  type TenureRunner,
  type TenureRunnerOptions,
} from "./tenure_runner.ts";

/** Lease of the owner, in ms: a killed owner is replaced after this time, and a slow store must allow several renewals in it. */
const OWNER_LEASE_MS = 2_000;
/** Longest wait of a watch, in ms; a silent connection must be noticed before the entry counts as undisturbed again, 3 s later. */
const WATCH_WAIT_MS = 1_800;
/** Longest random delay before an entry tries to become the owner, in ms, so that not all write at once. */
const MAXIMUM_JITTER_MS = 40;
/** Delay of an entry that has given ownership up, in ms, so that another one takes it if there is any. */
const RESIGNED_CANDIDATE_DELAY_MS = 600;
/** Time for which that entry waits longer, in ms. */
const RESIGNED_DELAY_PERIOD_MS = 10_000;
/** Pause after a lost election, in ms. */
const RETRY_DELAY_MS = 150;
/** Time without the store after which other entries are asked for the owner, in ms. */
const DISCOVERY_AFTER_MS = 700;
/** Interval of asking, in ms. */
const DISCOVERY_INTERVAL_MS = 500;
/** Pause after asking, in ms. */
const DISCOVERY_PAUSE_MS = 100;
/** Entries that are asked each time. */
const DISCOVERY_PEERS = 4;

/** Age from which an owner that doesn't answer is doubted, in ms; a new one is busy with its records. */
const SUSPECT_AFTER_MS = 5_000;
/** Entries that an owner asks to take over. */
const TAKEOVER_PEERS = 6;

/** What an entry's part in the election works with. */
export interface ElectionOptions
  extends Omit<TenureRunnerOptions, "tenure" | "requestTakeover"> {
  readonly store: RecordStore;
  readonly self: { readonly entryId: string; readonly address: string };
  readonly seedPeers: readonly string[];
  /** Creates the client of the entry at an address. */
  readonly connect: (address: string) => EntryClient;
  /** Whether a connection to the entry at an address can be opened. */
  readonly probe: (address: string) => Promise<boolean>;
  readonly onStoreAnswer: () => void;
  readonly onStoreFailure: () => void;
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: () => number;
  /** Time for which this entry lets others go first, in ms. */
  readonly candidateDelayMs: number;
}

/** Follows who the owner is and becomes the owner when there is none. */
export interface Election {
  /** The owner as far as this entry knows. */
  owner(): Owner | undefined;
  /** Calls to the owner, on this entry or another. */
  ownerClient(): EntryClient | undefined;
  /** The owner's interface when this entry is the owner. */
  localOwner(): OwnerApi | undefined;
  readonly storeContact: Stopwatch;
  /** Finds out whether an owner that has not answered is gone, and then takes over. */
  suspectOwner(): void;
  /** Asks other entries at once who the owner is. */
  discoverOwner(): void;
  /** Takes over from an owner that asks for it; false when this entry can't. */
  replaceOwner(epoch: number): boolean;
  /** Whether this entry reaches the one at an address. */
  reaches(address: string): Promise<boolean>;
  /** Notes that the entry on a VM has called. */
  recordCaller(ip: string): void;
  /** Gives up ownership and takes part in no further election. */
  stop(): void;
  run(): Operation<void>;
}

/** Creates an entry's part in the election. */
export function createElection(options: ElectionOptions): Election {
  const { store, self, clock, log } = options;
  const changed = createWake();
  const discoveryRequested = createWake();
  const storeContact = createStopwatch(clock);
  const directory = createEntryDirectory({
    ...options,
    selfAddress: self.address,
  });
  /** Epochs that this process has won. */
  const ownEpochs = new Set<number>();
  let knownOwner: Owner | undefined;
  let knownOwnerSinceMs = clock.monotonicMs();
  /** Store revision of the owner's key; 0 when there is none. */
  let ownerRevision = 0;
  /** Epoch whose owner is known to be gone although its key is still there. */
  let failedEpoch: number | undefined;
  let acquiringOwnership = false;
  let probingOwner = false;
  let ownerKeyRead = false;
  let stopping = false;
  let resignedAtMs = -Infinity;
  let current: { run: TenureRunner; epoch: number } | undefined;

  function setKnownOwner(owner: Owner | undefined): void {
    if (owner?.epoch !== knownOwner?.epoch) {
      log.info("owner changed", {
        from: knownOwner?.entryId,
        to: owner?.entryId,
        epoch: owner?.epoch,
      });
      knownOwnerSinceMs = clock.monotonicMs();
    }
    knownOwner = owner;
    if (current !== undefined && owner?.epoch !== current.epoch) {
      current.run.abandon(
        owner === undefined
          ? "the owner's key is gone"
          : `epoch ${owner.epoch} has begun`,
      );
    }
    checkForEarlierProcess();
    changed.notify();
  }

  function onPut(item: StoredItem): void {
    if (item.key !== STORE_KEYS.owner) return;
    const owner = parseOwner(item);
    if (owner === undefined) log.error("the owner's key can't be read");
    ownerRevision = item.revision;
    setKnownOwner(owner);
  }

  function onDelete(): void {
    ownerRevision = 0;
    setKnownOwner(undefined);
  }

  /** Lets this entry take over although the owner's key is still there; fences stop an owner that lives on. */
  function declareOwnerFailed(epoch: number, reason: string): void {
    if (knownOwner?.epoch !== epoch || failedEpoch === epoch || stopping) {
      return;
    }
    log.info("the owner is taken as gone", {
      owner: knownOwner.entryId,
      epoch,
      reason,
    });
    failedEpoch = epoch;
    changed.notify();
  }

  /** A key with this entry's address that the process hasn't won belongs to an earlier process on the VM. */
  function checkForEarlierProcess(): void {
    if (
      acquiringOwnership || knownOwner === undefined ||
      ownEpochs.has(knownOwner.epoch) ||
      knownOwner.address !== self.address || knownOwner.entryId !== self.entryId
    ) return;
    declareOwnerFailed(
      knownOwner.epoch,
      "it was an earlier process of this entry",
    );
  }

  const isOwnerMissing = () =>
    knownOwner === undefined || knownOwner.epoch === failedEpoch;

  async function confirmOwnerFailed(owner: Owner): Promise<void> {
    if (await options.probe(owner.address)) return;
    const testimonies = await probeThroughPeers(owner.address, directory);
    log.info("the owner doesn't answer", {
      owner: owner.entryId,
      epoch: owner.epoch,
      testimonies,
    });
    if (isOwnerUnreachable(testimonies)) {
      declareOwnerFailed(owner.epoch, "no entry that was asked reaches it");
    }
  }

  function* watchOwnerKey(): Operation<void> {
    yield* watchPrefix({
      store,
      prefix: STORE_KEYS.owner,
      log,
      waitMs: WATCH_WAIT_MS,
      pauseMs: () => 0,
      onAnswer() {
        storeContact.restart();
        options.onStoreAnswer();
      },
      onFailure: options.onStoreFailure,
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

  /** Without the store, the other entries are asked who the owner is. */
  function* runOwnerDiscovery(): Operation<void> {
    for (;;) {
      const asked = yield* discoveryRequested.wait(DISCOVERY_INTERVAL_MS);
      if (
        !asked && storeContact.elapsedMs() < DISCOVERY_AFTER_MS + WATCH_WAIT_MS
      ) {
        continue;
      }
      for (const address of directory.list(DISCOVERY_PEERS)) {
        try {
          const owner = yield* until(directory.client(address).owner());
          if (owner !== undefined && owner.epoch > (knownOwner?.epoch ?? 0)) {
            setKnownOwner(owner);
          }
        } catch (error) {
          if (!(error instanceof EntryCallError)) throw error;
          log.debug("entry doesn't answer", { address });
        }
      }
      // Every request of a moment may ask for the owner.
      yield* sleep(DISCOVERY_PAUSE_MS);
    }
  }

  function* campaign(): Operation<Tenure | undefined> {
    acquiringOwnership = true;
    try {
      const tenure = yield* until(acquireOwnership(store, self, {
        leaseTtlMs: OWNER_LEASE_MS,
        replacedRevision: knownOwner === undefined ? 0 : ownerRevision,
      }));
      if (tenure !== undefined) ownEpochs.add(tenure.epoch);
      return tenure;
    } finally {
      acquiringOwnership = false;
      // The key has changed, or the entry that was taken as gone is given another chance.
      failedEpoch = undefined;
      checkForEarlierProcess();
    }
  }

  /** The entry that takes over fences this owner. */
  function askForRelief(epoch: number): void {
    for (const address of directory.list(TAKEOVER_PEERS)) {
      void directory.client(address).replaceOwner(epoch).then(
        (willing) =>
          log.info("asked to take over", { address, epoch, willing }),
        (error) => {
          if (!(error instanceof EntryCallError)) throw error;
          log.debug("entry doesn't answer", { address });
        },
      );
    }
  }

  function* runElections(): Operation<void> {
    for (;;) {
      if (!ownerKeyRead || !isOwnerMissing() || stopping) {
        yield* changed.wait(1_000);
        continue;
      }
      const resignedMs = clock.monotonicMs() - resignedAtMs;
      yield* sleep(
        options.candidateDelayMs + options.random() * MAXIMUM_JITTER_MS +
          (resignedMs < RESIGNED_DELAY_PERIOD_MS
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
        const run = createTenureRunner({
          ...options,
          tenure,
          requestTakeover: askForRelief,
        });
        current = { run, epoch: tenure.epoch };
        yield* run.run();
        if (run.hasResigned()) resignedAtMs = clock.monotonicMs();
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.info("election failed", { reason: messageOf(error) });
        yield* sleep(RETRY_DELAY_MS);
      } finally {
        const epoch = current?.epoch;
        current = undefined;
        if (epoch !== undefined && knownOwner?.epoch === epoch) {
          // The follower tells when the key is gone or another entry has it.
          yield* sleep(RETRY_DELAY_MS);
        }
      }
    }
  }

  const localClient: EntryClient = createLocalClient(() => current?.run.api());

  return {
    owner: () => knownOwner,
    ownerClient() {
      if (current?.run.api() !== undefined) return localClient;
      if (knownOwner === undefined || knownOwner.address === self.address) {
        return undefined;
      }
      return directory.client(knownOwner.address);
    },
    localOwner: () => current?.run.api(),
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
        "it has lost the store and asks to be replaced",
      );
      return true;
    },
    reaches: options.probe,
    recordCaller: directory.recordCaller,
    stop() {
      stopping = true;
      current?.run.resign();
      changed.notify();
    },
    *run() {
      yield* spawn(() => watchOwnerKey());
      yield* spawn(() => runOwnerDiscovery());
      yield* runElections();
    },
  };
}

function createLocalClient(api: () => OwnerApi | undefined): EntryClient {
  function use<T>(ask: (owner: OwnerApi) => T): Promise<T> {
    const owner = api();
    return owner === undefined
      ? Promise.reject(
        new EntryCallError("This entry is not the owner", "not_owner"),
      )
      : Promise.resolve(ask(owner));
  }
  /** An entry doesn't ask itself to store. */
  const decline = () => Promise.resolve("not_stored" as const);
  return {
    isLocal: true,
    accepted: (spec) => use((owner) => owner.accept(spec)),
    submit: decline,
    cancelled: (jobId) => use((owner) => owner.cancel(jobId)),
    cancel: decline,
    status: (jobId) => use((owner) => owner.status(jobId)),
    waitingJobs: (queue) => use((owner) => owner.waitingJobs(queue)),
    owner: () => Promise.resolve(undefined),
    replaceOwner: () => Promise.resolve(false),
    reaches: () => Promise.resolve(false),
    close() {},
  };
}
