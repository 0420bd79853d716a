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

/** Tokens under which the parts are registered. */
export const TOKENS = {
  settings: token<ResolvedSettings>("settings"),
  clock: token<Clock>("clock"),
  loggers: token<LoggerFactory>("loggers"),
  store: token<Store>("store"),
  vmList: token<VmList>("vmList"),
  workerAgent: token<WorkerAgent>("workerAgent"),
  /** The controller's client of the workers, which it asks seldom. */
  controllerWorkerAgent: token<WorkerAgent>("controllerWorkerAgent"),
  config: token<MutableObservable<AppliedConfig | undefined>>("config"),
  storeRevision: token<StoreRevisionTracker>("storeRevision"),
  fleet: token<MutableObservable<FleetRecord | undefined>>("fleet"),
  /** Digests of all live entries of the region, this one included. */
  entries: token<MutableObservable<readonly EntryDigest[]>>("entries"),
  contacts: token<ContactTracker>("contacts"),
  /** Identifies this start of the process. */
  incarnation: token<string>("incarnation"),
  state: token<EntryState>("state"),
  supervisor: token<Supervisor>("supervisor"),
  /** Undefined when the entry serves no callers. */
  requestPath: token<RequestProxy | undefined>("requestPath"),
  jobs: token<JobService>("jobs"),
  peers: token<Peers>("peers"),
  adminServer: token<Server>("adminServer"),
  vmSnapshot: token<MutableObservable<VmListSnapshot | undefined>>(
    "vmSnapshot",
  ),
};

type Register = <T>(key: InjectionToken<T>, create: () => T) => void;

function registerPlatform(single: Register, settings: ResolvedSettings): void {
  single(TOKENS.settings, () => settings);
  single(TOKENS.clock, () => systemClock);
  single(
    TOKENS.loggers,
    () => createLoggerFactory(settings.logLevel, settings.entryId),
  );
  single(TOKENS.store, () => createHttpStore(settings.platform.storeUrl));
  single(TOKENS.vmList, () => createHttpVmList(settings.platform.vmListUrl));
  single(TOKENS.workerAgent, () => createHttpWorkerAgent());
  single(
    TOKENS.controllerWorkerAgent,
    () => createHttpWorkerAgent({ dedicatedConnections: true }),
  );
}

function registerState(single: Register, parts: DependencyContainer): void {
  single(
    TOKENS.config,
    () => createObservable<AppliedConfig | undefined>(undefined),
  );
  single(
    TOKENS.fleet,
    () => createObservable<FleetRecord | undefined>(undefined),
  );
  single(TOKENS.storeRevision, () => {
    const config = parts.resolve(TOKENS.config);
    const fleet = parts.resolve(TOKENS.fleet);
    // The fleet record names the configuration that it was planned with, which an entry that started later may not have.
    return createStoreRevisionTracker(
      () =>
        Math.max(
          config.get()?.revision ?? 0,
          fleet.get()?.configRevision ?? 0,
        ),
      parts.resolve(TOKENS.clock),
    );
  });
  single(
    TOKENS.vmSnapshot,
    () => createObservable<VmListSnapshot | undefined>(undefined),
  );
  single(TOKENS.entries, () => createObservable<readonly EntryDigest[]>([]));
  single(
    TOKENS.contacts,
    () => createContactTracker(parts.resolve(TOKENS.clock)),
  );
  single(
    TOKENS.incarnation,
    () => createIncarnation(parts.resolve(TOKENS.clock).wallMs(), randomUUID()),
  );
  single(TOKENS.state, () =>
    createEntryState({
      config: parts.resolve(TOKENS.config),
      fleet: parts.resolve(TOKENS.fleet),
      vmList: parts.resolve(TOKENS.vmSnapshot),
      contacts: parts.resolve(TOKENS.contacts),
    }));
}

function createEntryRequestPath(
  parts: DependencyContainer,
): RequestProxy | undefined {
  const settings = parts.resolve(TOKENS.settings);
  if (!settings.roles.includes("requests")) return undefined;
  return createRequestProxy({
    settings,
    incarnation: parts.resolve(TOKENS.incarnation),
    config: parts.resolve(TOKENS.config),
    fleet: parts.resolve(TOKENS.fleet),
    vmList: parts.resolve(TOKENS.vmSnapshot),
    entries: parts.resolve(TOKENS.entries),
    contacts: parts.resolve(TOKENS.contacts),
    systemApi: parts.resolve(TOKENS.jobs).systemApi,
    // The peers are created with the request path, so they are resolved later.
    onActive: () => parts.resolve(TOKENS.peers).notifyChange(),
    clock: parts.resolve(TOKENS.clock),
    log: parts.resolve(TOKENS.loggers)("front"),
  });
}

