import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type ReportTable, writeReport } from "../report.ts";
import { type LatencyPair, measureAddedLatency } from "./added_latency.ts";
import { type BenchDeploymentOptions, withDeployment } from "./deployment.ts";
import { runSurge, type SurgeResult } from "./surge.ts";
import { measureThroughput, type ThroughputRun } from "./throughput.ts";

/** Options of the `requests` benchmark. */
export interface RequestsBenchOptions {
  readonly seed: number;
  /** Number of runs of the latency and throughput measurements. */
  readonly runs: number;
  /** Binary that the entries run, of this or another version. */
  readonly binary: string;
  readonly configFile: string;
  readonly dataCentres: readonly string[];
  /** Number of entries in the surge profile. */
  readonly entries: number;
  /** Mean load of a service in the surge profile, as a share of its own pool's slots. */
  readonly meanShare: number;
  /** Parts to run: `latency`, `throughput` and `surge`. */
  readonly parts: readonly string[];
  /** Base name of the report files. */
  readonly name: string;
  readonly command: string;
}

/** Half of the target for one entry, in requests per second. */
const HALF_LOAD_PER_SECOND = 2_000;
/** Target for one entry, in requests per second. */
const FULL_LOAD_PER_SECOND = 4_000;
const LATENCY_RUN_MS = 6_000;
const THROUGHPUT_RUN_MS = 5_000;
/** Number of connections that each send one request at a time. */
const THROUGHPUT_CONNECTIONS = 48;
const SHORT_SERVICE_TIME_MS = 2;
const SURGE_SERVICE_TIME_MS = 100;
const SURGE_SEGMENT_MS = 5_000;

interface Spread {
  readonly minimum: number;
  readonly median: number;
  readonly maximum: number;
}

function computeSpread(values: readonly number[]): Spread {
  const sorted = values.toSorted((a, b) => a - b);
  return {
    minimum: sorted[0] ?? NaN,
    median: sorted[Math.floor(sorted.length / 2)] ?? NaN,
    maximum: sorted.at(-1) ?? NaN,
  };
}

function createSpreadRow(name: string, values: readonly number[]) {
  const { minimum, median, maximum } = computeSpread(values);
  return [name, minimum, median, maximum];
}

function createLatencyTable(
  ratePerSecond: number,
  pairs: readonly LatencyPair[],
) {
  return {
    title:
      `added latency at ${ratePerSecond} requests/s through one entry, ms, ${pairs.length} alternating runs`,
    rows: [
      ["", "min", "median", "max"],
      createSpreadRow("direct p50", pairs.map((pair) => pair.direct.p50Ms)),
      createSpreadRow("direct p99", pairs.map((pair) => pair.direct.p99Ms)),
      createSpreadRow(
        "through entry p50",
        pairs.map((pair) => pair.through.p50Ms),
      ),
      createSpreadRow(
        "through entry p99",
        pairs.map((pair) => pair.through.p99Ms),
      ),
      createSpreadRow("added p50", pairs.map((pair) => pair.addedP50Ms)),
      createSpreadRow("added p99", pairs.map((pair) => pair.addedP99Ms)),
      createSpreadRow("not answered", pairs.map((pair) => pair.notAnswered)),
    ],
  };
}

function createThroughputTable(runs: readonly ThroughputRun[]): ReportTable {
  const row = (name: string, key: keyof ThroughputRun) =>
    createSpreadRow(name, runs.map((run) => run[key]));
  return {
    title: `one entry, ${THROUGHPUT_CONNECTIONS} closed-loop callers`,
    rows: [
      ["", "min", "median", "max"],
      row("requests per second", "requestsPerSecond"),
      row("not answered", "notAnswered"),
      row("p50 ms", "p50Ms"),
      row("p99 ms", "p99Ms"),
      row("CPU cores used by the entry", "entryCores"),
      row("requests per second of core time", "requestsPerCoreSecond"),
      row("entry memory, MB", "entryMemoryMb"),
      row("highest event loop utilisation of a load process", "loadBusyShare"),
    ],
  };
}

