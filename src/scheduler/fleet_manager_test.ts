import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { createRandom } from "../../testing/random.ts";
import { SchedulerCluster } from "../../testing/scheduler_cluster.ts";
import { waitFor } from "../../testing/wait.ts";
import { VM_ORDER_PREFIX } from "./vm_orders.ts";

const test = suite("fleet manager");

async function withCluster(
  body: (cluster: SchedulerCluster) => Promise<void>,
): Promise<void> {
  const cluster = new SchedulerCluster(createRandom(11));
  try {
    for (let index = 0; index < 3; index++) cluster.addWorker(index);
    cluster.startEntry();
    await body(cluster);
    assert.deepEqual(cluster.invariants.violations, []);
  } finally {
    await cluster.close();
  }
}

function findRun(cluster: SchedulerCluster, jobId: string) {
  for (const worker of cluster.workers.workers.values()) {
    for (const run of worker.running.values()) {
      if (run.taskId.startsWith(jobId)) return { worker, run };
    }
  }
  return undefined;
}

// Guards against a second run of a task: the platform also confirms maintenance that an earlier owner had carried out, and then ends nothing on the VM.
test("a confirmation of earlier maintenance doesn't free the tasks on the VM", async () => {
  await withCluster(async (cluster) => {
    const job = await cluster.submit([{ taskCount: 1, longRunning: true }]);
    await waitFor(
      "the task runs",
      () => findRun(cluster, job) !== undefined,
    );
    const before = findRun(cluster, job)!;
    let orders = 0;
    cluster.maintain = () => {
      orders++;
      return { kind: "done" };
    };
    cluster.waves.set(1, {
      wave: 1,
      vmIds: [before.worker.registration.vmId],
      deadlineMs: 10_000,
      maximumDown: 1,
    });
    await waitFor("the order", () => orders > 0);
    await delay(2_500);
    const after = findRun(cluster, job)!;
    assert.equal(after.worker, before.worker);
    assert.equal(after.run.run, 1);
    assert.equal(orders, 1);
  });
});

// Guards against tasks that wait for a lease to expire although their VM has been taken down.
test("maintenance that ends the worker frees its tasks at once", async () => {
  await withCluster(async (cluster) => {
    const job = await cluster.submit([{ taskCount: 1, longRunning: true }]);
    await waitFor(
      "the task runs",
      () => findRun(cluster, job) !== undefined,
    );
    const before = findRun(cluster, job)!;
    cluster.maintain = () => {
      before.worker.running.clear();
      before.worker.alive = false;
      return { kind: "done" };
    };
    cluster.waves.set(1, {
      wave: 1,
      vmIds: [before.worker.registration.vmId],
      deadlineMs: 10_000,
      maximumDown: 1,
    });
    await waitFor(
      "the task runs elsewhere",
      () => (findRun(cluster, job)?.run.run ?? 0) > 1,
      { timeoutMs: 4_000 },
    );
  });
});

// Guards against exceeding a step's disruption budget: the next VM must wait until the tasks of the previous one are ready again.
test("VMs whose tasks share a budget are maintained one after the other", async () => {
  await withCluster(async (cluster) => {
    const job = await cluster.submit([
      { taskCount: 2, maxPerWorker: 1, longRunning: true, mayMiss: 1 },
    ]);
    const listRunHosts = () =>
      [...cluster.workers.workers.values()].flatMap((worker) =>
        [...worker.running.values()].filter(({ taskId }) =>
          taskId.startsWith(job)
        ).map(() => worker)
      );
    await waitFor("both tasks run", () => listRunHosts().length === 2);
    cluster.listDelayMs = 400;
    const remainingRuns: number[] = [];
    cluster.maintain = (vmId) => {
      const worker = [...cluster.workers.workers.values()].find((
        { registration },
      ) => registration.vmId === vmId)!;
      worker.running.clear();
      worker.alive = false;
      remainingRuns.push(listRunHosts().length);
      return { kind: "done" };
    };
    cluster.waves.set(1, {
      wave: 1,
      vmIds: listRunHosts().map(({ registration }) => registration.vmId),
      deadlineMs: 10_000,
      maximumDown: 2,
    });
    await waitFor("both VMs are maintained", () => remainingRuns.length === 2, {
      timeoutMs: 15_000,
    });
    assert.deepEqual(remainingRuns, [1, 1]);
  });
});

