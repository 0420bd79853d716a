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
  startStoreServer,
  startVmServer,
  startWorkerServer,
} from "./platform_host.ts";
import { createSoakWorkspaces, UNKNOWN_KEY } from "./workspaces.ts";

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  /** Whether the configuration defines workspaces. */
  readonly hasWorkspaces: boolean;
  readonly entries: number;
  readonly vms: number;
  /** Duration of fault injection, in ms. */
  readonly faultsMs: number;
  /** Bundle of the program. */
  readonly program: string;
  /** Parent of the temporary folder for the processes' settings. */
  readonly folder: string;
}

/** Results of a soak run. */
export interface SoakReport {
  readonly seed: number;
  /** Violated invariants, each with the name of its rule. */
  readonly violations: readonly string[];
  /** Injected faults, with the time since the start of the run. */
  readonly faults: readonly string[];
  /** Number of accepted jobs. */
  readonly accepted: number;
  /** Number of refusals with status 503. */
  readonly refused: number;
  /** Number of task starts. */
  readonly starts: number;
  /** Logs of all processes, in the order in which they ended. */
  readonly logs: string;
}

/** Deadline of the callers' requests, in ms. */
const DEADLINE_MS = 3_000;
/** Time by which a response of an undisturbed entry may exceed the deadline, in ms; ten times the usual delay on a busy machine. */
const DEADLINE_TOLERANCE_MS = 1_000;
/** Time after a fault during which late responses of the affected entry are tolerated, in ms. */
const RECOVERY_TIME_MS = 4_000;
/**
 * Time after the last fault within which every accepted job must end, in ms: leases of 7 s, 13 s to
 * replace an unresponsive owner, and the jobs themselves.
 */
const COMPLETION_TIMEOUT_MS = 45_000;
/** Time after an acknowledged cancellation during which tasks may still start, in ms. */
const CANCELLATION_GRACE_MS = 3_000;
/** Fraction of jobs with a task that ends its workers. */
const DEADLY_JOB_RATE = 0.02;
const QUEUES = [
  { name: "quotes", host: "quotes.example", prefix: "/quotes/", pool: "desk" },
  { name: "cuts", host: "cuts.example", prefix: "/cuts/", pool: "shop" },
];

/** Address of a queue or job, and the workspace whose key a request carries. */
interface Target {
  readonly host: string;
  readonly path: string;
  readonly workspace: string | undefined;
}

interface Reply {
  readonly status: number;
  readonly text: string;
  readonly retryAfter: string | undefined;
}

interface SoakEntry {
  readonly id: string;
  readonly ports: { callers: number; readiness: number; peers: number };
  readonly storeServer: RunningServer;
  readonly storeRelay: TcpRelay;
  readonly settingsFile: string;
  /** Keeps the callers' connections open. */
  readonly agent: Agent;
  child: RunningChild | undefined;
  /** Monotonic time of the start or end of the last fault that affected the entry, in ms. */
  disturbedAtMs: number;
  paused: boolean;
}

