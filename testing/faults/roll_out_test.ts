import { test } from "uvu";
import * as assert from "uvu/assert";
import { CONFIG_KEY } from "../../src/constants.ts";
import type { Deployment, DeploymentOptions } from "../deployment.ts";
import { startTcpRelay } from "../tcp_relay.ts";
import { waitFor } from "../wait.ts";
import { RevisionWatch } from "./revision_watch.ts";
import { applyChange, withDeployment } from "./scenario.ts";

/** Bound in normal operation, about 20 times the expected value. */
const NORMAL_LIMIT_MS = 2_000;
/** Bound with one entry frozen and resumed, or the store lost right after acceptance. */
const FAULT_LIMIT_MS = 5_000;
const ROUNDS = 5;

async function withWatch(
  options: Partial<DeploymentOptions>,
  body: (deployment: Deployment, watch: RevisionWatch) => Promise<void>,
): Promise<void> {
  await withDeployment(options, async (deployment) => {
    const watch = new RevisionWatch(deployment.entries);
    watch.follow();
    try {
      await body(deployment, watch);
    } finally {
      await watch.end();
    }
  });
}

test("a file is in force everywhere within 2 s", () =>
  withWatch({}, async (deployment, watch) => {
    const { entries } = deployment;
    const times: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      const { revision, appliedAtMs } = await applyChange(
        deployment,
        3_000 + round,
      );
      const endMs = await watch.inForce(entries, revision);
      times.push(endMs - appliedAtMs);
    }
    console.log(`roll-out ms: ${times.join(" ")}`);
    assert.ok(Math.max(...times) < NORMAL_LIMIT_MS, times.join(" "));
  }));

test("a file is in force within 5 s at an entry that was frozen meanwhile", () =>
  withWatch({}, async (deployment, watch) => {
    const { entries } = deployment;
    const frozen = entries[1]!;
    frozen.process.kill("SIGSTOP");
    const { revision, appliedAtMs } = await applyChange(deployment, 3_000);
    const others = entries.filter((entry) => entry !== frozen);
    await watch.inForce(others, revision);
    const resumedAtMs = Date.now();
    frozen.process.kill("SIGCONT");
    const endMs = await watch.inForce(entries, revision);
    console.log(`roll-out after the freeze: ${endMs - resumedAtMs} ms`);
    assert.ok(endMs - appliedAtMs < FAULT_LIMIT_MS);
  }));

test("a file is in force within 5 s when the store is lost right after one entry has it", async () => {
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
      await watch.inForce(entries, 1);
      // Entries 2 and 3 can have the file only from entry 1.
      relays.forEach((relay) => relay.disconnect());
      const { revision, appliedAtMs } = await applyChange(deployment, 3_000);
      await watch.inForce(entries.slice(0, 1), revision);
      store.faults.down = true;
      const endMs = await watch.inForce(entries, revision);
      const timeMs = endMs - appliedAtMs;
      console.log(`roll-out with the store lost: ${timeMs} ms`);
      assert.ok(timeMs < FAULT_LIMIT_MS, `${timeMs} ms`);
      // An entry that starts during the outage has the file from its peers.
      const late = await deployment.startEntry("entry-4");
      await watch.inForce([late], revision);
    });
  } finally {
    await Promise.all(relays.map((relay) => relay.close()));
  }
});

test("an entry keeps its revision when the store shows an older one", () =>
  withWatch({ entryCount: 2 }, async (deployment, watch) => {
    const { entries, store } = deployment;
    const old = store.values.get(CONFIG_KEY)!;
    const { revision } = await applyChange(deployment, 3_000);
    await watch.inForce(entries, revision);
    const current = store.values.get(CONFIG_KEY)!;
    store.values.set(CONFIG_KEY, {
      value: old.value,
      version: current.version + 1,
    });
    // Ends the watches that wait, so that they read the older value.
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
    await watch.inForce(entries, next);
  }));

test.run();
