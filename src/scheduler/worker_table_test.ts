import assert from "node:assert/strict";
import { suite } from "uvu";
import type { TaskState } from "./job_state.ts";
import {
  createWorkerTable,
  tasksOnVm,
  type WorkerInstance,
} from "./worker_table.ts";

const test = suite("worker table");

function createInstance(
  workerId: string,
  vmId: string,
  taskIds: string[],
): WorkerInstance {
  return {
    workerId,
    bornAtMs: 1,
    vmId,
    link: undefined,
    registration: undefined,
    missingSinceMs: undefined,
    tasks: new Set(
      taskIds.map((taskId) => ({ taskId }) as unknown as TaskState),
    ),
    joinedAtMs: 0,
    earlierLeasesEndMs: 0,
  };
}

// Guards against sending an order for a VM that seems idle because the platform's list still names its previous worker instance.
test("tasks of every worker instance on a VM count, whichever the VM list names", () => {
  const table = createWorkerTable();
  table.add(createInstance("old", "vm-1", []));
  table.add(createInstance("new", "vm-1", ["a.0.0.1"]));
  table.add(createInstance("other", "vm-2", ["b.0.0.1"]));
  assert.deepEqual(
    tasksOnVm(table.instances.values(), "vm-1").map(({ taskId }) => taskId),
    ["a.0.0.1"],
  );
});

test.run();
