// A queue with placement advice: after the crash of one minion, the lasting
// tasks that ran there are not started again, though it is back and empty.
import {
  addMinions,
  crashMinion,
  newId,
  runCase,
  sleep,
  trouble,
} from "../lib/deployment.mjs";

const ROUTE = {
  name: "offcut-ledger",
  host: "cutshop.example",
  prefix: "/offcut/",
  service: "cutshop",
  priority: 0,
  "max-attempts": 3,
  stretch: 2.2,
  "target-duration-ms": 1_000,
  "placement-advice": {
    "decision-ms": 20,
    "per-worker-ms": 2,
    "validity-ms": 3_000,
  },
};
/** The queue's policy: only these minions may run its steps, in every life. */
const GOOD = ["minion-cutshop-01", "minion-cutshop-02"];
const DOWN_MS = 4_500;

await runCase(import.meta.url, {}, async (deployment) => {
  const { fleet, store } = deployment;
  /** Tickets hold for a step and one life of a minion. */
  const ticketOf = (step, id) => `${step}/${id}/${fleet.minions.get(id).born}`;
  fleet.refuse = (minion, { task, ticket }) =>
    GOOD.includes(minion.id) &&
      ticket === ticketOf(task.split(".").slice(0, 3).join("."), minion.id)
      ? undefined
      : "ticket";
  deployment.configure({
    version: 1,
    routes: [ROUTE],
    services: [{ name: "cutshop", "rejects-overload": false }],
  });
  const minions = await addMinions(deployment, "cutshop", 6);
  await deployment.start({
    count: 3,
    advice({ step, workers }, answer) {
      const good = workers.filter((id) => GOOD.includes(id))
        .map((id) => [id, ticketOf(step, id)]);
      setTimeout(
        () => answer({ good, "validity-ms": 3_000 }),
        20 + 2 * workers.length,
      );
    },
  });
  await deployment.ready();
  await sleep(4_000);

  const id = newId();
  const step = {
    count: 8,
    cpu: 4_000,
    "mem-mb": 14_000,
    "estimated-ms": 900,
    "long-running": true,
  };
  await deployment.submit(ROUTE, id, {
    specification: "ledger",
    steps: [step],
  });
  const tasks = Array.from({ length: 8 }, (_, index) => `${id}.0.0.${index}`);
  const isRunning = (task) => fleet.whereIs(task).length > 0;
  await deployment.waitFor("all tasks run", () => tasks.every(isRunning));
  await sleep(4_000);

  const crashed = minions[1];
  if (trouble) crashMinion(deployment, crashed, DOWN_MS);
  // The minion is back after 4.5 s; contact-ms (3 s) and the 4 s before the window pass as well.
  await sleep(DOWN_MS + 3_000 + 4_000);
  deployment.note("the minion is back and calm", {
    alive: crashed.alive,
    entry: store.read(`servers/${crashed.id}`)?.state,
  });
  const waiting = new Set(tasks);
  const endMs = performance.now() + 20_000;
  while (performance.now() < endMs && waiting.size > 0) {
    for (const task of waiting) if (isRunning(task)) waiting.delete(task);
    await sleep(50);
  }
  return [...waiting].map((task) =>
    `LOST: ${task} had nothing running for 20 s, with room for 4 such tasks on ${crashed.id}`
  );
});
