import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFakeStore } from "../../testing/fake_store.ts";
import {
  buildConfig,
  createFleetWorld,
  type FleetWorld,
  REGION,
  type TestPool,
} from "../../testing/fleet_world.ts";
import { PlatformError, ValidationError } from "../errors.ts";
import { createObservable } from "../observable.ts";
import type { VmListSnapshot } from "../platform/vm_list_poller.ts";
import { createControllerStore } from "./controller_store.ts";
import { decisionLogKey, decisionLogSchema } from "./decision_log.ts";
import { parseFleetRecord } from "./follower.ts";
import { REFUSED_LOAN_KIND } from "./loan_refusals.ts";
import {
  createFleetRecord,
  fleetKey,
  type FleetRecord,
  type VmRecord,
} from "./record.ts";
import { checkRecord, checkStep } from "./record_check.ts";

const SPARE: TestPool = {
  name: "spare",
  vms: 4,
  minimumServingVms: 1,
  maximumLentVms: 3,
  periodDays: 300,
  spare: true,
};
const SHOP: TestPool = { name: "shop", vms: 4, minimumServingVms: 2 };
const IDLE: TestPool = { ...SHOP, periodDays: 300 };

function startWorld(pools: readonly TestPool[]) {
  const store = createFakeStore();
  const world = createFleetWorld({ store, pools });
  world.apply(buildConfig(pools));
  return { store, world, controller: world.addController("c1") };
}

function vmsOf(
  world: FleetWorld,
  predicate: (vm: VmRecord, id: string) => boolean,
): string[] {
  return Object.entries(world.record().vms).filter(([id, vm]) =>
    predicate(vm, id)
  ).map(([id]) => id);
}

const inState = (world: FleetWorld, state: VmRecord["state"]) =>
  vmsOf(world, (vm) => vm.state === state);
const lentTo = (world: FleetWorld, pool: string) =>
  vmsOf(
    world,
    (vm) => vm.pool === pool && vm.homePool !== pool && vm.state === "serving",
  );
const maintained = (world: FleetWorld) =>
  vmsOf(world, (vm) => vm.maintainedAtMs > 0);

function assertStepsAllowed(world: FleetWorld): void {
  const history = world.store.history(fleetKey(REGION)).map(({ value }) =>
    parseFleetRecord(value)
  );
  const config = world.config.get()?.config;
  for (const [index, after] of history.entries()) {
    const before = history[index - 1];
    if (before === undefined || config === undefined) continue;
    assert.equal(checkStep(before, after, config), []);
  }
  assert.equal(world.faults, []);
}

async function startWave(pools: readonly TestPool[] = [SHOP]) {
  const started = startWorld(pools);
  const { world, controller } = started;
  await world.runUntil(controller, () => inState(world, "draining").length > 0);
  return started;
}

// Guards against a wave that skips a VM, maintains one twice or never ends.
test("a wave reboots each VM exactly once in its period", async () => {
  const { world, controller } = startWorld([SHOP]);
  await world.runUntil(controller, () => maintained(world).length === 4);
  for (const worker of world.workers.values()) {
    assert.is(worker.reboots.length, 1, worker.vm.id);
  }
  assertStepsAllowed(world);
});

// Guards against an intent that is lost with the controller that recorded it.
test("a successor carries out an intent that was recorded but not executed", async () => {
  const { world } = startWorld([SHOP]);
  const killed = new PlatformError("worker_agent", "The controller is killed");
  const workerAgent = {
    ...world.workerAgent,
    reboot: () => Promise.reject(killed),
  };
  const controller = world.addController("c1", { workerAgent });
  await world.runUntil(
    controller,
    () => inState(world, "rebooting").length > 0,
  );
  const [vmId = ""] = inState(world, "rebooting");
  assert.is(world.workers.get(vmId)?.reboots.length, 0);
  world.store.lapseLease(`controller/${REGION}`);
  const successor = world.addController("c2");
  await world.runUntil(successor, () => maintained(world).includes(vmId));
  assert.is(world.workers.get(vmId)?.reboots.length, 1);
});

// Guards against a longer time without a controller: the lease and the 2 s between two attempts of a standby add up to 6 s.
test("a lost controller's lease lapses within 4 s", async () => {
  const { world, controller } = startWorld([IDLE]);
  const standby = world.addController("c2");
  await controller.step();
  world.tick(3_000);
  assert.is((await standby.step()).kind, "standby");
  world.tick(1_000);
  assert.is.not((await standby.step()).kind, "standby");
});

// Guards against a second reboot by a successor that finds the action done but not recorded.
test("a successor doesn't repeat an action whose result was not recorded", async () => {
  const { world, controller } = await startWave();
  await world.runUntil(
    controller,
    () => [...world.workers.values()].some((worker) => worker.reboots.length),
  );
  const [vmId = ""] = inState(world, "rebooting");
  world.tick(120_000);
  world.store.lapseLease(`controller/${REGION}`);
  const successor = world.addController("c2");
  await world.runUntil(successor, () => maintained(world).includes(vmId));
  assert.is(world.workers.get(vmId)?.reboots.length, 1);
});

