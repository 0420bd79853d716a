import { readConnectionMetrics } from "../connections/connection_metrics.ts";
import type { Metric } from "../metrics.ts";
import { type DumpOptions, readProcessUsage } from "./dump.ts";

const PREFIX = "cowslipferry";
const NO_LABELS = {};

function gauge(
  name: string,
  help: string,
  value: number,
  labels: Readonly<Record<string, string>> = NO_LABELS,
): Metric {
  return { kind: "gauge", name: `${PREFIX}_${name}`, help, labels, value };
}

function counter(
  name: string,
  help: string,
  value: number,
  labels: Readonly<Record<string, string>> = NO_LABELS,
): Metric {
  return { kind: "counter", name: `${PREFIX}_${name}`, help, labels, value };
}

function readProcessMetrics(): Metric[] {
  const usage = readProcessUsage();
  const cpuSeconds = (usage.cpuUserMs + usage.cpuSystemMs) / 1_000;
  return [
    gauge("resident_bytes", "Resident memory", usage.residentBytes),
    counter("cpu_seconds_total", "Processor time used", cpuSeconds),
    counter("uptime_seconds_total", "Time since start", usage.uptimeMs / 1_000),
  ];
}

function readPeerMetrics(options: DumpOptions): Metric[] {
  const status = options.peers.status();
  const failing = status.links.filter((link) => link.failuresInRow > 0).length;
  const bytes = (direction: string, value: number) =>
    counter("peer_bytes_total", "Bytes exchanged with peers", value, {
      direction,
    });
  return [
    gauge(
      "entries",
      "Live entries of the region",
      options.entries.get().length,
    ),
    gauge("failing_peer_links", "Peers whose last call failed", failing),
    bytes("sent", status.sentBytes),
    bytes("received", status.receivedBytes),
    { kind: "summary", help: "Duration of peer calls in ms", ...status.calls },
  ];
}

function readRequestMetrics(options: DumpOptions): Metric[] {
  const { requestProxy } = options;
  if (requestProxy === undefined) return [];
  const help = "Duration of requests in ms";
  return [
    gauge("requests_in_flight", "Requests in flight", requestProxy.inFlight()),
    ...readConnectionMetrics(requestProxy.budget),
    ...requestProxy.metrics().map((summary): Metric => ({
      kind: "summary",
      help,
      ...summary,
    })),
  ];
}

/** Returns by how many revisions the store is behind this entry; above 0 only after the store was restored to an older state. */
function readStoreBehindRevisions(options: DumpOptions): number {
  const behind = options.storeRevision.getStoreBehind();
  return behind === undefined ? 0 : behind.knownRevision - behind.storeRevision;
}

/** Collects the current values of all metrics of an entry. */
export function readEntryMetrics(options: DumpOptions): Metric[] {
  const { state, config, fleet, supervisor } = options;
  const isReady = state.unreadyReasons().length === 0;
  return [
    gauge("ready", "1 when the entry takes requests", isReady ? 1 : 0),
    gauge(
      "config_revision",
      "Configuration revision in force",
      config.get()?.revision ?? 0,
    ),
    gauge(
      "config_store_behind_revisions",
      "Configuration revisions by which the store is behind this entry",
      readStoreBehindRevisions(options),
    ),
    gauge(
      "fleet_revision",
      "Fleet record revision in use",
      fleet.get()?.revision ?? 0,
    ),
    ...supervisor.status().map((part) =>
      counter("part_restarts_total", "Restarts of a part", part.restarts, {
        part: part.name,
      })
    ),
    ...readProcessMetrics(),
    ...readPeerMetrics(options),
    ...readRequestMetrics(options),
  ];
}