// Guards against a wave that ends tasks at work while another task of the step, lost with a crashed worker, has only just started again.
test("a task that was lost in a crash counts as away until it has been at work for the notice period", async () => {
  const cluster = new SchedulerCluster(createRandom(11));
  try {
    for (let index = 0; index < 4; index++) cluster.addWorker(index);
    // Without the notice period, the order comes about 2 s after the task is back.
    cluster.noticeMs = 3_500;
    cluster.startEntry();
    const job = await cluster.submit([
      { taskCount: 2, maxPerWorker: 1, longRunning: true, mayMiss: 1 },
    ]);
    const listRuns = () =>
      [...cluster.workers.workers.values()].flatMap((worker) =>
        [...worker.running.values()].filter(({ taskId }) =>
          taskId.startsWith(job)
        ).map((run) => ({ worker, run }))
      );
    await waitFor("both tasks run", () => listRuns().length === 2);
    const [lost, other] = listRuns().map(({ worker }) => worker);
    lost!.running.clear();
    lost!.alive = false;
    await waitFor(
      "the lost task runs again",
      () => listRuns().some(({ run }) => run.run === 2),
      { timeoutMs: 10_000 },
    );
    const backAtMs = performance.now();
    let orderedAtMs = Infinity;
    cluster.maintain = () => {
      orderedAtMs = Math.min(orderedAtMs, performance.now());
      return { kind: "refused", reason: "invalid" };
    };
    cluster.waves.set(1, {
      wave: 1,
      vmIds: [other!.registration.vmId],
      deadlineMs: 10_000,
      maximumDown: 1,
    });
    await waitFor("the order", () => orderedAtMs < Infinity, {
      timeoutMs: 10_000,
    });
    const sinceBackMs = orderedAtMs - backAtMs;
    // `waitFor` may have noticed the start late.
    assert.ok(
      sinceBackMs >= cluster.noticeMs - 200,
      `ordered ${Math.round(sinceBackMs)} ms after the task was back`,
    );
    assert.deepEqual(cluster.invariants.violations, []);
  } finally {
    await cluster.close();
  }
});

// Guards against more VMs down for a wave than allowed: an order that an earlier owner sent last may be carried out after the new owner has read the VM list.
test("a recent maintenance order of an earlier owner counts towards the wave's limit", async () => {
  const cluster = new SchedulerCluster(createRandom(11));
  try {
    for (let index = 0; index < 3; index++) cluster.addWorker(index);
    cluster.holderGapMs = 1_500;
    const sentAtMs = Date.now();
    cluster.store.write(
      `${VM_ORDER_PREFIX}vm-0`,
      JSON.stringify({ kind: "maintain", wave: 1, epoch: 1, atMs: sentAtMs }),
    );
    const orders: { vmId: string; ageMs: number }[] = [];
    cluster.maintain = (vmId) => {
      orders.push({ vmId, ageMs: Date.now() - sentAtMs });
      return { kind: "done" };
    };
    cluster.waves.set(1, {
      wave: 1,
      vmIds: ["vm-0", "vm-1", "vm-2"],
      deadlineMs: 10_000,
      maximumDown: 1,
    });
    cluster.startEntry();
    await waitFor("an order", () => orders.length > 0, { timeoutMs: 10_000 });
    assert.ok(
      orders[0]!.ageMs >= cluster.holderGapMs,
      `${orders[0]!.vmId} was ordered after ${orders[0]!.ageMs} ms`,
    );
  } finally {
    await cluster.close();
  }
});

// Guards against more VMs down for a wave than allowed: an earlier owner's order without an answer may be carried out long after the time between the orders of two owners.
test("a maintenance that an earlier owner has ordered is ordered again before others", async () => {
  const cluster = new SchedulerCluster(createRandom(12));
  try {
    for (let index = 0; index < 3; index++) cluster.addWorker(index);
    cluster.holderGapMs = 200;
    cluster.store.write(
      `${VM_ORDER_PREFIX}vm-2`,
      JSON.stringify({
        kind: "maintain",
        wave: 1,
        epoch: 1,
        atMs: Date.now() - 5_000,
      }),
    );
    const orders: string[] = [];
    cluster.maintain = (vmId) => {
      orders.push(vmId);
      return { kind: "done" };
    };
    cluster.waves.set(1, {
      wave: 1,
      vmIds: ["vm-0", "vm-1", "vm-2"],
      deadlineMs: 10_000,
      maximumDown: 1,
    });
    cluster.startEntry();
    await waitFor("an order", () => orders.length > 0, { timeoutMs: 10_000 });
    assert.equal(orders[0], "vm-2");
  } finally {
    await cluster.close();
  }
});

// Guards against VMs that get no tasks for good because they were cordoned for a wave that was withdrawn.
test("the VMs of a withdrawn wave get tasks again", async () => {
  await withCluster(async (cluster) => {
    const job = await cluster.submit([
      { taskCount: 3, maxPerWorker: 1, longRunning: true, mayMiss: 0 },
    ]);
    const countRuns = (jobId: string) =>
      [...cluster.workers.workers.values()].flatMap(({ running }) => [
        ...running.values(),
      ]).filter(({ taskId }) => taskId.startsWith(jobId)).length;
    await waitFor("all tasks run", () => countRuns(job) === 3);
    cluster.waves.set(1, {
      wave: 1,
      vmIds: ["vm-0", "vm-1", "vm-2"],
      deadlineMs: 1_000,
      maximumDown: 3,
    });
    await delay(1_500);
    const next = await cluster.submit([
      { taskCount: 3, maxPerWorker: 1, longRunning: true },
    ]);
    await delay(500);
    assert.ok(countRuns(next) < 3, "no VM was cordoned");
    cluster.waves.delete(1);
    await waitFor("the next job runs", () => countRuns(next) === 3, {
      timeoutMs: 5_000,
    });
  });
});

