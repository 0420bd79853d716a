import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { Argument, Command } from "commander";
import { resolveConfig } from "../src/config/validate.ts";
import { readTextFile } from "../src/settings/load.ts";
import {
  callEntry,
  type CallResult,
  isExpectedAnswer,
} from "../testing/caller.ts";
import { type Deployment, startDeployment } from "../testing/deployment.ts";
import {
  createLatencyHistogram,
  formatTable,
  type LatencyHistogram,
} from "../testing/latency.ts";
import { runOpenLoop } from "../testing/open_loop.ts";
import { chooseSeed, createRandom } from "../testing/random.ts";
import { waitUntilServing } from "../testing/wait_until_serving.ts";

const DATA_CENTRES: Record<string, readonly string[]> = {
  khomas: ["khomas-1", "khomas-2", "khomas-3"],
  "punjab-east": [
    "punjab-east-1",
    "punjab-east-2",
    "punjab-east-3",
    "punjab-east-4",
  ],
};
const REQUESTS_PER_SECOND = 300;
const ROUND_MS = 5_000;
const SERVICE_TIME_MS = 5;
const MAXIMUM_ENTRY_COUNT = 9;

interface Options {
  readonly entries: number;
  readonly once: boolean;
}

interface ServiceRow {
  readonly latencies: LatencyHistogram;
  answered: number;
  /** Numbers of the other requests, by outcome or reason. */
  readonly otherResults: Map<string, number>;
}

function parseEntries(text: string): number {
  const count = Number(text);
  if (!Number.isInteger(count) || count < 1 || count > MAXIMUM_ENTRY_COUNT) {
    throw new Error(`--entries must be from 1 to ${MAXIMUM_ENTRY_COUNT}`);
  }
  return count;
}

async function printSamples(
  deployment: Deployment,
  services: readonly string[],
): Promise<void> {
  for (const service of services) {
    const path = `/${service}/requests/1`;
    const url = `http://${deployment.entries[0]?.callerAddress}${path}`;
    const result = await callEntry(url);
    const text = result.kind === "answer" ? result.text : "";
    console.log(`  GET ${path} -> ${result.kind} ${text}`);
  }
}

function recordResult(
  row: ServiceRow,
  result: CallResult,
  isExpected: boolean,
): void {
  row.latencies.record(result.elapsedMs);
  if (isExpected) {
    row.answered++;
    return;
  }
  const reason = result.kind === "not_run" ? result.reason : result.kind;
  row.otherResults.set(reason, (row.otherResults.get(reason) ?? 0) + 1);
}

function formatOtherResults(otherResults: ReadonlyMap<string, number>): string {
  return otherResults.size === 0
    ? "0"
    : [...otherResults].map(([reason, count]) => `${count} ${reason}`).join(
      ", ",
    );
}

async function runRound(
  deployment: Deployment,
  services: readonly string[],
  seed: number,
): Promise<void> {
  const rows = new Map<string, ServiceRow>(
    services.map((name) => [
      name,
      {
        latencies: createLatencyHistogram(),
        answered: 0,
        otherResults: new Map(),
      },
    ]),
  );
  await runOpenLoop({
    rateAt: () => REQUESTS_PER_SECOND,
    durationMs: ROUND_MS,
    random: createRandom(seed),
    async send(index) {
      const service = services[index % services.length] ?? "";
      const entry = deployment
        .entries[
          Math.floor(index / services.length) %
          deployment.entries.length
        ];
      const path = `/${service}/requests/${index}`;
      const result = await callEntry(`http://${entry?.callerAddress}${path}`);
      recordResult(
        rows.get(service)!,
        result,
        isExpectedAnswer(result, { path }),
      );
    },
  });
  console.log(formatTable([
    [
      "service",
      "answered",
      "other results",
      "p50 ms",
      "p90 ms",
      "p99 ms",
      "max ms",
    ],
    ...[...rows].map(
      ([name, { latencies, answered, otherResults }]) => {
        const { p50Ms, p90Ms, p99Ms, maximumMs } = latencies.summary();
        return [
          name,
          answered,
          formatOtherResults(otherResults),
          p50Ms,
          p90Ms,
          p99Ms,
          maximumMs,
        ];
      },
    ),
  ]));
}

async function startExample(
  region: string,
  options: Options,
): Promise<Deployment> {
  const configFile = `examples/${region}.json`;
  console.log(
    `starting the store, the VM list, the backend servers of ${region} and ${options.entries} entries from dist/cowslipferry`,
  );
  const deployment = await startDeployment({
    configFile,
    entryCount: options.entries,
    program: { kind: "binary", path: "dist/cowslipferry" },
    dataCentres: DATA_CENTRES[region] ?? ["dc-1"],
    serviceTimeMs: SERVICE_TIME_MS,
    workerProcesses: 1,
  });
  try {
    for (const entry of deployment.entries) {
      console.log(`  ${entry.id}: callers at http://${entry.callerAddress}`);
    }
    console.log(`applying ${configFile}`);
    await deployment.apply(configFile);
  } catch (error) {
    await deployment.close();
    throw error;
  }
  return deployment;
}

async function sendTraffic(
  deployment: Deployment,
  region: string,
  run: { once: boolean; stopping: AbortSignal },
): Promise<void> {
  const file = `examples/${region}.json`;
  const config = resolveConfig(await readTextFile(file), file);
  const services = config.services.map((service) => service.name);
  console.log("waiting until all entries serve all services");
  await waitUntilServing(deployment.entries, services);
  console.log("sending one request to each service");
  await printSamples(deployment, services);
  const seed = chooseSeed();
  console.log(
    `sending ${REQUESTS_PER_SECOND} requests per second for ${
      ROUND_MS / 1_000
    } s; backend servers take ${SERVICE_TIME_MS} ms per request`,
  );
  console.log(
    `state dump of an entry: http://${
      deployment.entries[0]?.adminAddress
    }/dump`,
  );
  console.log(
    `state dump of all entries: dist/cowslipferry dump --store ${deployment.storeUrl} --vm-list ${deployment.vmListUrl}`,
  );
  for (let round = 0; !run.stopping.aborted; round++) {
    await runRound(deployment, services, seed + round);
    if (run.once) return;
    console.log("press Ctrl-C to stop");
    await delay(ROUND_MS, undefined, { signal: run.stopping }).catch(() => {});
  }
}

async function quickstart(region: string, options: Options): Promise<void> {
  const stopping = new AbortController();
  const stopRequested = new Promise<void>((resolve) => {
    const stop = () => {
      stopping.abort();
      resolve();
    };
    process.once("SIGINT", stop);
    process.once("SIGTERM", stop);
  });
  const deployment = await startExample(region, options);
  try {
    // A signal stops the deployment at once, even in the middle of a round.
    await Promise.race([
      sendTraffic(deployment, region, {
        once: options.once,
        stopping: stopping.signal,
      }),
      stopRequested,
    ]);
  } finally {
    console.log("stopping the deployment");
    await deployment.close();
  }
  process.exit();
}

await new Command("quickstart")
  .addArgument(
    new Argument("[region]").choices(Object.keys(DATA_CENTRES))
      .default("khomas"),
  )
  .option("--entries <count>", "number of entry processes", parseEntries, 3)
  .option("--once", "exit after the first table", false)
  .action(quickstart)
  .parseAsync();
