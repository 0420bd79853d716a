// The store forgets its history while the owner removes the records of jobs
// that ended status_s ago: completed jobs run a second time.
import {
  addMinions,
  newId,
  runCase,
  sleep,
  trouble,
} from "../lib/deployment.mjs";

const ROUTE = {
  name: "quote-calc",
  host: "quoting.example",
  prefix: "/quote/",
  service: "quoting",
  priority: 0,
  "max-attempts": 3,
  stretch: 1.6,
  "target-duration-ms": 1_000,
};
/** The pages have 120 s; 75 s lets the case end within its 120 s. */
const STATUS_S = 75;
/** The owner removes records of ended jobs every 15 s. */
const CLEANUP_S = 15;
const JOBS = 600;

await runCase(
  import.meta.url,
  { bounds: { status_s: STATUS_S }, limitMs: 118_000 },
  async (deployment) => {
    const { fleet, store } = deployment;
    deployment.configure({
      version: 1,
      routes: [ROUTE],
      services: [{ name: "quoting", "rejects-overload": false }],
    });
    await addMinions(deployment, "quoting", 6);
    let ownerMs;
    store.onChange = (puts) => {
      if (puts.some(({ key }) => key === "ctl/owner")) {
        ownerMs ??= deployment.nowMs();
      }
    };
    await deployment.start({ count: 3 });
    await deployment.ready();

    const countJobRecords = () =>
      [...store.items.keys()].filter((key) => key.startsWith("queue/job/"))
        .length;
    const ids = Array.from({ length: JOBS }, newId);
    const step = { count: 1, cpu: 1_800, "mem-mb": 500, "estimated-ms": 200 };
    // One client for each node, so that all jobs end between two cleanups.
    await Promise.all(deployment.nodes.map(async (node, index) => {
      for (const id of ids.filter((_, number) => number % 3 === index)) {
        const job = { specification: id, steps: [step] };
        await deployment.submit(ROUTE, id, job, node);
      }
    }));
    await deployment.waitFor(
      "all jobs are shown as completed",
      async () => {
        for (const id of ids.slice(-3)) {
          if (await deployment.state(ROUTE, id) !== "completed") return false;
        }
        return fleet.overs.length === JOBS;
      },
    );
    const endedMs = deployment.nowMs();
    if (endedMs > ownerMs + CLEANUP_S * 1_000) {
      throw new Error(
        "the jobs took longer than the time between two cleanups",
      );
    }
    const startsBefore = fleet.starts.length;
    deployment.note("all jobs have ended", { endedMs });

    // The removal comes with the first cleanup after status_s.
    const cleanups = Math.ceil(
      (endedMs + STATUS_S * 1_000 - ownerMs) / (CLEANUP_S * 1_000),
    );
    const removalMs = ownerMs + cleanups * CLEANUP_S * 1_000;
    await sleep(removalMs - 6_000 - deployment.nowMs());
    const untilMs = deployment.nowMs() + 12_000;
    deployment.note("the store forgets its history for 12 s", {
      jobRecords: countJobRecords(),
    });
    while (deployment.nowMs() < untilMs) {
      await sleep(200);
      if (trouble) store.compact();
    }
    await sleep(5_000);
    const again = fleet.starts.slice(startsBefore);
    deployment.note("starts after all jobs had ended", { count: again.length });
    return fleet.violations;
  },
);
