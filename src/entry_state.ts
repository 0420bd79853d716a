import type { AppliedConfig } from "./config/schema.ts";
import type { ContactTracker } from "./contact_tracker.ts";
import type { FleetRecord } from "./fleet/record.ts";
import type { Observable } from "./observable.ts";
import type { VmListSnapshot } from "./ports/vm_list_poller.ts";

/** Why an entry should get no new work from the balancer. */
export type UnreadyReason =
  | "starting" // The parts aren't running yet.
  | "no_configuration"
  | "no_fleet_record"
  | "no_vm_list"
  | "isolated" // Neither store, nor peers, nor VM list have answered.
  | "superseded" // A newer process with the same entry id runs.
  | "stopping";

/** Stage of an entry's life and whether it is ready. */
export interface EntryState {
  /** `host:port` of the callers' port; empty while it isn't open. */
  callerAddress: string;
  /** `host:port` of the admin server; empty until it listens. */
  adminAddress: string;
  /** Set once all parts run. */
  started: boolean;
  /** Set once the graceful shutdown has begun. */
  stopping: boolean;
  /** Set once peers know a newer incarnation of this entry. */
  superseded: boolean;
  /** Empty when the entry is ready. */
  unreadyReasons(): UnreadyReason[];
}

/** What readiness is judged from. */
export interface EntryStateOptions {
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly contacts: ContactTracker;
}

/** Creates the state of an entry that is starting. */
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
