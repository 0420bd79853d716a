import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FleetRecord } from "../../src/fleet/record.ts";
import { checkRecord } from "../../src/fleet/record_check.ts";
import { resolveConfig } from "../../src/config/validate.ts";
import { callEntry, type CallResult, isExpectedAnswer } from "../caller.ts";
import { waitFor } from "../wait.ts";
import { buildPools, withController } from "./controller_scenario.ts";
import { followRecords } from "./fleet_records.ts";
import { runConcurrently } from "./scenario.ts";

const OWNER = "backoffice";
const BORROWER = "quoting";
/** Of 6 VMs; one fewer than that at most, so that each can be maintained. */
const RAISED = 5;
const CALLERS = 24;
/** Longer than it takes from a drain's record until each entry has acknowledged it, in ms. */
const SLOW_MS = 6_000;
const QUICK_MS = 300;
/** Three times the longest queue of slow requests: an entry that sees one VM of 8 slots refuses none of them. */
const DEADLINE_MS = 55_000;
const TIMEOUT = { timeoutMs: 40_000 };

function buildConfig(minimumServingVms: number, maximumLentVms: number) {
  return buildPools({
    [BORROWER]: { vms: 2 },
    [OWNER]: {
      availability: { minimumServingVms },
      lending: { maximumLentVms },
      spare: true,
    },
  });
}

function rulesBroken(record: FleetRecord, maximumLentVms: number) {
  const text = JSON.stringify(buildConfig(RAISED, maximumLentVms));
  return checkRecord(record, resolveConfig(text, "raised"));
}

// Guards against loans and drains that outlast a raised budget, and against requests that a return or reboot cuts off.
test("a budget is raised in the middle of a wave while VMs are lent by the controller's choice", () =>
  withController(buildConfig(1, 2), {
    entryCount: 2,
    serviceTimeMs: QUICK_MS,
    workerProcesses: 1,
    // A reboot doesn't wait for requests, so only the drain before it protects them.
    worker: { agent: { rebootMs: 1_500, graceMs: 0 } },
  }, async ({ entries, fleet, store }, apply) => {
    const records = await followRecords(store.values, fleet.vms.length);
    const owned = () =>
      Object.values(records.latest().vms).filter((vm) => vm.homePool === OWNER);
    const lentVms = () => owned().filter(({ pool }) => pool !== OWNER);
    const setServiceTime = (serviceTimeMs: number) =>
      Promise.all(
        [...fleet.workers.values()].map((worker) =>
          worker.configure({ backend: { serviceTimeMs } })
        ),
      );
    await setServiceTime(SLOW_MS);
    const failed: CallResult[] = [];
    let answered = 0;
    let stopped = false;
    const traffic = runConcurrently(
      { count: 100_000, concurrency: CALLERS },
      async (index) => {
        if (stopped) return;
        const path = `/${BORROWER}/raised/${index}`;
        const address = entries[index % entries.length]!.callerAddress;
        const result = await callEntry(`http://${address}${path}`, {
          method: "POST",
          deadlineMs: DEADLINE_MS,
        });
        if (isExpectedAnswer(result, { path })) answered++;
        else failed.push(result);
      },
    );
    try {
      await waitFor(
        "VMs are lent and the wave runs",
        () =>
          lentVms().length === 2 &&
          owned().some(({ state, transition }) =>
            state === "draining" && transition?.kind === "maintain"
          ),
        TIMEOUT,
      );
      await setServiceTime(QUICK_MS);
      const before = records.history.length;
      await apply(buildConfig(RAISED, 1));
      await waitFor(
        "the raised budget is decided with",
        () => records.latest().configRevision === 2,
      );
      const first = records.history.find((record) =>
        record.configRevision === 2
      )!;
      const back = Object.values(first.vms).filter((vm) =>
        vm.homePool === OWNER &&
        (vm.pool === OWNER && vm.state === "serving" ||
          vm.transition?.kind === "return")
      );
      assert.ok(back.length >= RAISED, "VMs that are missing are called back");
      await waitFor(
        "the raised budget holds",
        () => rulesBroken(records.latest(), 1).length === 0,
        TIMEOUT,
      );
      const held = records.history.length;
      await apply(buildConfig(RAISED, 0));
      await waitFor(
        "the wave ends within the raised budget",
        () =>
          owned().every(({ state, maintainedAtMs }) =>
            state === "serving" && maintainedAtMs > 0
          ),
        TIMEOUT,
      );
      assert.equal(lentVms(), []);
      for (const record of records.history.slice(held)) {
        assert.equal(rulesBroken(record, 1), []);
      }
      console.log(
        `${
          held - before
        } records until the budget held, ${records.history.length} in all`,
      );
    } finally {
      stopped = true;
      await traffic;
    }
    console.log(`${answered} requests answered, ${failed.length} not`);
    assert.equal(failed.slice(0, 5), []);
  }));

test.run();
