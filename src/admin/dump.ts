import process from "node:process";
import type { Clock } from "../clock.ts";
import type { AppliedConfig } from "../config/schema.ts";
import type {
  StoreBehind,
  StoreRevisionTracker,
} from "../config/store_revision.ts";
import type { ContactSource, ContactTracker } from "../contact_tracker.ts";
import { VERSION } from "../constants.ts";
import type { EntryState, UnreadyReason } from "../entry_state.ts";
import type { FleetRecord } from "../fleet/record.ts";
import type { JobsSummary } from "../jobs/job_summary.ts";
import type { JobService } from "../jobs/job_service.ts";
import type { Observable } from "../observable.ts";
import type { EntryDigest } from "../peers/messages.ts";
import type { Peers, PeersStatus } from "../peers/peers.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";
import type { RequestProxy } from "../requests/request_proxy.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import type { ComponentStatus, Supervisor } from "../supervisor.ts";

/** Memory and CPU usage of the process. */
export interface ProcessUsage {
  readonly uptimeMs: number;
  readonly residentBytes: number;
  readonly heapUsedBytes: number;
  /** CPU time in user mode since the process started, in ms. */
  readonly cpuUserMs: number;
  /** CPU time in the kernel since the process started, in ms. */
  readonly cpuSystemMs: number;
}

/** State of an entry, as returned by `GET /dump`. */
export interface EntryDump {
  readonly entryId: string;
  readonly incarnation: string;
  readonly version: string;
  readonly region: string;
  readonly dataCentre: string;
  /** Wall-clock time of the dump, in ms. */
  readonly atMs: number;
  readonly unreadyReasons: readonly UnreadyReason[];
  readonly config:
    | Pick<AppliedConfig, "revision" | "applyId" | "digest" | "appliedAtMs">
    | undefined;
  /** Set while the store holds an older configuration revision than this entry has seen. */
  readonly storeBehind: StoreBehind | undefined;
  readonly fleet:
    | {
      readonly revision: number;
      readonly configRevision: number;
      /** Number of VMs by state. */
      readonly vmsByState: Readonly<Record<string, number>>;
      readonly maintenance: FleetRecord["maintenance"];
    }
    | undefined;
  readonly vmList: { readonly vms: number; readonly ageMs: number } | undefined;
  /** Latest digests of the region's entries, including this one. */
  readonly entries: readonly EntryDigest[];
  readonly peers: PeersStatus;
  readonly contacts: {
    readonly isolated: boolean;
    /** Time since the last response from each source, in ms. */
    readonly sinceMs: Readonly<Record<ContactSource, number>>;
  };
  readonly supervisor: readonly ComponentStatus[];
  /** State of the request proxy; undefined on an entry without the `requests` role. */
  readonly requests: unknown;
  /**
   * Undefined until configuration, fleet record and VM list are known, and on
   * an entry without the `requests` role.
   */
  readonly jobs: JobsSummary | undefined;
  readonly process: ProcessUsage;
}

/** Dependencies of the dump readers. */
export interface DumpOptions {
  readonly settings: ResolvedSettings;
  readonly incarnation: string;
  readonly state: EntryState;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly storeRevision: StoreRevisionTracker;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly entries: Observable<readonly EntryDigest[]>;
  readonly peers: Peers;
  readonly contacts: ContactTracker;
  readonly supervisor: Supervisor;
  /** Undefined on an entry without the `requests` role. */
  readonly requestProxy: RequestProxy | undefined;
  readonly jobs: Pick<JobService, "summary" | "explain">;
  readonly clock: Clock;
}

/** Reads the memory and CPU usage of this process. */
export function readProcessUsage(): ProcessUsage {
  const memory = process.memoryUsage();
  const cpu = process.cpuUsage();
  return {
    uptimeMs: Math.round(process.uptime() * 1_000),
    residentBytes: memory.rss,
    heapUsedBytes: memory.heapUsed,
    cpuUserMs: Math.round(cpu.user / 1_000),
    cpuSystemMs: Math.round(cpu.system / 1_000),
  };
}

function summarizeFleet(record: FleetRecord): EntryDump["fleet"] {
  const vmsByState: Record<string, number> = {};
  for (const vm of Object.values(record.vms)) {
    vmsByState[vm.state] = (vmsByState[vm.state] ?? 0) + 1;
  }
  return {
    revision: record.revision,
    configRevision: record.configRevision,
    vmsByState,
    maintenance: record.maintenance,
  };
}

function summarizeConfig(applied: AppliedConfig): EntryDump["config"] {
  const { revision, applyId, digest, appliedAtMs } = applied;
  return { revision, applyId, digest, appliedAtMs };
}

function summarizeContacts(options: DumpOptions): EntryDump["contacts"] {
  const { contacts, clock } = options;
  const nowMs = clock.monotonicMs();
  const lastContactMs = contacts.lastContactMs();
  const msSinceContact = (source: ContactSource) =>
    Math.round(nowMs - lastContactMs[source]);
  return {
    isolated: contacts.isIsolated(),
    sinceMs: {
      store: msSinceContact("store"),
      peer: msSinceContact("peer"),
      vm_list: msSinceContact("vm_list"),
    },
  };
}

/** A function for each part of the dump that reads its current value. */
export type DumpReaders = { readonly [Part in keyof EntryDump]: () => unknown };

/** Creates the readers of the dump; separate ones allow a request to read only some parts. */
export function createDumpReaders(options: DumpOptions): DumpReaders {
  const { settings, state, clock } = options;
  return {
    entryId: () => settings.entryId,
    incarnation: () => options.incarnation,
    version: () => VERSION,
    region: () => settings.region,
    dataCentre: () => settings.dataCentre,
    atMs: () => clock.wallMs(),
    unreadyReasons: () => state.unreadyReasons(),
    config() {
      const applied = options.config.get();
      return applied && summarizeConfig(applied);
    },
    storeBehind: () => options.storeRevision.getStoreBehind(),
    fleet() {
      const record = options.fleet.get();
      return record && summarizeFleet(record);
    },
    vmList() {
      const snapshot = options.vmList.get();
      return snapshot && {
        vms: snapshot.vms.length,
        ageMs: Math.round(clock.monotonicMs() - snapshot.readAtMs),
      };
    },
    entries: () => options.entries.get(),
    peers: () => options.peers.status(),
    contacts: () => summarizeContacts(options),
    supervisor: () => options.supervisor.status(),
    requests: () => options.requestProxy?.dump(),
    jobs: () => options.requestProxy && options.jobs.summary(),
    process: readProcessUsage,
  };
}
