import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import {
  type ClusterEntry,
  QUEUE,
  SchedulerCluster,
} from "../../testing/scheduler_cluster.ts";
import { waitFor } from "../../testing/wait.ts";
import { STORE_KEYS } from "./ownership.ts";
import { RUN_LEASE_MS } from "./worker_link.ts";

const test = suite("ownership under faults");
const seed = chooseSeed();

const STEPS = [
  { taskCount: 4, cpuMillis: 1_000, memoryMb: 500, estimatedMs: 60 },
  {
    taskCount: 3,
    cpuMillis: 2_000,
    memoryMb: 500,
    estimatedMs: 80,
    after: [0],
  },
];

async function withCluster(
  name: string,
  body: (cluster: SchedulerCluster) => Promise<void>,
): Promise<void> {
  const random = createRandom(seed + name.length);
  const cluster = new SchedulerCluster(random);
  try {
    for (let index = 0; index < 6; index++) cluster.addWorker(index);
    for (let index = 0; index < 3; index++) cluster.startEntry();
    await body(cluster);
    assert.deepEqual(cluster.invariants.violations, [], `seed ${seed}`);
  } finally {
    await cluster.close();
  }
}

// Guards against a job that is lost or a task that runs twice when the owner is killed between storing a
// record and sending the order.
test("jobs end once while owners are killed one after the other", async () => {
  await withCluster("kill", async (cluster) => {
    const jobs: string[] = [];
    for (let round = 0; round < 4; round++) {
      await waitFor("an owner", () => cluster.owner() !== undefined);
      for (let index = 0; index < 8; index++) {
        jobs.push(await cluster.submit(STEPS));
      }
      await delay(cluster.random.nextInteger(120));
      const owner = cluster.owner();
      if (owner !== undefined) await cluster.killEntry(owner);
      cluster.startEntry();
    }
    for (const job of jobs) await cluster.waitForStatus(job, "completed");
  });
});

// Guards against orders that a worker executes seconds later, after the task was placed on another worker.
test("late orders and lost responses never make a task run twice", async () => {
  await withCluster("late orders", async (cluster) => {
    cluster.workers.faults.lateOrderRate = 0.08;
    const jobs = await Promise.all(
      Array.from({ length: 30 }, () => cluster.submit(STEPS)),
    );
    await delay(800);
    const owner = cluster.owner();
    if (owner !== undefined) await cluster.killEntry(owner);
    cluster.startEntry();
    await delay(1_500);
    cluster.workers.faults.lateOrderRate = 0;
    for (const job of jobs) await cluster.waitForStatus(job, "completed");
  });
});

// Guards against tasks that run twice, and workers that are overloaded, when workers execute orders late
// and refuse others at the same time.
test("late orders to workers that also refuse orders never make a task run twice", async () => {
  await withCluster("late and refused orders", async (cluster) => {
    cluster.workers.faults.lateOrderRate = 0.2;
    cluster.workers.faults.unhealthyRate = 0.4;
    const jobs = await Promise.all(
      Array.from({ length: 30 }, () => cluster.submit(STEPS)),
    );
    await delay(5_000);
    cluster.workers.faults.lateOrderRate = 0;
    cluster.workers.faults.unhealthyRate = 0;
    for (const job of jobs) await cluster.waitForStatus(job, "completed");
  });
});

// Guards against a commit that is executed after a newer one and against accepted jobs that are lost
// together with a response of the store.
test("lost and late responses of the store", async () => {
  await withCluster("store answers", async (cluster) => {
    cluster.store.faults.lostAnswerRate = 0.2;
    cluster.store.faults.lateChangeRate = 0.1;
    const jobs = await Promise.all(
      Array.from({ length: 20 }, () => cluster.submit(STEPS)),
    );
    await delay(1_000);
    const owner = cluster.owner();
    if (owner !== undefined) await cluster.killEntry(owner);
    cluster.startEntry();
    await delay(1_500);
    cluster.store.faults.lostAnswerRate = 0;
    cluster.store.faults.lateChangeRate = 0;
    for (const job of jobs) await cluster.waitForStatus(job, "completed");
  });
});