// Guards against commands that no record covers, and against a wave that doesn't go on after an outage.
test("the store is down for a whole wave", async () => {
  const { store, world, controller } = await startWave();
  const before = world.record().revision;
  store.faults.unavailable = true;
  for (let step = 0; step < 300; step++) {
    world.tick(5_000);
    await controller.step().catch(() => {});
  }
  assert.is(world.record().revision, before);
  assert.ok([...world.workers.values()].every((item) => !item.reboots.length));
  store.faults.unavailable = false;
  await world.runUntil(controller, () => maintained(world).length === 4);
  assertStepsAllowed(world);
});

// Guards against drains that wait for, or skip, what only an up-to-date list would show.
test("the VM list is 30 s behind", async () => {
  const { world } = startWorld([SHOP]);
  const vmList = createObservable<VmListSnapshot | undefined>(undefined);
  const queue: VmListSnapshot[] = [];
  const controller = world.addController("c1", { vmList });
  const lagging = () => {
    queue.push({
      vms: (world.vmList.get()?.vms ?? []).map((vm) => ({ ...vm })),
      readAtMs: world.nowMs(),
    });
    if (queue.length > 6) vmList.set(queue.shift());
    return maintained(world).length === 4;
  };
  await world.runUntil(controller, lagging);
  const worker = world.workers.get("shop-2");
  if (worker) worker.vm = { ...worker.vm, incarnation: "2" };
  await world.runUntil(
    controller,
    () => lagging() && world.record().vms["shop-2"]?.incarnation === "2",
  );
  assertStepsAllowed(world);
});

// Guards against a stop while an entry that can't be reached may still hold requests.
test("an entry that never acknowledges blocks the stop until the VM list drops it", async () => {
  const { world, controller } = await startWave();
  const entry = world.entries.get("entry-2");
  assert.ok(entry);
  entry.follows = false;
  for (let step = 0; step < 200; step++) {
    world.tick(5_000);
    await controller.step();
  }
  assert.is(inState(world, "draining").length, 1);
  entry.heard = false;
  for (let step = 0; step < 20; step++) {
    world.tick(5_000);
    await controller.step();
  }
  assert.is(inState(world, "draining").length, 1);
  world.entries.delete("entry-2");
  await world.runUntil(controller, () => maintained(world).length === 4);
});

// Guards against a wave that keeps draining while failures spread, and against one that stays paused.
test("a rack lost during a wave pauses it until the failures are over", async () => {
  const pools = [{ ...SHOP, vms: 8, minimumServingVms: 3, concurrentVms: 2 }];
  const { world, controller } = await startWave(pools);
  const [first = ""] = inState(world, "draining");
  const rack = world.workers.get(first)?.vm.rack;
  const lost = [...world.workers.values()].filter(({ vm }) => vm.rack === rack);
  for (const { vm } of lost) world.workers.delete(vm.id);
  const paused = () => world.record().maintenance.pausedReason !== undefined;
  await world.runUntil(controller, paused);
  const count = maintained(world).length;
  world.tick(60_000);
  await controller.step();
  assert.equal(inState(world, "draining"), []);
  assert.is(maintained(world).length, count);
  for (const worker of lost) world.workers.set(worker.vm.id, worker);
  await world.runUntil(controller, () => !paused());
  await world.runUntil(controller, () => maintained(world).length === 8);
  assertStepsAllowed(world);
});

// Guards against an owner that stays short while its VMs are in other pools.
test("a data centre lost while VMs are lent brings the loans back", async () => {
  const pools = [{ ...SPARE, vms: 6, minimumServingVms: 3 }, IDLE];
  const { world, controller } = startWorld(pools);
  world.demandSlots.set("shop", 50);
  await world.runUntil(controller, () => lentTo(world, "shop").length === 3);
  const home = vmsOf(world, (vm) => vm.pool === "spare");
  for (const vmId of home.slice(0, 2)) world.workers.delete(vmId);
  await world.runUntil(
    controller,
    () => vmsOf(world, (vm) => vm.pool === "spare").length === 5,
  );
  const shortages = checkRecord(world.record(), buildConfig(pools));
  assert.equal(shortages, []);
  assertStepsAllowed(world);
});

// Guards against budgets that are evaluated only when a drain starts.
test("a budget raised mid-wave undoes the drain, and lowered lets the wave go on", async () => {
  const { world, controller } = await startWave();
  const entry = world.entries.get("entry-2");
  assert.ok(entry);
  entry.follows = false;
  const raised = [{ ...SHOP, minimumServingVms: 4 }];
  world.apply(buildConfig(raised));
  world.tick(1_000);
  await controller.step();
  assert.equal(checkRecord(world.record(), buildConfig(raised)), []);
  await world.runUntil(
    controller,
    () => world.record().maintenance.late.shop !== undefined,
  );
  entry.follows = true;
  world.apply(buildConfig([{ ...SHOP, minimumServingVms: 3 }]));
  await world.runUntil(controller, () => maintained(world).length === 4);
});

