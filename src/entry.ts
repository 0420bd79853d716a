import { type Operation, sleep, suspend } from "effection";
import type { DependencyContainer } from "tsyringe";
import { runConfigFollower } from "./config/follower.ts";
import { runController } from "./fleet/controller.ts";
import { runFleetFollower } from "./fleet/follower.ts";
import { useListeningServer } from "./http_server.ts";
import { readBusyWorkers } from "./jobs/busy_workers.ts";
import { runVmListPoller } from "./ports/vm_list_poller.ts";
import type { ResolvedSettings } from "./settings/schema.ts";
import { stopGracefully } from "./shutdown.ts";
import { type StopSignals, useProcessSignals } from "./signals.ts";
import type { Component } from "./supervisor.ts";
import { createEntryContainer, TOKENS } from "./wiring.ts";

/** Parts that follow the platform's state. */
function createFollowers(parts: DependencyContainer): Component[] {
  const loggers = parts.resolve(TOKENS.loggers);
  const store = parts.resolve(TOKENS.store);
  const contacts = parts.resolve(TOKENS.contacts);
  const onStoreContact = () => contacts.recordContact("store");
  return [
    {
      name: "vm-list",
      run: () =>
        runVmListPoller({
          vmList: parts.resolve(TOKENS.vmList),
          snapshot: parts.resolve(TOKENS.vmSnapshot),
          clock: parts.resolve(TOKENS.clock),
          log: loggers("vm-list"),
          onContact: () => contacts.recordContact("vm_list"),
        }),
    },
    {
      name: "config",
      run: () =>
        runConfigFollower({
          store,
          current: parts.resolve(TOKENS.config),
          revisionTracker: parts.resolve(TOKENS.storeRevision),
          log: loggers("config"),
          onContact: onStoreContact,
        }),
    },
    {
      name: "fleet",
      run: () =>
        runFleetFollower({
          store,
          region: parts.resolve(TOKENS.settings).region,
          current: parts.resolve(TOKENS.fleet),
          log: loggers("fleet"),
          onContact: onStoreContact,
        }),
    },
  ];
}

function createControllerPart(parts: DependencyContainer): Component {
  const { entryId, region, controller } = parts.resolve(TOKENS.settings);
  const store = parts.resolve(TOKENS.store);
  return {
    name: "controller",
    run: () =>
      runController({
        holder: entryId,
        region,
        store,
        config: parts.resolve(TOKENS.config),
        fleet: parts.resolve(TOKENS.fleet),
        vmList: parts.resolve(TOKENS.vmSnapshot),
        entries: parts.resolve(TOKENS.entries),
        workerAgent: parts.resolve(TOKENS.controllerWorkerAgent),
        timing: controller,
        readAssignedTasks: () => readBusyWorkers(store, region),
        clock: parts.resolve(TOKENS.clock),
        log: parts.resolve(TOKENS.loggers)("controller"),
      }),
  };
}

function createAdminPart(parts: DependencyContainer): Component {
  return {
    name: "admin",
    *run() {
      const address = yield* useListeningServer(
        parts.resolve(TOKENS.adminServer),
        parts.resolve(TOKENS.settings).listen.admin,
      );
      parts.resolve(TOKENS.state).adminAddress = address;
      parts.resolve(TOKENS.loggers)("admin").info(
        `server started at ${address}`,
        { address },
      );
      yield* suspend();
    },
  };
}

/** Addresses at which an entry listens, each as `host:port`. */
export interface EntryAddresses {
  /** Undefined when the entry serves no callers. */
  readonly callers: string | undefined;
  readonly peers: string;
  readonly admin: string;
}

/** What an entry can be started with besides its settings. */
export interface RunEntryOptions {
  readonly signals?: StopSignals;
  /** Called once every server listens. */
  readonly onListening?: (addresses: EntryAddresses) => void;
}

/** Time between two checks whether every server listens, in ms. */
const LISTENING_CHECK_INTERVAL_MS = 10;

/** Waits until the supervised servers listen; a part that fails at its start is retried by the supervisor. */
function* waitForAddresses(
  parts: DependencyContainer,
): Operation<EntryAddresses> {
  const state = parts.resolve(TOKENS.state);
  const peers = parts.resolve(TOKENS.peers);
  while (peers.address() === "" || state.adminAddress === "") {
    yield* sleep(LISTENING_CHECK_INTERVAL_MS);
  }
  return {
    callers: state.callerAddress || undefined,
    peers: peers.address(),
    admin: state.adminAddress,
  };
}

/** Runs one entry process until a stop signal; returns the exit code. */
export function* runEntry(
  settings: ResolvedSettings,
  options: RunEntryOptions = {},
): Operation<number> {
  const signals = options.signals ?? (yield* useProcessSignals());
  const parts = createEntryContainer(settings);
  const state = parts.resolve(TOKENS.state);
  const peers = parts.resolve(TOKENS.peers);
  const requestPath = parts.resolve(TOKENS.requestPath);
  const supervisor = parts.resolve(TOKENS.supervisor);

  const supervised = [
    createAdminPart(parts),
    { name: "peers", run: () => peers.run() },
    ...createFollowers(parts),
    ...(settings.roles.includes("controller")
      ? [createControllerPart(parts)]
      : []),
    ...(requestPath === undefined
      ? []
      : [{ name: "jobs", run: () => parts.resolve(TOKENS.jobs).run() }]),
  ];
  for (const part of supervised) yield* supervisor.start(part);
  // The admin and peer ports open first, so that an entry that takes requests can be asked for its state.
  yield* sleep(0);
  if (requestPath !== undefined) {
    state.callerAddress = yield* useListeningServer(
      requestPath.server,
      settings.listen.callers,
    );
    const address = state.callerAddress;
    parts.resolve(TOKENS.loggers)("front").info(`listening on ${address}`, {
      address,
    });
  }

  state.started = true;
  peers.notifyChange();
  options.onListening?.(yield* waitForAddresses(parts));

  yield* signals.next();
  return yield* stopGracefully({
    requestPath,
    graceMs: settings.graceMs,
    signals,
    onStopping() {
      state.stopping = true;
      peers.notifyChange();
    },
    log: parts.resolve(TOKENS.loggers)("shutdown"),
  });
}