// Guards against runs whose lease expires, or that run twice, while the store is unavailable and has ended
// the owner's lease.
test("an outage of the store that ends all leases", async () => {
  await withCluster("outage", async (cluster) => {
    const longRunning = await cluster.submit([
      { taskCount: 2, cpuMillis: 1_000, longRunning: true },
    ]);
    await cluster.waitForStatus(longRunning, "running");
    const jobs = await Promise.all(
      Array.from({ length: 10 }, () => cluster.submit(STEPS)),
    );
    cluster.store.faults.down = true;
    await delay(2_500);
    cluster.store.expireAllLeases();
    await delay(500);
    cluster.store.faults.down = false;
    cluster.store.compactHistory();
    for (const job of jobs) await cluster.waitForStatus(job, "completed");
    const runs = [...cluster.workers.workers.values()].flatMap((worker) =>
      [...worker.running.values()].filter(({ taskId }) =>
        taskId.startsWith(longRunning)
      )
    );
    assert.deepEqual(runs.map(({ run }) => run), [1, 1]);
  });
});

// Guards against callers of the owner's entry that get no retry time although its store rejects every write.
test("the owner's entry refuses submissions while the store is unavailable", async () => {
  await withCluster("owner refuses", async (cluster) => {
    await waitFor("an owner", () => cluster.owner() !== undefined);
    cluster.store.faults.down = true;
    const result = await cluster.owner()!.frontend.submit(
      QUEUE,
      { jobId: "00000000000000ff", specification: "", steps: STEPS } as never,
      { requestId: "", deadlineMs: performance.now() + 2_000 },
    );
    assert.equal(result.kind, "refused");
    cluster.store.faults.down = false;
  });
});

// Guards against an owner that keeps starting tasks after another entry has taken over.
test("an owner that the store rejects is replaced, and its workers accept the new one", async () => {
  await withCluster("refused owner", async (cluster) => {
    await waitFor("an owner", () => cluster.owner() !== undefined);
    const first = cluster.owner()!;
    cluster.store.faults.refusedClients.add(first.id);
    await waitFor(
      "another owner",
      () =>
        cluster.entries.some((entry) =>
          entry !== first && entry.election.localOwner() !== undefined
        ),
    );
    const others = cluster.entries.filter((entry) => entry !== first);
    cluster.entries.splice(0, cluster.entries.length, ...others, first);
    const job = await cluster.submit(STEPS);
    await cluster.waitForStatus(job, "completed");
    await waitFor(
      "the old owner to step down",
      () => first.election.localOwner() === undefined,
    );
  });
});

/** Longest time without an owner, in ms: less than the owner's lease of 2 s; an election and loading take well under 0.5 s. */
const TAKEOVER_LIMIT_MS = 1_700;

/** Waits for an owner with a higher epoch; returns the time that it took, in ms. */
async function measureTakeover(
  cluster: SchedulerCluster,
  epoch: number,
): Promise<number> {
  const startedAtMs = performance.now();
  await waitFor(
    "a newer owner",
    () =>
      cluster.entries.some(({ election }) =>
        (election.localOwner()?.epoch ?? 0) > epoch
      ),
  );
  return performance.now() - startedAtMs;
}

// Guards against an owner that can't reach the store and starts no tasks for seconds, although another
// entry could take over at once.
test("an owner that the store rejects asks another entry to take over before its lease expires", async () => {
  await withCluster("relief", async (cluster) => {
    await waitFor("an owner", () => cluster.owner() !== undefined);
    const first = cluster.owner()!;
    const { epoch } = first.election.localOwner()!;
    cluster.store.faults.refusedClients.add(first.id);
    const waitedMs = await measureTakeover(cluster, epoch);
    assert.ok(waitedMs < TAKEOVER_LIMIT_MS, `${waitedMs} ms`);
  });
});

// Guards against a restarted owner that waits until the lease of its earlier process has expired.
test("a restarted owner becomes the owner again before the lease of its earlier process expires", async () => {
  await withCluster("restart", async (cluster) => {
    await waitFor("an owner", () => cluster.owner() !== undefined);
    const first = cluster.owner()!;
    const { epoch } = first.election.localOwner()!;
    await cluster.killEntry(first);
    cluster.store.faults.refusedClients.delete(first.id);
    cluster.startEntry(first.id);
    const waitedMs = await measureTakeover(cluster, epoch);
    assert.ok(waitedMs < TAKEOVER_LIMIT_MS, `${waitedMs} ms`);
  });
});

