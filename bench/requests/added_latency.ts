import type { Deployment } from "../../testing/deployment.ts";
import type { LatencySummary } from "../../testing/latency.ts";
import { summarize, sumSegments } from "../load_spec.ts";
import { runLoads } from "../run_load.ts";

/** Latency of a run that calls backend servers directly and of the subsequent run through an entry. */
export interface LatencyPair {
  readonly direct: LatencySummary;
  readonly through: LatencySummary;
  /** Difference of the medians, in ms. */
  readonly addedP50Ms: number;
  /** Difference of the 99th percentiles, in ms. */
  readonly addedP99Ms: number;
  /** Number of requests through the entry that were not answered in time. */
  readonly notAnswered: number;
}

const WARM_UP_MS = 2_000;
const DEADLINE_MS = 2_000;
/** Number of load processes. A single one can't send 4,000 requests per second without adding delays of its own. */
const LOAD_PROCESSES = 4;

/** Measures the latency that an entry adds, by alternating direct runs and runs through the entry. Returns one pair per run. */
export async function measureAddedLatency(
  deployment: Deployment,
  options: {
    service: string;
    ratePerSecond: number;
    runs: number;
    runMs: number;
    seed: number;
  },
): Promise<LatencyPair[]> {
  const { service, ratePerSecond, runs, runMs, seed } = options;
  const backends = [...deployment.workers.values()]
    .filter((worker) => worker.id.startsWith(`${service}-`))
    .map((worker) => worker.address);
  const entry = deployment.entries[0]?.callerAddress ?? "";

  async function run(
    addresses: readonly string[],
    direct: boolean,
    segmentMs: number,
  ) {
    const results = await runLoads(
      Array.from({ length: LOAD_PROCESSES }, (_, part) => ({
        service,
        addresses,
        direct,
        load: {
          kind: "open",
          ratesPerSecond: [ratePerSecond / LOAD_PROCESSES],
        },
        segmentMs,
        deadlineMs: DEADLINE_MS,
        seed: seed + part,
      } as const)),
    );
    return {
      latency: summarize(results.map((result) => result.latency)),
      counts: sumSegments(results.flatMap((result) => result.segments)),
    };
  }

  await run([entry], false, WARM_UP_MS);
  const pairs: LatencyPair[] = [];
  for (let index = 0; index < runs; index++) {
    const direct = await run(backends, true, runMs);
    const through = await run([entry], false, runMs);
    const { sent, answered } = through.counts;
    pairs.push({
      direct: direct.latency,
      through: through.latency,
      addedP50Ms: through.latency.p50Ms - direct.latency.p50Ms,
      addedP99Ms: through.latency.p99Ms - direct.latency.p99Ms,
      notAnswered: sent - answered,
    });
  }
  return pairs;
}
