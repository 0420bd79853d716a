// Stand-in of the minions. A `Place` is an address; the process behind it is a
// `Life`, which knows nothing of earlier ones. The specification of a task is
// JSON: `{ "ms": N, "how": "done" }` is how long it works and how it ends.
import { serveJson } from "./http.mjs";

const MAXIMUM_HOLD_MS = 10_000;
const STOP_MS = 20;
const HEARTBEAT_MS = 1_500;
const ENDS_PER_REPORT = 500;

class Life {
  fence = 0;
  leaseEndMs = 0;
  running = new Map();
  ended = [];
  highest = new Map();
  waiters = new Set();
  lastNumber = 0;
  alive = true;

  constructor(place, born) {
    this.place = place;
    this.born = born;
    this.startedAtMs = performance.now();
    this.timer = setInterval(() => this.#checkLease(), 10);
  }
  clockMs() {
    return Math.floor(performance.now() - this.startedAtMs);
  }
  #checkLease() {
    if (this.running.size > 0 && this.clockMs() > this.leaseEndMs) {
      for (const task of [...this.running.keys()]) this.end(task, "lapsed");
    }
  }
  #wake() {
    for (const wake of [...this.waiters]) wake();
  }
  end(task, how) {
    const entry = this.running.get(task);
    if (entry === undefined || !this.alive) return;
    clearTimeout(entry.timer);
    this.running.delete(task);
    this.highest.set(task, Math.max(this.highest.get(task) ?? 0, entry.run));
    this.ended.push([++this.lastNumber, task, entry.run, how, ""]);
    this.place.fleet.onEnd(this, task, entry.run, how);
    this.#wake();
  }
  kill() {
    this.alive = false;
    clearInterval(this.timer);
    for (const [task, entry] of this.running) {
      clearTimeout(entry.timer);
      this.place.fleet.onEnd(this, task, entry.run, "crashed");
    }
    this.running.clear();
    this.#wake();
  }

  #reply(status, fields = {}) {
    return {
      status,
      body: { "clock-ms": this.clockMs(), born: this.born, ...fields },
    };
  }
  #takeLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    this.leaseEndMs = Math.max(
      this.leaseEndMs,
      Math.min(deadlineMs, this.clockMs() + MAXIMUM_HOLD_MS),
    );
  }
  async handle(path, body, signal) {
    const token = body["fencing-token"] ?? 0;
    if (token < this.fence) return this.#reply(409, { reason: "fence" });
    this.fence = token;
    switch (path) {
      case "/api/run-start":
        return this.#start(body);
      case "/api/run-stop": {
        const { task, run } = body;
        this.highest.set(task, Math.max(this.highest.get(task) ?? 0, run));
        const entry = this.running.get(task);
        if (entry !== undefined && entry.run <= run) {
          setTimeout(() => this.end(task, "stopped"), STOP_MS);
        }
        return this.#reply(200);
      }
      case "/api/pace":
        return this.#reply(200);
      case "/api/hold":
        return await this.#hold(body, signal);
      default:
        return { status: 404 };
    }
  }
  #start({ task, run, specification, "deadline-ms": deadlineMs }) {
    this.#takeLease(deadlineMs);
    const current = this.running.get(task);
    if (current?.run === run) return this.#reply(200);
    if (
      run <= (this.highest.get(task) ?? 0) ||
      (current !== undefined && run < current.run)
    ) return this.#reply(409, { reason: "old" });
    if (deadlineMs < this.clockMs()) {
      return this.#reply(409, { reason: "late" });
    }
    const { ms, how = "done" } = JSON.parse(specification);
    this.running.set(task, {
      run,
      ms,
      atMs: performance.now(),
      timer: setTimeout(() => this.end(task, how), ms),
    });
    this.place.fleet.onStart(this, task, run);
    return this.#reply(200);
  }
  async #hold(body, signal) {
    this.#takeLease(body["deadline-ms"]);
    this.ended = this.ended.filter(([number]) => number > body.acknowledged);
    for (const end of this.place.fleet.listed(this, body.acknowledged)) {
      this.place.fleet.onAcknowledged(this, end);
    }
    const endMs = performance.now() + (body["wait-ms"] ?? 0);
    while (this.alive && this.ended.length === 0 && !signal.aborted) {
      const leftMs = endMs - performance.now();
      if (leftMs <= 0) break;
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          signal.removeEventListener("abort", wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiters.add(wake);
        signal.addEventListener("abort", wake, { once: true });
      });
    }
    if (!this.alive) return undefined;
    return this.#reply(200, {
      running: [...this.running].map(([task, { run, ms, atMs }]) => [
        task,
        run,
        "",
        Math.min(99, Math.floor((performance.now() - atMs) / ms * 100)),
        0,
      ]),
      finished: this.ended.slice(0, ENDS_PER_REPORT),
    });
  }
}

