import { NO_ANSWER, sleep, startJsonServer } from "./http.mjs";

/** Longest lease that a minion grants (`max-hold-ms`), in ms. */
const MAXIMUM_HOLD_MS = 10_000;
/** Interval of a minion's reports to the store (`heartbeat-interval-ms`), in ms. */
const HEARTBEAT_MS = 1_500;
/** Time that a stop takes, in ms; at most `stop-timeout-ms`. */
const STOP_MS = 50;

/**
 * Minions that are up, by id. A call that is carried out late reaches the minion that
 * has the id by then.
 */
const livesById = new Map();

/**
 * Starts a stand-in of a minion, as PROTOCOL.md describes it. `behave(task, run)`
 * returns `{ startupMs, ms, how }`: after `startupMs`, the task is at work (percent
 * 100 if it lasts), and after `ms`, it ends as `how`; without `ms`, it runs until it
 * is stopped. `note(event, fields)` records starts and ends. `delayOrder(path)` may
 * return a time in ms: the order gets no answer and is carried out after that time.
 */
export async function startMinion(
  {
    store,
    host,
    id,
    machine,
    service,
    capacity,
    labels,
    behave,
    note,
    delayOrder,
  },
) {
  const born = Date.now();
  const bornAtMs = performance.now();
  const clockMs = () => Math.floor(performance.now() - bornAtMs);
  const running = new Map();
  /** Highest run of each task that was stopped or has ended here. */
  const overRuns = new Map();
  const waiters = new Set();
  let finished = [];
  let lastEnd = 0;
  let fence = 0;
  let leaseEndMs = 0;
  let leaseTimer;
  let sequence = 0;
  let hasCrashed = false;

  function closeRun(task, run) {
    overRuns.set(task, Math.max(overRuns.get(task) ?? 0, run));
  }

  function end(task, how) {
    const entry = running.get(task);
    if (entry === undefined) return;
    clearTimeout(entry.timer);
    running.delete(task);
    closeRun(task, entry.run);
    finished.push([++lastEnd, task, entry.run, how, ""]);
    note("end", { minion: id, task, run: entry.run, how });
    for (const waiter of [...waiters]) waiter();
  }

  function extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    leaseEndMs = Math.max(
      leaseEndMs,
      Math.min(deadlineMs, clockMs() + MAXIMUM_HOLD_MS),
    );
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(() => {
      for (const task of [...running.keys()]) end(task, "lapsed");
    }, Math.max(0, leaseEndMs - clockMs()));
  }

  const refuse = (reason) => ({
    status: 409,
    body: { "clock-ms": clockMs(), born, reason },
  });
  const done = () => ({ status: 200, body: { "clock-ms": clockMs(), born } });

  function start(body) {
    const { task, run } = body;
    if (body["deadline-ms"] <= clockMs()) return refuse("late");
    extendLease(body["deadline-ms"]);
    const current = running.get(task);
    if (current?.run === run) return done();
    if (run <= (overRuns.get(task) ?? 0) || current?.run > run) {
      return refuse("old");
    }
    note("start", {
      minion: id,
      task,
      run,
      fence,
      specification: body.specification,
    });
    const { startupMs, ms, how } = behave(task, run);
    const entry = {
      run,
      startedAtMs: clockMs(),
      startupMs,
      ms,
      timer: undefined,
    };
    running.set(task, entry);
    if (ms !== undefined) entry.timer = setTimeout(() => end(task, how), ms);
    return done();
  }

  function stop({ task, run }) {
    closeRun(task, run);
    if (running.get(task)?.run === run) {
      setTimeout(() => {
        if (running.get(task)?.run === run) end(task, "stopped");
      }, STOP_MS);
    }
    return done();
  }

  function describeRun([task, { run, startedAtMs, startupMs, ms }]) {
    const ageMs = clockMs() - startedAtMs;
    const percent = startupMs === undefined
      ? Math.min(99, Math.floor(100 * ageMs / ms))
      : ageMs >= startupMs
      ? 100
      : 0;
    return [task, run, "", percent, 0];
  }

  async function hold(body) {
    finished = finished.filter(([number, task, run, how]) => {
      if (number > (body.acknowledged ?? 0)) return true;
      note("acknowledged", { minion: id, task, run, how });
      return false;
    });
    extendLease(body["deadline-ms"]);
    const waitMs = Math.min(2_000, body["wait-ms"] ?? 0);
    if (finished.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        waiters.add(wake);
      });
    }
    return {
      status: 200,
      body: {
        "clock-ms": clockMs(),
        born,
        running: [...running].map(describeRun),
        finished: finished.slice(0, 500),
      },
    };
  }

  async function carryOut({ path, headers, body }) {
    if (hasCrashed) return NO_ANSWER;
    const intended = headers["cowslipferry-expected-instance"];
    if (intended !== undefined && intended !== id) return { status: 421 };
    const token = body["fencing-token"] ?? 0;
    if (token < fence) return refuse("fence");
    fence = token;
    switch (path) {
      case "/api/run-start":
        return start(body);
      case "/api/run-stop":
        return stop(body);
      case "/api/hold":
        return await hold(body);
      case "/api/pace":
        return done();
      default:
        return { status: 404 };
    }
  }
  livesById.set(id, carryOut);

  const server = await startJsonServer(host, async (call) => {
    await sleep(1);
    const isOrder = call.path === "/api/run-start" ||
      call.path === "/api/run-stop";
    const lateMs = isOrder ? delayOrder?.(call.path) : undefined;
    if (lateMs === undefined) return await carryOut(call);
    setTimeout(() => void livesById.get(id)?.(call), lateMs);
    return NO_ANSWER;
  });

  const report = () =>
    store.write(`servers/${id}`, {
      service,
      address: server.address,
      zone: "zone-a",
      version: "1",
      slots: 8,
      state: "ready",
      sequence: ++sequence,
      machine,
      capacity,
      labels,
      born,
    });
  report();
  const reports = setInterval(report, HEARTBEAT_MS);

  function close() {
    clearInterval(reports);
    clearTimeout(leaseTimer);
    for (const { timer } of running.values()) clearTimeout(timer);
    server.close();
  }

  return {
    id,
    machine,
    labels,
    capacity,
    service,
    /** Tasks that run now. */
    tasks: () => [...running.keys()],
    /**
     * Ends at once, with all that runs. Unless the next minion on the machine keeps
     * the id, the entry in the store goes after three intervals of silence.
     */
    crash(keepsId) {
      hasCrashed = true;
      livesById.delete(id);
      close();
      for (const [task, { run }] of running) {
        note("lost", { minion: id, task, run });
      }
      running.clear();
      if (keepsId) return;
      setTimeout(() => store.remove(`servers/${id}`), 3 * HEARTBEAT_MS).unref();
    },
    close,
  };
}
