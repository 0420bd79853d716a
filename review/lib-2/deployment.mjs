// Starts the project's scheduler processes with the commands of deploy/system.toml
// beside the stand-ins, and ends them all. Settings come from the template of the
// deploy file, with the bounds of the site file ksw-sched.toml.
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { call, serveJson } from "./http.mjs";
import { Cloud } from "./cloud.mjs";
import { Fleet } from "./minions.mjs";
import { Store } from "./store.mjs";

const ZONES = ["khomas-a", "khomas-b", "khomas-c"];
const ROOT = new URL("../..", import.meta.url).pathname;
/** Limits of a machine of the site file ksw-sched.toml. */
const SMALL_LIMITS = { "cpu-share": 0.675, "link-mbps": 1_000 };
const BOUNDS = {
  "grace-period-s": 6,
  status_s: 120,
  "lease-ms": 3_000,
  "notice-ms": 4_500,
};

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Returns ports that are free on each of the hosts; as on the platform, all machines use the same ones. */
async function freePorts(count, hosts) {
  const tryPort = (host, port) =>
    new Promise((resolve, reject) => {
      const server = createServer();
      server.on("error", reject);
      server.listen(port, host, () => resolve(server));
    });
  const close = (server) => new Promise((done) => server.close(done));
  for (let attempt = 0; attempt < 50; attempt++) {
    const opened = [];
    try {
      const ports = [];
      for (let index = 0; index < count; index++) {
        const first = await tryPort(hosts[0], 0);
        opened.push(first);
        const { port } = first.address();
        for (const host of hosts.slice(1)) {
          opened.push(await tryPort(host, port));
        }
        ports.push(port);
      }
      return ports;
    } catch {
      // A port is in use on one of the hosts; others are tried.
    } finally {
      await Promise.all(opened.map(close));
    }
  }
  throw new Error("no free ports");
}

/** Fills in a template as DEPLOY.md tells; only the forms that the template uses. */
function render(template, fields) {
  const find = (path) =>
    path.split(".").reduce((value, key) => value?.[key], fields);
  return template
    .replace(/\{\{#([\w.-]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, path, text) => {
      const value = find(path);
      return value === undefined || value === false ? "" : text;
    })
    .replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (_, path, json) => {
      const value = find(path);
      return json ? JSON.stringify(value ?? null) : String(value ?? "");
    });
}

export class Deployment {
  lines = [];
  entries = [];
  fronts = [];
  startedAtMs = performance.now();

  /** `folder` is that of the case; the record is written there. */
  constructor(folder) {
    this.folder = folder;
    this.temp = mkdtempSync(join(tmpdir(), "review-"));
    this.log = (text) => {
      const line = `${
        ((performance.now() - this.startedAtMs) / 1_000).toFixed(3)
      } ${text}`;
      this.lines.push(line);
    };
    this.store = new Store();
    this.fleet = new Fleet(this.store, this.log);
    this.cloud = new Cloud(this.log);
  }

  /** Starts the stand-ins and `entryCount` scheduler processes; `minions` lists `{ service, count, cpu }`, `limits` are those of each machine. */
  async start(
    { entryCount, minions, queues, spare = [], limits = SMALL_LIMITS },
  ) {
    this.queues = queues;
    this.cloudAddress = await this.cloud.start(this.store);
    this.store.write("op/config", {
      version: 10,
      routes: queues.map(({ name, service, attempts = 3 }) => ({
        name,
        host: "jobs.example",
        prefix: `/${name}/`,
        service,
        priority: 0,
        "max-attempts": attempts,
        stretch: 1.6,
        "target-duration-ms": 600,
      })),
      services: [
        ...new Set([...queues.map(({ service }) => service), ...spare]),
      ]
        .map((name) => ({ name, spare: spare.includes(name) })),
      limits: { "max-body-bytes": 262_144 },
    });
    let number = 0;
    for (const { service, count, cpu = 32_000 } of minions) {
      for (let index = 0; index < count; index++) {
        const n = number++;
        const zone = ZONES[n % 3];
        const rack = `r${Math.floor(n / 4)}`;
        const machine = `machine-${n}`;
        const place = await this.fleet.add({
          id: `minion-${n}`,
          service,
          machine,
          zone,
          rack,
          cpu,
        });
        this.cloud.add({ machine, pool: service, place, zone, rack, cpu });
      }
    }
    const hosts = Array.from(
      { length: entryCount },
      (_, index) => `127.0.0.${11 + index}`,
    );
    const ports = await freePorts(3, hosts);
    const addresses = hosts.map((host) => ({
      front: `${host}:${ports[0]}`,
      "readiness-address": `${host}:${ports[1]}`,
      control: `${host}:${ports[2]}`,
    }));
    const storeFronts = await Promise.all(
      addresses.map((_, index) => this.#openStoreFront(index)),
    );
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const role = deploy.slice(deploy.indexOf("[roles.scheduler]"));
    this.command = /^run = "(.*)"$/m.exec(role)[1].split(" ");
    const template = readFileSync(
      join(ROOT, /^template = "(.*)"$/m.exec(role)[1]),
      "utf8",
    );
    for (const [index, listen] of addresses.entries()) {
      const zone = ZONES[index % 3];
      const name = `front-${zone}-${index + 1}`;
      const settings = join(this.temp, `${name}.json`);
      writeFileSync(
        settings,
        render(template, {
          "node-name": name,
          zone,
          region: "khomas",
          "listen-addresses": listen,
          "seed-nodes": addresses.slice(0, 3).map(({ control }) => control),
          platform: { address: storeFronts[index], "writes-per-s": 400 },
          "cloud-api": { address: this.cloudAddress },
          limits,
          bounds: BOUNDS,
        }),
      );
      const entry = {
        name,
        listen,
        settings,
        exits: [],
        child: undefined,
        wanted: true,
      };
      this.entries.push(entry);
      this.startEntry(entry);
    }
    for (const entry of this.entries) {
      await this.until(
        `${entry.name} is ready`,
        20_000,
        async () =>
          (await call(entry.listen["readiness-address"], {
            method: "GET",
            path: "/api/readiness",
            timeoutMs: 1_000,
          })).status === 200,
      );
    }
    await this.until(
      "there is an owner",
      20_000,
      () => this.owner() !== undefined,
    );
    await pause(1_500);
    this.log("deployment is up");
  }

  /** Opens an address of the store for one entry, so that the store can turn it away (503: nothing was done). */
  async #openStoreFront(index) {
    const front = await serveJson(async (request) => {
      const isRefused = () => this.entries[index]?.refusedByStore === true;
      if (isRefused()) return { status: 503 };
      const reply = await this.store.answer(request);
      return request.method === "GET" && isRefused() ? { status: 503 } : reply;
    });
    this.fronts.push(front);
    return front.address;
  }