function createSurgeTables(results: Readonly<Record<string, SurgeResult>>) {
  const names = Object.keys(results);
  const row = (title: string, value: (result: SurgeResult) => number) => [
    title,
    ...names.map((name) => value(results[name]!)),
  ];
  const reasons = Object.entries(results).flatMap(([name, { loads }]) =>
    loads.flatMap((load) =>
      Object.entries(load.reasons).map(([reason, count]) => [
        `${name}, ${load.service}`,
        reason,
        count,
      ])
    )
  );
  return [
    {
      title: "surge profile",
      rows: [
        ["", ...names],
        row("sent", ({ total }) => total.sent),
        row("answered in time", ({ total }) => total.answered),
        row("refused", ({ total }) => total.refused),
        row("late", ({ total }) => total.late),
        row("lost", ({ total }) => total.lost),
        row("mismatched", ({ total }) => total.mismatched),
        row(
          "capacity of the declared slots",
          ({ carriable }) => Math.round(carriable),
        ),
        row(
          "answered, % of capacity",
          ({ answeredShareOfCarriable }) => answeredShareOfCarriable * 100,
        ),
        row("p99 of answers, ms", ({ latency }) => latency.p99Ms),
        row("p50 of refusals, ms", (result) => result.refusalLatency.p50Ms),
        row("p99 of refusals, ms", (result) => result.refusalLatency.p99Ms),
      ],
    },
    { title: "not answered", rows: [["", "reason", "count"], ...reasons] },
  ];
}

/** Runs the selected parts: added latency, throughput of one entry and the surge profile. */
export async function runRequestsBench(
  options: RequestsBenchOptions,
): Promise<void> {
  const { seed, runs, configFile, dataCentres, binary, parts } = options;
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-bench-"));
  const common = { configFile, dataCentres, binary, seed, folder };
  const single: BenchDeploymentOptions = {
    ...common,
    entryCount: 1,
    serviceTimeMs: SHORT_SERVICE_TIME_MS,
    distribution: "constant",
    overflow: true,
  };
  const tables: ReportTable[] = [];
  const results: Record<string, unknown> = { seed, configFile, binary };
  const surges: Record<string, SurgeResult> = {};
  try {
    if (parts.includes("latency")) {
      for (
        const ratePerSecond of [HALF_LOAD_PER_SECOND, FULL_LOAD_PER_SECOND]
      ) {
        console.log(`measuring added latency at ${ratePerSecond} requests/s`);
        const pairs = await withDeployment(
          single,
          (deployment, config) =>
            measureAddedLatency(deployment, {
              service: config.pools[3]?.services[0] ?? "",
              ratePerSecond,
              runs,
              runMs: LATENCY_RUN_MS,
              seed,
            }),
        );
        results[`addedLatency${ratePerSecond}`] = pairs;
        tables.push(createLatencyTable(ratePerSecond, pairs));
      }
    }
    if (parts.includes("throughput")) {
      console.log("measuring requests per second of one entry");
      const measured = await withDeployment(
        single,
        (deployment, config) =>
          measureThroughput(deployment, {
            service: config.pools[3]?.services[0] ?? "",
            connections: THROUGHPUT_CONNECTIONS,
            runs,
            runMs: THROUGHPUT_RUN_MS,
            seed,
          }),
      );
      results.throughput = measured;
      tables.push(createThroughputTable(measured));
    }
    if (parts.includes("surge")) {
      for (const overflow of [true, false]) {
        const name = overflow ? "with overflow" : "without overflow";
        console.log(`running the surge profile ${name}`);
        surges[name] = await withDeployment({
          ...common,
          entryCount: options.entries,
          serviceTimeMs: SURGE_SERVICE_TIME_MS,
          distribution: "exponential",
          overflow,
        }, (deployment, config) =>
          runSurge(deployment, {
            config,
            serviceTimeMs: SURGE_SERVICE_TIME_MS,
            meanShare: options.meanShare,
            segmentMs: SURGE_SEGMENT_MS,
            seed,
          }));
      }
      results.surge = surges;
      tables.push(...createSurgeTables(surges));
    }
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
  await writeReport({
    name: options.name,
    command: options.command,
    results,
    tables,
    charts: Object.entries(surges).map(([name, { loads }]) => ({
      title: `answered per segment, ${name}`,
      series: Object.fromEntries(
        loads.map((load) => [
          load.service,
          load.segments.map((segment) => segment.answered),
        ]),
      ),
    })),
  });
}
