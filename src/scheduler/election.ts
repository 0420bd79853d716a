import { type Operation, sleep, spawn, until } from "effection";
import type { Clock } from "../clock.ts";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { createWake } from "../wake.ts";
import { createStopwatch, type Stopwatch } from "./stopwatch.ts";
import { followPrefix } from "./watch_prefix.ts";
import { createEntryDirectory } from "./entry_directory.ts";
import { EntryCallError, type EntryClient } from "./entry_client.ts";
import { askWitnesses, isOwnerGone } from "./owner_reachability.ts";
import {
  acquireOwnership,
  type Owner,
  parseOwner,
  STORE_KEYS,
  type Tenure,
} from "./ownership.ts";
import type { RecordStore, StoredItem } from "./ports.ts";
import {
  createTenureRun,
  type OwnerApi,
  type TenureOptions,
  type TenureRun,
} from "./tenure_runner.ts";

/** Lease of the owner, in ms: a killed owner is replaced after this time, and a slow store must allow several renewals in it. */
const OWNER_LEASE_MS = 2_000;
/** Longest wait of a watch, in ms; a silent connection must be noticed before the entry counts as undisturbed again, 3 s later. */
const WATCH_WAIT_MS = 1_800;
/** Longest random delay before an entry tries to become the owner, in ms, so that not all write at once. */
const MAXIMUM_JITTER_MS = 40;
/** Delay of an entry that has given ownership up, in ms, so that another one takes it if there is any. */
const RESIGNED_DELAY_MS = 600;
/** Time for which that entry waits longer, in ms. */
const RESIGNED_MEMORY_MS = 10_000;
/** Pause after a lost election, in ms. */
const RETRY_DELAY_MS = 150;
/** Time without the store after which other entries are asked for the owner, in ms. */
const HINT_AFTER_MS = 700;
/** Interval of asking, in ms. */
const HINT_INTERVAL_MS = 500;
/** Pause after asking, in ms. */
const HINT_PAUSE_MS = 100;
/** Entries that are asked each time. */
const HINT_PEERS = 4;

/** Age from which an owner that doesn't answer is doubted, in ms; a new one is busy with its records. */
const DOUBT_AFTER_MS = 5_000;
/** Entries that an owner asks to take over. */
const RELIEF_PEERS = 6;