function createEntryJobs(parts: DependencyContainer): JobService {
  const { entryId, region } = parts.resolve(TOKENS.settings);
  return createJobService({
    entryId,
    region,
    store: parts.resolve(TOKENS.store),
    agent: parts.resolve(TOKENS.workerAgent),
    config: parts.resolve(TOKENS.config),
    fleet: parts.resolve(TOKENS.fleet),
    vmList: parts.resolve(TOKENS.vmSnapshot),
    entries: parts.resolve(TOKENS.entries),
    clock: parts.resolve(TOKENS.clock),
    log: parts.resolve(TOKENS.loggers)("jobs"),
  });
}

function createEntryPeers(parts: DependencyContainer): Peers {
  const { entryId, region, listen } = parts.resolve(TOKENS.settings);
  const state = parts.resolve(TOKENS.state);
  const requestPath = parts.resolve(TOKENS.requestPath);
  const log = parts.resolve(TOKENS.loggers)("peers");
  return createPeers({
    self: {
      entryId,
      region,
      incarnation: parts.resolve(TOKENS.incarnation),
    },
    listen: listen.peers,
    config: parts.resolve(TOKENS.config),
    fleet: parts.resolve(TOKENS.fleet),
    vmList: parts.resolve(TOKENS.vmSnapshot),
    entries: parts.resolve(TOKENS.entries),
    callerAddress: () => state.callerAddress,
    load: () =>
      requestPath?.load() ??
        { services: {}, drainingInFlight: {}, leavingVms: [] },
    isIdle: () => requestPath?.isIdle() ?? true,
    isReady: () => state.unreadyReasons().length === 0,
    isStopping: () => state.stopping,
    onSuperseded() {
      if (!state.superseded) {
        log.error("a newer process with this entry id runs; not ready");
      }
      state.superseded = true;
    },
    contacts: parts.resolve(TOKENS.contacts),
    clock: parts.resolve(TOKENS.clock),
    log,
  });
}

function createEntryAdminServer(parts: DependencyContainer): Server {
  return createAdminServer({
    settings: parts.resolve(TOKENS.settings),
    incarnation: parts.resolve(TOKENS.incarnation),
    state: parts.resolve(TOKENS.state),
    config: parts.resolve(TOKENS.config),
    storeRevision: parts.resolve(TOKENS.storeRevision),
    fleet: parts.resolve(TOKENS.fleet),
    vmList: parts.resolve(TOKENS.vmSnapshot),
    entries: parts.resolve(TOKENS.entries),
    peers: parts.resolve(TOKENS.peers),
    contacts: parts.resolve(TOKENS.contacts),
    supervisor: parts.resolve(TOKENS.supervisor),
    requestProxy: parts.resolve(TOKENS.requestPath),
    jobs: parts.resolve(TOKENS.jobs),
    clock: parts.resolve(TOKENS.clock),
    log: parts.resolve(TOKENS.loggers)("admin"),
  });
}

/** Registers the parts of one entry process; each is created when it is first resolved. */
export function createEntryContainer(
  settings: ResolvedSettings,
): DependencyContainer {
  const parts = container.createChildContainer();
  const single: Register = (key, create) => {
    let instance: { value: ReturnType<typeof create> } | undefined;
    parts.register(key, {
      useFactory: () => (instance ??= { value: create() }).value,
    });
  };
  registerPlatform(single, settings);
  registerState(single, parts);
  single(
    TOKENS.supervisor,
    () => createSupervisor(parts.resolve(TOKENS.loggers)("supervisor")),
  );
  single(TOKENS.jobs, () => createEntryJobs(parts));
  single(TOKENS.requestPath, () => createEntryRequestPath(parts));
  single(TOKENS.peers, () => createEntryPeers(parts));
  // A restarted part needs a new server.
  parts.register(TOKENS.adminServer, {
    useFactory: () => createEntryAdminServer(parts),
  });
  return parts;
}
