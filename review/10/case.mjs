// Machines are added, and a wave asks for their upkeep. Does each begin its upkeep
// before the wave is said to be completed?
import { pause, runCase } from "../lib-2/deployment.mjs";

const MINIONS = 4;
const ADDED = 2;
const WAVE_AFTER_MS = 100;
const DEADLINE_S = 30;
const WATCH_MS = 20_000;

runCase(
  new URL(".", import.meta.url).pathname,
  async (deployment, trouble) => {
    const { log, fleet, cloud, store } = deployment;
    await deployment.start({
      entryCount: 3,
      minions: [
        { service: "quoting", count: MINIONS },
        { service: "cutshop", count: MINIONS },
      ],
      queues: [
        { name: "quotes", service: "quoting" },
        { name: "cuts", service: "cutshop" },
      ],
    });
    // A moment that no part of the system knows.
    await pause(3_000 + Math.random() * 2_500);
    let machines = ["machine-0", "machine-1"];
    if (trouble) {
      machines = [];
      for (let index = 0; index < ADDED; index++) {
        const n = 2 * MINIONS + index;
        const machine = `machine-${n}`;
        const kind = { machine, zone: "khomas-a", rack: "r9", cpu: 32_000 };
        const place = await fleet.add({
          id: `minion-${n}`,
          service: "quoting",
          ...kind,
        });
        cloud.add({ pool: "quoting", place, ...kind });
        machines.push(machine);
      }
      log(`platform: ${machines.join(" and ")} are added, up and in the list`);
      await pause(WAVE_AFTER_MS);
    }
    store.write("op/wave/1", {
      wave: 1,
      machines,
      "deadline-s": DEADLINE_S,
      "upper-bound": 1,
    });
    log(`wave 1 is due: ${machines.join(", ")}, in ${DEADLINE_S} s`);
    const begun = () =>
      new Set(
        cloud.done.filter(({ kind }) => kind === "upkeep").map(({ machine }) =>
          machine
        ),
      );
    const broken = [];
    const isCompleted = await deployment.until(
      "the wave is completed",
      DEADLINE_S * 1_000,
      () => store.read("status/wave/1")?.state === "completed",
    );
    if (isCompleted) {
      const missing = machines.filter((machine) => !begun().has(machine));
      log(
        `the wave is said to be completed; upkeep begun: ${
          [...begun()].join(", ") || "none"
        }`,
      );
      if (missing.length > 0) {
        broken.push(
          `MIXED: wave 1 is said to be completed, and ${
            missing.join(" and ")
          }, which stay, haven't begun their upkeep`,
        );
        await pause(WATCH_MS);
        log(
          `${WATCH_MS / 1_000} s later, upkeep begun: ${
            [...begun()].join(", ") || "none"
          }`,
        );
      }
    }
    return broken;
  },
);