/** Waits until the owner may be suspected, injects a fault and makes the other entries query it for a job's status. */
async function queryFaultyOwner(
  cluster: SchedulerCluster,
  fault: "unreachable" | "unresponsive",
): Promise<{ epoch: number; first: ClusterEntry }> {
  await waitFor("an owner", () => cluster.owner() !== undefined);
  const first = cluster.owner()!;
  const { epoch } = first.election.localOwner()!;
  await delay(5_100);
  cluster[fault].add(first.id);
  for (const entry of cluster.entries) {
    if (entry === first) continue;
    void entry.frontend.status("00000000000000aa", {
      requestId: "",
      deadlineMs: performance.now() + 2_000,
    });
  }
  return { epoch, first };
}

// Guards against waiting for the lease of an owner whose VM has lost power: no task starts in the meantime.
test("an owner to which no entry can connect is replaced before its lease expires", async () => {
  await withCluster("dark", async (cluster) => {
    cluster.startEntry();
    const { epoch } = await queryFaultyOwner(cluster, "unreachable");
    const waitedMs = await measureTakeover(cluster, epoch);
    assert.ok(waitedMs < TAKEOVER_LIMIT_MS, `${waitedMs} ms`);
  });
});

// Guards against owners that replace each other every few seconds under a load that makes each of them
// respond too slowly.
test("an owner that accepts connections but is too busy to respond is not replaced", async () => {
  await withCluster("busy", async (cluster) => {
    cluster.startEntry();
    const { epoch, first } = await queryFaultyOwner(cluster, "unresponsive");
    await delay(1_200);
    assert.equal(first.election.localOwner()?.epoch, epoch);
  });
});

// Guards against replacing an owner because a single entry can't reach it.
test("an owner that another entry can reach is not replaced", async () => {
  await withCluster("witness", async (cluster) => {
    await waitFor("an owner", () => cluster.owner() !== undefined);
    await delay(5_100);
    const first = cluster.owner()!;
    const { epoch } = first.election.localOwner()!;
    const suspecting = cluster.entries.find((entry) => entry !== first)!;
    cluster.brokenLinks.add(`${suspecting.id} ${first.id}`);
    suspecting.election.suspectOwner();
    await delay(600);
    assert.equal(first.election.localOwner()?.epoch, epoch);
    assert.equal(suspecting.election.localOwner(), undefined);
  });
});

// Guards against starting a task of an unreachable worker on another one while it may still run there.
test("tasks of an unreachable worker run elsewhere only after their lease has expired", async () => {
  await withCluster("cut worker", async (cluster) => {
    const job = await cluster.submit([
      { taskCount: 6, cpuMillis: 4_000, estimatedMs: 3_000 },
    ]);
    await waitFor(
      "tasks run",
      () =>
        [...cluster.workers.workers.values()].some(({ running }) =>
          running.size > 0
        ),
    );
    const unreachable = [...cluster.workers.workers.values()].find((
      { running },
    ) => running.size > 0)!;
    cluster.workers.faults.unreachable.add(unreachable.registration.workerId);
    await cluster.waitForStatus(job, "completed");
  });
});

// Guards against runs of a worker that is alive but silent being started again, or given up, before their lease has expired;
// and against runs that a paused VM goes on with, or starts by an old order, once they run elsewhere.
for (const fault of ["silent", "paused"] as const) {
  test(`tasks of a ${fault} worker keep running, and run elsewhere only once their lease has expired`, async () => {
    await withCluster(`${fault} workers`, async (cluster) => {
      const outagesMs = [1_000, 3_000, 6_000, 10_000];
      const job = await cluster.submit([
        { taskCount: 5, maxPerWorker: 1, longRunning: true },
      ]);
      const listRuns = () =>
        [...cluster.workers.workers.values()].flatMap((worker) =>
          [...worker.running.values()].filter(({ taskId }) =>
            taskId.startsWith(job)
          ).map(({ taskId, run }) => ({ worker, taskId, run }))
        );
      await waitFor("all tasks run", () => listRuns().length === 5);
      const before = listRuns();
      const affected = cluster.workers.faults[fault];
      await Promise.all(outagesMs.map(async (durationMs, index) => {
        const { worker, taskId } = before[index]!;
        const { workerId } = worker.registration;
        affected.add(workerId);
        await delay(durationMs);
        affected.delete(workerId);
        await delay(1_000);
        const runs = listRuns().filter((entry) => entry.taskId === taskId);
        assert.equal(runs.length, 1, `${durationMs} ms`);
        const [run] = runs;
        if (durationMs < RUN_LEASE_MS) {
          assert.equal(run?.worker, worker, `${durationMs} ms`);
          assert.equal(run?.run, 1, `${durationMs} ms`);
        } else assert.ok((run?.run ?? 0) > 1, `${durationMs} ms`);
      }));
    });
  });
}