/** One minion: its id, machine and address; `life` is undefined while it is down. */
class Place {
  life = undefined;
  sequence = 0;
  /** Decides the fate of a call: a time in ms to hold it back, or undefined to hand it over at once. */
  holdBack = () => undefined;

  constructor(fleet, { id, service, machine, zone, rack, cpu }) {
    Object.assign(this, { fleet, id, service, machine, zone, rack, cpu });
  }
  async open() {
    this.server = await serveJson((call) => this.#receive(call));
    this.address = this.server.address;
  }
  async #receive({ url, headers, body, signal }) {
    const hand = async () => {
      const { life } = this;
      if (life === undefined) return undefined;
      if (headers["cowslipferry-expected-instance"] !== this.id) {
        return { status: 421 };
      }
      return await life.handle(url.pathname, body, signal);
    };
    const heldMs = this.holdBack(url.pathname, body);
    if (heldMs === undefined) return await hand();
    this.fleet.log(
      `${this.id}: ${url.pathname} ${body.task} run ${body.run} is held back for ${heldMs} ms`,
    );
    setTimeout(() => {
      this.fleet.log(
        `${this.id}: ${url.pathname} ${body.task} run ${body.run} is handed over`,
      );
      void hand();
    }, heldMs);
    return undefined;
  }
  start() {
    this.life = new Life(this, Date.now());
    this.sequence = 0;
    this.fleet.log(`${this.id} starts`);
    this.#register();
    this.beat = setInterval(() => this.#register(), HEARTBEAT_MS);
  }
  #register() {
    this.fleet.store.write(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "1",
      slots: 8,
      state: "ready",
      "cold-remaining-ms": 0,
      sequence: ++this.sequence,
      born: this.life.born,
      machine: this.machine,
      capacity: { cpu: this.cpu, "mem-mb": 65_536, gpu: 0 },
      labels: ["a", this.rack],
    });
  }
  /** Ends the process; its registration goes after three heartbeats of silence. */
  crash() {
    clearInterval(this.beat);
    const { life } = this;
    this.life = undefined;
    this.fleet.log(`${this.id} crashes`);
    life?.kill();
    clearTimeout(this.expiry);
    this.expiry = setTimeout(() => {
      if (this.life === undefined) {
        this.fleet.store.write(`servers/${this.id}`, undefined);
      }
    }, 3 * HEARTBEAT_MS);
  }
  close() {
    clearInterval(this.beat);
    clearTimeout(this.expiry);
    this.life?.kill();
    this.server.close();
  }
}

export class Fleet {
  places = [];
  /** Starts and ends as the minions saw them. */
  starts = [];
  ends = [];

  constructor(store, log) {
    this.store = store;
    this.log = log;
  }
  async add(options) {
    const place = new Place(this, options);
    await place.open();
    this.places.push(place);
    place.start();
    return place;
  }
  onStart(life, task, run) {
    const start = {
      task,
      run,
      minion: life.place.id,
      life,
      atMs: performance.now(),
    };
    this.starts.push(start);
  }
  onEnd(life, task, run, how) {
    this.ends.push({
      task,
      run,
      how,
      life,
      number: life.lastNumber,
      minion: life.place.id,
      atMs: performance.now(),
      acknowledged: false,
    });
  }
  /** Ends of a life up to a number that aren't known to be acknowledged. */
  listed(life, number) {
    if (!(number > 0)) return [];
    const from = life.acknowledgedUpTo ?? 0;
    if (number <= from) return [];
    life.acknowledgedUpTo = number;
    return this.ends.filter((end) =>
      end.life === life && end.how !== "crashed" && end.number > from &&
      end.number <= number
    );
  }
  onAcknowledged(_life, end) {
    end.acknowledged = true;
  }
  close() {
    for (const place of this.places) place.close();
  }
}
