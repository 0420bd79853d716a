// Stand-ins of minions (PROTOCOL.md, "Running tasks" and "Service discovery").
// A minion carries out what it is told, keeps leases, fencing tokens and the
// list of ends, and notes what it has run.
import { createServer } from "node:http";
import { listenOn, readAll, send } from "./store.mjs";

const HEARTBEAT_MS = 1_500;
const STARTUP_MS = 300;
const STOP_MS = 20;
const GANG_TIMEOUT_MS = 3_000;
const MAX_HOLD_MS = 10_000;

export class Minion {
  alive = false;
  state = "ready";

  /** `jobs` maps job IDs to the submitted bodies; `note` writes a line of the record. */
  constructor(fleet, { id, machine, service, rack, zone, cpu, memoryMb }) {
    Object.assign(this, { fleet, id, machine, service, rack, zone });
    this.capacity = { cpu, "mem-mb": memoryMb, gpu: 0 };
  }

  async start() {
    this.server = createServer((request, response) =>
      this.onCall(request, response)
    );
    const port = this.address === undefined
      ? 0
      : Number(this.address.split(":")[1]);
    this.address = await listenOn(this.server, "127.0.0.1", port);
    this.born = Date.now();
    this.startedAtMs = performance.now();
    this.fence = 0;
    this.leaseEndMs = 0;
    this.running = new Map();
    this.highest = new Map();
    this.finished = [];
    this.nextEnd = 1;
    this.waiters = new Set();
    this.sequence = 1;
    this.state = "ready";
    this.alive = true;
    this.ticker = setInterval(() => this.tick(), 10);
    this.heart = setInterval(() => this.beat(), HEARTBEAT_MS);
    this.beat();
    this.fleet.note(`minion ${this.id} is up`, { born: this.born });
  }

  /** Ends the process at once; nothing of it remains. */
  crash() {
    if (!this.alive) return;
    this.alive = false;
    clearInterval(this.ticker);
    clearInterval(this.heart);
    this.fleet.note(`minion ${this.id} crashes`, {
      running: [...this.running.keys()],
    });
    for (const { task, run, leave } of this.running.values()) {
      leave("crash");
      this.fleet.onOver(this, task, run, "crash");
    }
    this.running.clear();
    for (const waiter of [...this.waiters]) waiter();
    this.server.close();
    this.server.closeAllConnections();
    setTimeout(() => {
      if (!this.alive) this.fleet.store.remove(`servers/${this.id}`);
    }, 3 * HEARTBEAT_MS).unref();
  }

  beat() {
    if (!this.alive) return;
    this.fleet.store.write(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "1",
      slots: 8,
      state: this.state,
      "cold-remaining-ms": 0,
      sequence: this.sequence++,
      born: this.born,
      machine: this.machine,
      capacity: this.capacity,
      labels: ["a", this.rack],
    });
  }

  clockMs() {
    return Math.floor(performance.now() - this.startedAtMs) + 1_000;
  }

  end(task, how) {
    const run = this.running.get(task);
    if (run === undefined) return;
    this.running.delete(task);
    run.leave(how);
    const saved = run.saved;
    this.finished.push([this.nextEnd++, task, run.run, how, saved]);
    this.fleet.onOver(this, task, run.run, how);
    for (const waiter of [...this.waiters]) waiter();
  }

  tick() {
    const lapsed = this.clockMs() > this.leaseEndMs;
    for (const run of [...this.running.values()]) {
      if (lapsed) this.end(run.task, "lapsed");
      else if (run.gang !== undefined) this.tickGang(run);
      else if (run.workMs !== undefined && run.workMs <= run.workedMs()) {
        this.end(run.task, "done");
      }
    }
  }

  /** Members of a gang work once all of one run are present; they end together. */
  tickGang(run) {
    const { gang } = run;
    if (gang.over !== undefined) return this.end(run.task, gang.over);
    if (gang.present === gang.size) {
      const workedMs = performance.now() - gang.completeMs;
      if (run.workMs !== undefined && workedMs >= run.workMs) {
        gang.over = "done";
        this.end(run.task, "done");
      }
    } else if (run.workedMs() > GANG_TIMEOUT_MS) this.end(run.task, "alone");
  }

  extend(body) {
    const wanted = body["deadline-ms"] ?? 0;
    this.leaseEndMs = Math.max(
      this.leaseEndMs,
      Math.min(wanted, this.clockMs() + MAX_HOLD_MS),
    );
  }

  /** Returns the reason for a refusal; undefined if the run starts. */
  begin(body) {
    const { task, run } = body;
    const known = this.running.get(task);
    if (known?.run === run) return undefined;
    if (run <= (this.highest.get(task) ?? 0)) return "old";
    if ((body["deadline-ms"] ?? 0) <= this.clockMs()) return "late";
    const refusal = this.fleet.refuse?.(this, body);
    if (refusal !== undefined) return refusal;
    if (known !== undefined) this.end(task, "stopped");
    this.highest.set(task, run);
    const startedMs = performance.now();
    const step = this.fleet.stepOf(task);
    const entry = {
      task,
      run,
      saved: body.checkpoint ?? "",
      workMs: step?.["long-running"] ? undefined : step?.["estimated-ms"] ?? 0,
      workedMs: () => performance.now() - startedMs,
      ...this.fleet.joinGang(step, task, run),
    };
    this.running.set(task, entry);
    this.fleet.onStart(this, body);
    return undefined;
  }

  percentOf({ workMs, workedMs }) {
    if (workMs === undefined) return workedMs() >= STARTUP_MS ? 100 : 0;
    return Math.min(99, Math.floor(100 * workedMs() / Math.max(1, workMs)));
  }

  async onCall(request, response) {
    const body = JSON.parse(await readAll(request) || "{}");
    if (!this.alive) return request.socket.destroy();
    const expected = request.headers["cowslipferry-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      return send(response, 421);
    }
    if (await this.fleet.before?.(this, request.url, body) === "drop") return;
    const answer = (status, more) =>
      send(response, status, {
        "clock-ms": this.clockMs(),
        born: this.born,
        ...more,
      });
    const token = body["fencing-token"] ?? 0;
    if (token < this.fence) return answer(409, { reason: "fence" });
    this.fence = token;
    switch (request.url) {
      case "/api/run-start": {
        const reason = this.begin(body);
        if (reason !== "late" && reason !== "ticket") this.extend(body);
        if (reason !== undefined && this.fleet.countRefusal()) {
          this.fleet.note(`start refused by ${this.id}`, {
            task: body.task,
            run: body.run,
            reason,
            refusalsSoFar: this.fleet.refusals,
          });
        }
        return reason === undefined ? answer(200) : answer(409, { reason });
      }
      case "/api/run-stop": {
        const { task, run } = body;
        this.highest.set(task, Math.max(this.highest.get(task) ?? 0, run));
        if (this.running.get(task)?.run === run) {
          setTimeout(() => this.alive && this.end(task, "stopped"), STOP_MS);
        }
        return answer(200);
      }
      case "/api/pace":
        return answer(200);
      case "/api/hold": {
        this.extend(body);
        for (const [number, task, run, how] of this.finished) {
          if (number <= body.acknowledged) {
            this.fleet.onAcknowledged(this, task, run, how);
          }
        }
        this.finished = this.finished.filter(([number]) =>
          number > body.acknowledged
        );
        const waitMs = body["wait-ms"] ?? 0;
        if (this.finished.length === 0 && waitMs > 0) {
          await this.waitForEnd(waitMs);
        }
        if (!this.alive) return;
        return answer(200, {
          running: [...this.running.values()].map((run) => [
            run.task,
            run.run,
            run.saved,
            this.percentOf(run),
            0,
          ]),
          finished: this.finished.slice(0, 500),
        });
      }
    }
    send(response, 404);
  }

  waitForEnd(waitMs) {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.waiters.add(done);
    });
  }
}

