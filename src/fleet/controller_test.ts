import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  findVms,
  maintainedVms,
  SHOP_DUE,
  SHOP_NOT_DUE,
  SPARE,
  startDrainingSimulation,
  startSimulation,
  vmsInState,
  vmsLentTo,
} from "../../testing/fleet_fixtures.ts";
import { buildConfig, REGION } from "../../testing/fleet_simulation.ts";
import { PlatformError, ValidationError } from "../errors.ts";
import { createObservable } from "../observable.ts";
import { createControllerStore } from "./controller_store.ts";
import { decisionLogKey, decisionLogSchema } from "./decision_log.ts";
import { parseFleetRecord } from "./follower.ts";
import { REFUSED_LOAN_KIND } from "./loan_refusals.ts";
import { createFleetRecord, fleetKey, type FleetRecord } from "./record.ts";
import { checkRecord } from "./record_check.ts";

// Guards against an intent that is lost with the controller that recorded it.
test("a successor executes an intent that was recorded but not executed", async () => {
  const { world } = startSimulation([SHOP_DUE]);
  const killed = new PlatformError("worker_agent", "The controller is killed");
  const workerAgent = {
    ...world.workerAgent,
    reboot: () => Promise.reject(killed),
  };
  const controller = world.addController("c1", { workerAgent });
  await world.runUntil(
    controller,
    () => vmsInState(world, "rebooting").length > 0,
  );
  const [vmId = ""] = vmsInState(world, "rebooting");
  assert.is(world.workers.get(vmId)?.reboots.length, 0);
  world.store.expireLease(`controller/${REGION}`);
  const successor = world.addController("c2");
  await world.runUntil(successor, () => maintainedVms(world).includes(vmId));
  assert.is(world.workers.get(vmId)?.reboots.length, 1);
});

// Guards against a longer time without a controller: the lease and the 2 s between two attempts of a standby entry add
// up to 6 s.
test("a lost controller's lease lapses within 4 s", async () => {
  const { world, controller } = startSimulation([SHOP_NOT_DUE]);
  const standby = world.addController("c2");
  await controller.step();
  world.tick(3_000);
  assert.is((await standby.step()).kind, "standby");
  world.tick(1_000);
  assert.is.not((await standby.step()).kind, "standby");
});

// Guards against a second reboot by a successor that finds the action done but not recorded.
test("a successor doesn't repeat an action whose result was not recorded", async () => {
  const { world, controller } = await startDrainingSimulation();
  await world.runUntil(
    controller,
    () => [...world.workers.values()].some((worker) => worker.reboots.length),
  );
  const [vmId = ""] = vmsInState(world, "rebooting");
  world.tick(120_000);
  world.store.expireLease(`controller/${REGION}`);
  const successor = world.addController("c2");
  await world.runUntil(successor, () => maintainedVms(world).includes(vmId));
  assert.is(world.workers.get(vmId)?.reboots.length, 1);
});

// Guards against VMs that stay in, or return to, a pool that no longer exists.
test("a pool removed while its VMs are lent gives its VMs to the others", async () => {
  const extra = {
    ...SHOP_DUE,
    name: "extra",
    periodDays: 300,
    maximumLentVms: 1,
  };
  const { world, controller } = startSimulation([SPARE, SHOP_NOT_DUE, extra]);
  world.demandSlots.set("shop", 90);
  await world.runUntil(
    controller,
    () =>
      findVms(world, (vm) => vm.homePool === "extra" && vm.pool === "shop")
        .length === 1,
  );
  const next = buildConfig([SPARE, SHOP_NOT_DUE]);
  world.apply(next);
  world.demandSlots.set("shop", 0);
  await world.runUntil(
    controller,
    () => findVms(world, (vm) => vm.pool === "extra").length === 0,
  );
  assert.equal(checkRecord(world.record(), next), []);
  await world.runUntil(
    controller,
    () => vmsInState(world, "serving").length === 12,
  );
});

// Guards against a shortage after failures that the planner doesn't repair.
test("a pool that loses VMs gets a spare one", async () => {
  const { world, controller } = startSimulation([SPARE, SHOP_NOT_DUE]);
  await world.runUntil(controller, () => world.record().revision > 0);
  for (const id of ["shop-1", "shop-2", "shop-3"]) world.workers.delete(id);
  await world.runUntil(controller, () => vmsLentTo(world, "shop").length === 1);
  const log = world.store.history(decisionLogKey(REGION)).at(-1)?.value ?? "";
  assert.match(log, "repair_loan");
});

