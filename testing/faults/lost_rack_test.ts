import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitFor } from "../wait.ts";
import { buildPools, TIMING, withController } from "./controller_scenario.ts";
import { followRecords } from "./fleet_records.ts";

const POOL_VMS = 6;
/** One VM of each pool in each rack, so that the wave has left the first rack long before it ends. */
const RACKS = Array.from(
  { length: POOL_VMS },
  (_, index) => `khomas-${index + 1}`,
);
const LOST_RACK = `${RACKS[0]}-rack-1`;
const TIMEOUT = { timeoutMs: 40_000 };
const CONFIG = buildPools({
  // Only the pause holds this wave back.
  survey: {},
  // Only the budget keeps this pool from maintaining two VMs at once, and one while the rack is lost.
  dispatch: {
    availability: { minimumServingVms: POOL_VMS - 1 },
    maintenance: { order: "spread", maximumConcurrentVms: 2 },
  },
});

// Guards against a wave that drains VMs while a rack is lost, that never goes on afterwards, or that breaks a budget.
test("a rack is lost in the middle of a wave that the controller began", () =>
  withController(CONFIG, {
    entryCount: 2,
    dataCentres: RACKS,
    workerProcesses: RACKS.length,
    worker: { agent: { rebootMs: 3_000 } },
    // The racks stand in one data centre.
    adjustVm: (vm) => ({ ...vm, dataCentre: "khomas-1" }),
  }, async ({ fleet, store, vmList }) => {
    const records = await followRecords(store.values, fleet.vms.length);
    const vmsOf = () => Object.entries(records.latest().vms);
    const lost = vmsOf().filter(([, { rack }]) => rack === LOST_RACK)
      .map(([id]) => id);
    assert.is(lost.length, Object.keys(CONFIG.pools).length);
    const maintained = () =>
      vmsOf().filter(([, { maintainedAtMs }]) => maintainedAtMs > 0).length;
    await waitFor(
      "the wave has left the first rack",
      () => lost.every((id) => records.latest().vms[id]!.maintainedAtMs > 0),
      TIMEOUT,
    );
    await fleet.killProcess(0);
    const lostAtMs = Date.now();
    // The VM list still shows the rack, so the controller has to find out by itself.
    const pause = () => records.latest().maintenance;
    await waitFor(
      "the wave pauses",
      () => pause().pausedReason !== undefined,
      TIMEOUT,
    );
    const pausedAfterMs = Date.now() - lostAtMs;
    const before = maintained();
    assert.ok(before < fleet.vms.length, "the wave was over");
    for (const id of lost) {
      records.missing.add(id);
      vmList.vms.delete(id);
    }
    const pausedFrom = records.history.length;
    const endMs = pause().pausedAtMs! + TIMING.wavePauseMs + 2_000;
    await waitFor("the shortest pause is over", () => Date.now() > endMs);
    assert.ok(pause().pausedReason, "paused while the rack is lost");

    const replaced = await fleet.replaceProcess(0);
    records.missing.clear();
    for (const vm of replaced) {
      vmList.vms.set(vm.id, { ...vm, dataCentre: "khomas-1" });
    }
    await waitFor(
      "the wave goes on",
      () => pause().pausedReason === undefined,
      TIMEOUT,
    );
    const whilePaused = records.history.slice(pausedFrom).filter((record) =>
      record.maintenance.pausedReason !== undefined
    ).flatMap(({ vms, maintenance }) =>
      Object.entries(vms).filter(([, { transition }]) =>
        transition !== undefined &&
        transition.startedAtMs > maintenance.pausedAtMs!
      )
    );
    assert.equal(whilePaused, [], "drains during the pause");
    await waitFor(
      "all VMs are maintained and serve",
      () =>
        maintained() === fleet.vms.length &&
        vmsOf().every(([, { state }]) => state === "serving"),
      TIMEOUT,
    );
    console.log(
      `paused ${pausedAfterMs} ms after the loss with ${before} of ${fleet.vms.length} VMs maintained, ${records.history.length} records`,
    );
  }));

test.run();
