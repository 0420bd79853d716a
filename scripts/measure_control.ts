// Measures the control-plane cost of idle entry processes: CPU time, memory and peer traffic.
// Usage: node --import tsx scripts/measure_control.ts [entries] [extra listed VMs]
import { setTimeout as delay } from "node:timers/promises";
import process from "node:process";
import { request } from "undici";
import type { EntryDump } from "../src/admin/dump.ts";
import { startDeployment } from "../testing/deployment.ts";

const WARM_UP_MS = 20_000;
const MEASUREMENT_MS = 20_000;
const CONFIG_FILE = "examples/khomas.json";

const entryCount = Number(process.argv[2] ?? 9);
const extraWorkers = Number(process.argv[3] ?? 0);

async function readDumps(addresses: readonly string[]): Promise<EntryDump[]> {
  return await Promise.all(addresses.map(async (address) => {
    const { body } = await request(
      `http://${address}/dump?part=process&part=peers&part=entries`,
    );
    return await body.json() as EntryDump;
  }));
}

function summarize(values: readonly number[], digits = 0) {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return {
    mean: Number(mean.toFixed(digits)),
    highest: Number(Math.max(...values).toFixed(digits)),
  };
}

async function measureIdleEntries(): Promise<void> {
  const deployment = await startDeployment({
    configFile: CONFIG_FILE,
    entryCount,
    program: { kind: "binary", path: "dist/cowslipferry" },
    dataCentres: ["khomas-1", "khomas-2", "khomas-3"],
  });
  try {
    const [template] = deployment.vmList.vms.values();
    for (let index = 0; template && index < extraWorkers; index++) {
      const id = `extra-${index}`;
      deployment.vmList.vms.set(id, { ...template, id, region: "other" });
    }
    await deployment.apply(CONFIG_FILE);
    await delay(WARM_UP_MS);
    const addresses = deployment.entries.map((entry) => entry.adminAddress);
    const before = await readDumps(addresses);
    await delay(MEASUREMENT_MS);
    const after = await readDumps(addresses);
    const cpuMs = (dump: EntryDump) =>
      dump.process.cpuUserMs + dump.process.cpuSystemMs;
    const bytes = (dump: EntryDump) =>
      dump.peers.sentBytes + dump.peers.receivedBytes;
    const computeDifferences = (read: (dump: EntryDump) => number) =>
      after.map((dump, index) => read(dump) - read(before[index]!));
    console.log(JSON.stringify({
      entryCount,
      listedVms: deployment.vmList.vms.size,
      knownEntries: after[0]?.entries.length,
      cpuPercent: summarize(
        computeDifferences(cpuMs).map((ms) => ms / MEASUREMENT_MS * 100),
        2,
      ),
      residentMb: summarize(
        after.map((dump) => dump.process.residentBytes / 1e6),
      ),
      peerBytesPerSecond: summarize(
        computeDifferences(bytes).map((count) =>
          count / MEASUREMENT_MS * 1_000
        ),
      ),
    }));
  } finally {
    await deployment.close();
  }
}

await measureIdleEntries();
