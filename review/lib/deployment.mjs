// A small deployment: the project's own scheduler processes, started with the
// commands of the deploy file, between stand-ins of the platform and clients.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync } from "node:fs";
import { rmSync, writeFileSync } from "node:fs";
import { createServer, request as httpRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Fleet } from "./minions.mjs";
import { listenOn, readAll, send, Store } from "./store.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "../..");
export const trouble = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Bounds of the pages' standard deployment (SYSTEM.md). */
export const BOUNDS = {
  "grace-period-s": 6,
  status_s: 120,
  "lease-ms": 3_000,
};

/** Renders the part of the template language that the settings template uses. */
function render(template, fields) {
  const find = (path) =>
    path.split(".").reduce((value, name) => value?.[name], fields);
  return template
    .replace(
      /\{\{#([\w.-]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
      (_, path, inner) => find(path) ? inner : "",
    )
    .replace(
      /\{\{([\w.-]+)\|json\}\}/g,
      (_, path) => JSON.stringify(find(path)),
    )
    .replace(/\{\{([\w.-]+)\}\}/g, (_, path) => find(path) ?? "");
}

/** Words of the deploy file's `run` line, with the settings file in place of the platform's. */
function runCommand(settingsFile) {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  const words = text.match(/^run = "(.*)"$/m)[1].split(" ");
  return words.map((word) => word.startsWith("/etc/") ? settingsFile : word);
}

/** Chooses ports that are free on all addresses of the nodes, below the range of outgoing connections. */
async function choosePorts(hosts, count) {
  const ports = [];
  for (let tries = 0; ports.length < count && tries < 200; tries++) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    if (ports.includes(port)) continue;
    const free = await Promise.all(
      hosts.map((host) =>
        new Promise((resolve) => {
          const server = createTcpServer();
          server.once("error", () => resolve(false));
          server.listen(
            port,
            host,
            () => server.close(() => resolve(true)),
          );
        })
      ),
    );
    if (free.every(Boolean)) ports.push(port);
  }
  return ports;
}

export class Deployment {
  nodes = [];
  /** Every process that was started, also those that have ended. */
  children = [];
  machines = new Map();
  vmCalls = [];
  sparePools = new Set();
  closed = false;

  /** `folder` is the folder of the case, in which `record.txt` is written. */
  constructor(folder, bounds = {}) {
    this.recordFile = join(folder, "record.txt");
    writeFileSync(this.recordFile, "");
    this.beganMs = performance.now();
    this.temporary = mkdtempSync(join(tmpdir(), "review-"));
    this.note = this.note.bind(this);
    this.store = new Store();
    this.fleet = new Fleet(this.store, this.note);
    this.bounds = { ...BOUNDS, ...bounds };
    this.note("settings of the run", { trouble, bounds: this.bounds });
  }

  nowMs() {
    return performance.now() - this.beganMs;
  }

  note(text, fields = {}) {
    const time = (this.nowMs() / 1_000).toFixed(3).padStart(8);
    const line = `${time} ${text} ${JSON.stringify(fields)}\n`;
    appendFileSync(this.recordFile, line);
    if (process.env.SHOW) process.stdout.write(line);
  }

  /** Starts the stand-ins of the platform and `count` scheduler processes. */
  async start({ count = 3, advice, writesPerS = 400 } = {}) {
    this.vmServer = createServer((request, response) =>
      this.onVmCall(request, response)
    );
    const vmAddress = await listenOn(this.vmServer);
    let adviceAddress = "";
    if (advice !== undefined) {
      this.adviceServer = createServer(async (request, response) => {
        const body = JSON.parse(await readAll(request) || "{}");
        advice(body, (answer) => {
          this.note("advice", { ...body, answer });
          send(response, 200, answer);
        });
      });
      adviceAddress = await listenOn(this.adviceServer);
    }
    const hosts = Array.from({ length: count }, (_, i) => `127.0.0.${11 + i}`);
    const [front, readiness, control] = await choosePorts(hosts, 3);
    const template = readFileSync(join(root, "deploy/settings.json"), "utf8");
    for (const [index, host] of hosts.entries()) {
      const name = `front-${index + 1}`;
      const storeAddress = await this.store.listen(name);
      const settingsFile = join(this.temporary, `${name}.json`);
      writeFileSync(
        settingsFile,
        render(template, {
          "node-name": name,
          zone: "khomas-a",
          region: "khomas",
          "listen-addresses": {
            front: `${host}:${front}`,
            "readiness-address": `${host}:${readiness}`,
            control: `${host}:${control}`,
          },
          "seed-nodes": hosts.slice(0, 3).map((seed) => `${seed}:${control}`),
          platform: { address: storeAddress, "writes-per-s": writesPerS },
          "cloud-api": { address: vmAddress },
          "placement-advice": adviceAddress,
          limits: { "cpu-share": 0.675, "link-mbps": 1_000 },
          bounds: this.bounds,
        }),
      );
      this.nodes.push({
        name,
        host,
        front,
        control,
        readiness,
        settingsFile,
        child: undefined,
      });
    }
    for (const node of this.nodes) this.startNode(node);
  }

  startNode(node) {
    const [program, ...words] = runCommand(node.settingsFile);
    const child = spawn(
      program === "node" ? process.execPath : program,
      words,
      { cwd: root, stdio: ["ignore", "pipe", "pipe"] },
    );
    node.child = child;
    this.children.push(child);
    node.log = node.log ?? "";
    const keep = (bytes) => node.log += bytes;
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.on("exit", (code, signal) => {
      if (this.closed) return;
      this.note(`process ${node.name} ended`, { code, signal });
      if (node.child === child) node.child = undefined;
    });
    this.note(`process ${node.name} started`, { pid: child.pid });
  }

  signal(node, signal) {
    this.note(`${signal} to ${node.name}`);
    node.child?.kill(signal);
  }

  /** Returns the node that owns the queues according to the store. */
  owner() {
    const address = this.store.read("ctl/owner")?.address;
    return this.nodes.find(({ host, control }) =>
      `${host}:${control}` === address
    );
  }

  async waitFor(what, condition, limitMs = 15_000) {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
      if (await condition()) return;
      await sleep(50);
    }
    throw new Error(`not reached in ${limitMs} ms: ${what}`);
  }

  /** Writes a configuration as the operator does. */
  configure(config) {
    this.note("configuration written", {
      version: config.version,
      routes: config.routes.map(({ name, prefix }) => `${name} ${prefix}`),
    });
    this.store.write("op/config", {
      limits: { "max-body-bytes": 262_144 },
      ...config,
    });
  }

  async ready() {
    await this.waitFor("every node is ready", async () => {
      const states = await Promise.all(
        this.nodes.filter(({ child }) => child).map((node) =>
          call(node, "GET", "/api/readiness", { port: node.readiness })
        ),
      );
      return states.every(({ status }) => status === 200);
    });
    await this.waitFor("there is an owner", () => this.owner() !== undefined);
  }

  /** Sends a client's call; status 0 stands for a call without an answer. */
  async client(node, method, path, { host, body, deadlineMs = 3_000 } = {}) {
    const sentMs = this.nowMs();
    const answer = await call(node, method, path, {
      host,
      body,
      deadlineMs,
      port: node.front,
    });
    this.note(`client ${method} ${path} at ${node.name}`, {
      sentS: Number((sentMs / 1_000).toFixed(3)),
      status: answer.status,
      body: answer.text,
    });
    return answer;
  }

  /** Hands a job in until it is accepted, as clients do. */
  async submit(route, id, job, node = this.nodes[0]) {
    this.fleet.jobs.set(id, job);
    for (let attempt = 0; attempt < 5; attempt++) {
      const { status } = await this.client(node, "POST", route.prefix + id, {
        host: route.host,
        body: job,
      });
      if (status >= 200 && status < 300) return;
      await sleep(500);
      const running = this.nodes.filter(({ child }) => child);
      node = running[attempt % running.length];
    }
    throw new Error(`job ${id} was not accepted`);
  }

  async state(route, id, node = this.nodes[0]) {
    const { status, text } = await this.client(node, "GET", route.prefix + id, {
      host: route.host,
    });
    return status === 200 ? JSON.parse(text).state : `status ${status}`;
  }

  addMachine(machine) {
    this.machines.set(machine.machine, {
      state: "up",
      waves: new Set(),
      fence: 0,
      ...machine,
    });
  }

  async onVmCall(request, response) {
    const body = JSON.parse(await readAll(request) || "{}");
    const url = new URL(request.url, "http://vm");
    if (url.pathname === "/api/machines") {
      const machines = [...this.machines.values()].map((machine) => ({
        machine: machine.machine,
        pool: machine.pool,
        state: machine.state,
        zone: machine.zone,
        labels: machine.labels,
        capacity: machine.capacity,
        id: machine.id,
      }));
      return send(response, 200, { machines });
    }
    const order = {
      kind: url.pathname.slice("/api/machine-".length),
      machine: body.machine,
      wave: body.wave,
      pool: body.pool,
      holder: request.headers["cowslipferry-duty-holder"],
      token: Number(request.headers["cowslipferry-fencing-token"]),
      atMs: this.nowMs(),
    };
    const machine = this.machines.get(body.machine);
    const verdict = await this.beforeVmOrder?.(order);
    if (typeof verdict === "number") {
      this.note("order for a machine", { ...order, answer: verdict });
      return send(response, verdict);
    }
    const [status, reason] = this.applyVmOrder(order, machine);
    this.vmCalls.push({ ...order, status, reason });
    this.note("order for a machine", {
      ...order,
      answer: verdict === "drop" ? "none" : status,
      done: status === 200,
      reason,
    });
    if (verdict === "drop") return;
    send(response, status, reason === undefined ? {} : { reason });
  }

  applyVmOrder({ kind, wave, pool, token }, machine) {
    if (machine === undefined) return [400];
    if (token < machine.fence) return [409, "fence"];
    machine.fence = token;
    if (kind === "upkeep" && machine.waves.has(wave)) return [200];
    if (kind === "move" && machine.pool === pool) return [200];
    if (machine.state !== "up") return [409, "busy"];
    if (kind === "upkeep") machine.waves.add(wave);
    const minion = this.fleet.minions.get(machine.id);
    minion?.crash();
    machine.state = kind === "upkeep" ? "upkeep" : "moving";
    if (kind === "move") machine.pool = pool;
    setTimeout(async () => {
      if (this.closed) return;
      machine.state = "up";
      // The machines of a spare pool are off.
      if (this.sparePools.has(machine.pool)) machine.id = "";
      else await this.startMinion(machine, minion);
    }, kind === "upkeep" ? 2_000 : 1_500);
    return [200];
  }

  /** Starts the minion of a machine after an operation; a machine that was off gets one. */
  async startMinion(machine, minion) {
    if (minion !== undefined) {
      minion.service = machine.pool;
      return await minion.start();
    }
    machine.id = `minion-of-${machine.machine}`;
    await this.fleet.add({
      id: machine.id,
      machine: machine.machine,
      service: machine.pool,
      rack: machine.labels[1],
      zone: machine.zone,
      cpu: machine.capacity.cpu,
      memoryMb: machine.capacity["mem-mb"],
    });
  }

  /** Ends every process and stand-in that the case has started. */
  async close() {
    this.closed = true;
    const isRunning = ({ exitCode, signalCode }) =>
      exitCode === null && signalCode === null;
    await Promise.all(
      this.children.filter(isRunning).map((child) =>
        new Promise((resolve) => {
          child.once("exit", resolve);
          child.kill("SIGKILL");
        })
      ),
    );
    if (process.env.KEEP_LOGS) {
      for (const { name, log } of this.nodes) {
        writeFileSync(join(process.env.KEEP_LOGS, `${name}.log`), log ?? "");
      }
    }
    this.fleet.close();
    this.store.close();
    for (const server of [this.vmServer, this.adviceServer]) {
      server?.close();
      server?.closeAllConnections();
    }
    rmSync(this.temporary, { recursive: true, force: true });
  }
}

