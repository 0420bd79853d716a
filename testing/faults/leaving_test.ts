import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createHttpWorkerAgent } from "../../src/ports/http_worker_agent.ts";
import { callEntry } from "../caller.ts";
import type { Deployment } from "../deployment.ts";
import { waitFor } from "../wait.ts";
import { withDeployment } from "./scenario.ts";

/** Time after the first announcement from which no new requests may arrive, in ms. */
const NO_NEW_WORK_AFTER_MS = 3_000;
/** Time during which no arrivals are allowed, after `NO_NEW_WORK_AFTER_MS`, in ms. */
const OBSERVATION_MS = 2_000;
const LEAVING_VM = "quoting-2";
const agent = createHttpWorkerAgent();

/** Sends requests through the entries until stopped; `stop` returns the number of unanswered requests. */
function startTraffic(deployment: Deployment, entryIndexes: readonly number[]) {
  let stopped = false;
  let failed = 0;
  const loops = entryIndexes.flatMap((index) =>
    Array.from({ length: 6 }, async () => {
      const address = deployment.entries[index]?.callerAddress;
      while (!stopped) {
        const result = await callEntry(`http://${address}/quoting/leaving/1`);
        if (result.kind !== "answer") failed++;
      }
    })
  );
  return {
    async stop(): Promise<number> {
      stopped = true;
      await Promise.all(loops);
      return failed;
    },
  };
}

async function countArrivals(
  deployment: Deployment,
  sinceMs: number,
): Promise<number> {
  const { arrivals } = await deployment.workers.get(LEAVING_VM)!.journal();
  return arrivals.filter(({ atMs }) => atMs >= sinceMs).length;
}

const DEPLOYMENT_OPTIONS = { serviceTimeMs: 10, workerProcesses: 1 };

test("a backend server that announces its drain gets no new requests after 3 s, with the store down and a stale VM list", () =>
  withDeployment(DEPLOYMENT_OPTIONS, async (deployment) => {
    const { store, workers } = deployment;
    // The VM list keeps showing the VM as live: it is stale for the whole test.
    store.faults.down = true;
    const firstTraffic = startTraffic(deployment, [0]);
    let otherTraffic: ReturnType<typeof startTraffic> | undefined;
    try {
      const beforeMs = Date.now();
      await waitFor(
        "the backend server gets requests",
        async () => await countArrivals(deployment, beforeMs) > 0,
      );
      await agent.drain(workers.get(LEAVING_VM)!.controlAddress, "intent-1");
      await delay(NO_NEW_WORK_AFTER_MS);
      const limitMs = Date.now();
      // Entries that did not get the announcement themselves learn of it from peers.
      otherTraffic = startTraffic(deployment, [1, 2]);
      await delay(OBSERVATION_MS);
      assert.is(await countArrivals(deployment, limitMs), 0);
      assert.is(await otherTraffic.stop(), 0, "number of unanswered requests");
    } finally {
      await firstTraffic.stop();
      await otherTraffic?.stop();
    }
  }));

test("a backend server that the VM list shows as leaving gets no new requests after 3 s, with the store down", () =>
  withDeployment(DEPLOYMENT_OPTIONS, async (deployment) => {
    const { vmList, store } = deployment;
    store.faults.down = true;
    const traffic = startTraffic(deployment, [0, 1, 2]);
    try {
      const vm = vmList.vms.get(LEAVING_VM)!;
      vmList.vms.set(LEAVING_VM, { ...vm, state: "leaving" });
      await delay(NO_NEW_WORK_AFTER_MS);
      const limitMs = Date.now();
      await delay(OBSERVATION_MS);
      assert.is(await countArrivals(deployment, limitMs), 0);
    } finally {
      assert.is(await traffic.stop(), 0, "number of unanswered requests");
    }
  }));

test.run();
