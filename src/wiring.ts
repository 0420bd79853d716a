import "reflect-metadata";
import { randomUUID } from "node:crypto";
import type { Server } from "node:http";
import {
  container,
  type DependencyContainer,
  type InjectionToken,
} from "tsyringe";
import { createAdminServer } from "./admin/server.ts";
import { type Clock, systemClock } from "./clock.ts";
import type { AppliedConfig } from "./config/schema.ts";
import {
  createStoreRevisionTracker,
  type StoreRevisionTracker,
} from "./config/store_revision.ts";
import {
  type ContactTracker,
  createContactTracker,
} from "./contact_tracker.ts";
import { createEntryState, type EntryState } from "./entry_state.ts";
import type { FleetRecord } from "./fleet/record.ts";
import { createJobService, type JobService } from "./jobs/job_service.ts";
import { createLoggerFactory, type LoggerFactory } from "./logger.ts";
import { createObservable, type MutableObservable } from "./observable.ts";
import type { EntryDigest } from "./peers/messages.ts";
import { resolveConnectionLimits } from "./connections/connection_limits.ts";
import { createPeers, type Peers } from "./peers/peers.ts";
import { createIncarnation } from "./peers/wire.ts";
import { createHttpStore } from "./ports/http_store.ts";
import { createHttpVmList } from "./ports/http_vm_list.ts";
import { createHttpWorkerAgent } from "./ports/http_worker_agent.ts";
import type { Store } from "./ports/store.ts";
import type { VmList } from "./ports/vm_list.ts";
import type { VmListSnapshot } from "./ports/vm_list_poller.ts";
import type { WorkerAgent } from "./ports/worker_agent.ts";
import {
  createRequestProxy,
  type RequestProxy,
} from "./requests/request_proxy.ts";
import type { ResolvedSettings } from "./settings/schema.ts";
import { createSupervisor, type Supervisor } from "./supervisor.ts";

function token<T>(name: string): InjectionToken<T> {
  return Symbol(name);
}

/** Injection tokens of an entry's components. */
export const TOKENS = {
  settings: token<ResolvedSettings>("settings"),
  clock: token<Clock>("clock"),
  loggers: token<LoggerFactory>("loggers"),
  store: token<Store>("store"),
  vmList: token<VmList>("vmList"),
  workerAgent: token<WorkerAgent>("workerAgent"),
  /** Separate client for the controller, which rarely calls the same worker. */
  controllerWorkerAgent: token<WorkerAgent>("controllerWorkerAgent"),
  config: token<MutableObservable<AppliedConfig | undefined>>("config"),
  storeRevision: token<StoreRevisionTracker>("storeRevision"),
  fleet: token<MutableObservable<FleetRecord | undefined>>("fleet"),
  storedFleetRevision: token<MutableObservable<number | undefined>>(
    "storedFleetRevision",
  ),
  /** Digests of all live entries of the region, including this one. */
  entries: token<MutableObservable<readonly EntryDigest[]>>("entries"),
  contacts: token<ContactTracker>("contacts"),
  /** Identifies this run of the process. */
  incarnation: token<string>("incarnation"),
  state: token<EntryState>("state"),
  supervisor: token<Supervisor>("supervisor"),
  /** Undefined if the entry serves no callers. */
  requestProxy: token<RequestProxy | undefined>("requestProxy"),
  jobs: token<JobService>("jobs"),
  peers: token<Peers>("peers"),
  adminServer: token<Server>("adminServer"),
  vmSnapshot: token<MutableObservable<VmListSnapshot | undefined>>(
    "vmSnapshot",
  ),
};

type RegisterSingleton = <T>(key: InjectionToken<T>, create: () => T) => void;

function registerPlatform(
  registerSingleton: RegisterSingleton,
  settings: ResolvedSettings,
): void {
  registerSingleton(TOKENS.settings, () => settings);
  registerSingleton(TOKENS.clock, () => systemClock);
  registerSingleton(
    TOKENS.loggers,
    () => createLoggerFactory(settings.logLevel, settings.entryId),
  );
  registerSingleton(
    TOKENS.store,
    () => createHttpStore(settings.platform.storeUrl),
  );
  registerSingleton(
    TOKENS.vmList,
    () => createHttpVmList(settings.platform.vmListUrl),
  );
  registerSingleton(TOKENS.workerAgent, () => createHttpWorkerAgent());
  registerSingleton(
    TOKENS.controllerWorkerAgent,
    () => createHttpWorkerAgent({ dedicatedConnections: true }),
  );
}

function registerState(
  registerSingleton: RegisterSingleton,
  scope: DependencyContainer,
): void {
  registerSingleton(
    TOKENS.config,
    () => createObservable<AppliedConfig | undefined>(undefined),
  );
  registerSingleton(
    TOKENS.fleet,
    () => createObservable<FleetRecord | undefined>(undefined),
  );
  registerSingleton(
    TOKENS.storedFleetRevision,
    () => createObservable<number | undefined>(undefined),
  );
  registerSingleton(TOKENS.storeRevision, () => {
    const config = scope.resolve(TOKENS.config);
    const fleet = scope.resolve(TOKENS.fleet);
    // The fleet record may refer to a newer configuration revision than the one this entry has, for example after a late start.
    return createStoreRevisionTracker(
      () =>
        Math.max(
          config.get()?.revision ?? 0,
          fleet.get()?.configRevision ?? 0,
        ),
      scope.resolve(TOKENS.clock),
    );
  });
  registerSingleton(
    TOKENS.vmSnapshot,
    () => createObservable<VmListSnapshot | undefined>(undefined),
  );
  registerSingleton(
    TOKENS.entries,
    () => createObservable<readonly EntryDigest[]>([]),
  );
  registerSingleton(
    TOKENS.contacts,
    () => createContactTracker(scope.resolve(TOKENS.clock)),
  );
  registerSingleton(
    TOKENS.incarnation,
    () => createIncarnation(scope.resolve(TOKENS.clock).wallMs(), randomUUID()),
  );
  registerSingleton(TOKENS.state, () =>
    createEntryState({
      config: scope.resolve(TOKENS.config),
      fleet: scope.resolve(TOKENS.fleet),
      vmList: scope.resolve(TOKENS.vmSnapshot),
      contacts: scope.resolve(TOKENS.contacts),
    }));
}