/** Sends an HTTP call; status 0 stands for a call without an answer. */
export function call(
  node,
  method,
  path,
  { port, host, body, deadlineMs = 3_000 },
) {
  return new Promise((resolve) => {
    const outgoing = httpRequest({
      host: node.host,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...(host === undefined ? {} : { host }),
        "content-type": "application/json",
        "cowslipferry-deadline-milliseconds": String(deadlineMs),
      },
    }, async (incoming) => {
      const text = await readAll(incoming);
      resolve({ status: incoming.statusCode, text });
    });
    outgoing.setTimeout(deadlineMs, () => outgoing.destroy());
    outgoing.on("error", () => resolve({ status: 0, text: "" }));
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/** Returns a new job ID. */
export function newId() {
  return Array.from(
    { length: 16 },
    () => Math.floor(Math.random() * 16).toString(16),
  ).join("");
}

/**
 * Runs a case: `play` returns the broken rules, which are none if the rules
 * held. Exits with 1 if a rule was broken, 0 if not, 2 if the case couldn't run.
 */
export async function runCase(moduleUrl, { bounds, limitMs = 110_000 }, play) {
  const folder = dirname(fileURLToPath(moduleUrl));
  const deployment = new Deployment(folder, bounds);
  let code = 2;
  const finish = async (text) => {
    deployment.note(text);
    console.log(text);
    await deployment.close();
    process.exit(code);
  };
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => finish(`stopped by ${signal}`));
  }
  setTimeout(() => finish("the case took too long"), limitMs);
  try {
    const broken = await play(deployment);
    code = broken.length > 0 ? 1 : 0;
    const shown = broken.slice(0, 3).join("; ");
    await finish(
      broken.length > 0
        ? `RULE BROKEN ${broken.length} times: ${shown}`
        : "rules held",
    );
  } catch (error) {
    await finish(`the case couldn't run: ${error.stack}`);
  }
}

