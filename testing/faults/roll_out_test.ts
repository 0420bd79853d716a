import { test } from "uvu";
import * as assert from "uvu/assert";
import { CONFIG_KEY } from "../../src/constants.ts";
import type { Deployment, DeploymentOptions } from "../deployment.ts";
import { startTcpRelay } from "../tcp_relay.ts";
import { waitFor } from "../wait.ts";
import { RevisionWatch } from "./revision_watch.ts";
import { applyChange, withDeployment } from "./scenario.ts";

/** Limit of the roll-out time in normal operation; about 20 times the expected time. */
const NORMAL_ROLL_OUT_LIMIT_MS = 2_000;
/** Limit of the roll-out time if an entry is frozen meanwhile, or if the store fails right after accepting the configuration. */
const FAULTY_ROLL_OUT_LIMIT_MS = 5_000;
const ROUNDS = 5;

async function withWatch(
  options: Partial<DeploymentOptions>,
  body: (deployment: Deployment, watch: RevisionWatch) => Promise<void>,
): Promise<void> {
  await withDeployment(options, async (deployment) => {
    const watch = new RevisionWatch(deployment.entries);
    watch.start();
    try {
      await body(deployment, watch);
    } finally {
      await watch.stop();
    }
  });
}

test("a configuration is in force at all entries within 2 s", () =>
  withWatch({}, async (deployment, watch) => {
    const { entries } = deployment;
    const times: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      const { revision, appliedAtMs } = await applyChange(
        deployment,
        3_000 + round,
      );
      const endMs = await watch.waitForRevision(entries, revision);
      times.push(endMs - appliedAtMs);
    }
    console.log(`roll-out ms: ${times.join(" ")}`);
    assert.ok(Math.max(...times) < NORMAL_ROLL_OUT_LIMIT_MS, times.join(" "));
  }));

test("a configuration is in force within 5 s at an entry that was frozen during the roll-out", () =>
  withWatch({}, async (deployment, watch) => {
    const { entries } = deployment;
    const frozen = entries[1]!;
    frozen.process.kill("SIGSTOP");
    const { revision, appliedAtMs } = await applyChange(deployment, 3_000);
    const others = entries.filter((entry) => entry !== frozen);
    await watch.waitForRevision(others, revision);
    const resumedAtMs = Date.now();
    frozen.process.kill("SIGCONT");
    const endMs = await watch.waitForRevision(entries, revision);
    console.log(`roll-out after the freeze: ${endMs - resumedAtMs} ms`);
    assert.ok(endMs - appliedAtMs < FAULTY_ROLL_OUT_LIMIT_MS);
  }));

test("a configuration is in force within 5 s if the store fails when only one entry has it", async () => {
  const relays: Awaited<ReturnType<typeof startTcpRelay>>[] = [];
  try {
    await withWatch({ entryCount: 1 }, async (deployment, watch) => {
      for (const id of ["entry-2", "entry-3"]) {
        const relay = await startTcpRelay(deployment.store.address);
        relays.push(relay);
        await deployment.startEntry(id, {
          platform: {
            storeUrl: `http://${relay.address}`,
            vmListUrl: deployment.vmListUrl,
          },
        });
      }
      const { entries, store } = deployment;
      await watch.waitForRevision(entries, 1);
      // Entries 2 and 3 can get the configuration only from entry 1.
      relays.forEach((relay) => relay.disconnect());
      const { revision, appliedAtMs } = await applyChange(deployment, 3_000);
      await watch.waitForRevision(entries.slice(0, 1), revision);
      store.faults.down = true;
      const endMs = await watch.waitForRevision(entries, revision);
      const timeMs = endMs - appliedAtMs;
      console.log(`roll-out with the store lost: ${timeMs} ms`);
      assert.ok(timeMs < FAULTY_ROLL_OUT_LIMIT_MS, `${timeMs} ms`);
      // An entry that starts during the outage gets the configuration from its peers.
      const late = await deployment.startEntry("entry-4");
      await watch.waitForRevision([late], revision);
    });
  } finally {
    await Promise.all(relays.map((relay) => relay.close()));
  }
});

test("an entry keeps its revision when the store shows an older one", () =>
  withWatch({ entryCount: 2 }, async (deployment, watch) => {
    const { entries, store } = deployment;
    const previous = store.values.get(CONFIG_KEY)!;
    const { revision } = await applyChange(deployment, 3_000);
    await watch.waitForRevision(entries, revision);
    const current = store.values.get(CONFIG_KEY)!;
    store.values.set(CONFIG_KEY, {
      value: previous.value,
      version: current.version + 1,
    });
    // Closes pending watches, so that entries read the older value.
    store.faults.down = true;
    store.server.closeAllConnections();
    store.faults.down = false;
    await waitFor(
      "the older value is seen",
      () =>
        entries.every((entry) =>
          entry.output().includes("older revision") ||
          watch.latest(entry) < revision
        ),
    );
    store.values.set(CONFIG_KEY, {
      value: current.value,
      version: current.version + 2,
    });
    const { revision: next } = await applyChange(deployment, 3_001);
    await watch.waitForRevision(entries, next);
  }));

test.run();
