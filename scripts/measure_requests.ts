// Measures the latency and CPU time that the request proxy adds on loopback.
// Usage: node --import tsx scripts/measure_requests.ts [requests per second] [seconds]
import { type ChildProcess, fork } from "node:child_process";
import { createServer } from "node:http";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Pool } from "undici";
import { systemClock } from "../src/clock.ts";
import { createContactTracker } from "../src/contact_tracker.ts";
import { silentLogger } from "../src/logger.ts";
import { createObservable } from "../src/observable.ts";
import type { EntryDigest } from "../src/peers/messages.ts";
import { createRequestProxy } from "../src/requests/request_proxy.ts";
import {
  createTestFleet,
  createTestSettings,
} from "../testing/request_fleet.ts";
import { listenOnLoopback } from "../testing/http_json_server.ts";

const BACKEND_COUNT = 6;
const LOAD_PROCESSES = 2;
const SERVICE_TIME_MS = 2;
/** Time at the start of a run during which valid responses aren't counted, in ms. */
const WARM_UP_MS = 3_000;
const RESPONSE_BODY = JSON.stringify({ text: "x".repeat(200) });

interface LoadOptions {
  readonly addresses: readonly string[];
  readonly ratePerSecond: number;
  readonly seconds: number;
}

async function runBackends(): Promise<string[]> {
  const servers = await Promise.all(
    Array.from(
      { length: BACKEND_COUNT },
      () =>
        listenOnLoopback(createServer((request, response) => {
          request.resume().on(
            "end",
            () =>
              setTimeout(() => response.end(RESPONSE_BODY), SERVICE_TIME_MS),
          );
        })),
    ),
  );
  return servers.map((server) => server.address);
}

async function runEntry(addresses: readonly string[]): Promise<string> {
  const fleet = createTestFleet(addresses);
  const proxy = createRequestProxy({
    settings: createTestSettings("entry-1"),
    incarnation: "measured",
    ...fleet,
    entries: createObservable<readonly EntryDigest[]>([]),
    contacts: { ...createContactTracker(systemClock), isIsolated: () => false },
    clock: systemClock,
    log: silentLogger,
  });
  process.on("message", (message) => {
    if (message === "cpu") process.send!(process.cpuUsage());
  });
  return (await listenOnLoopback(proxy.server)).address;
}

/** Sends requests at a constant rate; returns latencies in ms, -1 for invalid responses and nothing for valid ones of the warm-up. */
async function runLoad(options: LoadOptions): Promise<number[]> {
  const pools = options.addresses.map((address) =>
    new Pool(`http://${address}`, { connections: 64 })
  );
  const latenciesMs: number[] = [];
  const pending: Promise<void>[] = [];
  const startedAtMs = performance.now();
  const total = options.ratePerSecond * options.seconds;
  const sendOne = async (index: number) => {
    const sentAtMs = performance.now();
    const response = await pools[index % pools.length]!.request({
      method: "GET",
      path: `/quoting/${index}`,
    });
    const text = await response.body.text();
    const valid = response.statusCode === 200 && text === RESPONSE_BODY;
    if (sentAtMs - startedAtMs < WARM_UP_MS && valid) return;
    latenciesMs.push(valid ? performance.now() - sentAtMs : -1);
  };
  for (let sent = 0; sent < total;) {
    const dueCount = Math.min(
      total,
      (performance.now() - startedAtMs) / 1_000 * options.ratePerSecond,
    );
    while (sent < dueCount) pending.push(sendOne(sent++));
    await delay(1);
  }
  await Promise.all(pending);
  await Promise.all(pools.map((pool) => pool.close()));
  return latenciesMs;
}

function runRole(role: string): void {
  process.once("message", async (input: unknown) => {
    switch (role) {
      case "backends":
        return process.send!(await runBackends());
      case "entry":
        return process.send!(await runEntry(input as string[]));
      case "load":
        return process.send!(await runLoad(input as LoadOptions));
    }
  });
}

/** Starts this script as a child process with one of the roles of `runRole`. */
function startRole(role: string): ChildProcess {
  return fork(fileURLToPath(import.meta.url), [role], {
    execArgv: ["--import", "tsx"],
    serialization: "advanced",
  });
}

function sendAndAwaitReply<T>(
  child: ChildProcess,
  message: unknown,
): Promise<T> {
  return new Promise((resolve) => {
    child.once("message", (reply) => resolve(reply as T));
    child.send(message as object);
  });
}

function summarize(latenciesMs: readonly number[]) {
  const sorted = latenciesMs.filter((value) => value >= 0)
    .sort((a, b) => a - b);
  const quantile = (q: number) =>
    Math.round((sorted[Math.floor(sorted.length * q)] ?? 0) * 100) / 100;
  return {
    answered: sorted.length,
    failed: latenciesMs.length - sorted.length,
    p50Ms: quantile(0.5),
    p99Ms: quantile(0.99),
    p999Ms: quantile(0.999),
  };
}

async function measureRequestPath(
  ratePerSecond: number,
  seconds: number,
): Promise<void> {
  const backends = startRole("backends");
  const entry = startRole("entry");
  const directLoads = Array.from(
    { length: LOAD_PROCESSES },
    () => startRole("load"),
  );
  const proxiedLoads = Array.from(
    { length: LOAD_PROCESSES },
    () => startRole("load"),
  );
  const run = async (children: ChildProcess[], addresses: string[]) =>
    (await Promise.all(
      children.map((child) =>
        sendAndAwaitReply<number[]>(child, {
          addresses,
          ratePerSecond: ratePerSecond / LOAD_PROCESSES,
          seconds,
        })
      ),
    )).flat();
  try {
    const addresses = await sendAndAwaitReply<string[]>(backends, "start");
    const entryAddress = await sendAndAwaitReply<string>(entry, addresses);
    const direct = await run(directLoads, addresses);
    const before = await sendAndAwaitReply<NodeJS.CpuUsage>(entry, "cpu");
    const through = await run(proxiedLoads, [entryAddress]);
    const after = await sendAndAwaitReply<NodeJS.CpuUsage>(entry, "cpu");
    const cpuUs = after.user + after.system - before.user - before.system;
    console.log(JSON.stringify({
      ratePerSecond,
      seconds,
      direct: summarize(direct),
      through: summarize(through),
      entryCores: Math.round(cpuUs / seconds / 10_000) / 100,
    }));
  } finally {
    for (const child of [backends, entry, ...directLoads, ...proxiedLoads]) {
      child.kill();
    }
  }
}

const [first = "2000", second = "10"] = process.argv.slice(2);
if (process.send !== undefined) runRole(first);
else await measureRequestPath(Number(first), Number(second));
