import assert from "node:assert/strict";
import process from "node:process";
import { suite } from "uvu";
import { createRandom } from "../../testing/random.ts";
import {
  type AllocationPolicy,
  simulateRotatingPeaks,
} from "../../testing/rotating_load_model.ts";
import { type PlannedPool, type PlannedVm, planPools } from "./pool_plan.ts";

const test = suite("pool plan");

const SEED = Number(process.env.SEED ?? 1);

function simulateSurges(policy: AllocationPolicy, seed: number) {
  const random = createRandom(seed);
  return simulateRotatingPeaks({
    services: [
      { name: "quoting", jobsPerSecond: 5, jobCores: 11, jobMs: 1_300, vms: 6 },
      { name: "cutshop", jobsPerSecond: 1, jobCores: 24, jobMs: 2_600, vms: 6 },
      { name: "survey", jobsPerSecond: 6, jobCores: 11, jobMs: 1_300, vms: 8 },
      {
        name: "dispatch",
        jobsPerSecond: 1.2,
        jobCores: 24,
        jobMs: 2_600,
        vms: 9,
      },
    ],
    spareVms: 6,
    vmCores: 32,
    peakIntervalMs: 8_500,
    durationMs: 68_000,
    maximumWaitMs: 1_000,
    policy,
    random: () => random.next(),
  });
}

/** Simulates a fleet of 246 VMs whose arrivals pause for 0.6 s while each surge rises. */
function simulateLargeFleet(seed: number) {
  const random = createRandom(seed);
  const jobs = { jobCores: 25, jobMs: 1_600 };
  return simulateRotatingPeaks({
    services: [
      { name: "quoting", jobsPerSecond: 20, ...jobs, vms: 44 },
      { name: "cutshop", jobsPerSecond: 10, ...jobs, vms: 49 },
      { name: "survey", jobsPerSecond: 20, ...jobs, vms: 54 },
      { name: "dispatch", jobsPerSecond: 10, ...jobs, vms: 60 },
    ],
    spareVms: 39,
    vmCores: 32,
    peakIntervalMs: 8_500,
    durationMs: 34_000,
    maximumWaitMs: 1_000,
    policy: "plan",
    pause: { afterMs: 2_500, forMs: 600 },
    random: () => random.next(),
  });
}

function pool(name: string, fields: Partial<PlannedPool> = {}): PlannedPool {
  return {
    name,
    spare: false,
    usedVms: 0,
    waitingVms: 0,
    lateVms: 0,
    longestWaitMs: 0,
    expectedVms: 0,
    arriving: 0,
    ...fields,
  };
}

function vm(
  vmId: string,
  poolName: string,
  fields: Partial<PlannedVm> = {},
): PlannedVm {
  return {
    vmId,
    pool: poolName,
    taskCount: 0,
    longRunningTasks: 0,
    idleMs: 0,
    cordoned: false,
    movable: true,
    ...fields,
  };
}

// Guards against pools that stay too small during their surge, or stay powered on after it.
test("successive surges: fewer late jobs than fixed pools and threshold lending, fewer VM seconds than fixed pools", () => {
  const total = { fixed: 0, threshold: 0, plan: 0 };
  const seconds = { fixed: 0, threshold: 0, plan: 0 };
  for (let round = 0; round < 4; round++) {
    for (const policy of ["fixed", "threshold", "plan"] as const) {
      const result = simulateSurges(policy, SEED + round);
      total[policy] += result.late / result.jobs;
      seconds[policy] += result.vmSeconds;
    }
  }
  assert.ok(total.plan < total.fixed / 2, JSON.stringify(total));
  assert.ok(total.plan < total.threshold, JSON.stringify(total));
  assert.ok(seconds.plan < seconds.fixed, JSON.stringify(seconds));
});

// Guards against a move that would kill running tasks.
test("a VM with tasks is cordoned and never moved", () => {
  const plan = planPools(
    [pool("a", { usedVms: 3, waitingVms: 2 }), pool("b", { usedVms: 0.5 })],
    [
      vm("a1", "a", { taskCount: 5 }),
      ...[1, 2, 3, 4].map((index) => vm(`b${index}`, "b", { taskCount: 1 })),
    ],
  );
  assert.deepEqual(plan.moves, []);
  assert.equal(plan.cordons.length, 2);
});

// Guards against stopping long-running tasks to move their VM.
test("a VM with long-running tasks stays in its pool", () => {
  const plan = planPools(
    [pool("a", { waitingVms: 3 }), pool("b")],
    [1, 2, 3, 4].map((index) =>
      vm(`b${index}`, "b", { taskCount: 1, longRunningTasks: 1 })
    ),
  );
  assert.deepEqual([plan.moves, plan.cordons], [[], []]);
});

// Guards against ending a long-running task by the move of its VM: a run that the owner treats as unwanted isn't among the VM's tasks.
test("a VM with an unwanted long-running run isn't taken as idle", () => {
  const plan = planPools(
    [pool("a", { waitingVms: 3 }), pool("b")],
    [1, 2, 3, 4, 5, 6].map((index) =>
      vm(`b${index}`, "b", { longRunningTasks: index === 1 ? 1 : 0 })
    ),
  );
  // The pool has a surplus of idle VMs, the first of which has the run.
  assert.ok(plan.moves.length > 0);
  assert.equal(plan.moves.some(({ vmId }) => vmId === "b1"), false);
});

