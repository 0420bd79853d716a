import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { SchedulerCluster } from "../../testing/scheduler_cluster.ts";
import {
  createTestScheduler,
  openTasks,
  registrationOf,
  spec,
} from "../../testing/scheduler_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import type { OrderOutcome } from "./ports.ts";
import type { WorkerInstance } from "./worker_table.ts";

const test = suite("changing capacity");

function setCpu(worker: WorkerInstance, cpuMillis: number): void {
  const capacity = { cpuMillis, memoryMb: 1_000, gpuCount: 0 };
  worker.registration = { ...registrationOf(1, "w1:1"), capacity };
}

/** Places both tasks of a job on a worker with room for them, without sending their orders. */
function placeTwo() {
  const context = createTestScheduler();
  const worker = context.addWorker("w1");
  setCpu(worker, 200);
  context.scheduler.accept(spec([{ taskCount: 2 }]));
  const tasks = openTasks(context.scheduler);
  for (const task of tasks) {
    context.scheduler.place(task, worker, { run: 1, ticket: undefined });
  }
  return { ...context, worker, tasks };
}

const startsOf = (calls: readonly string[]) =>
  calls.filter((call) => call.startsWith("start"));

// Guards against a LIMIT: the record of a placement takes seconds while the store is slow or away, and the worker's capacity shrinks meanwhile.
test("a recorded placement isn't started on a worker that has become too small for it", async () => {
  const { worker, tasks, calls, flush } = placeTwo();
  setCpu(worker, 100);
  await flush();
  assert.equal(startsOf(calls).length, 1);
  assert.deepEqual(tasks.map(({ phase }) => phase).sort(), [
    "placed",
    "waiting",
  ]);
  assert.equal(worker.tasks.reserved.cpuMillis, 100);
});

// Guards against a LIMIT: an order without an answer is sent again although the worker has become too small since.
test("an unanswered start isn't repeated on a worker that has become too small for it", async () => {
  const { worker, tasks, calls, state, flush } = placeTwo();
  state.onStart = (): OrderOutcome => {
    setCpu(worker, 50);
    return { kind: "unknown" };
  };
  await flush();
  assert.equal(startsOf(calls).length, 1);
  assert.equal(tasks[0]!.placement?.startState, "unresolved");
  assert.equal(calls.some((call) => call.startsWith("stop")), true);
});

// Guards against a LIMIT, and against room that stays unused, when the workers' capacity shrinks and grows while the store fails and the owner changes.
test("no start brings a worker over a capacity that shrinks and grows, and all of it is used again", async () => {
  const random = createRandom(chooseSeed());
  const cluster = new SchedulerCluster(random);
  cluster.workers.faults.capacityGraceMs = 2_000;
  try {
    for (let index = 1; index <= 4; index++) cluster.addWorker(index);
    cluster.startEntry();
    cluster.startEntry();
    await waitFor("an owner exists", () => cluster.owner() !== undefined);
    const jobs: string[] = [];
    for (let round = 0; round < 24; round++) {
      for (let index = 1; index <= 4; index++) {
        if (random.next() < 0.3) {
          cluster.setCapacity(index, [0, 1_000, 3_000, 8_000][round % 4]!);
        }
      }
      const steps = [{ taskCount: 6, cpuMillis: 1_000, estimatedMs: 300 }];
      jobs.push(await cluster.submit(steps));
      if (round % 8 === 3) cluster.store.faults.down = true;
      await delay(250);
      cluster.store.faults.down = false;
      if (round !== 12) continue;
      await cluster.killEntry(cluster.owner() ?? cluster.entries[0]!);
      cluster.startEntry();
    }
    for (let index = 1; index <= 4; index++) cluster.setCapacity(index, 8_000);
    for (const job of jobs) await cluster.waitForStatus(job, "completed");
    const wide = await cluster.submit([
      { taskCount: 30, cpuMillis: 1_000, longRunning: true },
    ]);
    await waitFor("all room is used again", () => {
      let running = 0;
      for (const worker of cluster.workers.workers.values()) {
        for (const { taskId } of worker.running.values()) {
          if (taskId.startsWith(wide)) running++;
        }
      }
      return running === 30;
    });
    assert.deepEqual(cluster.invariants.violations, []);
  } finally {
    await cluster.close();
  }
});

test.run();
