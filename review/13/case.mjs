// A start that got no answer, and whose repetition was answered, reaches the next life of its minion.
import { HAS_TROUBLE, startDeployment } from "../lib-3/deployment.mjs";
import { sleep } from "../lib-3/http.mjs";
import { runScript } from "../lib-3/script.mjs";

const ENTRIES = 3;
const MINIONS = 7;
const JOB_INTERVAL_MS = 80;
/** Part of the orders that get no answer and are carried out late. */
const LATE_SHARE = 0.5;
/** Time after which a late order is carried out, in ms. */
const LATE_MS = [2_000, 12_000];
/** Length of the time in which orders may be late, in ms. */
const LATE_LENGTH_MS = 5_500;
/** Time after the first late order at which a minion crashes, again and again, in ms. */
const CRASHES_MS = [
  3_000,
  4_700,
  6_400,
  8_100,
  9_800,
  11_500,
  13_200,
  14_900,
];
const DOWN_MS = [500, 1_500];
const CYCLES = 3;
const CYCLE_MS = 22_000;

const between = ([low, high]) => low + Math.random() * (high - low);

await runScript(import.meta.url, async (log, cleanups) => {
  let isLate = false;
  /** Minions with a run of a task, by task. */
  const runs = new Map();
  /** Tasks with an end `done` that was acknowledged. */
  const done = new Set();
  const breaks = [];

  function follow({ event, atMs, minion, task, run, how }) {
    if (event === "start") {
      const others = runs.get(task) ?? new Map();
      runs.set(task, others);
      for (const [other, otherRun] of others) {
        breaks.push(
          `TWICE: ${task} run ${run} started on ${minion} at ${atMs} ms ` +
            `while run ${otherRun} is at work on ${other}`,
        );
      }
      if (done.has(task)) {
        breaks.push(
          `TWICE: ${task} run ${run} started on ${minion} at ${atMs} ms ` +
            `after an end done that was acknowledged`,
        );
      }
      others.set(minion, run);
    } else if (event === "end" || event === "lost") {
      runs.get(task)?.delete(minion);
    } else if (event === "acknowledged" && how === "done") done.add(task);
  }

  const deployment = await startDeployment({
    entries: ENTRIES,
    minions: Array.from({ length: MINIONS }, (_, index) => ({
      machine: `machine-${index}`,
      service: "desk",
      capacity: { cpu: 8_000, "mem-mb": 65_536 },
      labels: ["a", `r1-${index % 2}`],
    })),
    config: {
      version: 3,
      routes: [{
        name: "quote",
        host: "quote.example",
        prefix: "/quote/",
        service: "desk",
        "max-attempts": 3,
        stretch: 2,
        "target-duration-ms": 600,
      }],
      services: [{ name: "desk" }],
      limits: { "max-body-bytes": 262_144 },
    },
    behave: () => ({ ms: between([200, 800]), how: "done" }),
    delayOrder: () =>
      isLate && Math.random() < LATE_SHARE ? between(LATE_MS) : undefined,
    log(line) {
      log(line);
      follow(JSON.parse(line));
    },
  });
  cleanups.push(() => deployment.close());
  if (!await deployment.waitUntilReady(15_000)) throw new Error("not ready");
  await sleep(3_000);

  async function submit(index) {
    const id = `00000000000${String(index).padStart(5, "0")}`;
    try {
      const { status } = await deployment.send(index % ENTRIES, {
        method: "POST",
        path: `/quote/${id}`,
        headers: { host: "quote.example" },
        body: {
          specification: `quote ${index}`,
          steps: [{ count: 5, cpu: 1_000, "mem-mb": 64, "estimated-ms": 500 }],
        },
      });
      deployment.note("answer", { id, status });
    } catch (error) {
      deployment.note("answer", { id, status: error.message });
    }
  }

  async function disturb() {
    isLate = true;
    setTimeout(() => isLate = false, LATE_LENGTH_MS);
    let waitedMs = 0;
    for (const atMs of CRASHES_MS) {
      await sleep(atMs - waitedMs);
      waitedMs = atMs;
      // At most one of the minions is down at a time.
      const index = Math.floor(Math.random() * MINIONS);
      deployment.crashMinion(index, between(DOWN_MS), true);
    }
  }

  const startMs = deployment.sinceStartMs();
  let cycles = 0;
  for (let index = 0;; index++) {
    const nowMs = deployment.sinceStartMs() - startMs;
    if (nowMs > CYCLES * CYCLE_MS + 4_000) break;
    if (HAS_TROUBLE && cycles < CYCLES && nowMs >= cycles * CYCLE_MS) {
      cycles++;
      void disturb();
    }
    void submit(index);
    await sleep(JOB_INTERVAL_MS);
  }
  await sleep(8_000);
  return breaks;
});
