import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  openTasks,
  registrationOf,
  spec,
} from "../../testing/scheduler_helpers.ts";
import { measureCapacity } from "./deferral.ts";
import { meanCapacity } from "./placed_tasks.ts";

const test = suite("pool capacity");

const TYPICAL = { cpuMillis: 200, memoryMb: 1_000, gpuCount: 0 };
const SHRUNK = { ...TYPICAL, cpuMillis: 1 };

// Guards against a pool that is taken for many times too small or too large because its first worker's capacity has changed.
test("the typical capacity of a pool doesn't depend on one worker", () => {
  const capacities = [800, 32_000, 32_000, 32_000].map((cpuMillis) => ({
    cpuMillis,
    memoryMb: 64_000,
    gpuCount: 0,
  }));
  assert.deepEqual(meanCapacity(capacities), {
    cpuMillis: 24_200,
    memoryMb: 64_000,
    gpuCount: 0,
  });
  assert.equal(meanCapacity([]), undefined);
});

// Guards against a pool whose jobs are all deferred because one worker holds more than its capacity after a shrink.
test("a worker that has shrunk below its tasks takes no capacity from the others", () => {
  const { scheduler, addWorker } = createTestScheduler();
  const worker = addWorker("w1");
  const other = addWorker("w2");
  scheduler.accept(spec([{ taskCount: 2, longRunning: true }]));
  for (const task of openTasks(scheduler)) {
    scheduler.place(task, worker, { run: 1, ticket: undefined });
  }
  worker.registration = { ...registrationOf(1, ""), capacity: SHRUNK };
  other.registration = { ...registrationOf(1, ""), capacity: TYPICAL };
  const { vms } = measureCapacity([worker, other], {
    vmCapacity: TYPICAL,
    meanDurationMs: 100,
    arrivingVms: 0,
  });
  assert.equal(vms, 1);
});

// Guards against jobs that are deferred because the work of a shrunk worker's tasks beyond its capacity is charged to the other workers.
test("tasks beyond a shrunk worker's capacity are no work of the others", () => {
  const { scheduler, addWorker } = createTestScheduler();
  const worker = addWorker("w1");
  const other = addWorker("w2");
  scheduler.accept(spec([{ taskCount: 2 }]));
  for (const task of openTasks(scheduler)) {
    scheduler.place(task, worker, { run: 1, ticket: undefined });
  }
  other.registration = { ...registrationOf(1, ""), capacity: TYPICAL };
  const measure = (cpuMillis: number) => {
    const capacity = { ...TYPICAL, cpuMillis };
    worker.registration = { ...registrationOf(1, ""), capacity };
    return measureCapacity([worker, other], {
      vmCapacity: TYPICAL,
      meanDurationMs: 100,
      arrivingVms: 0,
    });
  };
  assert.deepEqual(measure(200), { vms: 2, arrivingVms: 0, runningVmMs: 50 });
  assert.deepEqual(measure(100), {
    vms: 1.5,
    arrivingVms: 0,
    runningVmMs: 25,
  });
});

test.run();