// Guards against recording the same refusal in each planning step, and against not recording a new reason.
test("a refused loan is recorded when its reason changes", async () => {
  const pools = [{ ...SPARE, maximumLentVms: 0 }, SHOP_NOT_DUE];
  const { world, controller } = startSimulation(pools);
  world.demandSlots.set("shop", 60);
  const reasons = () => {
    const log = world.store.history(decisionLogKey(REGION)).at(-1)?.value;
    const { decisions } = decisionLogSchema.parse(
      JSON.parse(log ?? '{"decisions":[]}'),
    );
    return decisions.filter(({ kind, pools }) =>
      kind === REFUSED_LOAN_KIND && pools.includes("shop")
    ).map(({ rejected }) => rejected[0]?.reason);
  };
  const step = async (count: number) => {
    for (let done = 0; done < count; done++) {
      world.tick(5_000);
      await controller.step();
    }
  };
  await world.runUntil(controller, () => maintainedVms(world).length === 8);
  const { revision } = world.record();
  await step(50);
  assert.equal(reasons(), ["its lending bound is reached"]);
  world.apply(buildConfig([{ ...SPARE, minimumServingVms: 4 }, SHOP_NOT_DUE]));
  await step(50);
  assert.equal(reasons().slice(1), ["its budget leaves no VM"]);
  assert.is(world.record().revision, revision);
});

// Guards against drains that entries acknowledge with a record from before a restore of the store, and against loans
// that the restore undoes.
test("a restored older record is replaced by the one that entries follow", async () => {
  const { store, world, controller } = startSimulation([SPARE, SHOP_NOT_DUE]);
  world.demandSlots.set("shop", 50);
  await world.runUntil(controller, () => vmsLentTo(world, "shop").length > 0);
  const history = store.history(fleetKey(REGION));
  const latest = world.record();
  await store.compareAndSwap({
    key: fleetKey(REGION),
    expectedVersion: history.at(-1)?.version ?? 0,
    value: history[0]?.value ?? "",
  });
  const fleet = createObservable<FleetRecord | undefined>(latest);
  store.expireLease(`controller/${REGION}`);
  const successor = world.addController("c2", { fleet });
  const entry = world.entries.get("entry-1");
  assert.ok(entry);
  entry.followsRecord = false;
  entry.digest = { ...entry.digest, fleetRevision: latest.revision + 1 };
  world.tick(1_000);
  // The controller waits for the newer record of a peer.
  assert.is((await successor.step()).kind, "outdated_record");
  entry.digest = { ...entry.digest, fleetRevision: latest.revision };
  world.tick(1_000);
  assert.is((await successor.step()).kind, "written");
  assert.equal(world.record(), { ...latest, revision: latest.revision + 1 });
});

// Guards against a restored record that stays in the store because the controller has read the latest one before and has nothing to change.
test("a controller that has read the latest record notices an older one", async () => {
  const { store, world, controller } = startSimulation([SPARE, SHOP_NOT_DUE]);
  await world.runUntil(controller, () => world.record().revision > 0);
  const history = store.history(fleetKey(REGION));
  const latest = world.record();
  const fleet = createObservable<FleetRecord | undefined>(latest);
  const storedRevision = createObservable<number | undefined>(latest.revision);
  store.expireLease(`controller/${REGION}`);
  const successor = world.addController("c2", { fleet, storedRevision });
  world.tick(1_000);
  assert.is((await successor.step()).kind, "unchanged");
  await store.compareAndSwap({
    key: fleetKey(REGION),
    expectedVersion: history.at(-1)?.version ?? 0,
    value: JSON.stringify(createFleetRecord(REGION)),
  });
  storedRevision.set(0);
  world.tick(1_000);
  assert.is((await successor.step()).kind, "written");
  assert.equal(world.record(), { ...latest, revision: latest.revision + 1 });
});

// Guards against an older version of the program that misreads a newer record.
test("a record with an unknown newer schema version is refused", () => {
  const { world } = startSimulation([SHOP_DUE]);
  const newer = { ...world.record(), schemaVersion: 2 };
  assert.throws(
    () => parseFleetRecord(JSON.stringify(newer)),
    (error: unknown) => error instanceof ValidationError,
  );
});

// Guards against executing intents whose record was never written.
test("a write with a lost response counts only if the record is stored", async () => {
  const { store, world } = startSimulation([SHOP_DUE]);
  const values = createControllerStore(store, REGION);
  const swap = async (revision: number) => {
    const next = { ...createFleetRecord(REGION), revision };
    return await values.swapRecord(await values.readRecord(), next) !==
      undefined;
  };
  store.faults.loseAnswers = 1;
  assert.is(await swap(1), true);
  store.faults.dropWrites = 1;
  assert.is(await swap(2), false);
  assert.is(world.record().revision, 1);
});

test.run();
