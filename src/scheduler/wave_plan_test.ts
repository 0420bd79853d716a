import assert from "node:assert/strict";
import { suite } from "uvu";
import { planWave, type WaveVm } from "./wave_plan.ts";

const test = suite("wave plan");

function vm(vmId: string, fields: Partial<WaveVm> = {}): WaveVm {
  return {
    vmId,
    orderable: true,
    cordoned: false,
    cordonedMs: 0,
    batchTasks: 0,
    withinBudgets: true,
    ...fields,
  };
}

// Guards against taking more VMs down at once than the operators allow.
test("idle VMs are maintained at once, up to the limit including VMs already down", () => {
  const vms = [1, 2, 3, 4].map((index) => vm(`vm-${index}`));
  const actions = planWave(vms, {
    down: 1,
    maximumDown: 3,
    timeLeftMs: 20_000,
  });
  assert.deepEqual(actions.maintain, ["vm-1", "vm-2"]);
  assert.deepEqual(
    planWave(vms, { down: 3, maximumDown: 3, timeLeftMs: 20_000 }).maintain,
    [],
  );
});

// Guards against discarding work although there is time to let it finish.
test("busy VMs are drained first, as few at a time as the deadline allows", () => {
  const vms = Array.from(
    { length: 8 },
    (_, index) => vm(`vm-${index}`, { batchTasks: index + 1 }),
  );
  const early = planWave(vms, { down: 0, maximumDown: 8, timeLeftMs: 25_000 });
  assert.deepEqual(early.maintain, []);
  assert.equal(early.cordon.length, 3);
  assert.equal(early.cordon[0], "vm-0");
  const late = planWave(vms, { down: 0, maximumDown: 8, timeLeftMs: 6_000 });
  assert.equal(late.cordon.length, 8);
});

// Guards against a wave that is late because of one task that doesn't end.
test("a VM that doesn't drain is maintained after the timeout", () => {
  const busy = vm("vm-1", { batchTasks: 1, cordoned: true, cordonedMs: 1_000 });
  const wave = { down: 0, maximumDown: 2, timeLeftMs: 10_000 };
  assert.deepEqual(planWave([busy], wave).maintain, []);
  assert.deepEqual(
    planWave([{ ...busy, cordonedMs: 5_000 }], wave).maintain,
    ["vm-1"],
  );
});

// Guards against making more tasks of a step unavailable than its disruption budget allows.
test("a VM waits while maintaining it would exceed a step's budget", () => {
  const actions = planWave([vm("vm-1", { withinBudgets: false })], {
    down: 0,
    maximumDown: 2,
    timeLeftMs: 10_000,
  });
  assert.deepEqual(actions.maintain, []);
});

test.run();
