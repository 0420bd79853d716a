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

/** Memory and processor use of the process. */
export interface ProcessUsage {
  readonly uptimeMs: number;
  readonly residentBytes: number;
  readonly heapUsedBytes: number;
  /** Processor time since the start, in ms. */
  readonly cpuUserMs: number;
  readonly cpuSystemMs: number;
}

/** State of an entry, as answered by `GET /dump`. */
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
  /** Set while the store holds an older configuration than the entry knows. */
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
  readonly entries: readonly EntryDigest[];
  readonly peers: PeersStatus;
  readonly contacts: {
    readonly isolated: boolean;
    /** Time since the last answer of each source, in ms. */
    readonly sinceMs: Readonly<Record<ContactSource, number>>;
  };
  readonly supervisor: readonly ComponentStatus[];
  readonly requests: unknown;
  /** Undefined until the platform's state is known, and when the entry serves no callers. */
  readonly jobs: JobsSummary | undefined;
  readonly process: ProcessUsage;
}

/** What the dump is made from. */
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
  /** Undefined when the entry serves no callers. */
  readonly requestPath: RequestProxy | undefined;
  readonly jobs: Pick<JobService, "summary" | "explain">;
  readonly clock: Clock;
}

/** Reads the memory and processor use of this process. */
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
  const last = contacts.lastContactMs();
  const since = (source: ContactSource) => Math.round(nowMs - last[source]);
  return {
    isolated: contacts.isIsolated(),
    sinceMs: {
      store: since("store"),
      peer: since("peer"),
      vm_list: since("vm_list"),
    },
  };
}

/** Functions that read each part of the dump. */
export type DumpReaders = { readonly [Part in keyof EntryDump]: () => unknown };

/** Creates the readers of the dump, so that one part can be read alone. */
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
    requests: () => options.requestPath?.dump(),
    jobs: () => options.requestPath && options.jobs.summary(),
    process: readProcessUsage,
  };
}
