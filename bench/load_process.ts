import { readFile } from "node:fs/promises";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { request } from "undici";
import {
  callEntry,
  type CallResult,
  createCallerAgent,
  isExpectedAnswer,
} from "../testing/caller.ts";
import { createLatencyHistogram } from "../testing/latency.ts";
import { runOpenLoop } from "../testing/open_loop.ts";
import { createRandom, deriveSeed } from "../testing/random.ts";
import {
  createEmptySegment,
  type LoadResult,
  type LoadSpec,
} from "./load_spec.ts";

/** Maximum number of connections to each address. */
const CONNECTIONS = 1_024;

/** Generates one load. The process prints the returned `LoadResult` as its only line. */
async function runLoad(spec: LoadSpec): Promise<LoadResult> {
  const random = createRandom(deriveSeed(spec.seed, spec.service));
  const segments = (spec.load.kind === "open" ? spec.load.ratesPerSecond : [0])
    .map(createEmptySegment);
  const latency = createLatencyHistogram();
  const refusalLatency = createLatencyHistogram();
  const reasons: Record<string, number> = {};
  const dispatcher = createCallerAgent(CONNECTIONS);
  const startedAtMs = performance.now();
  const before = performance.eventLoopUtilization();

  async function sendDirect(url: string): Promise<CallResult> {
    const sentAtMs = performance.now();
    try {
      const response = await request(url, { dispatcher });
      const text = await response.body.text();
      const elapsedMs = performance.now() - sentAtMs;
      return { kind: "answer", status: response.statusCode, text, elapsedMs };
    } catch (error) {
      const elapsedMs = performance.now() - sentAtMs;
      return { kind: "no_response", message: String(error), elapsedMs };
    }
  }

  function recordResult(
    result: CallResult,
    path: string,
    scheduledAtMs: number,
  ) {
    const index = Math.floor((scheduledAtMs - startedAtMs) / spec.segmentMs);
    const segment = segments[Math.min(index, segments.length - 1)]!;
    const elapsedMs = performance.now() - scheduledAtMs;
    segment.sent++;
    if (result.kind === "answer") latency.record(elapsedMs);
    if (result.kind === "not_run") refusalLatency.record(elapsedMs);
    if (result.kind !== "answer") {
      const reason = result.kind === "not_run"
        ? `not_run ${result.reason}`
        : result.kind;
      reasons[reason] = (reasons[reason] ?? 0) + 1;
    }
    const isFinal = result.kind === "answer" || result.kind === "not_run";
    if (!isFinal) segment.lost++;
    else if (elapsedMs > spec.deadlineMs) segment.late++;
    else if (result.kind === "not_run") segment.refused++;
    else if (isExpectedAnswer(result, { path })) segment.answered++;
    else segment.mismatched++;
  }

  async function send(index: number, scheduledAtMs: number): Promise<void> {
    const path = `/${spec.service}/load/${process.pid}-${index}`;
    const url = `http://${
      spec.addresses[index % spec.addresses.length]
    }${path}`;
    const result = spec.direct
      ? await sendDirect(url)
      : await callEntry(url, { dispatcher, deadlineMs: spec.deadlineMs });
    recordResult(result, path, scheduledAtMs);
  }

  async function runClosedLoop(connections: number): Promise<void> {
    let index = 0;
    const endMs = startedAtMs + spec.segmentMs;
    await Promise.all(Array.from({ length: connections }, async () => {
      while (performance.now() < endMs) await send(index++, performance.now());
    }));
  }

  if (spec.load.kind === "closed") {
    await runClosedLoop(spec.load.connections);
  } else {
    const { ratesPerSecond } = spec.load;
    await runOpenLoop({
      rateAt: (elapsedMs) =>
        ratesPerSecond[Math.floor(elapsedMs / spec.segmentMs)] ?? 0,
      durationMs: spec.segmentMs * ratesPerSecond.length,
      random,
      send,
    });
  }
  return {
    service: spec.service,
    segments,
    latency: latency.encode(),
    refusalLatency: refusalLatency.encode(),
    reasons,
    busyShare: performance.eventLoopUtilization(before).utilization,
  };
}

const spec: LoadSpec = JSON.parse(
  await readFile(process.argv[2] ?? "", "utf8"),
);
console.log(JSON.stringify(await runLoad(spec)));
process.exit();
