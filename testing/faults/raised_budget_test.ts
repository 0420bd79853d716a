import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FleetRecord } from "../../src/fleet/record.ts";
import { checkRecord } from "../../src/fleet/record_check.ts";
import { resolveConfig } from "../../src/config/validate.ts";
import { callEntry, type CallResult, isExpectedAnswer } from "../caller.ts";
import { waitFor } from "../wait.ts";
import { buildConfigWithPools, withController } from "./controller_scenario.ts";
import { trackFleetRecords } from "./fleet_records.ts";
import { runConcurrently } from "./scenario.ts";

const OWNER = "backoffice";
const BORROWER = "quoting";
/** Raised minimum of serving VMs; less than the pool's 6 VMs, so that each can be maintained. */
const RAISED_MINIMUM = 5;
const CALLER_COUNT = 24;
/** Longer than it takes all entries to acknowledge a drain, in ms. */
const SLOW_SERVICE_TIME_MS = 6_000;
const FAST_SERVICE_TIME_MS = 300;
/** Three times the longest queueing delay of slow requests, so that even an entry that sees only one VM with 8 slots refuses none. */
const DEADLINE_MS = 55_000;
const TIMEOUT = { timeoutMs: 40_000 };

function buildConfig(minimumServingVms: number, maximumLentVms: number) {
  return buildConfigWithPools({
    [BORROWER]: { vms: 2 },
    [OWNER]: {
      availability: { minimumServingVms },
      lending: { maximumLentVms },
      spare: true,
    },
  });
}

function checkRaisedBudget(record: FleetRecord, maximumLentVms: number) {
  const text = JSON.stringify(buildConfig(RAISED_MINIMUM, maximumLentVms));
  return checkRecord(record, resolveConfig(text, "raised"));
}

// Guards against loans and drains that continue in violation of a raised availability budget, against
// requests that are aborted when a VM is returned or rebooted, and against healthy instances that are
// ejected as silent because the service is slow, for which an entry once refused a request.
test("a budget that is raised during a wave and loans is restored without aborting requests", () =>
  withController(buildConfig(1, 2), {
    entryCount: 2,
    serviceTimeMs: FAST_SERVICE_TIME_MS,
    workerProcesses: 1,
    // A reboot doesn't wait for requests, so only the drain before it protects them from being aborted.
    worker: { agent: { rebootMs: 1_500, graceMs: 0 } },
  }, async ({ entries, fleet, store }, apply) => {
    const records = await trackFleetRecords(store.values, fleet.vms.length);
    const getOwnedVms = () =>
      Object.values(records.latest().vms).filter((vm) => vm.homePool === OWNER);
    const getLentVms = () => getOwnedVms().filter(({ pool }) => pool !== OWNER);
    const setServiceTime = (serviceTimeMs: number) =>
      Promise.all(
        [...fleet.workers.values()].map((worker) =>
          worker.configure({ backend: { serviceTimeMs } })
        ),
      );
    await setServiceTime(SLOW_SERVICE_TIME_MS);
    const failed: CallResult[] = [];
    let answered = 0;
    let stopped = false;
    const traffic = runConcurrently(
      { count: 100_000, concurrency: CALLER_COUNT },
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
          getLentVms().length === 2 &&
          getOwnedVms().some(({ state, transition }) =>
            state === "draining" && transition?.kind === "maintain"
          ),
        TIMEOUT,
      );
      await setServiceTime(FAST_SERVICE_TIME_MS);
      const recordCountBefore = records.history.length;
      await apply(buildConfig(RAISED_MINIMUM, 1));
      await waitFor(
        "a record is based on the raised budget",
        () => records.latest().configRevision === 2,
      );
      const firstRaised = records.history.find((record) =>
        record.configRevision === 2
      )!;
      const homeOrReturning = Object.values(firstRaised.vms).filter((vm) =>
        vm.homePool === OWNER &&
        (vm.pool === OWNER && vm.state === "serving" ||
          vm.transition?.kind === "return")
      );
      assert.ok(
        homeOrReturning.length >= RAISED_MINIMUM,
        "too few VMs at home or being recalled",
      );
      await waitFor(
        "the raised budget is met",
        () => checkRaisedBudget(records.latest(), 1).length === 0,
        TIMEOUT,
      );
      const budgetMetIndex = records.history.length;
      await apply(buildConfig(RAISED_MINIMUM, 0));
      await waitFor(
        "the wave ends",
        () =>
          getOwnedVms().every(({ state, maintainedAtMs }) =>
            state === "serving" && maintainedAtMs > 0
          ),
        TIMEOUT,
      );
      assert.equal(getLentVms(), []);
      for (const record of records.history.slice(budgetMetIndex)) {
        assert.equal(checkRaisedBudget(record, 1), []);
      }
      console.log(
        `${
          budgetMetIndex - recordCountBefore
        } records until the budget was met, ${records.history.length} in all`,
      );
    } finally {
      stopped = true;
      await traffic;
    }
    console.log(`${answered} requests answered, ${failed.length} not answered`);
    assert.equal(failed.slice(0, 5), []);
    const ejectionsForSilence = entries.flatMap(({ output }) =>
      output().split("\n").filter((line) =>
        line.includes("instance ejected") && line.includes('"silent"')
      )
    );
    assert.equal(ejectionsForSilence, [], "all instances respond");
  }));

test.run();
