import { Agent, request } from "node:http";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { jobSpecSchema } from "../../src/scheduler/model.ts";
import { killChild, type RunningChild, startChild } from "../child_process.ts";
import { FakeRecordStore } from "../fake_record_store.ts";
import { FakeTaskWorkers, InvariantChecker } from "../fake_task_workers.ts";
import type { RunningServer } from "../http_json_server.ts";
import { createRandom } from "../random.ts";
import { startTcpRelay, type TcpRelay } from "../tcp_relay.ts";
import { FakeFleet, SPARE_POOL } from "./fake_fleet.ts";
import {
  startStoreHost,
  startVmHost,
  startWorkerHost,
} from "./platform_host.ts";

/** What one seed is played with. */
export interface SoakOptions {
  readonly seed: number;
  readonly entries: number;
  readonly vms: number;
  /** Time in which faults are injected, in ms. */
  readonly faultsMs: number;
  /** Bundle of the program. */
  readonly program: string;
  /** Folder for the processes' settings; a new one is made inside. */
  readonly folder: string;
}

/** What a seed has shown. */
export interface SoakReport {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly faults: readonly string[];
  readonly accepted: number;
  readonly refused: number;
  readonly starts: number;
  /** Logs of all processes, in the order of their start. */
  readonly logs: string;
}

/** Time that callers wait for an answer, in ms. */
const DEADLINE_MS = 3_000;
/** Longest time by which an answer of an undisturbed entry may exceed it, in ms; ten times the usual lateness of a busy machine. */
const ANSWER_SLACK_MS = 1_000;
/** A disturbance of an entry explains late answers for this long, in ms. */
const DISTURBED_MS = 4_000;
/** Time after the last fault in which every accepted job must be done, in ms: leases of 7 s, a silent owner's 13 s and the work itself. */
const SETTLE_MS = 45_000;
/** Time after an acknowledged cancellation in which tasks may still start, in ms. */
const CANCEL_MS = 3_000;
const QUEUES = [
  { name: "quotes", host: "quotes.example", prefix: "/quotes/", pool: "desk" },
  { name: "cuts", host: "cuts.example", prefix: "/cuts/", pool: "shop" },
];

interface Reply {
  readonly status: number;
  readonly text: string;
  readonly retryAfter: string | undefined;
}

interface SoakEntry {
  readonly id: string;
  readonly ports: { callers: number; readiness: number; peers: number };
  readonly storeHost: RunningServer;
  readonly storeRelay: TcpRelay;
  readonly settingsFile: string;
  /** Callers keep their connections open until the process is gone. */
  readonly agent: Agent;
  child: RunningChild | undefined;
  /** Monotonic time of the last fault that touched the entry, in ms. */
  disturbedAtMs: number;
  paused: boolean;
}