  startEntry(entry) {
    const [program, ...words] = this.command;
    const args = words.map((word) =>
      word.startsWith("/etc/") ? entry.settings : word
    );
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C.UTF-8" },
    });
    const output = createWriteStream(join(this.temp, `${entry.name}.log`), {
      flags: "a",
    });
    child.stdout.pipe(output, { end: false });
    child.stderr.pipe(output, { end: false });
    entry.child = child;
    this.log(`${entry.name} started, process ${child.pid}`);
    child.on("exit", (code, signal) => {
      entry.exits.push({ code, signal, asked: entry.asked === true });
      this.log(
        `${entry.name} ended: code ${code}, signal ${signal}${
          entry.asked ? ", asked for" : ", BY ITSELF"
        }`,
      );
      entry.asked = false;
      // The platform starts a process again after a short delay.
      if (!this.closing && entry.wanted) {
        setTimeout(() => this.closing || this.startEntry(entry), 300);
      }
    });
  }
  kill(entry, signal) {
    entry.asked = signal !== "SIGSTOP" && signal !== "SIGCONT";
    this.log(`${signal} to ${entry.name}`);
    entry.child.kill(signal);
  }
  /** The entry whose key stands in the store, as the platform sees it. */
  owner() {
    const address = this.store.read("ctl/owner")?.address;
    return this.entries.find(({ listen }) => listen.control === address);
  }
  async until(what, limitMs, check) {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
      if (await check()) return true;
      await pause(50);
    }
    this.log(`not in time: ${what}`);
    return false;
  }

  /** One request of a client at one entry. */
  ask(entry, method, queue, jobId, body, timeoutMs = 3_000) {
    return call(entry.listen.front, {
      method,
      path: `/${queue}/${jobId}`,
      headers: {
        host: "jobs.example",
        "cowslipferry-deadline-milliseconds": String(timeoutMs),
      },
      body,
      timeoutMs,
    });
  }

  /** A client's request, tried at other entries after no answer, a 502 or a 504. */
  async request(
    method,
    queue,
    jobId,
    body,
    { timeoutMs = 3_000, tries = 4, first = 0 } = {},
  ) {
    let reply;
    for (let attempt = 0; attempt < tries; attempt++) {
      const entry = this.entries[(first + attempt) % this.entries.length];
      reply = await this.ask(entry, method, queue, jobId, body, timeoutMs);
      if (method !== "GET") {
        this.log(
          `client: ${method} ${queue}/${jobId} at ${entry.name}: ${
            reply.status || "no answer"
          }`,
        );
      }
      if (![0, 502, 503, 504].includes(reply.status)) return reply;
      await pause(300);
    }
    return reply;
  }
  async state(queue, jobId) {
    const reply = await this.request("GET", queue, jobId, undefined, {
      first: 1,
    });
    return reply.status === 200 ? reply.body?.state : `status ${reply.status}`;
  }

  /** Lines of the processes' logs that contain a text. */
  logLines(text) {
    return this.entries.flatMap(({ name }) => {
      try {
        return readFileSync(join(this.temp, `${name}.log`), "utf8").split("\n")
          .filter((line) => line.includes(text));
      } catch {
        return [];
      }
    });
  }
  async close() {
    this.closing = true;
    for (const { child } of this.entries) {
      if (
        child !== undefined && child.exitCode === null &&
        child.signalCode === null
      ) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
    }
    this.fleet.close();
    this.cloud.close();
    this.store.close();
    for (const front of this.fronts) front.close();
    await pause(200);
    rmSync(this.temp, { recursive: true, force: true });
  }
}

/** Runs a case: `play` returns the list of what broke the rule. Exits with 0, 1 or 2. */
export async function runCase(folder, play) {
  const trouble = process.env.TROUBLE !== "0";
  const deployment = new Deployment(folder);
  const guard = setTimeout(
    () => finish(2, ["the case took too long"]),
    115_000,
  );
  let finished = false;
  async function finish(code, notes) {
    if (finished) return;
    finished = true;
    clearTimeout(guard);
    for (const note of notes) deployment.log(note);
    const verdict = ["held", "BROKEN", "could not run"][code];
    deployment.log(`rule ${verdict} (TROUBLE=${trouble ? 1 : 0})`);
    writeFileSync(
      join(folder, "record.txt"),
      `${deployment.lines.join("\n")}\n`,
    );
    console.log(deployment.lines.slice(-12).join("\n"));
    await deployment.close();
    process.exit(code);
  }
  try {
    const broken = await play(deployment, trouble);
    await finish(broken.length > 0 ? 1 : 0, broken);
  } catch (error) {
    await finish(2, [`the case could not run: ${error.stack ?? error}`]);
  }
}
