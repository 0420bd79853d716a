// One large job is accepted; afterwards, are other accepted jobs still run?
// With VARIANT=failing, it is a job of lasting tasks that fail soon after each start.
import { pause, runCase } from "../lib-2/deployment.mjs";
import { findIdleJobs } from "../lib-2/idle_jobs.mjs";

const COUNT = 12_000;
const LASTING_COUNT = 400;
const isFailing = process.env.VARIANT === "failing";
const SMALL_JOBS = 6;
const FINISH_S = 14;

const id = (number) => number.toString(16).padStart(16, "0");
const small = () => ({
  specification: JSON.stringify({ ms: 500 }),
  steps: [{ count: 6, cpu: 1_800, "mem-mb": 256, "estimated-ms": 800 }],
});

runCase(new URL(".", import.meta.url).pathname, async (deployment, trouble) => {
  const { log, store } = deployment;
  await deployment.start({
    entryCount: 3,
    minions: [
      { service: "quoting", count: 6 },
      { service: "cutshop", count: 6 },
    ],
    queues: [
      { name: "quotes", service: "quoting" },
      { name: "cuts", service: "cutshop" },
    ],
  });
  const seen = new Set();
  store.onRejected = (status, reason) => {
    if (seen.has(reason)) return;
    seen.add(reason);
    log(`store: a transaction is answered ${status}: ${reason}`);
  };
  const before = await deployment.request("POST", "cuts", id(1), small());
  await pause(3_000);
  log(
    `before: ${before.status}, state ${await deployment.state("cuts", id(1))}`,
  );
  if (trouble) {
    const large = await deployment.request(
      "POST",
      "quotes",
      id(0xa11),
      isFailing
        ? {
          specification: JSON.stringify({ ms: 20, how: "failed" }),
          steps: [{
            count: LASTING_COUNT,
            cpu: 100,
            "long-running": true,
            "may-miss": 1,
            "estimated-ms": 900,
          }],
        }
        : {
          specification: JSON.stringify({ ms: 2_000 }),
          steps: [{ count: COUNT, cpu: 10, "estimated-ms": 2_000 }],
        },
    );
    log(
      `the large job of ${
        isFailing ? LASTING_COUNT : COUNT
      } tasks: ${large.status}`,
    );
    if (large.status !== 200) return [];
    await deployment.until(
      "the store rejects a transaction",
      isFailing ? 85_000 : 2_000,
      () => seen.size > 0,
    );
  }
  const accepted = [];
  for (let number = 0; number < SMALL_JOBS; number++) {
    const job = id(100 + number);
    const reply = await deployment.request("POST", "cuts", job, small(), {
      first: number,
    });
    if (reply.status === 200) accepted.push(job);
    await pause(500);
  }
  log(
    `${accepted.length} small jobs of another queue are accepted; end of the traffic`,
  );
  await pause(FINISH_S * 1_000);
  const broken = await findIdleJobs(deployment, {
    service: "cutshop",
    jobs: accepted,
    tasks: 6,
    cpu: 1_800,
    watchMs: 10_000,
  });
  for (const job of accepted) {
    log(`job ${job}: state ${await deployment.state("cuts", job)}`);
  }
  log(`store transactions by status: ${JSON.stringify(store.txnStatuses)}`);
  const rejected = deployment.logLines("commit failed; retrying").filter((
    line,
  ) => line.includes("rejected"));
  log(
    `log lines "commit failed; retrying" for a rejected change: ${rejected.length}${
      rejected.length ? `, the first: ${rejected[0].slice(0, 240)}` : ""
    }`,
  );
  return broken;
});
