// Machines of the system leave, one after the other, while the store turns one of
// them away. Does the machine that stays become the owner and run accepted jobs?
import { pause, runCase } from "../lib-2/deployment.mjs";
import { findIdleJobs } from "../lib-2/idle_jobs.mjs";

const REFUSED_MS = 9_000;
const GAP_MS = 1_300;
const SMALL_JOBS = 6;
const FINISH_S = 14;
/** Time between two requests of a client for the state of its job, in ms. */
const CLIENT_PAUSE_MS = 5;
const CLIENTS = 8;
/** Limits of a small machine of the site file; with MACHINES=even, of one as in ksw-sched.toml. */
const LIMITS = process.env.MACHINES === "even"
  ? { "cpu-share": 0.675, "link-mbps": 1_000 }
  : { "cpu-share": 0.324, "link-mbps": 10 };

const id = (number) => number.toString(16).padStart(16, "0");
const small = () => ({
  specification: JSON.stringify({ ms: 500 }),
  steps: [{ count: 6, cpu: 1_800, "mem-mb": 256, "estimated-ms": 800 }],
});

runCase(
  new URL(".", import.meta.url).pathname,
  async (deployment, trouble) => {
    const { log, entries, store, fleet } = deployment;
    await deployment.start({
      entryCount: 3,
      minions: [{ service: "cutshop", count: 6 }],
      queues: [{ name: "cuts", service: "cutshop" }],
      limits: LIMITS,
    });
    const first = await deployment.request("POST", "cuts", id(1), {
      specification: JSON.stringify({ ms: 60_000 }),
      steps: [{ count: 6, cpu: 1_800, "mem-mb": 256, "estimated-ms": 60_000 }],
    });
    log(`a job of 60 s is answered ${first.status}`);
    await pause(3_000);
    const owner = deployment.owner();
    const [refused, last] = entries.filter((entry) => entry !== owner);
    log(`the owner is ${owner.name}`);
    // Clients that ask the machine which stays for the state of the job.
    let isAsking = true;
    const asking = Array.from({ length: CLIENTS }, async () => {
      while (isAsking) {
        await deployment.ask(last, "GET", "cuts", id(1));
        await pause(CLIENT_PAUSE_MS);
      }
    });
    if (trouble) {
      refused.refusedByStore = true;
      log(`the store turns ${refused.name} away`);
      await pause(1_000);
    }
    for (const entry of [owner, refused]) {
      entry.wanted = false;
      deployment.kill(entry, "SIGTERM");
      await pause(GAP_MS);
    }
    await pause(REFUSED_MS - 1_000 - 2 * GAP_MS);
    refused.refusedByStore = false;
    log("the store turns nobody away any more");
    await pause(1_000);
    const accepted = [];
    for (let number = 0; number < SMALL_JOBS; number++) {
      const job = id(100 + number);
      const { status } = await deployment.ask(
        last,
        "POST",
        "cuts",
        job,
        small(),
      );
      log(`client: POST cuts/${job} at ${last.name}: ${status || "no answer"}`);
      if (status === 200) accepted.push(job);
      await pause(300);
    }
    isAsking = false;
    await Promise.all(asking);
    log(`${accepted.length} jobs are accepted; end of the traffic`);
    await pause(FINISH_S * 1_000);
    const broken = await findIdleJobs(deployment, {
      service: "cutshop",
      jobs: accepted,
      tasks: 6,
      cpu: 1_800,
      watchMs: 10_000,
    });
    for (const job of [id(1), ...accepted]) {
      const reply = await deployment.ask(last, "GET", "cuts", job);
      log(`job ${job}: ${reply.status} ${reply.body?.state ?? ""}`);
    }
    log(
      `owner's key in the store: ${store.read("ctl/owner")?.entryId ?? "none"}`,
    );
    log(
      `runs that lapsed: ${
        fleet.ends.filter(({ how }) => how === "lapsed").length
      }`,
    );
    return broken;
  },
);
