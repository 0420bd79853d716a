import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { NO_ANSWER, sleep, startJsonServer } from "./http.mjs";
import { startMinion } from "./minions.mjs";
import { startStore } from "./store.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Bounds of `ksw-sched` that the scripts judge by, in ms. */
export const BOUNDS = { cancelMs: 3_000, stopTimeoutMs: 400, contactMs: 3_000 };

/** Time that the upkeep of a machine takes (`maintenance-s`), in ms. */
const UPKEEP_MS = 2_000;

/** Whether the disruption is to be left out. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Host of entry number `index`; entries have the same ports at different addresses. */
const entryHost = (index) => `127.0.${40 + index}.1`;

function findFreePort(hosts) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, hosts[0], async () => {
      const { port } = server.address();
      const others = await Promise.all(
        hosts.slice(1).map((host) =>
          new Promise((done) => {
            const other = createServer();
            other.once("error", () => done(false));
            other.listen(port, host, () => other.close(() => done(true)));
          })
        ),
      );
      server.close(() =>
        others.every(Boolean) ? resolve(port) : resolve(findFreePort(hosts))
      );
    });
  });
}

/** Returns the words of the deploy file's line `run` with another settings file. */
function runCommand(settingsFile) {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const words = /^run = "(.*)"$/m.exec(text)[1].split(" ");
  words[words.indexOf("--settings") + 1] = settingsFile;
  return words;
}

/**
 * Starts a small deployment: the store, the list of machines, minions and
 * `entries` scheduler processes; `log(line)` records what happens.
 */
