import { type Operation, spawn, suspend } from "effection";
import type { Clock } from "../clock.ts";
import { parseAppliedConfig, setConfigIfNewer } from "../config/follower.ts";
import type { AppliedConfig } from "../config/schema.ts";
import type { ContactTracker } from "../contact_tracker.ts";
import { parseFleetRecord, setFleetRecordIfNewer } from "../fleet/follower.ts";
import type { FleetRecord } from "../fleet/record.ts";
import {
  limitConnections,
  type ListenOptions,
  useListeningServer,
} from "../http_server.ts";
import type { Logger } from "../logger.ts";
import { createDurationMetric, type MetricSummary } from "../metrics.ts";
import type { MutableObservable, Observable } from "../observable.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";
import type { LoadReport } from "../requests/request_proxy.ts";
import { type RevisionReport, runRevisionSync } from "./revision_sync.ts";
import { createByteMeter } from "./byte_meter.ts";
import { runGossip } from "./gossip.ts";
import {
  createMembership,
  type MemberStatus,
  type MergeResult,
} from "./membership.ts";
import type { EntryDigest } from "./messages.ts";
import {
  findListedPeer,
  resolveAdvertisedAddress,
  resolvePeerAddresses,
} from "./peer_addresses.ts";
import type { PeerLink, PeerLinkStatus } from "./peer_link.ts";
import { runRegionExchange } from "./region_exchange.ts";
import { createPeerServer, type PeerHandlers } from "./router.ts";
import { createNotifier } from "../notifier.ts";
import { decodeVersionVector } from "./wire.ts";

/** Dependencies and settings of the peer links. */
export interface PeersOptions {
  readonly self: {
    readonly entryId: string;
    readonly region: string;
    readonly incarnation: string;
  };
  readonly listen: ListenOptions;
  /** Maximum number of connections of other entries. */
  readonly maximumConnections: number;
  readonly config: MutableObservable<AppliedConfig | undefined>;
  readonly fleet: MutableObservable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  /** Receives the digests of all entries of the region that aren't dropped, including this one and stopping ones. */
  readonly entries: MutableObservable<readonly EntryDigest[]>;
  /** `host:port` of this entry's port for callers. */
  readonly callerAddress: () => string;
  /** Returns the current load of this entry. */
  readonly load: () => LoadReport;
  /** Whether the load can't change before `notifyChange` is called. */
  readonly isIdle: () => boolean;
  readonly isReady: () => boolean;
  readonly isStopping: () => boolean;
  /** Called when a peer reports a newer incarnation of this entry. */
  readonly onSuperseded: () => void;
  readonly contacts: ContactTracker;
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns a random number from 0 to 1, as `Math.random` does. */
  readonly random?: () => number;
}