// Guards against a wave that stops because one of its VMs went down while its order had no answer: a VM that is down refuses the repeated order as busy for as long as it is down.
test("a VM that has gone down doesn't keep its place in a wave", async () => {
  await withCluster(async (cluster) => {
    const ordered: string[] = [];
    cluster.maintain = (vmId) => {
      ordered.push(vmId);
      const worker = [...cluster.workers.workers.values()].find((
        { registration },
      ) => registration.vmId === vmId)!;
      if (vmId !== ordered[0]) {
        worker.alive = false;
        return { kind: "done" };
      }
      if (!worker.alive) return { kind: "refused", reason: "busy" };
      worker.alive = false;
      return { kind: "unknown" };
    };
    cluster.waves.set(1, {
      wave: 1,
      vmIds: ["vm-0", "vm-1"],
      deadlineMs: 10_000,
      maximumDown: 1,
    });
    // An order without an answer may be executed for 12.5 s.
    await waitFor(
      "the order of the other VM",
      () => new Set(ordered).size === 2,
      { timeoutMs: 40_000 },
    );
  });
});

/** Waits until the owner has requested the VM list once more. */
async function waitForListRequest(cluster: SchedulerCluster): Promise<void> {
  const requests = cluster.vmListRequests;
  await waitFor(
    "the VM list is requested",
    () => cluster.vmListRequests > requests,
    { timeoutMs: 10_000 },
  );
}

// Guards against a wave that is reported as completed although VMs added shortly before it were never maintained: the latest VM list is older than they are.
test("a wave waits for a VM that isn't in the VM list yet", async () => {
  await withCluster(async (cluster) => {
    await waitForListRequest(cluster);
    cluster.addWorker(3);
    const ordered: string[] = [];
    cluster.maintain = (vmId) => {
      ordered.push(vmId);
      return { kind: "done" };
    };
    cluster.waves.set(1, {
      wave: 1,
      vmIds: ["vm-3"],
      deadlineMs: 10_000,
      maximumDown: 1,
    });
    await waitFor(
      "the wave is completed",
      () => cluster.store.items.get("status/wave/1")?.value === "completed",
      { timeoutMs: 10_000 },
    );
    assert.deepEqual(ordered, ["vm-3"]);
  });
});

// Guards against a wave that never ends because it names a VM that has left.
test("a wave is completed without a VM that has left", async () => {
  await withCluster(async (cluster) => {
    cluster.waves.set(1, {
      wave: 1,
      vmIds: ["vm-7"],
      deadlineMs: 10_000,
      maximumDown: 1,
    });
    await waitFor(
      "the wave is completed",
      () => cluster.store.items.get("status/wave/1")?.value === "completed",
      { timeoutMs: 10_000 },
    );
    assert.ok(cluster.vmOrders.every(({ kind }) => kind !== "maintain"));
  });
});

// Guards against a second run of a task: a VM list that is older than the confirmation may show earlier maintenance, after which the worker has started.
test("a VM list from before an order was confirmed doesn't end the VM's worker", async () => {
  await withCluster(async (cluster) => {
    const job = await cluster.submit([{ taskCount: 1, longRunning: true }]);
    await waitFor("the task runs", () => findRun(cluster, job) !== undefined);
    const { vmId } = findRun(cluster, job)!.worker.registration;
    cluster.maintain = () => ({ kind: "done" });
    cluster.listDelayMs = 800;
    cluster.maintainedVms.add(vmId);
    await waitForListRequest(cluster);
    cluster.maintainedVms.delete(vmId);
    cluster.waves.set(1, {
      wave: 1,
      vmIds: [vmId],
      deadlineMs: 10_000,
      maximumDown: 1,
    });
    await waitFor("the order", () => cluster.vmOrders.length > 0);
    await delay(2_500);
    assert.equal(findRun(cluster, job)!.run.run, 1);
    assert.equal(
      cluster.vmOrders.filter(({ kind }) => kind === "maintain").length,
      1,
    );
  });
});

// Guards against a pool that gets no VMs, or loses them, because one registration of another writer distorts the mean capacity of its workers.
test("a registration without a worker doesn't change how many VMs a pool gets", async () => {
  await withCluster(async (cluster) => {
    for (let index = 3; index < 9; index++) cluster.addSpareVm(index);
    cluster.store.write(
      "servers/odd",
      JSON.stringify({
        ...cluster.workers.workers.get("worker-0")!.registration,
        workerId: "odd",
        vmId: "",
        capacity: {
          cpuMillis: 1_000_000_000,
          memoryMb: 1_000_000_000,
          gpuCount: 0,
        },
      }),
    );
    await waitFor("the registration is read", () => {
      const owner = cluster.owner()?.election.localOwner();
      return owner?.scheduler.workers.findRegistered("odd") !== undefined;
    });
    await cluster.submit([
      { taskCount: 60, cpuMillis: 2_000, estimatedMs: 2_000 },
    ]);
    await waitFor(
      "all spare VMs are ordered",
      () => new Set(cluster.vmOrders.map(({ vmId }) => vmId)).size === 6,
      { timeoutMs: 10_000 },
    );
  });
});

test.run();
