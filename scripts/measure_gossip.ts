// Measures traffic, digest age and configuration roll-out time of gossip between in-process nodes.
// Usage: node --import tsx scripts/measure_gossip.ts [nodes] [services]
import { setTimeout as delay } from "node:timers/promises";
import process from "node:process";
import {
  createAppliedConfig,
  type PeerNode,
  startPeerNodes,
} from "../testing/peer_nodes.ts";
import { waitFor } from "../testing/wait.ts";

const WARM_UP_MS = 5_000;
const MEASUREMENT_MS = 15_000;
const LOAD_CHANGE_INTERVAL_MS = 100;
const SAMPLE_INTERVAL_MS = 50;

const nodeCount = Number(process.argv[2] ?? 9);
const services = Array.from(
  { length: Number(process.argv[3] ?? 5) },
  (_, index) => `service-number-${index + 1}`,
);

function randomInteger(limit: number): number {
  return Math.floor(Math.random() * limit);
}

/**
 * Redraws the request counts and the demand of each service. Demand usually changes by up to 5 %; in
 * 1 % of the calls, so about once in 10 s per service, it changes by a factor from 0.5 to 2.
 */
function randomizeLoad(node: PeerNode): void {
  const loads: PeerNode["state"]["load"]["services"] = {};
  for (const name of services) {
    const previous = node.state.load.services[name]?.demandSlots ?? 20;
    const factor = Math.random() < 0.01
      ? 0.5 + Math.random() * 1.5
      : 0.95 + Math.random() / 10;
    loads[name] = {
      inFlight: randomInteger(40),
      waiting: randomInteger(2) * randomInteger(20),
      demandSlots: Math.min(200, Math.max(1, previous * factor)),
    };
  }
  node.state.load = { services: loads, drainingInFlight: {}, leavingVms: [] };
}

function readByteCounts(nodes: readonly PeerNode[]) {
  return nodes.map((node) => {
    const { sentBytes, receivedBytes } = node.peers.status();
    return { sentBytes, receivedBytes };
  });
}

function percentile(values: number[], ratio: number): number {
  return Math.round(
    values.sort((a, b) => a - b)[Math.floor((values.length - 1) * ratio)] ?? 0,
  );
}

/** Records when each node publishes its digests. The keys are entry id and sequence number, the values in ms. */
function recordPublishTimes(nodes: readonly PeerNode[]): Map<string, number> {
  const publishTimes = new Map<string, number>();
  for (const node of nodes) {
    node.entries.subscribe((digests) => {
      const own = digests.find((digest) => digest.entryId === node.entryId);
      const name = `${node.entryId} ${own?.sequence}`;
      if (!publishTimes.has(name)) publishTimes.set(name, performance.now());
    });
  }
  return publishTimes;
}

/** Samples the ages of the digests that nodes hold of each other, in ms. */
async function sampleAges(
  nodes: readonly PeerNode[],
  publishTimes: ReadonlyMap<string, number>,
  endMs: number,
): Promise<number[]> {
  const samples: number[] = [];
  while (performance.now() < endMs) {
    await delay(SAMPLE_INTERVAL_MS);
    for (const node of nodes) {
      for (const digest of node.entries.get()) {
        const publishedAtMs = publishTimes.get(
          `${digest.entryId} ${digest.sequence}`,
        );
        if (digest.entryId === node.entryId || publishedAtMs === undefined) {
          continue;
        }
        samples.push(performance.now() - publishedAtMs);
      }
    }
  }
  return samples;
}

async function measureRollOut(
  nodes: readonly PeerNode[],
  revision: number,
): Promise<number> {
  const startedAtMs = performance.now();
  nodes[randomInteger(nodes.length)]?.config.set(createAppliedConfig(revision));
  await waitFor(
    "the configuration is in force at all nodes",
    () => nodes.every((node) => node.config.get()?.revision === revision),
  );
  return performance.now() - startedAtMs;
}

async function measureGossip(): Promise<void> {
  const { nodes, stop } = await startPeerNodes(nodeCount);
  const publishTimes = recordPublishTimes(nodes);
  nodes.forEach(randomizeLoad);
  const timer = setInterval(
    () => nodes.forEach(randomizeLoad),
    LOAD_CHANGE_INTERVAL_MS,
  );
  try {
    await delay(WARM_UP_MS);
    const before = readByteCounts(nodes);
    const cpuBefore = process.cpuUsage();
    const ages = await sampleAges(
      nodes,
      publishTimes,
      performance.now() + MEASUREMENT_MS,
    );
    const cpu = process.cpuUsage(cpuBefore);
    const seconds = MEASUREMENT_MS / 1_000;
    const rates = readByteCounts(nodes).map((after, index) => ({
      sent: (after.sentBytes - (before[index]?.sentBytes ?? 0)) / seconds,
      received: (after.receivedBytes - (before[index]?.receivedBytes ?? 0)) /
        seconds,
    }));
    const totals = rates.map((rate) => rate.sent + rate.received);
    const rollOuts: number[] = [];
    for (let revision = 1; revision <= 20; revision++) {
      rollOuts.push(await measureRollOut(nodes, revision));
    }
    console.log(JSON.stringify({
      nodes: nodeCount,
      services: services.length,
      sentAndReceivedBytesPerSecond: {
        mean: Math.round(totals.reduce((a, b) => a + b) / nodeCount),
        highest: Math.round(Math.max(...totals)),
      },
      digestAgeMs: {
        p50: percentile(ages, 0.5),
        p99: percentile(ages, 0.99),
      },
      rollOutMs: {
        p50: percentile(rollOuts, 0.5),
        highest: Math.round(Math.max(...rollOuts)),
      },
      cpuPercentPerNode: Number(
        ((cpu.user + cpu.system) / 1_000 / MEASUREMENT_MS / nodeCount * 100)
          .toFixed(
            2,
          ),
      ),
    }));
  } finally {
    clearInterval(timer);
    await stop();
  }
}

await measureGossip();
