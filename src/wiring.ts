import "reflect-metadata";
import {
  container,
  type DependencyContainer,
  type InjectionToken,
} from "tsyringe";
import { type Clock, systemClock } from "./clock.ts";
import type { AppliedConfig } from "./config/schema.ts";
import {
  type ContactTracker,
  createContactTracker,
} from "./contact_tracker.ts";
import type { FleetRecord } from "./fleet/record.ts";
import { createLoggerFactory, type LoggerFactory } from "./logger.ts";
import { createObservable, type MutableObservable } from "./observable.ts";
import type { EntryDigest } from "./peers/messages.ts";
import { createHttpStore } from "./platform/http_store.ts";
import { createHttpVmList } from "./platform/http_vm_list.ts";
import { createHttpWorkerAgent } from "./platform/http_worker_agent.ts";
import type { Store } from "./platform/store.ts";
import type { VmList } from "./platform/vm_list.ts";
import type { VmListSnapshot } from "./platform/vm_list_poller.ts";
import type { WorkerAgent } from "./platform/worker_agent.ts";
import type { ResolvedSettings } from "./settings/schema.ts";

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
  config: token<MutableObservable<AppliedConfig | undefined>>("config"),
  fleet: token<MutableObservable<FleetRecord | undefined>>("fleet"),
  /** Digests of all live entries of the region, this one included. */
  entries: token<MutableObservable<readonly EntryDigest[]>>("entries"),
  contacts: token<ContactTracker>("contacts"),
  vmSnapshot: token<MutableObservable<VmListSnapshot | undefined>>(
    "vmSnapshot",
  ),
};

/** Registers the parts of one entry process. */
export function createEntryContainer(
  settings: ResolvedSettings,
): DependencyContainer {
  const parts = container.createChildContainer();
  const single = <T>(key: InjectionToken<T>, create: () => T) => {
    let instance: { value: T } | undefined;
    parts.register(key, {
      useFactory: () => (instance ??= { value: create() }).value,
    });
  };
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
    TOKENS.config,
    () => createObservable<AppliedConfig | undefined>(undefined),
  );
  single(
    TOKENS.fleet,
    () => createObservable<FleetRecord | undefined>(undefined),
  );
  single(
    TOKENS.vmSnapshot,
    () => createObservable<VmListSnapshot | undefined>(undefined),
  );
  single(TOKENS.entries, () => createObservable<readonly EntryDigest[]>([]));
  single(TOKENS.contacts, () => createContactTracker(systemClock));
  return parts;
}