// Guards against starving a pool at the start of its surge while another keeps VMs for forecast work.
test("overlapping surges: waiting work takes precedence over forecast work", () => {
  const plan = planPools(
    [
      pool("a", { usedVms: 2, expectedVms: 8 }),
      pool("b", { usedVms: 1, waitingVms: 4 }),
    ],
    [
      ...[1, 2, 3, 4, 5, 6].map((index) =>
        vm(`a${index}`, "a", { taskCount: index <= 3 ? 1 : 0 })
      ),
      vm("b1", "b", { taskCount: 1 }),
      vm("b2", "b", { taskCount: 1 }),
    ],
  );
  assert.deepEqual(
    plan.moves.map(({ from, to }) => [from, to]),
    [["a", "b"], ["a", "b"], ["a", "b"]],
  );
});

// Guards against VMs that stay cordoned after the demand for them has passed.
test("a cordoned VM is uncordoned when no pool is short of VMs", () => {
  const plan = planPools(
    [pool("a", { usedVms: 2 }), pool("b", { usedVms: 1 })],
    [
      vm("a1", "a", { taskCount: 1, cordoned: true }),
      vm("a2", "a", { taskCount: 1 }),
      vm("b1", "b", { taskCount: 1 }),
      vm("b2", "b", { taskCount: 1 }),
      vm("b3", "b", { taskCount: 1 }),
    ],
  );
  assert.deepEqual(plan.uncordons, ["a1"]);
});

// Guards against a task that waits forever because the pool's free capacity is fragmented.
test("a long-waiting task gets one more VM although the total capacity suffices", () => {
  const vms = [
    vm("a1", "a", { taskCount: 2 }),
    vm("a2", "a", { taskCount: 2 }),
    vm("s1", "spare"),
  ];
  const smallDemand = pool("a", { usedVms: 1, waitingVms: 0.1 });
  const spare = pool("spare", { spare: true });
  assert.deepEqual(planPools([smallDemand, spare], vms).moves, []);
  assert.deepEqual(
    planPools([{ ...smallDemand, longestWaitMs: 2_000 }, spare], vms).moves,
    [{ vmId: "s1", from: "spare", to: "a" }],
  );
});

// Guards against paying for unneeded VMs, and against turning a VM off between two jobs.
test("a surplus VM is turned off only after it has been idle for a while", () => {
  const pools = [pool("a"), pool("spare", { spare: true })];
  const vms = (idleMs: number) =>
    [1, 2, 3].map((index) => vm(`a${index}`, "a", { idleMs }));
  assert.equal(planPools(pools, vms(500)).moves.length, 0);
  assert.equal(planPools(pools, vms(5_000)).moves.length, 1);
});

// Guards against VMs that are turned on and at once off again in a short dip in arrivals, so that the rest of the surge lacks them.
test("a surge in a large fleet with a dip in arrivals has few late jobs", () => {
  const total = { jobs: 0, late: 0 };
  for (let round = 0; round < 3; round++) {
    const result = simulateLargeFleet(SEED + round);
    total.jobs += result.jobs;
    total.late += result.late;
  }
  assert.ok(total.late < total.jobs / 20, JSON.stringify(total));
});

// Guards against a pool whose late backlog keeps every VM, which makes the jobs of the next surge late as well.
test("a late backlog yields VMs to another pool's work that can be on time", () => {
  const vms = [1, 2, 3, 4, 5, 6, 7, 8].map((index) =>
    vm(`a${index}`, "a", { taskCount: 2 })
  );
  const surgingVms = [
    vm("b1", "b", { taskCount: 2 }),
    vm("b2", "b", { taskCount: 2 }),
  ];
  const backlog = pool("a", { usedVms: 8, lateVms: 30 });
  const startingSurge = pool("b", { usedVms: 2, waitingVms: 5 });
  const plan = planPools([backlog, startingSurge], [...vms, ...surgingVms]);
  assert.ok(plan.cordons.length >= 1, JSON.stringify(plan));
  assert.ok(plan.cordons.every((id) => id.startsWith("a")));
  // Without competing work the backlog gets the available VMs.
  const alone = planPools(
    [backlog, pool("b"), pool("spare", { spare: true })],
    [...vms, vm("b1", "b"), vm("b2", "b"), vm("s1", "spare")],
  );
  assert.deepEqual(alone.moves.map(({ to }) => to), ["a"]);
});

// Guards against the pool with the largest need taking every VM when the needs exceed the fleet.
test("scarce VMs are divided by need, never below a pool's minimum", () => {
  const { targets } = planPools(
    [
      pool("a", { usedVms: 100, waitingVms: 200 }),
      pool("b", { usedVms: 5, waitingVms: 20 }),
      pool("c"),
    ],
    Array.from({ length: 60 }, (_, index) => vm(`a${index}`, "a")),
  );
  assert.ok(targets.a! > 40 && targets.a! < 56, JSON.stringify(targets));
  assert.ok(targets.b! >= 4, JSON.stringify(targets));
  assert.equal(targets.c, 2);
});

// Guards against deferring jobs although VMs are on their way, and against a fleet that is full without anyone knowing.
test("a pool is scarce only when its tasks need more VMs than the fleet has", () => {
  const vms = [1, 2, 3, 4].flatMap((index) => [
    vm(`a-${index}`, "a", { taskCount: 3 }),
    vm(`b-${index}`, "b", { idleMs: 10_000 }),
  ]);
  const needy = pool("a", { usedVms: 3, waitingVms: 1 });
  const idle = pool("b");
  assert.deepEqual(planPools([needy, idle], vms).scarcePools, []);
  assert.deepEqual(
    planPools([{ ...needy, waitingVms: 12 }, idle], vms).scarcePools,
    ["a"],
  );
});

test.run();