/** State of the peer links, as shown in the dump. */
export interface PeersStatus {
  readonly peerAddress: string;
  readonly members: readonly MemberStatus[];
  readonly links: readonly PeerLinkStatus[];
  /** Durations of gossip calls. */
  readonly calls: MetricSummary;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Membership of the region's entries and the links to them. */
export interface Peers {
  /** Task that runs the peer server and the links until it is halted; may be run again after a failure. */
  run(): Operation<void>;
  /** Makes gossip check for a change of this entry's state at once. */
  notifyChange(): void;
  /** `host:port` of the peer server; empty before it first listens. */
  address(): string;
  status(): PeersStatus;
}

/** Creates the peer links; they are idle until `run` is started. */
export function createPeers(options: PeersOptions): Peers {
  const { self, config, fleet, contacts, clock, log } = options;
  const random = options.random ?? Math.random;
  const membership = createMembership(self);
  const meter = createByteMeter();
  const callDurations = createDurationMetric(
    "cowslipferry_peer_call_duration_ms",
  );
  const notifiers = {
    gossip: createNotifier(),
    config: createNotifier(),
    fleet: createNotifier(),
    regions: createNotifier(),
  };
  const links = new Map<string, PeerLink>();
  let peerAddress = "";
  let regionReport: RevisionReport | undefined;

  const configRevision = () => config.get()?.revision ?? 0;
  const fleetRevision = () => fleet.get()?.revision ?? 0;

  function publishEntries(): void {
    options.entries.set(membership.digests());
    notifiers.config.notify();
    notifiers.fleet.notify();
  }

  function onMerged(result: MergeResult): void {
    contacts.recordContact("peer");
    if (result.superseded) options.onSuperseded();
    if (result.changed) publishEntries();
  }

  function onRegionReport(report: RevisionReport): void {
    contacts.recordContact("peer");
    if (report.revision <= configRevision()) return;
    regionReport = report;
    notifiers.config.notify();
  }

  function currentDigest(): EntryDigest {
    const listed = findListedPeer(listedVms(), self.entryId);
    return {
      ...self,
      sequence: 0,
      peerAddress: resolveAdvertisedAddress(
        peerAddress,
        listed?.controlAddress,
      ),
      callerAddress: resolveAdvertisedAddress(
        options.callerAddress(),
        listed?.address,
      ),
      ready: options.isReady(),
      stopping: options.isStopping(),
      configRevision: configRevision(),
      fleetRevision: fleetRevision(),
      ...options.load(),
    };
  }

  const handlers: PeerHandlers = {
    exchange(request) {
      const profiles = request.profile === undefined ? [] : [request.profile];
      onMerged(
        membership.merge(
          { records: [request.record], profiles },
          clock.monotonicMs(),
        ),
      );
      const missing = membership.selectMissing(
        decodeVersionVector(request.have),
      );
      return {
        records: [...missing.records],
        ...(missing.profiles.length > 0
          ? { profiles: [...missing.profiles] }
          : {}),
      };
    },
    exchangeConfigRevision({ entryId, peerAddress, configRevision: revision }) {
      const listed = findListedPeer(listedVms(), entryId);
      onRegionReport({
        address: listed?.controlAddress ?? peerAddress,
        revision,
      });
      return configRevision();
    },
    configBody(aboveRevision) {
      const applied = config.get();
      return applied !== undefined && applied.revision > aboveRevision
        ? JSON.stringify(applied)
        : undefined;
    },
    fleetBody(aboveRevision) {
      const record = fleet.get();
      return record !== undefined && record.revision > aboveRevision
        ? JSON.stringify(record)
        : undefined;
    },
  };

  const listedVms = () => options.vmList.get()?.vms ?? [];
  const peerAddresses = () =>
    resolvePeerAddresses({
      self,
      vms: listedVms(),
      digests: membership.digests(),
    });

  function listReports(
    revisionOf: (digest: EntryDigest) => number,
  ): RevisionReport[] {
    const addresses = peerAddresses();
    return membership.digests().flatMap((digest) => {
      const address = addresses.get(digest.entryId);
      return address === undefined
        ? []
        : [{ address, revision: revisionOf(digest) }];
    });
  }

  const runConfigSync = () =>
    runRevisionSync({
      name: "configuration",
      currentRevision: configRevision,
      reports: () => [
        ...listReports((digest) => digest.configRevision),
        ...(regionReport === undefined ? [] : [regionReport]),
      ],
      fetchBody: (client, aboveRevision) => client.configBody(aboveRevision),
      applyIfNewer: (body) =>
        setConfigIfNewer(config, parseAppliedConfig(body)),
      meter,
      notifier: notifiers.config,
      log,
      random,
    });

  const runFleetSync = () =>
    runRevisionSync({
      name: "fleet record",
      currentRevision: fleetRevision,
      reports: () => listReports((digest) => digest.fleetRevision),
      fetchBody: (client, aboveRevision) => client.fleetBody(aboveRevision),
      applyIfNewer: (body) =>
        setFleetRecordIfNewer(fleet, parseFleetRecord(body)),
      meter,
      notifier: notifiers.fleet,
      log,
      random,
    });

  function* run(): Operation<void> {
    links.clear();
    peerAddress = yield* useListeningServer(
      limitConnections(
        createPeerServer(handlers, meter),
        options.maximumConnections,
      ),
      options.listen,
    );
    log.info(`server started at ${peerAddress}`, { address: peerAddress });
    const subscriptions = [
      config.subscribe(() => {
        notifiers.gossip.notify();
        notifiers.regions.notify();
      }),
      fleet.subscribe(() => notifiers.gossip.notify()),
    ];
    try {
      yield* spawn(runConfigSync);
      yield* spawn(runFleetSync);
      yield* spawn(() =>
        runRegionExchange({
          self,
          peerAddress,
          vmList: options.vmList,
          currentRevision: configRevision,
          onReport: onRegionReport,
          meter,
          notifier: notifiers.regions,
          log,
          random,
        })
      );
      yield* spawn(() =>
        runGossip({
          membership,
          vmList: options.vmList,
          peerAddresses,
          currentDigest,
          isIdle: options.isIdle,
          links,
          clock,
          meter,
          notifier: notifiers.gossip,
          log,
          random,
          onMerged,
          onCallEnd: (durationMs) => callDurations.record(durationMs),
          onChange: publishEntries,
        })
      );
      yield* suspend();
    } finally {
      for (const unsubscribe of subscriptions) unsubscribe();
    }
  }

  return {
    run,
    notifyChange: () => notifiers.gossip.notify(),
    address: () => peerAddress,
    status: () => ({
      peerAddress,
      members: membership.status(clock.monotonicMs()),
      links: [...links.values()].map((link) => link.status()),
      calls: callDurations.read(),
      ...meter.totals(),
    }),
  };
}