/** All minions of a case, with what they have run. */
export class Fleet {
  minions = new Map();
  /** Submitted bodies by job ID. */
  jobs = new Map();
  starts = [];
  overs = [];
  acknowledged = [];
  violations = [];
  refusals = 0;
  /** Gangs by step and run. */
  gangs = new Map();

  constructor(store, note) {
    this.store = store;
    this.note = note;
  }

  async add(options) {
    const minion = new Minion(this, options);
    this.minions.set(minion.id, minion);
    await minion.start();
    return minion;
  }

  /** Counts a refused start; returns whether it gets a line in the record. */
  countRefusal() {
    this.refusals++;
    return this.refusals <= 40 || this.refusals % 500 === 0;
  }

  stepOf(task) {
    const [jobId, , step] = task.split(".");
    return this.jobs.get(jobId)?.steps[Number(step)];
  }

  joinGang(step, task, run) {
    if (!step?.gang) return { gang: undefined, leave() {} };
    const key = `${task.split(".").slice(0, 3).join(".")}/${run}`;
    const gang = this.gangs.get(key) ??
      { size: step.count, present: 0, completeMs: 0, over: undefined };
    this.gangs.set(key, gang);
    gang.present++;
    if (gang.present === gang.size) gang.completeMs = performance.now();
    return {
      gang,
      leave(how) {
        const complete = gang.present === gang.size;
        if (how !== "done" && gang.over === undefined) {
          gang.present--;
          if (complete) gang.over = "broken";
        }
      },
    };
  }

  onStart(minion, body) {
    const { task, run } = body;
    this.note("start", {
      minion: minion.id,
      task,
      run,
      token: body["fencing-token"],
    });
    for (const other of this.minions.values()) {
      if (other !== minion && other.alive && other.running.has(task)) {
        this.violate(
          "TWICE",
          `${task} run ${run} starts on ${minion.id} while it runs on ${other.id}`,
        );
      }
    }
    const taken = this.acknowledged.find((end) =>
      end.task === task && end.how === "done"
    );
    if (taken !== undefined) {
      this.violate(
        "TWICE",
        `${task} run ${run} starts on ${minion.id} after run ${taken.run} has ended done and was acknowledged`,
      );
    }
    this.starts.push({
      atMs: performance.now(),
      minion: minion.id,
      task,
      run,
    });
  }

  onOver(minion, task, run, how) {
    this.note("end", { minion: minion.id, task, run, how });
    this.overs.push({
      atMs: performance.now(),
      minion: minion.id,
      task,
      run,
      how,
    });
  }

  onAcknowledged(minion, task, run, how) {
    this.acknowledged.push({ minion: minion.id, task, run, how });
  }

  violate(rule, text) {
    this.violations.push(`${rule}: ${text}`);
    this.note(`RULE BROKEN, ${rule}`, { text });
  }

  /** Returns the minions that run a task now. */
  whereIs(task) {
    return [...this.minions.values()].filter((minion) =>
      minion.alive && minion.running.has(task)
    );
  }

  close() {
    for (const minion of this.minions.values()) {
      if (!minion.alive) continue;
      minion.alive = false;
      clearInterval(minion.ticker);
      clearInterval(minion.heart);
      minion.server.close();
      minion.server.closeAllConnections();
    }
  }
}
