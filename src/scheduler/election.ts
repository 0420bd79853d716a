import { type Operation, sleep, spawn, until } from "effection";
import type { Clock } from "../clock.ts";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { createWake } from "../wake.ts";
import { createElapsed, type Elapsed } from "./clock_guard.ts";
import { followPrefix } from "./follow_prefix.ts";
import {
  createOwnerClient,
  type OwnerClient,
  OwnerError,
} from "./owner_client.ts";
import { acquireOwnership, KEYS, type Owner, readOwner } from "./ownership.ts";
import type { RecordStore, StoredItem } from "./ports.ts";
import {
  createTenureRun,
  type OwnerApi,
  type TenureOptions,
  type TenureRun,
} from "./tenure.ts";

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

/** What an entry's part in the election works with. */
export interface ElectionOptions extends Omit<TenureOptions, "tenure"> {
  readonly store: RecordStore;
  readonly self: { readonly entryId: string; readonly address: string };
  readonly seedPeers: readonly string[];
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
  client(): OwnerClient | undefined;
  /** The owner's interface when this entry is the owner. */
  local(): OwnerApi | undefined;
  readonly storeContact: Elapsed;
  /** Gives up ownership and takes part in no further election. */
  stop(): void;
  run(): Operation<void>;
}

/** Creates an entry's part in the election. */
export function createElection(options: ElectionOptions): Election {
  const { store, self, clock, log } = options;
  const changed = createWake();
  const storeContact = createElapsed(clock);
  const clients = new Map<string, OwnerClient>();
  let believed: Owner | undefined;
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
    }
    believed = owner;
    if (current !== undefined && owner?.epoch !== current.epoch) {
      current.run.abandon(
        owner === undefined
          ? "the owner's key is gone"
          : `epoch ${owner.epoch} has begun`,
      );
    }
    changed.notify();
  }

  function onPut(item: StoredItem): void {
    if (item.key !== KEYS.owner) return;
    const owner = readOwner(item);
    if (owner === undefined) log.error("the owner's key can't be read");
    onOwner(owner);
  }

  function* follow(): Operation<void> {
    yield* followPrefix({
      store,
      prefix: KEYS.owner,
      log,
      waitMs: WATCH_WAIT_MS,
      pauseMs: () => 0,
      onContact: () => storeContact.restart(),
      onSnapshot(items) {
        known = true;
        const item = items.find(({ key }) => key === KEYS.owner);
        if (item === undefined) onOwner(undefined);
        else onPut(item);
      },
      onPut,
      onDelete: () => onOwner(undefined),
    });
  }

  function remote(address: string): OwnerClient {
    let client = clients.get(address);
    if (client === undefined) {
      client = createOwnerClient(address);
      clients.set(address, client);
    }
    return client;
  }

  /** Without the store, the other entries are asked who the owner is. */
  function* askForOwner(): Operation<void> {
    for (;;) {
      yield* sleep(HINT_INTERVAL_MS);
      if (storeContact.ms() < HINT_AFTER_MS + WATCH_WAIT_MS) continue;
      for (const address of options.seedPeers) {
        if (address === self.address) continue;
        try {
          const owner = yield* until(remote(address).owner());
          if (owner !== undefined && owner.epoch > (believed?.epoch ?? 0)) {
            onOwner(owner);
          }
        } catch (error) {
          if (!(error instanceof OwnerError)) throw error;
          log.debug("seed doesn't answer", { address });
        }
      }
    }
  }

  function* compete(): Operation<void> {
    for (;;) {
      if (!known || believed !== undefined || stopping) {
        yield* changed.wait(1_000);
        continue;
      }
      const resignedMs = clock.monotonicMs() - resignedAtMs;
      yield* sleep(
        options.candidateDelayMs + options.random() * MAXIMUM_JITTER_MS +
          (resignedMs < RESIGNED_MEMORY_MS ? RESIGNED_DELAY_MS : 0),
      );
      if (believed !== undefined || stopping) continue;
      try {
        const tenure = yield* until(
          acquireOwnership(store, self, OWNER_LEASE_MS),
        );
        if (tenure === undefined) {
          yield* changed.wait(RETRY_DELAY_MS);
          continue;
        }
        log.info("became owner", { epoch: tenure.epoch });
        believed = { ...self, epoch: tenure.epoch };
        const run = createTenureRun({ ...options, tenure });
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

  const localClient: OwnerClient = createLocalClient(() => current?.run.api());

  return {
    owner: () => believed,
    client() {
      if (current?.run.api() !== undefined) return localClient;
      if (believed === undefined || believed.address === self.address) {
        return undefined;
      }
      return remote(believed.address);
    },
    local: () => current?.run.api(),
    storeContact,
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

function createLocalClient(api: () => OwnerApi | undefined): OwnerClient {
  function use<T>(ask: (owner: OwnerApi) => T): Promise<T> {
    const owner = api();
    return owner === undefined
      ? Promise.reject(new OwnerError("This entry is not the owner"))
      : Promise.resolve(ask(owner));
  }
  /** The entry has tried its store itself, which is the owner's as well. */
  const decline = () => Promise.resolve("not_stored" as const);
  return {
    accepted: (spec) => use((owner) => owner.accept(spec)),
    submit: decline,
    cancelled: (jobId) => use((owner) => owner.cancel(jobId)),
    cancel: decline,
    status: (jobId) => use((owner) => owner.status(jobId)),
    waitingJobs: (queue) => use((owner) => owner.waitingJobs(queue)),
    owner: () => Promise.resolve(undefined),
    close() {},
  };
}