// Guards against a start of a job whose cancellation was acknowledged while a new owner loaded the queue over a slow link.
test("a job that is cancelled while a new owner loads the queue isn't started", async () => {
  await withCluster("cancelled during load", async (cluster) => {
    for (const { registration } of cluster.workers.workers.values()) {
      cluster.workers.faults.unreachable.add(registration.workerId);
    }
    const cancelled = await cluster.submit(STEPS);
    const other = await cluster.submit(STEPS);
    await waitFor("an owner", () => cluster.owner() !== undefined);
    const owner = cluster.owner()!;
    const rest = cluster.entries.filter((entry) => entry !== owner);
    const listsBefore = rest.map(({ freezePoint }) =>
      freezePoint.countCalls("store.list")
    );
    for (const { freezePoint } of rest) {
      freezePoint.slowDown("store.list", 600);
      freezePoint.slowDown("store.watch", 3_000);
    }
    await cluster.killEntry(owner);
    // The queue is the second list that a new owner reads.
    const isLoading = ({ freezePoint }: ClusterEntry, index: number) =>
      freezePoint.countCalls("store.list") >= listsBefore[index]! + 2;
    await waitFor("the queue is read", () => rest.some(isLoading));
    const newOwner = rest.find(isLoading)!;
    const entry = rest.find((candidate) => candidate !== newOwner)!;
    const result = await entry.frontend.cancel(cancelled, {
      requestId: "",
      deadlineMs: performance.now() + 2_000,
    });
    assert.equal(result.kind, "cancelled");
    assert.equal(newOwner.election.localOwner(), undefined);
    cluster.workers.faults.unreachable.clear();
    await waitFor(
      "the other job is done",
      () =>
        [...cluster.invariants.done].filter((taskId) =>
          taskId.startsWith(other)
        ).length === 7,
      { timeoutMs: 30_000 },
    );
    const starts = [...cluster.workers.workers.values()].flatMap((
      { highestRun },
    ) => [...highestRun.keys()]);
    assert.deepEqual(
      starts.filter((taskId) => taskId.startsWith(cancelled)),
      [],
    );
  });
});

// Guards against jobs that never run because the progress of one of them doesn't fit into a record of the store, and against
// a large job that loses tasks, or runs them again, when the owner changes.
test("a job with more progress than a record can hold runs once, beside others, over a change of owner", async () => {
  await withCluster("large job", async (cluster) => {
    cluster.store.faults.maximumValueBytes = 30_000;
    const large = await cluster.submit([
      { taskCount: 700, cpuMillis: 10, estimatedMs: 400 },
      { taskCount: 300, cpuMillis: 10, estimatedMs: 50, after: [0] },
    ]);
    await waitFor(
      "300 tasks are done",
      () => cluster.invariants.done.size >= 300,
      { timeoutMs: 30_000 },
    );
    const other = await cluster.submit(STEPS);
    const owner = cluster.owner();
    if (owner !== undefined) await cluster.killEntry(owner);
    cluster.startEntry();
    await cluster.waitForStatus(other, "completed");
    await cluster.waitForStatus(large, "completed");
    assert.equal(cluster.invariants.done.size, 1_007);
    const listParts = () =>
      [...cluster.store.items.keys()].filter((key) =>
        key.startsWith(`${STORE_KEYS.progressPrefix}${large}/`)
      );
    await waitFor("the parts are deleted", () => listParts().length === 0);
  });
});

