import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  assertRecordChangesAllowed,
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
import { buildConfig } from "../../testing/fleet_simulation.ts";
import { ValidationError } from "../errors.ts";
import { createObservable } from "../observable.ts";
import { type VmListSnapshot } from "../ports/vm_list_poller.ts";
import { checkRecord } from "./record_check.ts";

// Guards against a wave that skips a VM, maintains one twice or never ends.
test("a wave reboots each VM exactly once in its period", async () => {
  const { world, controller } = startSimulation([SHOP_DUE]);
  await world.runUntil(controller, () => maintainedVms(world).length === 4);
  for (const worker of world.workers.values()) {
    assert.is(worker.reboots.length, 1, worker.vm.id);
  }
  assertRecordChangesAllowed(world);
});

// Guards against commands without a written record, and against a wave that doesn't continue after an outage.
test("the store is down for a whole wave", async () => {
  const { store, world, controller } = await startDrainingSimulation();
  const before = world.record().revision;
  store.faults.unavailable = true;
  for (let step = 0; step < 300; step++) {
    world.tick(5_000);
    await controller.step().catch(() => {});
  }
  assert.is(world.record().revision, before);
  assert.ok([...world.workers.values()].every((item) => !item.reboots.length));
  store.faults.unavailable = false;
  await world.runUntil(controller, () => maintainedVms(world).length === 4);
  assertRecordChangesAllowed(world);
});

// Guards against drains that block, or skip VMs, because the VM list is outdated.
test("the VM list is 30 s behind", async () => {
  const { world } = startSimulation([SHOP_DUE]);
  const vmList = createObservable<VmListSnapshot | undefined>(undefined);
  const queue: VmListSnapshot[] = [];
  const controller = world.addController("c1", { vmList });
  const lagging = () => {
    queue.push({
      vms: (world.vmList.get()?.vms ?? []).map((vm) => ({ ...vm })),
      readAtMs: world.nowMs(),
    });
    if (queue.length > 6) vmList.set(queue.shift());
    return maintainedVms(world).length === 4;
  };
  await world.runUntil(controller, lagging);
  const worker = world.workers.get("shop-2");
  if (worker) worker.vm = { ...worker.vm, incarnation: "2" };
  await world.runUntil(
    controller,
    () => lagging() && world.record().vms["shop-2"]?.incarnation === "2",
  );
  assertRecordChangesAllowed(world);
});

// Guards against stopping a VM while an unreachable entry may still have requests in flight to it.
test("an entry that never acknowledges blocks the stop until the VM list drops it", async () => {
  const { world, controller } = await startDrainingSimulation();
  const entry = world.entries.get("entry-2");
  assert.ok(entry);
  entry.followsRecord = false;
  for (let step = 0; step < 200; step++) {
    world.tick(5_000);
    await controller.step();
  }
  assert.is(vmsInState(world, "draining").length, 1);
  entry.digestArrives = false;
  for (let step = 0; step < 20; step++) {
    world.tick(5_000);
    await controller.step();
  }
  assert.is(vmsInState(world, "draining").length, 1);
  world.entries.delete("entry-2");
  await world.runUntil(controller, () => maintainedVms(world).length === 4);
});

// Guards against a wave that keeps draining while failures spread, and against one that stays paused.
test("a rack lost during a wave pauses it until the failures are over", async () => {
  const pools = [{
    ...SHOP_DUE,
    vms: 8,
    minimumServingVms: 3,
    concurrentVms: 2,
  }];
  const { world, controller } = await startDrainingSimulation(pools);
  const [first = ""] = vmsInState(world, "draining");
  const rack = world.workers.get(first)?.vm.rack;
  const lost = [...world.workers.values()].filter(({ vm }) => vm.rack === rack);
  for (const { vm } of lost) world.workers.delete(vm.id);
  const paused = () => world.record().maintenance.pausedReason !== undefined;
  await world.runUntil(controller, paused);
  const count = maintainedVms(world).length;
  world.tick(60_000);
  await controller.step();
  assert.equal(vmsInState(world, "draining"), []);
  assert.is(maintainedVms(world).length, count);
  for (const worker of lost) world.workers.set(worker.vm.id, worker);
  await world.runUntil(controller, () => !paused());
  await world.runUntil(controller, () => maintainedVms(world).length === 8);
  assertRecordChangesAllowed(world);
});

// Guards against an owner that stays below its budget while its VMs are lent.
test("a data centre lost while VMs are lent causes the loans to be recalled", async () => {
  const pools = [{ ...SPARE, vms: 6, minimumServingVms: 3 }, SHOP_NOT_DUE];
  const { world, controller } = startSimulation(pools);
  world.demandSlots.set("shop", 50);
  await world.runUntil(controller, () => vmsLentTo(world, "shop").length === 3);
  const home = findVms(world, (vm) => vm.pool === "spare");
  for (const vmId of home.slice(0, 2)) world.workers.delete(vmId);
  await world.runUntil(
    controller,
    () => findVms(world, (vm) => vm.pool === "spare").length === 5,
  );
  const shortages = checkRecord(world.record(), buildConfig(pools));
  assert.equal(shortages, []);
  assertRecordChangesAllowed(world);
});

// Guards against budgets that are evaluated only when a drain starts.
test("raising a budget mid-wave cancels the drain, and lowering it lets the wave continue", async () => {
  const { world, controller } = await startDrainingSimulation();
  const entry = world.entries.get("entry-2");
  assert.ok(entry);
  entry.followsRecord = false;
  const raised = [{ ...SHOP_DUE, minimumServingVms: 4 }];
  world.apply(buildConfig(raised));
  world.tick(1_000);
  await controller.step();
  assert.equal(checkRecord(world.record(), buildConfig(raised)), []);
  await world.runUntil(
    controller,
    () => world.record().maintenance.late.shop !== undefined,
  );
  entry.followsRecord = true;
  world.apply(buildConfig([{ ...SHOP_DUE, minimumServingVms: 3 }]));
  await world.runUntil(controller, () => maintainedVms(world).length === 4);
});

// Guards against rebooting a worker whose recorded task is missing from its report, which lags behind.
test("a drain waits for recorded tasks and for a readable record of them", async () => {
  const { world } = startSimulation([SHOP_DUE]);
  let assigned: "unreadable" | number = "unreadable";
  const controller = world.addController("c1", {
    readAssignedTasks: () =>
      assigned === "unreadable"
        ? Promise.reject(new ValidationError("jobs", []))
        : Promise.resolve(
          new Map(
            [...world.workers.keys()].map((id) => [id, Number(assigned)]),
          ),
        ),
  });
  await world.runUntil(
    controller,
    () => vmsInState(world, "draining").length > 0,
  );
  for (assigned of ["unreadable", 1] as const) {
    for (let step = 0; step < 20; step++) {
      world.tick(5_000);
      await controller.step();
    }
    assert.equal(vmsInState(world, "rebooting"), []);
    assert.equal(maintainedVms(world), []);
  }
  assigned = 0;
  await world.runUntil(controller, () => maintainedVms(world).length > 0);
});

test.run();
