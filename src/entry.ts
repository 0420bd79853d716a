import { type Operation, sleep, suspend } from "effection";
import type { DependencyContainer } from "tsyringe";
import { runConfigFollower } from "./config/follower.ts";
import { runController } from "./fleet/controller.ts";
import { runFleetFollower } from "./fleet/follower.ts";
import { limitConnections, useListeningServer } from "./http_server.ts";
import { readBusyWorkers } from "./jobs/busy_workers.ts";
import { runVmListPoller } from "./ports/vm_list_poller.ts";
import type { ResolvedSettings } from "./settings/schema.ts";
import { stopGracefully } from "./shutdown.ts";
import { type StopSignals, useProcessSignals } from "./signals.ts";
import type { Component } from "./supervisor.ts";
import { createEntryContainer, TOKENS } from "./wiring.ts";

/** Creates the components that follow the VM list, the configuration and the fleet record. */
function createFollowers(scope: DependencyContainer): Component[] {
  const loggers = scope.resolve(TOKENS.loggers);
  const store = scope.resolve(TOKENS.store);
  const contacts = scope.resolve(TOKENS.contacts);
  const onStoreContact = () => contacts.recordContact("store");
  return [
    {
      name: "vm-list",
      run: () =>
        runVmListPoller({
          vmList: scope.resolve(TOKENS.vmList),
          snapshot: scope.resolve(TOKENS.vmSnapshot),
          clock: scope.resolve(TOKENS.clock),
          log: loggers("vm-list"),
          onContact: () => contacts.recordContact("vm_list"),
        }),
    },
    {
      name: "config",
      run: () =>
        runConfigFollower({
          store,
          current: scope.resolve(TOKENS.config),
          revisionTracker: scope.resolve(TOKENS.storeRevision),
          log: loggers("config"),
          onContact: onStoreContact,
        }),
    },
    {
      name: "fleet",
      run: () =>
        runFleetFollower({
          store,
          region: scope.resolve(TOKENS.settings).region,
          current: scope.resolve(TOKENS.fleet),
          storedRevision: scope.resolve(TOKENS.storedFleetRevision),
          log: loggers("fleet"),
          onContact: onStoreContact,
        }),
    },
  ];
}

function createControllerComponent(scope: DependencyContainer): Component {
  const { entryId, region, controller } = scope.resolve(TOKENS.settings);
  const store = scope.resolve(TOKENS.store);
  return {
    name: "controller",
    run: () =>
      runController({
        holder: entryId,
        region,
        store,
        config: scope.resolve(TOKENS.config),
        fleet: scope.resolve(TOKENS.fleet),
        storedRevision: scope.resolve(TOKENS.storedFleetRevision),
        vmList: scope.resolve(TOKENS.vmSnapshot),
        entries: scope.resolve(TOKENS.entries),
        workerAgent: scope.resolve(TOKENS.controllerWorkerAgent),
        timing: controller,
        readAssignedTasks: () => readBusyWorkers(store, region),
        clock: scope.resolve(TOKENS.clock),
        log: scope.resolve(TOKENS.loggers)("controller"),
      }),
  };
}

/** Maximum number of connections to the admin server; its users are operators, metric collectors and the load balancer. */
const MAXIMUM_ADMIN_CONNECTIONS = 32;

function createAdminComponent(scope: DependencyContainer): Component {
  return {
    name: "admin",
    *run() {
      const address = yield* useListeningServer(
        limitConnections(
          scope.resolve(TOKENS.adminServer),
          MAXIMUM_ADMIN_CONNECTIONS,
        ),
        scope.resolve(TOKENS.settings).listen.admin,
      );
      scope.resolve(TOKENS.state).adminAddress = address;
      scope.resolve(TOKENS.loggers)("admin").info(
        `server started at ${address}`,
        { address },
      );
      yield* suspend();
    },
  };
}

/** Listening addresses of an entry, each as `host:port`. */
export interface EntryAddresses {
  /** Undefined if the entry serves no callers. */
  readonly callers: string | undefined;
  readonly peers: string;
  readonly admin: string;
}

/** Options of `runEntry` besides the settings. */
export interface RunEntryOptions {
  readonly signals?: StopSignals;
  /** Called once all servers are listening. */
  readonly onListening?: (addresses: EntryAddresses) => void;
}

/** Polling interval while waiting for the servers to listen, in ms. */
const LISTENING_CHECK_INTERVAL_MS = 10;

/** Waits until the supervised servers listen. The supervisor restarts a component that fails to start. */
function* waitForAddresses(
  scope: DependencyContainer,
): Operation<EntryAddresses> {
  const state = scope.resolve(TOKENS.state);
  const peers = scope.resolve(TOKENS.peers);
  while (peers.address() === "" || state.adminAddress === "") {
    yield* sleep(LISTENING_CHECK_INTERVAL_MS);
  }
  return {
    callers: state.callerAddress || undefined,
    peers: peers.address(),
    admin: state.adminAddress,
  };
}

/** Runs an entry process until a stop signal arrives; returns the exit code. */
export function* runEntry(
  settings: ResolvedSettings,
  options: RunEntryOptions = {},
): Operation<number> {
  const signals = options.signals ?? (yield* useProcessSignals());
  const scope = createEntryContainer(settings);
  const state = scope.resolve(TOKENS.state);
  const peers = scope.resolve(TOKENS.peers);
  const requestProxy = scope.resolve(TOKENS.requestProxy);
  const supervisor = scope.resolve(TOKENS.supervisor);

  const components = [
    createAdminComponent(scope),
    { name: "peers", run: () => peers.run() },
    ...createFollowers(scope),
    ...(settings.roles.includes("controller")
      ? [createControllerComponent(scope)]
      : []),
    ...(requestProxy === undefined
      ? []
      : [{ name: "jobs", run: () => scope.resolve(TOKENS.jobs).run() }]),
  ];
  for (const component of components) yield* supervisor.start(component);
  // Opens the admin and peer ports first, so that the state of an entry is available once it accepts requests.
  yield* sleep(0);
  if (requestProxy !== undefined) {
    state.callerAddress = yield* useListeningServer(requestProxy.server, {
      ...settings.listen.callers,
      maximumUnaccepted: requestProxy.budget.limits.maximumUnaccepted,
    });
    const address = state.callerAddress;
    scope.resolve(TOKENS.loggers)("requests").info(`listening on ${address}`, {
      address,
    });
  }

  state.started = true;
  peers.notifyChange();
  options.onListening?.(yield* waitForAddresses(scope));

  yield* signals.next();
  return yield* stopGracefully({
    requestProxy,
    graceMs: settings.graceMs,
    signals,
    onStopping() {
      state.stopping = true;
      peers.notifyChange();
    },
    log: scope.resolve(TOKENS.loggers)("shutdown"),
  });
}
