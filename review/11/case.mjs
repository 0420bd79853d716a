// Clients that got no success for a job cancel it, are told 410, and the job runs later.
import { BOUNDS, HAS_TROUBLE, startDeployment } from "../lib-3/deployment.mjs";
import { sleep } from "../lib-3/http.mjs";
import { runScript } from "../lib-3/script.mjs";

const JOBS = 60;
/** Time between two submissions, in ms. */
const INTERVAL_MS = 50;
/** Part of the store's writes that get no answer and are done late. */
const LOST_SHARE = 0.35;
/** Length of the disruption, in ms. */
const LOST_MS = 4_500;
/** Longest time that a call of the store is late, in ms. */
const LATE_MS = [1_000, 6_000];
const DEADLINE_MS = 3_000;
const ENTRIES = 3;

await runScript(import.meta.url, async (log, cleanups) => {
  let isLossy = false;
  const starts = [];
  const breaks = [];
  const deployment = await startDeployment({
    entries: ENTRIES,
    minions: [0, 1, 2, 3].map((index) => ({
      machine: `machine-${index}`,
      service: "desk",
      capacity: { cpu: 32_000, "mem-mb": 65_536 },
      labels: ["a", `r1-${index % 2}`],
    })),
    config: {
      version: 3,
      routes: [{
        name: "keep",
        host: "keep.example",
        prefix: "/keep/",
        service: "desk",
        "max-attempts": 3,
        stretch: 2,
        "target-duration-ms": 600,
      }],
      services: [{ name: "desk" }],
      limits: { "max-body-bytes": 262_144 },
    },
    behave: () => ({ startupMs: 300 }),
    storeFaults: {
      onWrite: ({ puts = [] }) =>
        isLossy && Math.random() < LOST_SHARE
          ? {
            lateMs: LATE_MS[0] + Math.random() * (LATE_MS[1] - LATE_MS[0]),
            keys: puts.map(({ key }) => key),
          }
          : undefined,
      onLate: ({ puts = [] }, status) =>
        deployment.note("late write", {
          keys: puts.map(({ key }) => key),
          status,
        }),
    },
    log(line) {
      log(line);
      const { event, ...fields } = JSON.parse(line);
      if (event === "start") starts.push(fields);
    },
  });
  cleanups.push(() => deployment.close());
  if (!await deployment.waitUntilReady(15_000)) throw new Error("not ready");
  await sleep(3_000);

  async function send(index, method, id, body) {
    try {
      const { status } = await deployment.send(index % ENTRIES, {
        method,
        path: `/keep/${id}`,
        headers: {
          host: "keep.example",
          "cowslipferry-deadline-milliseconds": String(DEADLINE_MS),
        },
        body,
        timeoutMs: DEADLINE_MS,
      });
      deployment.note("answer", { method, id, status });
      return status;
    } catch (error) {
      deployment.note("answer", { method, id, status: error.message });
      return undefined;
    }
  }

  /** Submits a job; cancels it at another entry if that isn't answered with success. */
  async function submitOrCancel(index) {
    const id = `00000000000001${String(index).padStart(2, "0")}`;
    const accepted = await send(index, "POST", id, {
      specification: `keep ${index}`,
      steps: [{
        count: 1,
        cpu: 200,
        "mem-mb": 64,
        "estimated-ms": 900,
        "long-running": true,
      }],
    });
    // Rejected jobs never run; a job without an answer may be stored.
    if (accepted === 200 || accepted === 429 || accepted === 503) {
      return undefined;
    }
    for (let attempt = 1; attempt <= 5; attempt++) {
      const status = await send(index + attempt, "DELETE", id);
      if (status === 200 || status === 410) {
        return { id, status, atMs: deployment.sinceStartMs() };
      }
    }
    return undefined;
  }

  if (HAS_TROUBLE) {
    isLossy = true;
    setTimeout(() => isLossy = false, LOST_MS);
  }
  deployment.note("disruption", { begins: HAS_TROUBLE });
  const clients = [];
  for (let index = 0; index < JOBS; index++) {
    clients.push(submitOrCancel(index));
    await sleep(INTERVAL_MS);
  }
  const cancelled = (await Promise.all(clients)).filter(Boolean);
  deployment.note("cancelled", { jobs: cancelled.length });
  // All late calls are over, and the entries have been in touch for long.
  await sleep(20_000);
  for (const { id, status, atMs } of cancelled) {
    for (const start of starts) {
      if (!start.task.startsWith(id) || start.atMs <= atMs + BOUNDS.cancelMs) {
        continue;
      }
      breaks.push(
        `UNASKED: the cancelling of ${id} was acknowledged with ${status} at ` +
          `${atMs} ms, and its task was started at ${start.atMs} ms`,
      );
    }
    for (const minion of deployment.minions) {
      if (!minion.tasks().some((task) => task.startsWith(id))) continue;
      breaks.push(
        `UNASKED: the cancelling of ${id} was acknowledged with ${status} at ` +
          `${atMs} ms, and its task runs at ${deployment.sinceStartMs()} ms`,
      );
    }
  }
  for (const { id } of cancelled) await send(0, "GET", id);
  return breaks;
});
