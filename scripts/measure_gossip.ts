// Measures bytes per second, ages and roll-out time of peer links with in-process nodes.
import { setTimeout as delay } from "node:timers/promises";
import process from "node:process";
import {
  createAppliedConfig,
  type PeerNode,
  startPeerNodes,
} from "../testing/peer_nodes.ts";
import { waitFor } from "../testing/wait.ts";

const WARM_UP_MS = 5_000;
const MEASURED_MS = 15_000;
const LOAD_CHANGE_INTERVAL_MS = 100;
const SAMPLE_INTERVAL_MS = 50;

const count = Number(process.argv[2] ?? 9);
const services = Array.from(
  { length: Number(process.argv[3] ?? 5) },
  (_, index) => `service-number-${index + 1}`,
);

function randomInteger(limit: number): number {
  return Math.floor(Math.random() * limit);
}

// Every figure changes all the time; one service in ten doubles or halves its demand.
function changeLoad(node: PeerNode): void {
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

function bytes(nodes: readonly PeerNode[]) {
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

/** Remembers when each node published each of its digests. */
function recordPublishTimes(nodes: readonly PeerNode[]): Map<string, number> {
  const times = new Map<string, number>();
  for (const node of nodes) {
    node.entries.subscribe((digests) => {
      const own = digests.find((digest) => digest.entryId === node.entryId);
      const name = `${node.entryId} ${own?.sequence}`;
      if (!times.has(name)) times.set(name, performance.now());
    });
  }
  return times;
}

/** Samples how long ago the digests that nodes hold of each other were published. */
async function sampleAges(
  nodes: readonly PeerNode[],
  times: ReadonlyMap<string, number>,
  endMs: number,
): Promise<number[]> {
  const samples: number[] = [];
  while (performance.now() < endMs) {
    await delay(SAMPLE_INTERVAL_MS);
    for (const node of nodes) {
      for (const digest of node.entries.get()) {
        const publishedAtMs = times.get(`${digest.entryId} ${digest.sequence}`);
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
    "the configuration is in force everywhere",
    () => nodes.every((node) => node.config.get()?.revision === revision),
  );
  return performance.now() - startedAtMs;
}

async function measure(): Promise<void> {
  const { nodes, stop } = await startPeerNodes(count);
  const times = recordPublishTimes(nodes);
  nodes.forEach(changeLoad);
  const timer = setInterval(
    () => nodes.forEach(changeLoad),
    LOAD_CHANGE_INTERVAL_MS,
  );
  try {
    await delay(WARM_UP_MS);
    const before = bytes(nodes);
    const cpuBefore = process.cpuUsage();
    const ages = await sampleAges(
      nodes,
      times,
      performance.now() + MEASURED_MS,
    );
    const cpu = process.cpuUsage(cpuBefore);
    const seconds = MEASURED_MS / 1_000;
    const rates = bytes(nodes).map((after, index) => ({
      sent: (after.sentBytes - (before[index]?.sentBytes ?? 0)) / seconds,
      received: (after.receivedBytes - (before[index]?.receivedBytes ?? 0)) /
        seconds,
    }));
    const both = rates.map((rate) => rate.sent + rate.received);
    const rollOuts: number[] = [];
    for (let revision = 1; revision <= 20; revision++) {
      rollOuts.push(await measureRollOut(nodes, revision));
    }
    console.log(JSON.stringify({
      nodes: count,
      services: services.length,
      sentAndReceivedBytesPerSecond: {
        mean: Math.round(both.reduce((a, b) => a + b) / count),
        highest: Math.round(Math.max(...both)),
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
        ((cpu.user + cpu.system) / 1_000 / MEASURED_MS / count * 100).toFixed(
          2,
        ),
      ),
    }));
  } finally {
    clearInterval(timer);
    await stop();
  }
}

await measure();