/**
 * Lowest port of the entries. The range lies below the ephemeral ports, so that no outgoing connection
 * takes an entry's port while it restarts.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;
let nextPort = FIRST_PORT +
  process.pid * 37 % (LAST_PORT - FIRST_PORT);

async function allocatePort(): Promise<number> {
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

/** Runs one seed: starts real scheduler processes against a fake platform in this process, injects faults and checks invariants throughout. */
export async function runSeed(options: SoakOptions): Promise<SoakReport> {
  const random = createRandom(options.seed);
  const checker = new InvariantChecker();
  const store = new FakeRecordStore(random);
  const workers = new FakeTaskWorkers(random, checker);
  const fleet = new FakeFleet(store, workers);
  const workspaces = options.hasWorkspaces
    ? createSoakWorkspaces({ random, workers, checker })
    : undefined;
  const workerServer = await startWorkerServer(workers);
  const workerRelay = await startTcpRelay(workerServer.address);
  const vmServer = await startVmServer(fleet);
  const folder = await mkdtemp(join(options.folder, "soak-"));
  const entries: SoakEntry[] = [];
  const faults: string[] = [];
  const logs: string[] = [];
  /** Targets of the accepted jobs. */
  const targetsByJobId = new Map<string, Target>();
  const refusedJobIds = new Set<string>();
  /** Jobs with a task that ends each worker that starts it. */
  const deadlyJobIds = new Set<string>();
  const cancelledAtMs = new Map<string, number>();
  let refusalCount = 0;
  let stopping = false;
  let nextJobNumber = 1;
  let configVersion = 1;
  const startedAtMs = performance.now();
  const now = () => performance.now();

  const reportViolation = (rule: string, detail: string) =>
    checker.report(rule, `${Math.round(now() - startedAtMs)} ms: ${detail}`);

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
        ...(workspaces === undefined
          ? {}
          : { tenants: workspaces.nextTenants() }),
      }),
    );
    configVersion += 3;
  }

  async function addEntry(
    index: number,
    seedAddresses: string[],
  ): Promise<void> {
    const id = `entry-${index}`;
    const storeServer = await startStoreServer(store, id);
    const storeRelay = await startTcpRelay(storeServer.address);
    const ports = {
      callers: await allocatePort(),
      readiness: await allocatePort(),
      peers: await allocatePort(),
    };
    seedAddresses.push(`127.0.0.1:${ports.peers}`);
    entries.push({
      id,
      ports,
      storeServer,
      storeRelay,
      settingsFile: join(folder, `${id}.json`),
      agent: new Agent({ keepAlive: true, maxSockets: 16 }),
      child: undefined,
      disturbedAtMs: now(),
      paused: false,
    });
  }

  async function writeSettings(entry: SoakEntry, seedAddresses: string[]) {
    const toAddress = (port: number) => `127.0.0.1:${port}`;
    await writeFile(
      entry.settingsFile,
      JSON.stringify({
        entryId: entry.id,
        dataCentre: "dc-1",
        region: "region-1",
        listen: {
          callers: toAddress(entry.ports.callers),
          readiness: toAddress(entry.ports.readiness),
          peers: toAddress(entry.ports.peers),
        },
        seedPeers: seedAddresses,
        platform: {
          storeAddress: entry.storeRelay.address,
          vmApiAddress: vmServer.address,
        },
        bounds: { graceS: 2, holderGapMs: 300 },
      }),
    );
  }

  function markDisturbed(entry: SoakEntry): void {
    entry.disturbedAtMs = now();
  }

  function start(entry: SoakEntry): void {
    if (stopping) return;
    markDisturbed(entry);
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
      markDisturbed(entry);
      if (entry.child !== child) return;
      entry.child = undefined;
      if (code !== null && code !== 0) {
        reportViolation("EXIT", `${entry.id} exited with code ${code}`);
      }
      // The platform restarts processes that have exited.
      setTimeout(() => {
        if (entry.child === undefined) start(entry);
      }, 150 + random.nextInteger(1_200)).unref();
    });
  }

  function sendRequest(
    entry: SoakEntry,
    method: string,
    target: Target,
    { body, key }: { readonly body?: unknown; readonly key?: string } = {},
  ): Promise<Reply | undefined> {
    const apiKey = key ??
      (target.workspace && workspaces?.keyOf(target.workspace));
    const sentAtMs = now();
    return new Promise((resolve) => {
      const complete = (reply: Reply | undefined) => {
        const elapsedMs = now() - sentAtMs;
        const disturbed = entry.paused ||
          entry.disturbedAtMs > sentAtMs - RECOVERY_TIME_MS;
        if (elapsedMs > DEADLINE_MS + DEADLINE_TOLERANCE_MS && !disturbed) {
          reportViolation(
            "DEADLINE",
            `${entry.id} answered ${method} ${target.path} after ${
              Math.round(elapsedMs)
            } ms`,
          );
        }
        resolve(reply);
      };
      const clientRequest = request({
        host: "127.0.0.1",
        port: entry.ports.callers,
        agent: entry.agent,
        method,
        path: target.path,
        headers: {
          host: target.host,
          "content-type": "application/json",
          "cowslipferry-deadline-milliseconds": String(DEADLINE_MS),
          ...(apiKey === undefined ? {} : { "api-key": apiKey }),
        },
        timeout: DEADLINE_MS + 4 * DEADLINE_TOLERANCE_MS,
      }, (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("error", () => complete(undefined));
        response.on("end", () =>
          complete({
            status: response.statusCode ?? 0,
            text,
            retryAfter: response.headers["retry-after"],
          }));
      });
      clientRequest.on("timeout", () => clientRequest.destroy());
      clientRequest.on("error", () => complete(undefined));
      clientRequest.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  const chooseEntry = () => entries[random.nextInteger(entries.length)]!;

  /** Submits one job and retries with the same id while the outcome is unknown. */
  async function submitJob(): Promise<void> {
    const queue = QUEUES[random.nextInteger(QUEUES.length)]!;
    const jobId = (nextJobNumber++).toString(16).padStart(16, "0");
    const workspace = workspaces?.choose();
    const target = { host: queue.host, path: queue.prefix + jobId, workspace };
    if (workspace !== undefined) workspaces?.recordJob(jobId, workspace);
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
    checker.specs.set(
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
    if (random.next() < DEADLY_JOB_RATE) {
      workers.faults.deadlyTasks.add(`${jobId}.0.0.0`);
      deadlyJobIds.add(jobId);
    }
    let outcomeUnknown = false;
    for (let attempt = 0; attempt < 40 && !stopping; attempt++) {
      const reply = await sendRequest(chooseEntry(), "POST", target, {
        body,
      });
      if (reply?.status === 200) {
        targetsByJobId.set(jobId, target);
        if (random.next() < 0.1) await tryOtherKeys(target);
        if (random.next() < 0.1) await cancelJob(jobId, target);
        return;
      }
      // An entry may not have read the latest keys yet.
      if (workspace !== undefined && reply?.status === 401) {
        await delay(200);
        continue;
      }
      const isOverShare = workspace !== undefined && reply?.status === 429;
      if (reply !== undefined && (reply.status === 503 || isOverShare)) {
        refusalCount++;
        if (reply.retryAfter === undefined) {
          reportViolation("RETRY", `${jobId} was refused without Retry-After`);
        }
        // A refusal is final unless an earlier attempt with unknown outcome may have been stored.
        if (!outcomeUnknown) {
          refusedJobIds.add(jobId);
          return;
        }
      } else if (reply !== undefined && reply.status !== 504) {
        reportViolation(
          "STATUS",
          `${jobId} got unexpected status ${reply.status}`,
        );
      }
      outcomeUnknown = true;
      await delay(200);
    }
  }

  /** Tries to read a job with the key of another workspace and with one that no configuration ever held. */
  async function tryOtherKeys(target: Target): Promise<void> {
    if (workspaces === undefined || target.workspace === undefined) return;
    for (const key of [workspaces.foreignKey(target.workspace), UNKNOWN_KEY]) {
      const reply = await sendRequest(chooseEntry(), "GET", target, { key });
      if (reply?.status === 200) {
        reportViolation("KEY", `${target.path} is shown for ${key}`);
      }
    }
  }

  async function cancelJob(jobId: string, target: Target): Promise<void> {
    await delay(random.nextInteger(600));
    const reply = await sendRequest(chooseEntry(), "DELETE", target);
    if (reply?.status === 200) cancelledAtMs.set(jobId, now());
  }

  async function hasJobEnded(jobId: string): Promise<boolean> {
    const target = targetsByJobId.get(jobId)!;
    const reply = await sendRequest(chooseEntry(), "GET", target);
    if (reply?.status === 410) {
      reportViolation("LOST", `${jobId} was accepted but is unknown`);
      return true;
    }
    if (reply?.status !== 200) return false;
    const { state } = JSON.parse(reply.text) as { state: string };
    if (state === "completed") {
      const spec = checker.specs.get(jobId)!;
      spec.steps.forEach((step, index) => {
        for (let task = 0; task < step.taskCount; task++) {
          const taskId = `${jobId}.0.${index}.${task}`;
          if (!checker.done.has(taskId)) {
            reportViolation(
              "INCOMPLETE",
              `${jobId} is shown as completed, but ${taskId} didn't finish`,
            );
          }
        }
      });
    } else if (state === "failed" && !deadlyJobIds.has(jobId)) {
      reportViolation("LOST", `${jobId} is shown as failed`);
    }
    return state === "completed" || state === "cancelled" || state === "failed";
  }

  async function runTraffic(): Promise<void> {
    while (!stopping) {
      void submitJob();
      await delay(60 + random.nextInteger(120));
      if (targetsByJobId.size > 0 && random.next() < 0.3) {
        const ids = [...targetsByJobId.keys()];
        void hasJobEnded(ids[random.nextInteger(ids.length)]!);
      }
    }
  }

  /** Checks periodically that workers run no tasks of refused jobs and start none of cancelled jobs. */
  function monitorTaskStarts(): NodeJS.Timeout {
    return setInterval(() => {
      workspaces?.checkUsage();
      for (const worker of workers.workers.values()) {
        if (!worker.alive) continue;
        for (const run of worker.running.values()) {
          const jobId = run.taskId.split(".")[0]!;
          if (refusedJobIds.delete(jobId)) {
            reportViolation(
              "REFUSED",
              `${run.taskId} runs although its job was refused`,
            );
          }
          const cancelled = cancelledAtMs.get(jobId);
          if (
            cancelled !== undefined &&
            run.startedAtMs > cancelled + CANCELLATION_GRACE_MS
          ) {
            cancelledAtMs.delete(jobId);
            reportViolation(
              "CANCELLED",
              `${run.taskId} started after its job was cancelled`,
            );
          }
        }
      }
    }, 20);
  }

  const pendingRestores: (() => void)[] = [];

  /** Injects one random fault. It ends after a random time or with the fault phase, and may overlap with other faults. */
  function injectFault(): void {
    const entry = chooseEntry();
    const durationMs = 200 + random.nextInteger(4_000);
    const logFault = (name: string, target = "") =>
      faults.push(
        `${
          Math.round(now() - startedAtMs)
        } ms: ${name} ${target} ${durationMs} ms`,
      );
    const restoreLater = (restore: () => void) => {
      pendingRestores.push(restore);
      setTimeout(restore, durationMs).unref();
    };
    const restoreEntryLater = (restore: () => void) => {
      markDisturbed(entry);
      restoreLater(() => {
        restore();
        markDisturbed(entry);
      });
    };
    const storeFaults = store.faults;
    const faultKinds: [string, () => void][] = [
      ...(workspaces === undefined
        ? []
        : [["withdrawn keys", writeConfig]] as [string, () => void][]),
      ["kill", () => void entry.child?.child.kill("SIGKILL")],
      ["stop", () => void entry.child?.child.kill("SIGTERM")],
      ["pause", () => {
        const { child } = entry;
        child?.child.kill("SIGSTOP");
        entry.paused = true;
        restoreEntryLater(() => {
          child?.child.kill("SIGCONT");
          entry.paused = false;
        });
      }],
      ["kill all", () => {
        for (const eachEntry of entries) {
          markDisturbed(eachEntry);
          eachEntry.child?.child.kill("SIGKILL");
        }
      }],
      ["reset store link", () => {
        entry.storeRelay.disconnect();
        restoreEntryLater(() => entry.storeRelay.restore());
      }],
      ["pause store link", () => {
        entry.storeRelay.pause();
        restoreEntryLater(() => entry.storeRelay.restore());
      }],
      ["pause store link one way", () => {
        entry.storeRelay.pauseOneWay(
          random.next() < 0.5 ? "to_target" : "to_client",
        );
        restoreEntryLater(() => entry.storeRelay.restore());
      }],
      ["slow store link", () => {
        entry.storeRelay.setDelay(20 + random.nextInteger(150));
        restoreEntryLater(() => entry.storeRelay.restore());
      }],
      ["stall store connections", () => {
        markDisturbed(entry);
        entry.storeRelay.stallOpenConnections();
      }],
      ["store refuses entry", () => {
        storeFaults.refusedClients.add(entry.id);
        restoreEntryLater(() =>
          void storeFaults.refusedClients.delete(entry.id)
        );
      }],
      ["store down", () => {
        storeFaults.down = true;
        entries.forEach(markDisturbed);
        if (random.next() < 0.4) setTimeout(() => store.expireAllLeases(), 150);
        restoreLater(() => {
          storeFaults.down = false;
          entries.forEach(markDisturbed);
        });
      }],
      ["store loses responses", () => {
        storeFaults.lostAnswerRate = 0.3;
        entries.forEach(markDisturbed);
        restoreLater(() => storeFaults.lostAnswerRate = 0);
      }],
      ["store applies writes late", () => {
        storeFaults.lateChangeRate = 0.2;
        entries.forEach(markDisturbed);
        restoreLater(() => storeFaults.lateChangeRate = 0);
      }],
      ["store compacts its history", () => store.compactHistory()],
      ["stall worker connections", () => workerRelay.stallOpenConnections()],
      ["reset worker links", () => {
        workerRelay.disconnect();
        restoreLater(() => workerRelay.restore());
      }],
      ["orders are carried out late, others are refused", () => {
        workers.faults.lateOrderRate = 0.15;
        workers.faults.unhealthyRate = 0.3;
        restoreLater(() => {
          workers.faults.lateOrderRate = 0;
          workers.faults.unhealthyRate = 0;
        });
      }],
      ["tasks fail", () => {
        workers.faults.failedRunRate = 0.3;
        restoreLater(() => workers.faults.failedRunRate = 0);
      }],
      ["worker crashes", () => {
        const vms = [...fleet.vms.values()];
        fleet.crash(vms[random.nextInteger(vms.length)]!, durationMs);
      }],
      ["worker capacity changes", () => {
        const vms = [...fleet.vms.values()];
        const vm = vms[random.nextInteger(vms.length)]!;
        fleet.resize(vm, random.nextInteger(3) * 1_500);
        restoreLater(() => fleet.resize(vm, 8_000));
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
    const [name, inject] = faultKinds[random.nextInteger(faultKinds.length)]!;
    logFault(name, entry.id);
    inject();
  }

  try {
    fleet.workerAddress = workerRelay.address;
    for (let index = 0; index < options.vms; index++) {
      fleet.add(["desk", "shop", "desk", "shop", SPARE_POOL][index % 5]!);
    }
    writeConfig();
    const seedAddresses: string[] = [];
    for (let index = 1; index <= options.entries; index++) {
      await addEntry(index, seedAddresses);
    }
    for (const entry of entries) {
      await writeSettings(entry, seedAddresses.slice(0, 3));
      start(entry);
    }
    const startMonitor = monitorTaskStarts();
    const callers = runTraffic();
    await delay(1_500);
    const endMs = now() + options.faultsMs;
    while (now() < endMs) {
      injectFault();
      await delay(100 + random.nextInteger(1_500));
    }
    pendingRestores.forEach((restore) => restore());
    await delay(1_000);
    stopping = true;
    await callers;
    const completionDeadlineMs = now() + COMPLETION_TIMEOUT_MS;
    const openJobIds = new Set(targetsByJobId.keys());
    stopping = false;
    for (const entry of entries) if (entry.child === undefined) start(entry);
    while (openJobIds.size > 0 && now() < completionDeadlineMs) {
      const ids = [...openJobIds].slice(0, 12);
      const hasEnded = await Promise.all(ids.map(hasJobEnded));
      ids.forEach((id, index) => hasEnded[index] && openJobIds.delete(id));
      if (!hasEnded.some(Boolean)) await delay(100);
    }
    for (const id of openJobIds) {
      reportViolation(
        "LOST",
        `${id} hasn't ended ${COMPLETION_TIMEOUT_MS} ms after the last fault`,
      );
    }
    clearInterval(startMonitor);
  } finally {
    stopping = true;
    for (const { child } of entries) if (child) await killChild(child);
    fleet.close();
    workers.close();
    store.close();
    for (const entry of entries) {
      entry.agent.destroy();
      await entry.storeRelay.close();
      await entry.storeServer.close();
    }
    await workerRelay.close();
    await workerServer.close();
    await vmServer.close();
    await rm(folder, { recursive: true });
  }
  return {
    seed: options.seed,
    violations: checker.violations,
    faults,
    accepted: targetsByJobId.size,
    refused: refusalCount,
    starts: checker.starts,
    logs: logs.join(""),
  };
}
