import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ISOLATION_LIMIT_MS } from "../../src/constants.ts";
import { callEntry, type CallResult } from "../caller.ts";
import type { Deployment } from "../deployment.ts";
import { CONFIG_FILE, SERVICES, withDeployment } from "./scenario.ts";

/** Longer than the time after which an entry without any contact refuses requests. */
const OUTAGE_MS = ISOLATION_LIMIT_MS + 2_500;
const CALLER_COUNT = 6;

/** Sends requests through all entries while `runFault` runs; returns the results of unanswered requests. */
async function sendDuringFault(
  deployment: Deployment,
  runFault: () => Promise<void>,
): Promise<CallResult[]> {
  const failed: CallResult[] = [];
  let sent = 0;
  let stopped = false;
  const callers = Array.from({ length: CALLER_COUNT }, async () => {
    while (!stopped) {
      const index = sent++;
      const entry = deployment.entries[index % deployment.entries.length];
      const service = SERVICES[index % SERVICES.length];
      const result = await callEntry(
        `http://${entry?.callerAddress}/${service}/outage/${index}`,
        { method: "POST" },
      );
      if (result.kind !== "answer") failed.push(result);
    }
  });
  try {
    await runFault();
  } finally {
    stopped = true;
    await Promise.all(callers);
  }
  assert.ok(sent > 100, `${sent} requests`);
  return failed;
}

test("requests are answered while the store is down and then slow", () =>
  withDeployment(
    { serviceTimeMs: 10, workerProcesses: 1 },
    async (deployment) => {
      const { faults } = deployment.store;
      const failed = await sendDuringFault(deployment, async () => {
        faults.down = true;
        await delay(OUTAGE_MS);
        faults.down = false;
        faults.delayMs = 3_000;
        await delay(OUTAGE_MS);
        faults.delayMs = 0;
      });
      assert.equal(failed.slice(0, 5), []);
    },
  ));

test("an entry without store, peers and VM list refuses requests and recovers without intervention", () =>
  withDeployment({ serviceTimeMs: 10, entryCount: 1 }, async (deployment) => {
    const url = `http://${deployment.entries[0]?.callerAddress}/quoting/cut/1`;
    const waitForKind = async (kind: CallResult["kind"]) => {
      const endMs = Date.now() + 20_000;
      let result = await callEntry(url);
      while (result.kind !== kind && Date.now() < endMs) {
        await delay(50);
        result = await callEntry(url);
      }
      return result;
    };
    deployment.store.faults.down = true;
    deployment.vmList.down = true;
    const refused = await waitForKind("not_run");
    assert.is(refused.kind, "not_run");
    deployment.store.faults.down = false;
    deployment.vmList.down = false;
    assert.is((await waitForKind("answer")).kind, "answer");
  }));

test("an apply whose store response is lost is reported as accepted and applied once", () =>
  withDeployment({ entryCount: 1 }, async ({ store, runCommand, storeUrl }) => {
    store.values.delete("config");
    store.faults.loseAnswers = 1;
    const result = await runCommand([
      "apply",
      CONFIG_FILE,
      "--store",
      storeUrl,
      "--json",
    ]);
    assert.is(result.code, 0, result.output);
    assert.match(result.output, /"kind": "accepted"/);
    assert.is(JSON.parse(store.values.get("config")!.value).revision, 1);
  }));

test.run();