/** What an entry's part in the election works with. */
export interface ElectionOptions
  extends Omit<TenureOptions, "tenure" | "askForRelief"> {
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
  const hintWanted = createWake();
  const storeContact = createStopwatch(clock);
  const directory = createEntryDirectory({
    ...options,
    selfAddress: self.address,
  });
  /** Epochs that this process has won. */
  const ownEpochs = new Set<number>();
  let believed: Owner | undefined;
  let believedSinceMs = clock.monotonicMs();
  /** Store revision of the owner's key; 0 when there is none. */
  let ownerRevision = 0;
  /** Epoch whose owner is known to be gone although its key is still there. */
  let goneEpoch: number | undefined;
  let acquiring = false;
  let doubting = false;
  let known = false;
  let stopping = false;
  let resignedAtMs = -Infinity;
  let current: { run: TenureRun; epoch: number } | undefined;

  function onOwner(owner: Owner | undefined): void {
    if (owner?.epoch !== believed?.epoch) {
      log.info("owner changed", {
        from: believed?.entryId,
        to: owner?.entryId,
        epoch: owner?.epoch,
      });
      believedSinceMs = clock.monotonicMs();
    }
    believed = owner;
    if (current !== undefined && owner?.epoch !== current.epoch) {
      current.run.abandon(
        owner === undefined
          ? "the owner's key is gone"
          : `epoch ${owner.epoch} has begun`,
      );
    }
    checkOwnKey();
    changed.notify();
  }

  function onPut(item: StoredItem): void {
    if (item.key !== STORE_KEYS.owner) return;
    const owner = parseOwner(item);
    if (owner === undefined) log.error("the owner's key can't be read");
    ownerRevision = item.revision;
    onOwner(owner);
  }

  function onDelete(): void {
    ownerRevision = 0;
    onOwner(undefined);
  }

  /** Lets this entry take over although the owner's key is still there; fences stop an owner that lives on. */
  function declareGone(epoch: number, reason: string): void {
    if (believed?.epoch !== epoch || goneEpoch === epoch || stopping) return;
    log.info("the owner is taken as gone", {
      owner: believed.entryId,
      epoch,
      reason,
    });
    goneEpoch = epoch;
    changed.notify();
  }

  /** A key with this entry's address that the process hasn't won belongs to an earlier process on the VM. */
  function checkOwnKey(): void {
    if (
      acquiring || believed === undefined || ownEpochs.has(believed.epoch) ||
      believed.address !== self.address || believed.entryId !== self.entryId
    ) return;
    declareGone(believed.epoch, "it was an earlier process of this entry");
  }

  const isVacant = () => believed === undefined || believed.epoch === goneEpoch;

  async function confirmGone(owner: Owner): Promise<void> {
    if (await options.probe(owner.address)) return;
    const testimonies = await askWitnesses(owner.address, directory);
    log.info("the owner doesn't answer", {
      owner: owner.entryId,
      epoch: owner.epoch,
      testimonies,
    });
    if (isOwnerGone(testimonies)) {
      declareGone(owner.epoch, "no entry that was asked reaches it");
    }
  }

  function* follow(): Operation<void> {
    yield* followPrefix({
      store,
      prefix: STORE_KEYS.owner,
      log,
      waitMs: WATCH_WAIT_MS,
      pauseMs: () => 0,
      onContact() {
        storeContact.restart();
        options.onStoreAnswer();
      },
      onFailure: options.onStoreFailure,
      onSnapshot(items) {
        known = true;
        const item = items.find(({ key }) => key === STORE_KEYS.owner);
        if (item === undefined) onDelete();
        else onPut(item);
      },
      onPut,
      onDelete,
    });
  }

  /** Without the store, the other entries are asked who the owner is. */
  function* askForOwner(): Operation<void> {
    for (;;) {
      const asked = yield* hintWanted.wait(HINT_INTERVAL_MS);
      if (!asked && storeContact.elapsedMs() < HINT_AFTER_MS + WATCH_WAIT_MS) {
        continue;
      }
      for (const address of directory.list(HINT_PEERS)) {
        try {
          const owner = yield* until(directory.client(address).owner());
          if (owner !== undefined && owner.epoch > (believed?.epoch ?? 0)) {
            onOwner(owner);
          }
        } catch (error) {
          if (!(error instanceof EntryCallError)) throw error;
          log.debug("entry doesn't answer", { address });
        }
      }
      // Every request of a moment may ask for the owner.
      yield* sleep(HINT_PAUSE_MS);
    }
  }

  function* acquire(): Operation<Tenure | undefined> {
    acquiring = true;
    try {
      const tenure = yield* until(acquireOwnership(store, self, {
        leaseTtlMs: OWNER_LEASE_MS,
        replacedRevision: believed === undefined ? 0 : ownerRevision,
      }));
      if (tenure !== undefined) ownEpochs.add(tenure.epoch);
      return tenure;
    } finally {
      acquiring = false;
      // The key has changed, or the entry that was taken as gone is given another chance.
      goneEpoch = undefined;
      checkOwnKey();
    }
  }

  /** The entry that takes over fences this owner. */
  function askForRelief(epoch: number): void {
    for (const address of directory.list(RELIEF_PEERS)) {
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

  function* compete(): Operation<void> {
    for (;;) {
      if (!known || !isVacant() || stopping) {
        yield* changed.wait(1_000);
        continue;
      }
      const resignedMs = clock.monotonicMs() - resignedAtMs;
      yield* sleep(
        options.candidateDelayMs + options.random() * MAXIMUM_JITTER_MS +
          (resignedMs < RESIGNED_MEMORY_MS ? RESIGNED_DELAY_MS : 0),
      );
      if (!isVacant() || stopping) continue;
      try {
        const tenure = yield* acquire();
        if (tenure === undefined) {
          yield* changed.wait(RETRY_DELAY_MS);
          continue;
        }
        log.info("became owner", {
          epoch: tenure.epoch,
          replaced: believed?.entryId,
        });
        believed = { ...self, epoch: tenure.epoch };
        const run = createTenureRun({ ...options, tenure, askForRelief });
        current = { run, epoch: tenure.epoch };
        yield* run.run();
        if (run.resigned()) resignedAtMs = clock.monotonicMs();
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.info("election failed", { reason: messageOf(error) });
        yield* sleep(RETRY_DELAY_MS);
      } finally {
        const epoch = current?.epoch;
        current = undefined;
        if (epoch !== undefined && believed?.epoch === epoch) {
          // The follower tells when the key is gone or another entry has it.
          yield* sleep(RETRY_DELAY_MS);
        }
      }
    }
  }

  const localClient: EntryClient = createLocalClient(() => current?.run.api());

  return {
    owner: () => believed,
    ownerClient() {
      if (current?.run.api() !== undefined) return localClient;
      if (believed === undefined || believed.address === self.address) {
        return undefined;
      }
      return directory.client(believed.address);
    },
    localOwner: () => current?.run.api(),
    storeContact,
    suspectOwner() {
      const owner = believed;
      if (
        doubting || owner === undefined || owner.address === self.address ||
        options.candidateDelayMs > 0 ||
        clock.monotonicMs() - believedSinceMs < DOUBT_AFTER_MS
      ) return;
      doubting = true;
      void confirmGone(owner).finally(() => {
        doubting = false;
      });
    },
    discoverOwner: () => hintWanted.notify(),
    replaceOwner(epoch) {
      const canServe = !stopping && options.candidateDelayMs === 0 &&
        storeContact.elapsedMs() < WATCH_WAIT_MS + HINT_AFTER_MS;
      if (!canServe || believed?.epoch !== epoch) return false;
      declareGone(epoch, "it has lost the store and asks to be replaced");
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
      yield* spawn(() => follow());
      yield* spawn(() => askForOwner());
      yield* compete();
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