/** Adds `count` minions of a service, each on a machine of its own, as in ksw-sched: 32 cores, 64 GB, 4 a rack. */
export async function addMinions(deployment, service, count) {
  const minions = [];
  for (let index = 1; index <= count; index++) {
    const number = String(index).padStart(2, "0");
    const machine = `machine-${service}-${number}`;
    const id = `minion-${service}-${number}`;
    const rack = `r${Math.floor((index - 1) / 4)}`;
    const zone = "khomas-a";
    deployment.addMachine({
      machine,
      pool: service,
      zone,
      labels: ["a", rack],
      capacity: { cpu: 32_000, "mem-mb": 65_536, gpu: 0 },
      id,
    });
    minions.push(
      await deployment.fleet.add({
        id,
        machine,
        service,
        rack,
        zone,
        cpu: 32_000,
        memoryMb: 65_536,
      }),
    );
  }
  return minions;
}

/** Adds `count` machines of a spare pool, which are off. */
export function addSpareMachines(deployment, pool, count) {
  deployment.sparePools.add(pool);
  for (let index = 1; index <= count; index++) {
    deployment.addMachine({
      machine: `machine-${pool}-${String(index).padStart(2, "0")}`,
      pool,
      zone: "khomas-a",
      labels: ["a", `spare-${Math.floor((index - 1) / 4)}`],
      capacity: { cpu: 32_000, "mem-mb": 65_536, gpu: 0 },
      id: "",
    });
  }
}

/** Crashes a minion for a time, after which it starts again under its ID and address. */
export function crashMinion(deployment, minion, downMs) {
  const machine = deployment.machines.get(minion.machine);
  minion.crash();
  machine.state = "down";
  setTimeout(async () => {
    if (deployment.closed) return;
    await minion.start();
    machine.state = "up";
  }, downMs);
}