// Guards against occurrences of a schedule that run again, or never, because the owner changes while it holds only some of them.
test("each overdue occurrence of a schedule runs once, over a change of owner", async () => {
  await withCluster("schedule", async (cluster) => {
    const job = await cluster.submit(
      [
        { taskCount: 8, cpuMillis: 100, estimatedMs: 40 },
        { taskCount: 2, cpuMillis: 100, estimatedMs: 20, after: [0] },
      ],
      { repeatCount: 150, firstRunMs: 1, intervalMs: 1 },
    );
    await waitFor(
      "300 tasks are done",
      () => cluster.invariants.done.size >= 300,
      { timeoutMs: 30_000 },
    );
    const owner = cluster.owner();
    if (owner !== undefined) await cluster.killEntry(owner);
    cluster.startEntry();
    await cluster.waitForStatus(job, "completed");
    assert.equal(cluster.invariants.done.size, 1_500);
    const listParts = () =>
      [...cluster.store.items.keys()].filter((key) =>
        key.startsWith(`${STORE_KEYS.progressPrefix}${job}/`)
      );
    await waitFor("the parts are deleted", () => listParts().length === 0);
  });
});

// Guards against a deployment without an owner because another writer has left something else under the owner's key.
for (
  const [name, value] of [
    ["no JSON", "{"],
    ["a nested list", "[".repeat(50_000) + "]".repeat(50_000)],
    [
      "a port out of range",
      JSON.stringify({ entryId: "x", address: "127.0.0.1:99999", epoch: 9 }),
    ],
  ] as const
) {
  test(`an owner's key that holds ${name} is replaced`, async () => {
    const cluster = new SchedulerCluster(createRandom(seed));
    try {
      cluster.addWorker(0);
      cluster.store.write(STORE_KEYS.owner, value);
      for (let index = 0; index < 2; index++) cluster.startEntry();
      await waitFor("an owner", () => cluster.owner() !== undefined);
      // It also replaces an owner that is at work.
      const { epoch } = cluster.owner()!.election.localOwner()!;
      cluster.store.write(STORE_KEYS.owner, value);
      await waitFor(
        "the next owner",
        () => (cluster.owner()?.election.localOwner()?.epoch ?? 0) > epoch,
      );
      const job = await cluster.submit(STEPS);
      await cluster.waitForStatus(job, "completed");
      assert.deepEqual(cluster.invariants.violations, []);
    } finally {
      await cluster.close();
    }
  });
}

// Guards against a deployment without an owner: an entry that the store refuses still reports an owner
// that has left, and the entry that asked it never campaigns.
for (const started of ["before", "after"] as const) {
  test(`an entry started ${started} the owner left campaigns although another one reports that owner`, async () => {
    const cluster = new SchedulerCluster(createRandom(seed));
    cluster.candidateDelayMs = 300;
    try {
      cluster.addWorker(0);
      const owner = cluster.startEntry();
      await waitFor("an owner", () => cluster.owner() !== undefined);
      const refused = cluster.startEntry();
      await waitFor(
        "the owner is known",
        () => refused.election.owner() !== undefined,
      );
      const early = started === "before" ? cluster.startEntry() : undefined;
      cluster.store.faults.refusedClients.add(refused.id);
      await delay(500);
      await cluster.stopEntry(owner);
      if (early === undefined) {
        await waitFor(
          "the owner's key is deleted",
          () => !cluster.store.items.has(STORE_KEYS.owner),
        );
      }
      const { election } = early ?? cluster.startEntry();
      await waitFor("the entry is the owner", () => {
        election.discoverOwner();
        return election.localOwner() !== undefined;
      }, { timeoutMs: 15_000 });
      // Its own tenure isn't ended by what the other entry reports.
      for (let round = 0; round < 10; round++) {
        election.discoverOwner();
        await delay(110);
      }
      assert.notEqual(election.localOwner(), undefined);
    } finally {
      await cluster.close();
    }
  });
}

// Guards against an owner of a large fleet that sends all orders itself because no entry has offered itself as a relay.
test("each other entry offers itself as a relay to every new owner", async () => {
  const cluster = new SchedulerCluster(createRandom(12));
  try {
    for (let index = 0; index < 3; index++) cluster.startEntry();
    for (const killed of [false, true]) {
      await waitFor("an owner", () => cluster.owner() !== undefined);
      const owner = cluster.owner()!;
      const listRelays = () => {
        const state = owner.election.localOwner()!.describeState() as {
          relays: Record<string, { address: string }[]>;
        };
        return (state.relays["dc-1"] ?? []).map(({ address }) => address);
      };
      await waitFor(
        "the offers",
        () => listRelays().length === (killed ? 1 : 2),
      );
      if (!killed) await cluster.killEntry(owner);
    }
  } finally {
    await cluster.close();
  }
});

test.run();