export async function startDeployment(
  {
    entries,
    minions,
    config,
    behave,
    log,
    storeFaults,
    delayOrder,
    delayUpkeep,
  },
) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const startedAtMs = performance.now();
  const sinceStartMs = () => Math.round(performance.now() - startedAtMs);
  const note = (event, fields) =>
    log(JSON.stringify({ atMs: sinceStartMs(), event, ...fields }));
  const store = await startStore("127.0.0.1", storeFaults);
  store.write("op/config", config);
  /** The minion on each machine; undefined while the machine is down. */
  const running = [];
  const lives = minions.map(() => 1);
  let closed = false;

  /** Starts the next minion on a machine. */
  async function startOn(index) {
    const minion = minions[index];
    const id = `${minion.machine}-life-${lives[index]}`;
    running[index] = await startMinion(
      { ...minion, id, store, host: "127.0.0.1", behave, note, delayOrder },
    );
    if (closed) running[index].close();
  }
  for (const index of minions.keys()) await startOn(index);
  /** Highest fencing token of the orders for each machine. */
  const fences = minions.map(() => 0);
  /** Wave of each machine whose upkeep is under way, and the waves that each has had. */
  const inUpkeep = new Map();
  let holder;
  const waves = minions.map(() => new Set());

  /** Carries out an order for the upkeep of a machine; the rule LIMIT is judged by the notes. */
  function carryOutUpkeep({ headers, body }) {
    const index = minions.findIndex(({ machine }) => machine === body.machine);
    if (index < 0) return { status: 400 };
    const fence = Number(headers["cowslipferry-fencing-token"]);
    if (fence < fences[index]) {
      return { status: 409, body: { reason: "fence" } };
    }
    fences[index] = fence;
    if (waves[index].has(body.wave)) return { status: 200 };
    const minion = running[index];
    if (minion === undefined) return { status: 409, body: { reason: "busy" } };
    waves[index].add(body.wave);
    const others = [...inUpkeep].filter(([, wave]) => wave === body.wave)
      .map(([machine]) => machine);
    note("upkeep", { ...body, fence, others });
    inUpkeep.set(body.machine, body.wave);
    running[index] = undefined;
    minion.crash();
    lives[index]++;
    setTimeout(() => {
      inUpkeep.delete(body.machine);
      if (!closed) void startOn(index);
    }, UPKEEP_MS);
    return { status: 200 };
  }

  const cloud = await startJsonServer("127.0.0.1", (request) => {
    const { method, path } = request;
    if (method === "POST" && path === "/api/machine-upkeep") {
      holder = request.headers["cowslipferry-duty-holder"];
      const lateMs = delayUpkeep?.();
      if (lateMs === undefined) return carryOutUpkeep(request);
      setTimeout(() => carryOutUpkeep(request), lateMs);
      return NO_ANSWER;
    }
    if (method !== "GET" || path !== "/api/machines") return { status: 400 };
    const machines = minions.map(
      ({ machine, labels, capacity, service }, index) => ({
        machine,
        pool: service,
        state: inUpkeep.has(machine)
          ? "upkeep"
          : running[index] === undefined
          ? "down"
          : "up",
        zone: "zone-a",
        labels,
        capacity,
        id: running[index]?.id ?? "",
      }),
    );
    return { status: 200, body: { machines } };
  });

  const hosts = Array.from({ length: entries }, (_, index) => entryHost(index));
  const [callers, readiness, peers] = [
    await findFreePort(hosts),
    await findFreePort(hosts),
    await findFreePort(hosts),
  ];
  const processes = hosts.map((host, index) => {
    const file = join(folder, `entry-${index}.json`);
    // What deploy/settings.json becomes for a machine of `ksw-sched`.
    writeFileSync(
      file,
      JSON.stringify({
        entryId: `front-${index}`,
        dataCentre: "zone-a",
        region: "region",
        listen: {
          callers: `${host}:${callers}`,
          readiness: `${host}:${readiness}`,
          peers: `${host}:${peers}`,
        },
        seedPeers: hosts.slice(0, 3).map((seed) => `${seed}:${peers}`),
        platform: {
          storeAddress: store.address,
          vmApiAddress: cloud.address,
          adviceAddress: "",
          writesPerS: 400,
        },
        limits: {
          cores: 0.675,
          linkMbps: 1_000,
          memoryMb: 350,
          fileDescriptors: 4_100,
        },
        bounds: { graceS: 6, keepEndedS: 120, holderGapMs: 3_000 },
      }),
    );
    const [program, ...args] = runCommand(file);
    const entry = {
      host,
      /** The process's own log, for the investigation; nothing is judged by it. */
      output: "",
      child: undefined,
      exit: undefined,
      start() {
        const child = spawn(program, args, {
          cwd: ROOT,
          stdio: ["ignore", "pipe", "pipe"],
        });
        entry.child = child;
        entry.exit = new Promise((resolve) => child.once("close", resolve));
        child.stdout.on("data", (chunk) => entry.output += chunk);
        child.stderr.on("data", (chunk) => entry.output += chunk);
      },
    };
    entry.start();
    return entry;
  });

  async function isReady(host) {
    try {
      const { status } = await call({
        host,
        port: readiness,
        path: "/api/readiness",
      });
      return status === 200;
    } catch {
      return false;
    }
  }

  return {
    note,
    sinceStartMs,
    /** Writes a value to the store as the operator does. */
    write: store.write,
    /** Returns the number of the process that ordered an upkeep last. */
    lastHolder: () =>
      hosts.findIndex((_, index) => `front-${index}` === holder),
    /** Kills a process and starts it again after a time. */
    async killEntry(index, forMs) {
      const entry = processes[index];
      note("kill", { entry: entry.host });
      entry.child.kill("SIGKILL");
      await entry.exit;
      await sleep(forMs);
      if (!closed) entry.start();
    },
    minions: running,
    processes,
    /** Crashes the minion of a machine, which is down for a time and comes back under another id or, with `keepsId`, the same. */
    crashMinion(index, forMs, keepsId = false) {
      const minion = running[index];
      if (minion === undefined) return;
      note("crash", { minion: minion.id, forMs, keepsId });
      running[index] = undefined;
      minion.crash(keepsId);
      if (!keepsId) lives[index]++;
      setTimeout(() => {
        if (!closed) void startOn(index);
      }, forMs);
    },
    /** Waits until every process says that it is ready; returns whether it does. */
    async waitUntilReady(limitMs) {
      const endMs = performance.now() + limitMs;
      while (performance.now() < endMs) {
        if ((await Promise.all(hosts.map(isReady))).every(Boolean)) return true;
        await sleep(100);
      }
      return false;
    },
    /** Sends a client's request to an entry; rejects if there is no answer in time. */
    send: (index, options) =>
      call({ host: hosts[index], port: callers, ...options }),
    async close() {
      closed = true;
      for (const { child, exit } of processes) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
        await exit;
      }
      for (const minion of running) minion?.close();
      cloud.close();
      store.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

function call(
  { host, port, path, method = "GET", headers = {}, body, timeoutMs = 3_000 },
) {
  return new Promise((resolve, reject) => {
    const text = body === undefined ? "" : JSON.stringify(body);
    const sent = request({
      host,
      port,
      path,
      method,
      agent: false,
      headers: {
        ...headers,
        ...(text === "" ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
      },
    }, (response) => {
      let received = "";
      response.on("data", (chunk) => received += chunk);
      response.on("end", () => {
        clearTimeout(timer);
        let parsed;
        try {
          parsed = JSON.parse(received);
        } catch {
          parsed = undefined;
        }
        resolve({ status: response.statusCode, body: parsed });
      });
      response.on("error", reject);
    });
    const timer = setTimeout(
      () => sent.destroy(new Error("no answer in time")),
      timeoutMs,
    );
    sent.on("error", (error) => {
      clearTimeout(timer);
      reject(error);
    });
    sent.end(text);
  });
}
