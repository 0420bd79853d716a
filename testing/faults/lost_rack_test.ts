import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitFor } from "../wait.ts";
import {
  buildConfigWithPools,
  CONTROLLER_TIMING,
  withController,
} from "./controller_scenario.ts";
import { trackFleetRecords } from "./fleet_records.ts";

const VMS_PER_POOL = 6;
/** Each rack has one VM of each pool, so that the wave finishes the first rack long before it ends. */
const RACKS = Array.from(
  { length: VMS_PER_POOL },
  (_, index) => `khomas-${index + 1}`,
);
const LOST_RACK = `${RACKS[0]}-rack-1`;
const TIMEOUT = { timeoutMs: 40_000 };
const CONFIG = buildConfigWithPools({
  // Only the pause stops the wave in this pool.
  survey: {},
  // The budget alone stops this pool from maintaining two VMs at once, or one while the rack is lost.
  dispatch: {
    availability: { minimumServingVms: VMS_PER_POOL - 1 },
    maintenance: { order: "spread", maximumConcurrentVms: 2 },
  },
});

// Guards against a maintenance wave that drains VMs while a rack is lost, doesn't resume afterwards,
// or violates an availability budget.
test("a maintenance wave pauses while a rack is lost and completes after its return", () =>
  withController(CONFIG, {
    entryCount: 2,
    dataCentres: RACKS,
    workerProcesses: RACKS.length,
    worker: { agent: { rebootMs: 3_000 } },
    // All racks are in one data centre.
    adjustVm: (vm) => ({ ...vm, dataCentre: "khomas-1" }),
  }, async ({ fleet, store, vmList }) => {
    const records = await trackFleetRecords(store.values, fleet.vms.length);
    const listVms = () => Object.entries(records.latest().vms);
    const lostVms = listVms().filter(([, { rack }]) => rack === LOST_RACK)
      .map(([id]) => id);
    assert.is(lostVms.length, Object.keys(CONFIG.pools).length);
    const countMaintained = () =>
      listVms().filter(([, { maintainedAtMs }]) => maintainedAtMs > 0).length;
    await waitFor(
      "the wave has finished the first rack",
      () => lostVms.every((id) => records.latest().vms[id]!.maintainedAtMs > 0),
      TIMEOUT,
    );
    await fleet.killProcess(0);
    const lostAtMs = Date.now();
    // The VM list still shows the rack, so the controller has to detect the loss itself.
    const getMaintenance = () => records.latest().maintenance;
    await waitFor(
      "the wave pauses",
      () => getMaintenance().pausedReason !== undefined,
      TIMEOUT,
    );
    const pausedAfterMs = Date.now() - lostAtMs;
    const maintainedBefore = countMaintained();
    assert.ok(
      maintainedBefore < fleet.vms.length,
      "the wave had already ended",
    );
    for (const id of lostVms) {
      records.unavailableVms.add(id);
      vmList.vms.delete(id);
    }
    const pauseStartIndex = records.history.length;
    const endMs = getMaintenance().pausedAtMs! + CONTROLLER_TIMING.wavePauseMs +
      2_000;
    await waitFor("the minimum pause has passed", () => Date.now() > endMs);
    assert.ok(
      getMaintenance().pausedReason,
      "the wave must stay paused while the rack is lost",
    );

    const replaced = await fleet.replaceProcess(0);
    records.unavailableVms.clear();
    for (const vm of replaced) {
      vmList.vms.set(vm.id, { ...vm, dataCentre: "khomas-1" });
    }
    await waitFor(
      "the wave resumes",
      () => getMaintenance().pausedReason === undefined,
      TIMEOUT,
    );
    const drainsDuringPause = records.history.slice(pauseStartIndex).filter((
      record,
    ) => record.maintenance.pausedReason !== undefined).flatMap((
      { vms, maintenance },
    ) =>
      Object.entries(vms).filter(([, { transition }]) =>
        transition !== undefined &&
        transition.startedAtMs > maintenance.pausedAtMs!
      )
    );
    assert.equal(drainsDuringPause, [], "drains started during the pause");
    await waitFor(
      "all VMs are maintained and serve",
      () =>
        countMaintained() === fleet.vms.length &&
        listVms().every(([, { state }]) => state === "serving"),
      TIMEOUT,
    );
    console.log(
      `paused ${pausedAfterMs} ms after the loss with ${maintainedBefore} of ${fleet.vms.length} VMs maintained, ${records.history.length} records`,
    );
  }));

test.run();
