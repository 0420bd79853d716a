import assert from "node:assert/strict";
import fc from "fast-check";
import { suite } from "uvu";
import { createDueOccurrences, createJobState } from "./job_state.ts";
import { jobSpecSchema } from "./model.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import {
  createWorkerTable,
  tasksOnVm,
  type WorkerInstance,
} from "./worker_table.ts";

const test = suite("worker table");

const STEP = { taskCount: 4, cpuMillis: 500, memoryMb: 100 };

/** Creates an instance with the first tasks of a job. */
function createInstance(
  workerId: string,
  vmId: string,
  taskCount: number,
  step: object = STEP,
): WorkerInstance {
  const job = createJobState(jobSpecSchema.parse({
    jobId: "00000000000000aa",
    queue: "quotes",
    service: "quoting",
    maximumAttempts: 1,
    specification: "",
    steps: [step],
    acceptedAtMs: 0,
  }));
  createDueOccurrences(job, 0);
  const tasks = new PlacedTasks();
  for (const task of job.occurrences[0]!.steps[0]!.slice(0, taskCount)) {
    tasks.add(task);
  }
  return {
    workerId,
    bornAtMs: 1,
    vmId,
    link: undefined,
    registration: undefined,
    missingSinceMs: undefined,
    draining: false,
    tasks,
    joinedAtMs: 0,
    earlierLeasesEndMs: 0,
  };
}

// Guards against sending an order for a VM that seems idle because the platform's list still names its previous worker instance.
test("tasks of every worker instance on a VM count, whichever the VM list names", () => {
  const table = createWorkerTable();
  table.add(createInstance("old", "vm-1", 0));
  table.add(createInstance("new", "vm-1", 1));
  table.add(createInstance("other", "vm-2", 2));
  assert.deepEqual(
    tasksOnVm(table, "vm-1").map(({ taskId }) => taskId),
    ["00000000000000aa.0.0.0"],
  );
});

// Guards against instances that stay reachable through an index after they were removed or replaced.
test("an index holds just the instances in the table", () => {
  const table = createWorkerTable();
  const first = createInstance("w1", "vm-1", 0);
  const next = createInstance("w1", "vm-2", 1);
  table.add(first);
  table.add(next);
  assert.deepEqual(table.listByVm("vm-1"), []);
  assert.deepEqual(table.listByVm("vm-2"), [next]);
  assert.deepEqual(table.listByWorker("w1"), [next]);
  table.remove(next);
  assert.deepEqual(table.listByVm("vm-2"), []);
  assert.deepEqual(table.listByWorker("w1"), []);
  assert.equal(table.instances.size, 0);
});

// Guards against a worker that is overcommitted, or left idle, because its sums drift from its tasks.
test("the sums of placed tasks follow random additions and removals", () => {
  fc.assert(fc.property(
    fc.array(fc.tuple(fc.boolean(), fc.nat(3)), { maxLength: 40 }),
    fc.boolean(),
    (changes, longRunning) => {
      const { tasks } = createInstance("w1", "vm-1", 4, {
        ...STEP,
        longRunning,
      });
      const all = [...tasks];
      for (const [add, index] of changes) {
        if (add) tasks.add(all[index]!);
        else tasks.delete(all[index]!);
      }
      assert.deepEqual(tasks.reserved, {
        cpuMillis: tasks.size * STEP.cpuMillis,
        memoryMb: tasks.size * STEP.memoryMb,
        gpuCount: 0,
      });
      assert.equal(tasks.longRunningCount, longRunning ? tasks.size : 0);
      assert.deepEqual(
        [...tasks.countByStep.values()],
        tasks.size === 0 ? [] : [tasks.size],
      );
    },
  ));
});

test.run();