/** Ports for the entries, below the range from which systems choose ports for connections; a port that is tried again after a restart must not have been given away. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;
let nextPort = FIRST_PORT +
  process.pid * 37 % (LAST_PORT - FIRST_PORT);

async function freePort(): Promise<number> {
  for (;;) {
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
    const port = nextPort;
    const server = createServer();
    const opened = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!opened) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

/** Plays one seed: real processes, a platform in this process, faults from outside, checks throughout. */
export async function playSeed(options: SoakOptions): Promise<SoakReport> {
  const random = createRandom(options.seed);
  const check = new InvariantChecker();
  const store = new FakeRecordStore(random);
  const workers = new FakeTaskWorkers(random, check);
  const fleet = new FakeFleet(store, workers);
  const workerHost = await startWorkerHost(workers);
  const workerRelay = await startTcpRelay(workerHost.address);
  const vmHost = await startVmHost(fleet);
  const folder = await mkdtemp(join(options.folder, "soak-"));
  const entries: SoakEntry[] = [];
  const faults: string[] = [];
  const logs: string[] = [];
  const accepted = new Map<string, { host: string; path: string }>();
  const refusedIds = new Set<string>();
  const cancelledAtMs = new Map<string, number>();
  let refused = 0;
  let stopping = false;
  let nextJob = 1;
  let configVersion = 1;
  const startedAtMs = performance.now();
  const now = () => performance.now();

  const report = (rule: string, detail: string) =>
    check.report(rule, `${Math.round(now() - startedAtMs)} ms: ${detail}`);

  function writeConfig(): void {
    store.write(
      "op/config",
      JSON.stringify({
        version: configVersion,
        routes: QUEUES.map(({ name, host, prefix, pool }) => ({
          name,
          host,
          prefix,
          service: pool,
          "max-attempts": 1_000,
          stretch: 2,
          "target-duration-ms": 600,
        })),
        services: [
          ...QUEUES.map(({ pool }) => ({ name: pool })),
          { name: SPARE_POOL, spare: true },
        ],
        limits: {},
      }),
    );
    configVersion += 3;
  }

  async function addEntry(index: number, seeds: string[]): Promise<void> {
    const id = `entry-${index}`;
    const storeHost = await startStoreHost(store, id);
    const storeRelay = await startTcpRelay(storeHost.address);
    const ports = {
      callers: await freePort(),
      readiness: await freePort(),
      peers: await freePort(),
    };
    seeds.push(`127.0.0.1:${ports.peers}`);
    entries.push({
      id,
      ports,
      storeHost,
      storeRelay,
      settingsFile: join(folder, `${id}.json`),
      agent: new Agent({ keepAlive: true, maxSockets: 16 }),
      child: undefined,
      disturbedAtMs: now(),
      paused: false,
    });
  }

  async function writeSettings(entry: SoakEntry, seeds: string[]) {
    const at = (port: number) => `127.0.0.1:${port}`;
    await writeFile(
      entry.settingsFile,
      JSON.stringify({
        entryId: entry.id,
        dataCentre: "dc-1",
        region: "region-1",
        listen: {
          callers: at(entry.ports.callers),
          readiness: at(entry.ports.readiness),
          peers: at(entry.ports.peers),
        },
        seedPeers: seeds,
        platform: {
          storeAddress: entry.storeRelay.address,
          vmApiAddress: vmHost.address,
        },
        bounds: { graceS: 2, holderGapMs: 300 },
      }),
    );
  }

  function disturb(entry: SoakEntry): void {
    entry.disturbedAtMs = now();
  }

  function start(entry: SoakEntry): void {
    if (stopping) return;
    disturb(entry);
    const child = startChild(process.execPath, [
      "--max-old-space-size=158",
      options.program,
      "scheduler",
      "--settings",
      entry.settingsFile,
    ]);
    entry.child = child;
    entry.paused = false;
    void child.exited.then((code) => {
      logs.push(child.output());
      disturb(entry);
      if (entry.child !== child) return;
      entry.child = undefined;
      if (code !== null && code !== 0) {
        report("EXIT", `${entry.id} ended with code ${code}`);
      }
      // The platform starts a process that has ended again.
      setTimeout(() => {
        if (entry.child === undefined) start(entry);
      }, 150 + random.nextInteger(1_200)).unref();
    });
  }

  function call(
    entry: SoakEntry,
    method: string,
    target: { host: string; path: string },
    body?: unknown,
  ): Promise<Reply | undefined> {
    const sentAtMs = now();
    return new Promise((resolve) => {
      const done = (reply: Reply | undefined) => {
        const tookMs = now() - sentAtMs;
        const disturbed = entry.paused ||
          entry.disturbedAtMs > sentAtMs - DISTURBED_MS;
        if (tookMs > DEADLINE_MS + ANSWER_SLACK_MS && !disturbed) {
          report(
            "DEADLINE",
            `${entry.id} answered ${method} ${target.path} after ${
              Math.round(tookMs)
            } ms`,
          );
        }
        resolve(reply);
      };
      const sent = request({
        host: "127.0.0.1",
        port: entry.ports.callers,
        agent: entry.agent,
        method,
        path: target.path,
        headers: {
          host: target.host,
          "content-type": "application/json",
          "cowslipferry-deadline-milliseconds": String(DEADLINE_MS),
        },
        timeout: DEADLINE_MS + 4 * ANSWER_SLACK_MS,
      }, (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("error", () => done(undefined));
        response.on("end", () =>
          done({
            status: response.statusCode ?? 0,
            text,
            retryAfter: response.headers["retry-after"],
          }));
      });
      sent.on("timeout", () => sent.destroy());
      sent.on("error", () => done(undefined));
      sent.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  const anyEntry = () => entries[random.nextInteger(entries.length)]!;

  /** A caller hands in one job and asks again with the same id as long as the outcome is unknown. */
  async function submitJob(): Promise<void> {
    const queue = QUEUES[random.nextInteger(QUEUES.length)]!;
    const jobId = (nextJob++).toString(16).padStart(16, "0");
    const target = { host: queue.host, path: queue.prefix + jobId };
    const steps = Array.from(
      { length: 1 + random.nextInteger(3) },
      (_, index) => ({
        count: 1 + random.nextInteger(4),
        cpu: 500 + random.nextInteger(1_500),
        "mem-mb": 500,
        "estimated-ms": 80 + random.nextInteger(500),
        ...(index === 0 ? {} : { after: [index - 1] }),
      }),
    );
    check.specs.set(
      jobId,
      jobSpecSchema.parse({
        jobId,
        queue: queue.name,
        service: queue.pool,
        maximumAttempts: 1_000,
        specification: jobId,
        acceptedAtMs: Date.now(),
        steps: steps.map((step) => ({
          taskCount: step.count,
          cpuMillis: step.cpu,
          memoryMb: step["mem-mb"],
          estimatedMs: step["estimated-ms"],
          after: step.after,
        })),
      }),
    );
    const body = { specification: jobId, steps };
    let unclear = false;
    for (let tries = 0; tries < 40 && !stopping; tries++) {
      const reply = await call(anyEntry(), "POST", target, body);
      if (reply?.status === 200) {
        accepted.set(jobId, target);
        if (random.next() < 0.1) await cancelJob(jobId, target);
        return;
      }
      if (reply?.status === 503) {
        refused++;
        if (reply.retryAfter === undefined) {
          report("RETRY", `${jobId} was refused without a time to come back`);
        }
        // A refusal is final for its caller; an earlier try may still have been stored.
        if (!unclear) {
          refusedIds.add(jobId);
          return;
        }
      } else if (reply !== undefined && reply.status !== 504) {
        report("STATUS", `${jobId} was answered ${reply.status}`);
      }
      unclear = true;
      await delay(200);
    }
  }

  async function cancelJob(
    jobId: string,
    target: { host: string; path: string },
  ): Promise<void> {
    await delay(random.nextInteger(600));
    const reply = await call(anyEntry(), "DELETE", target);
    if (reply?.status === 200) cancelledAtMs.set(jobId, now());
  }

  async function isFinal(jobId: string): Promise<boolean> {
    const target = accepted.get(jobId)!;
    const reply = await call(anyEntry(), "GET", target);
    if (reply?.status === 410) {
      report("LOST", `${jobId} was accepted and isn't known`);
      return true;
    }
    if (reply?.status !== 200) return false;
    const { state } = JSON.parse(reply.text) as { state: string };
    if (state === "completed") {
      const spec = check.specs.get(jobId)!;
      spec.steps.forEach((step, index) => {
        for (let task = 0; task < step.taskCount; task++) {
          const taskId = `${jobId}.0.${index}.${task}`;
          if (!check.done.has(taskId)) {
            report("MIXED", `${jobId} is completed without ${taskId}`);
          }
        }
      });
    } else if (state === "failed") {
      report("LOST", `${jobId} is shown as failed`);
    }
    return state === "completed" || state === "cancelled" || state === "failed";
  }

  async function runCallers(): Promise<void> {
    while (!stopping) {
      void submitJob();
      await delay(60 + random.nextInteger(120));
      if (accepted.size > 0 && random.next() < 0.3) {
        const ids = [...accepted.keys()];
        void isFinal(ids[random.nextInteger(ids.length)]!);
      }
    }
  }

  /** What a worker starts must have been asked for and not have been refused or cancelled. */
  function watchStarts(): NodeJS.Timeout {
    return setInterval(() => {
      for (const worker of workers.workers.values()) {
        if (!worker.alive) continue;
        for (const run of worker.running.values()) {
          const jobId = run.taskId.split(".")[0]!;
          if (refusedIds.delete(jobId)) {
            report("REFUSED", `${run.taskId} runs, its job was refused`);
          }
          const cancelled = cancelledAtMs.get(jobId);
          if (
            cancelled !== undefined && run.startedAtMs > cancelled + CANCEL_MS
          ) {
            cancelledAtMs.delete(jobId);
            report("UNASKED", `${run.taskId} started after its cancellation`);
          }
        }
      }
    }, 20);
  }

  const heals: (() => void)[] = [];

  /** One fault; it ends after its time or when the faults end, and may overlap with others. */
  function injectFault(): void {
    const entry = anyEntry();
    const lastsMs = 200 + random.nextInteger(4_000);
    const note = (name: string, target = "") =>
      faults.push(
        `${
          Math.round(now() - startedAtMs)
        } ms: ${name} ${target} ${lastsMs} ms`,
      );
    const until = (heal: () => void) => {
      heals.push(heal);
      setTimeout(heal, lastsMs).unref();
    };
    const touch = (heal: () => void) => {
      disturb(entry);
      until(() => {
        heal();
        disturb(entry);
      });
    };
    const store_ = store.faults;
    const kinds: [string, () => void][] = [
      ["kill", () => void entry.child?.child.kill("SIGKILL")],
      ["stop", () => void entry.child?.child.kill("SIGTERM")],
      ["pause", () => {
        const { child } = entry;
        child?.child.kill("SIGSTOP");
        entry.paused = true;
        touch(() => {
          child?.child.kill("SIGCONT");
          entry.paused = false;
        });
      }],
      ["kill all", () => {
        for (const one of entries) {
          disturb(one);
          one.child?.child.kill("SIGKILL");
        }
      }],
      ["reset store link", () => {
        entry.storeRelay.disconnect();
        touch(() => entry.storeRelay.restore());
      }],
      ["hold store link", () => {
        entry.storeRelay.pause();
        touch(() => entry.storeRelay.restore());
      }],
      ["cut store link one way", () => {
        entry.storeRelay.pauseOneWay(
          random.next() < 0.5 ? "to_target" : "to_client",
        );
        touch(() => entry.storeRelay.restore());
      }],
      ["slow store link", () => {
        entry.storeRelay.setDelay(20 + random.nextInteger(150));
        touch(() => entry.storeRelay.restore());
      }],
      ["silence store connections", () => {
        disturb(entry);
        entry.storeRelay.stallOpenConnections();
      }],
      ["store refuses entry", () => {
        store_.refusedClients.add(entry.id);
        touch(() => void store_.refusedClients.delete(entry.id));
      }],
      ["store down", () => {
        store_.down = true;
        entries.forEach(disturb);
        if (random.next() < 0.4) setTimeout(() => store.expireAllLeases(), 150);
        until(() => {
          store_.down = false;
          entries.forEach(disturb);
        });
      }],
      ["store loses answers", () => {
        store_.lostAnswerRate = 0.3;
        entries.forEach(disturb);
        until(() => store_.lostAnswerRate = 0);
      }],
      ["store acts late", () => {
        store_.lateChangeRate = 0.2;
        entries.forEach(disturb);
        until(() => store_.lateChangeRate = 0);
      }],
      ["store forgets its history", () => store.compactHistory()],
      ["silence worker connections", () => workerRelay.stallOpenConnections()],
      ["reset worker links", () => {
        workerRelay.disconnect();
        until(() => workerRelay.restore());
      }],
      ["orders act late", () => {
        workers.faults.lateOrderRate = 0.15;
        until(() => workers.faults.lateOrderRate = 0);
      }],
      ["tasks fail", () => {
        workers.faults.failedRunRate = 0.3;
        until(() => workers.faults.failedRunRate = 0);
      }],
      ["worker crashes", () => {
        const vms = [...fleet.vms.values()];
        fleet.crash(vms[random.nextInteger(vms.length)]!, lastsMs);
      }],
      ["configuration changes", writeConfig],
      ["maintenance wave", () => {
        const wave = faults.length + 1;
        store.write(
          `op/wave/${wave}`,
          JSON.stringify({
            wave,
            machines: [...fleet.vms.keys()].filter(() => random.next() < 0.4),
            "deadline-s": 12,
            "upper-bound": 2,
          }),
        );
      }],
    ];
    const [name, inject] = kinds[random.nextInteger(kinds.length)]!;
    note(name, entry.id);
    inject();
  }

  try {
    fleet.workerAddress = workerRelay.address;
    for (let index = 0; index < options.vms; index++) {
      fleet.add(["desk", "shop", "desk", "shop", SPARE_POOL][index % 5]!);
    }
    writeConfig();
    const seeds: string[] = [];
    for (let index = 1; index <= options.entries; index++) {
      await addEntry(index, seeds);
    }
    for (const entry of entries) {
      await writeSettings(entry, seeds.slice(0, 3));
      start(entry);
    }
    const watch = watchStarts();
    const callers = runCallers();
    await delay(1_500);
    const endMs = now() + options.faultsMs;
    while (now() < endMs) {
      injectFault();
      await delay(100 + random.nextInteger(1_500));
    }
    heals.forEach((heal) => heal());
    await delay(1_000);
    stopping = true;
    await callers;
    const settleByMs = now() + SETTLE_MS;
    const open = new Set(accepted.keys());
    stopping = false;
    for (const entry of entries) if (entry.child === undefined) start(entry);
    while (open.size > 0 && now() < settleByMs) {
      const ids = [...open].slice(0, 12);
      const final = await Promise.all(ids.map(isFinal));
      ids.forEach((id, index) => final[index] && open.delete(id));
      if (!final.some(Boolean)) await delay(100);
    }
    for (const id of open) {
      report("LOST", `${id} isn't done ${SETTLE_MS} ms after the last fault`);
    }
    clearInterval(watch);
  } finally {
    stopping = true;
    for (const { child } of entries) if (child) await killChild(child);
    fleet.close();
    workers.close();
    store.close();
    for (const entry of entries) {
      entry.agent.destroy();
      await entry.storeRelay.close();
      await entry.storeHost.close();
    }
    await workerRelay.close();
    await workerHost.close();
    await vmHost.close();
    await rm(folder, { recursive: true });
  }
  return {
    seed: options.seed,
    violations: check.violations,
    faults,
    accepted: accepted.size,
    refused,
    starts: check.starts,
    logs: logs.join(""),
  };
}
