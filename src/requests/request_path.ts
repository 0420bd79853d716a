import type { Server } from "node:http";
import type { Clock } from "../clock.ts";
import type { AppliedConfig } from "../config/schema.ts";
import type { ContactTracker } from "../contact_tracker.ts";
import type { FleetRecord } from "../fleet/record.ts";
import type { Logger } from "../logger.ts";
import type { Observable } from "../observable.ts";
import type { EntryDigest, ServiceLoad } from "../peers/messages.ts";
import type { VmListSnapshot } from "../platform/vm_list_poller.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import { createFront } from "./front.ts";

/** What the request path works with. */
export interface RequestPathOptions {
  readonly settings: ResolvedSettings;
  /** Identifies this start of the process. */
  readonly incarnation: string;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  /** Digests of all live entries of the region, this one included. */
  readonly entries: Observable<readonly EntryDigest[]>;
  readonly contacts: ContactTracker;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Load of this entry, as sent to peers. */
export interface LoadReport {
  readonly services: Record<string, ServiceLoad>;
  /** Requests in flight for each VM that takes no new work. */
  readonly drainingInFlight: Record<string, number>;
  /** VMs that told this entry that they are leaving. */
  readonly leavingVms: string[];
}

/** Serves the callers of one entry. */
export interface RequestPath {
  /** The callers' HTTP server. */
  readonly server: Server;
  load(): LoadReport;
  /** State for the dump: queues, shares, ejections, recent refusals with their reasons. */
  dump(): unknown;
  /** Refuses new requests from now on; resolves once none is in flight. */
  drain(): Promise<void>;
  /** Requests in flight and queued. */
  inFlight(): number;
}

/** Creates the request path; its server isn't listening yet. */
export function createRequestPath(options: RequestPathOptions): RequestPath {
  return {
    server: createFront(options),
    load: () => ({ services: {}, drainingInFlight: {}, leavingVms: [] }),
    dump: () => ({}),
    drain: () => Promise.resolve(),
    inFlight: () => 0,
  };
}