// Guards against VMs that stay in, or return to, a pool that no longer exists.
test("a pool removed while its VMs are lent gives its VMs to the others", async () => {
  const extra = { ...SHOP, name: "extra", periodDays: 300, maximumLentVms: 1 };
  const { world, controller } = startWorld([SPARE, IDLE, extra]);
  world.demandSlots.set("shop", 90);
  await world.runUntil(
    controller,
    () =>
      vmsOf(world, (vm) => vm.homePool === "extra" && vm.pool === "shop")
        .length === 1,
  );
  const next = buildConfig([SPARE, IDLE]);
  world.apply(next);
  world.demandSlots.set("shop", 0);
  await world.runUntil(
    controller,
    () => vmsOf(world, (vm) => vm.pool === "extra").length === 0,
  );
  assert.equal(checkRecord(world.record(), next), []);
  await world.runUntil(
    controller,
    () => inState(world, "serving").length === 12,
  );
});

// Guards against a shortage by failure that the planner leaves as it is.
test("a pool that loses VMs gets a spare one", async () => {
  const { world, controller } = startWorld([SPARE, IDLE]);
  await world.runUntil(controller, () => world.record().revision > 0);
  for (const id of ["shop-1", "shop-2", "shop-3"]) world.workers.delete(id);
  await world.runUntil(controller, () => lentTo(world, "shop").length === 1);
  const log = world.store.history(decisionLogKey(REGION)).at(-1)?.value ?? "";
  assert.match(log, "repair_loan");
});

// Guards against a record of the same refusal in each planning step, and against a new reason that is not recorded.
test("a refused loan is recorded when its reason changes", async () => {
  const pools = [{ ...SPARE, maximumLentVms: 0 }, IDLE];
  const { world, controller } = startWorld(pools);
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
  await world.runUntil(controller, () => maintained(world).length === 8);
  const { revision } = world.record();
  await step(50);
  assert.equal(reasons(), ["its lending bound is reached"]);
  world.apply(buildConfig([{ ...SPARE, minimumServingVms: 4 }, IDLE]));
  await step(50);
  assert.equal(reasons().slice(1), ["its budget leaves no VM"]);
  assert.is(world.record().revision, revision);
});

// Guards against drains that entries acknowledge with a record from before a restore of the store, and against loans that it undoes.
test("a restored older record is replaced by the one that entries follow", async () => {
  const { store, world, controller } = startWorld([SPARE, IDLE]);
  world.demandSlots.set("shop", 50);
  await world.runUntil(controller, () => lentTo(world, "shop").length > 0);
  const history = store.history(fleetKey(REGION));
  const latest = world.record();
  await store.compareAndSwap({
    key: fleetKey(REGION),
    expectedVersion: history.at(-1)?.version ?? 0,
    value: history[0]?.value ?? "",
  });
  const fleet = createObservable<FleetRecord | undefined>(latest);
  store.lapseLease(`controller/${REGION}`);
  const successor = world.addController("c2", { fleet });
  const entry = world.entries.get("entry-1");
  assert.ok(entry);
  entry.follows = false;
  entry.digest = { ...entry.digest, fleetRevision: latest.revision + 1 };
  world.tick(1_000);
  // A peer that has a newer record still has to hand it over.
  assert.is((await successor.step()).kind, "outdated_record");
  entry.digest = { ...entry.digest, fleetRevision: latest.revision };
  world.tick(1_000);
  assert.is((await successor.step()).kind, "written");
  assert.equal(world.record(), { ...latest, revision: latest.revision + 1 });
});

// Guards against an older program that misreads a newer record.
test("a record with an unknown newer schema version is refused", () => {
  const { world } = startWorld([SHOP]);
  const newer = { ...world.record(), schemaVersion: 2 };
  assert.throws(
    () => parseFleetRecord(JSON.stringify(newer)),
    (error: unknown) => error instanceof ValidationError,
  );
});

// Guards against intents that are carried out although their record was never written.
test("a lost response counts as written only if the record is in force", async () => {
  const { store, world } = startWorld([SHOP]);
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

// Guards against a reboot of a worker whose task was recorded but is not in its lagging report yet.
test("a drain waits for recorded tasks and for a readable record of them", async () => {
  const { world } = startWorld([SHOP]);
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
    () => inState(world, "draining").length > 0,
  );
  for (assigned of ["unreadable", 1] as const) {
    for (let step = 0; step < 20; step++) {
      world.tick(5_000);
      await controller.step();
    }
    assert.equal(inState(world, "rebooting"), []);
    assert.equal(maintained(world), []);
  }
  assigned = 0;
  await world.runUntil(controller, () => maintained(world).length > 0);
});

test.run();
