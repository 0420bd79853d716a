import type { AppliedConfig } from "./config/schema.ts";
import type { ContactTracker } from "./contact_tracker.ts";
import type { FleetRecord } from "./fleet/record.ts";
import type { Observable } from "./observable.ts";
import type { VmListSnapshot } from "./ports/vm_list_poller.ts";

/** Reason why the load balancer should send no new work to an entry. */
export type UnreadyReason =
  | "starting" // The components are not running yet.
  | "no_configuration"
  | "no_fleet_record"
  | "no_vm_list"
  | "isolated" // None of the store, the peers and the VM list has responded lately.
  | "superseded" // A newer process with the same entry id is running.
  | "stopping";

/** Lifecycle state and readiness of an entry. */
export interface EntryState {
  /** `host:port` of the server for callers; empty until it listens. */
  callerAddress: string;
  /** `host:port` of the admin server; empty until it listens. */
  adminAddress: string;
  /** Set once all components are running. */
  started: boolean;
  /** Set when graceful shutdown begins. */
  stopping: boolean;
  /** Set when peers report a newer incarnation of this entry. */
  superseded: boolean;
  /** Returns why the entry is not ready; empty if it is ready. */
  unreadyReasons(): UnreadyReason[];
}

/** Inputs of the readiness check. */
export interface EntryStateOptions {
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly contacts: ContactTracker;
}

/** Creates the initial state of an entry that is starting. */
export function createEntryState(options: EntryStateOptions): EntryState {
  const { config, fleet, vmList, contacts } = options;
  return {
    callerAddress: "",
    adminAddress: "",
    started: false,
    stopping: false,
    superseded: false,
    unreadyReasons() {
      const conditions: [UnreadyReason, boolean][] = [
        ["starting", !this.started],
        ["no_configuration", config.get() === undefined],
        ["no_fleet_record", fleet.get() === undefined],
        ["no_vm_list", vmList.get() === undefined],
        ["isolated", contacts.isIsolated()],
        ["superseded", this.superseded],
        ["stopping", this.stopping],
      ];
      return conditions.filter(([, holds]) => holds).map(([reason]) => reason);
    },
  };
}