function createEntryRequestProxy(
  scope: DependencyContainer,
): RequestProxy | undefined {
  const settings = scope.resolve(TOKENS.settings);
  if (!settings.roles.includes("requests")) return undefined;
  return createRequestProxy({
    settings,
    incarnation: scope.resolve(TOKENS.incarnation),
    config: scope.resolve(TOKENS.config),
    fleet: scope.resolve(TOKENS.fleet),
    vmList: scope.resolve(TOKENS.vmSnapshot),
    entries: scope.resolve(TOKENS.entries),
    contacts: scope.resolve(TOKENS.contacts),
    systemApi: scope.resolve(TOKENS.jobs).systemApi,
    // The peers depend on the request proxy, so they are resolved lazily.
    onActive: () => scope.resolve(TOKENS.peers).notifyChange(),
    clock: scope.resolve(TOKENS.clock),
    log: scope.resolve(TOKENS.loggers)("requests"),
  });
}

function createEntryJobs(scope: DependencyContainer): JobService {
  const { entryId, region } = scope.resolve(TOKENS.settings);
  return createJobService({
    entryId,
    region,
    store: scope.resolve(TOKENS.store),
    agent: scope.resolve(TOKENS.workerAgent),
    config: scope.resolve(TOKENS.config),
    fleet: scope.resolve(TOKENS.fleet),
    vmList: scope.resolve(TOKENS.vmSnapshot),
    entries: scope.resolve(TOKENS.entries),
    clock: scope.resolve(TOKENS.clock),
    log: scope.resolve(TOKENS.loggers)("jobs"),
  });
}

function createEntryPeers(scope: DependencyContainer): Peers {
  const { entryId, region, listen, limits } = scope.resolve(TOKENS.settings);
  const state = scope.resolve(TOKENS.state);
  const requestProxy = scope.resolve(TOKENS.requestProxy);
  const log = scope.resolve(TOKENS.loggers)("peers");
  return createPeers({
    self: {
      entryId,
      region,
      incarnation: scope.resolve(TOKENS.incarnation),
    },
    listen: listen.peers,
    maximumConnections: resolveConnectionLimits(limits).maximumPeerConnections,
    config: scope.resolve(TOKENS.config),
    fleet: scope.resolve(TOKENS.fleet),
    vmList: scope.resolve(TOKENS.vmSnapshot),
    entries: scope.resolve(TOKENS.entries),
    callerAddress: () => state.callerAddress,
    load: () =>
      requestProxy?.load() ??
        { services: {}, drainingInFlight: {}, leavingVms: [] },
    isIdle: () => requestProxy?.isIdle() ?? true,
    isReady: () => state.unreadyReasons().length === 0,
    isStopping: () => state.stopping,
    onSuperseded() {
      if (!state.superseded) {
        log.error(
          "a newer process with the same entry id is running; this one is not ready",
        );
      }
      state.superseded = true;
    },
    contacts: scope.resolve(TOKENS.contacts),
    clock: scope.resolve(TOKENS.clock),
    log,
  });
}

function createEntryAdminServer(scope: DependencyContainer): Server {
  return createAdminServer({
    settings: scope.resolve(TOKENS.settings),
    incarnation: scope.resolve(TOKENS.incarnation),
    state: scope.resolve(TOKENS.state),
    config: scope.resolve(TOKENS.config),
    storeRevision: scope.resolve(TOKENS.storeRevision),
    fleet: scope.resolve(TOKENS.fleet),
    vmList: scope.resolve(TOKENS.vmSnapshot),
    entries: scope.resolve(TOKENS.entries),
    peers: scope.resolve(TOKENS.peers),
    contacts: scope.resolve(TOKENS.contacts),
    supervisor: scope.resolve(TOKENS.supervisor),
    requestProxy: scope.resolve(TOKENS.requestProxy),
    jobs: scope.resolve(TOKENS.jobs),
    clock: scope.resolve(TOKENS.clock),
    log: scope.resolve(TOKENS.loggers)("admin"),
  });
}

/** Registers the components of an entry process; each is created when it is first resolved. */
export function createEntryContainer(
  settings: ResolvedSettings,
): DependencyContainer {
  const scope = container.createChildContainer();
  const registerSingleton: RegisterSingleton = (key, create) => {
    let instance: { value: ReturnType<typeof create> } | undefined;
    scope.register(key, {
      useFactory: () => (instance ??= { value: create() }).value,
    });
  };
  registerPlatform(registerSingleton, settings);
  registerState(registerSingleton, scope);
  registerSingleton(
    TOKENS.supervisor,
    () => createSupervisor(scope.resolve(TOKENS.loggers)("supervisor")),
  );
  registerSingleton(TOKENS.jobs, () => createEntryJobs(scope));
  registerSingleton(TOKENS.requestProxy, () => createEntryRequestProxy(scope));
  registerSingleton(TOKENS.peers, () => createEntryPeers(scope));
  // Not a singleton, because a restarted component needs a new server.
  scope.register(TOKENS.adminServer, {
    useFactory: () => createEntryAdminServer(scope),
  });
  return scope;
}
