import type { Deployment } from "../../testing/deployment.ts";
import { summarize, sumSegments } from "../load_spec.ts";
import { runLoads } from "../run_load.ts";
import { readCpuTimeMs, readResidentMb } from "./deployment.ts";

/** Throughput of one entry process in one run. */
export interface ThroughputRun {
  /** Requests answered in time, per second. */
  readonly requestsPerSecond: number;
  /** Number of requests that were not answered in time. */
  readonly notAnswered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Mean number of CPU cores that the entry used. */
  readonly entryCores: number;
  /** Answered requests per second of CPU time. */
  readonly requestsPerCoreSecond: number;
  readonly entryMemoryMb: number;
  /** Highest event loop utilisation of a load process, from 0 to 1. */
  readonly loadBusyShare: number;
}

/** Number of processes that share the connections. */
const LOAD_PROCESSES = 3;

/** Measures the requests per second of one entry under closed-loop load. Returns one result per run. */
export async function measureThroughput(
  deployment: Deployment,
  options: {
    service: string;
    connections: number;
    runs: number;
    runMs: number;
    seed: number;
  },
): Promise<ThroughputRun[]> {
  const entry = deployment.entries[0]!;
  const pid = entry.process.pid!;
  const runs: ThroughputRun[] = [];
  for (let index = 0; index < options.runs; index++) {
    const cpuBeforeMs = readCpuTimeMs(pid);
    const results = await runLoads(
      Array.from({ length: LOAD_PROCESSES }, (_, part) => ({
        service: options.service,
        addresses: [entry.callerAddress],
        direct: false,
        load: {
          kind: "closed",
          connections: Math.ceil(options.connections / LOAD_PROCESSES),
        },
        segmentMs: options.runMs,
        deadlineMs: 2_000,
        seed: options.seed + part,
      } as const)),
    );
    const cpuMs = readCpuTimeMs(pid) - cpuBeforeMs;
    const total = sumSegments(results.flatMap((result) => result.segments));
    const latency = summarize(results.map((result) => result.latency));
    runs.push({
      requestsPerSecond: total.answered / options.runMs * 1_000,
      notAnswered: total.sent - total.answered,
      p50Ms: latency.p50Ms,
      p99Ms: latency.p99Ms,
      entryCores: cpuMs / options.runMs,
      requestsPerCoreSecond: total.answered / cpuMs * 1_000,
      entryMemoryMb: readResidentMb(pid),
      loadBusyShare: Math.max(...results.map((result) => result.busyShare)),
    });
  }
  return runs;
}
