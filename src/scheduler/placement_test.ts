import assert from "node:assert/strict";
import { suite } from "uvu";
import { stepSchema } from "./model.ts";
import {
  type CandidateWorker,
  chooseGangWorkers,
  chooseWorker,
  createUnplaceableRequests,
  type PlacementRequest,
  reserveResources,
} from "./placement.ts";

const test = suite("placement");

function createCandidate(
  workerId: string,
  fields: Partial<CandidateWorker> & { cpuMillis?: number } = {},
): CandidateWorker {
  const capacity = {
    cpuMillis: fields.cpuMillis ?? 8_000,
    memoryMb: 16_000,
    gpuCount: 0,
  };
  return {
    workerId,
    rack: "r1",
    labels: ["a", "r1"],
    capacity,
    free: { ...capacity },
    tasksByStep: new Map(),
    longRunningTasks: 0,
    slowness: 1,
    ...fields,
  };
}

function createRequest(
  step: Parameters<typeof stepSchema.parse>[0],
  fields: Partial<PlacementRequest> = {},
): PlacementRequest {
  return {
    stepId: "job.0.0",
    step: stepSchema.parse({ taskCount: 1, ...step as object }),
    avoidedWorkers: new Set(),
    allowedWorkers: undefined,
    tasksByRack: new Map(),
    ...fields,
  };
}

// Guards against exceeding a worker's capacity in any resource.
test("a task fits only where enough CPU, memory and GPUs are free", () => {
  const candidates = [createCandidate("w1")];
  assert.equal(
    chooseWorker(candidates, createRequest({ cpuMillis: 8_001 })),
    undefined,
  );
  assert.equal(
    chooseWorker(candidates, createRequest({ memoryMb: 16_001 })),
    undefined,
  );
  assert.equal(
    chooseWorker(candidates, createRequest({ gpuCount: 1 })),
    undefined,
  );
  const fitting = createRequest({ cpuMillis: 5_000 });
  reserveResources(chooseWorker(candidates, fitting)!, fitting);
  assert.equal(chooseWorker(candidates, fitting), undefined);
});

// Guards against best-effort tasks reserving CPU capacity that serving tasks need.
test("a best-effort task reserves memory but no CPU", () => {
  const bestEffort = createRequest({
    cpuMillis: 9_000,
    memoryMb: 1_000,
    fills: true,
  });
  const [only] = [createCandidate("w1")];
  reserveResources(chooseWorker([only!], bestEffort)!, bestEffort);
  assert.deepEqual(only!.free, {
    cpuMillis: 8_000,
    memoryMb: 15_000,
    gpuCount: 0,
  });
});

// Guards against exceeding a step's limit of tasks per worker, and against workers that lack its required label.
test("the limit per worker and the required label are respected", () => {
  const candidates = [
    createCandidate("w1", { tasksByStep: new Map([["job.0.0", 1]]) }),
    createCandidate("w2", { labels: ["b", "r1"] }),
  ];
  const limited = createRequest({ maxPerWorker: 1 });
  assert.equal(chooseWorker(candidates, limited)?.workerId, "w2");
  assert.equal(
    chooseWorker(
      candidates,
      createRequest({ maxPerWorker: 1, requiredLabel: "a" }),
    ),
    undefined,
  );
});

// Guards against spreading tasks so thinly that no VM becomes idle and can change pools.
test("batch tasks fill the fullest worker first", () => {
  const busy = createCandidate("w2");
  busy.free.cpuMillis = 3_000;
  assert.equal(
    chooseWorker(
      [createCandidate("w1"), busy],
      createRequest({ cpuMillis: 2_000 }),
    )?.workerId,
    "w2",
  );
});

// Guards against losing more tasks of a step with one VM or rack than its disruption budget allows.
test("long-running tasks spread over workers, then racks", () => {
  const candidates = [
    createCandidate("w1", {
      tasksByStep: new Map([["job.0.0", 1]]),
      longRunningTasks: 1,
    }),
    createCandidate("w2", { rack: "r1" }),
    createCandidate("w3", { rack: "r2" }),
  ];
  const longRunning = createRequest(
    { longRunning: true },
    { tasksByRack: new Map([["r1", 1]]) },
  );
  assert.equal(chooseWorker(candidates, longRunning)?.workerId, "w3");
});

// Guards against placing a task on the worker where it failed, or on a slow one, while others have free capacity.
test("avoided and slow workers are used last", () => {
  const slow = createCandidate("w1", { slowness: 5 });
  slow.free.cpuMillis = 1_000;
  const wanted = createRequest({ cpuMillis: 500 }, {
    avoidedWorkers: new Set(["w2"]),
  });
  assert.equal(
    chooseWorker([slow, createCandidate("w2"), createCandidate("w3")], wanted)
      ?.workerId,
    "w3",
  );
  assert.equal(
    chooseWorker([slow, createCandidate("w2")], wanted)?.workerId,
    "w1",
  );
  assert.equal(chooseWorker([createCandidate("w2")], wanted)?.workerId, "w2");
});

// Guards against reading task data across racks without need.
test("a task runs in the rack of its data if that has free capacity", () => {
  const candidates = [
    createCandidate("w1"),
    createCandidate("w2", { rack: "r2" }),
  ];
  assert.equal(
    chooseWorker(candidates, createRequest({ affinityRack: "r2" }))?.workerId,
    "w2",
  );
});

// Guards against starting only some tasks of a gang, and against spreading a gang over racks without need.
test("a gang is placed as a whole, in one rack if it fits there", () => {
  const candidates = [
    createCandidate("w1"),
    createCandidate("w2", { rack: "r2" }),
    createCandidate("w3", { rack: "r2" }),
  ];
  const gang = createRequest({ cpuMillis: 8_000, gang: true, sameRack: true });
  assert.deepEqual(
    chooseGangWorkers(candidates, gang, 2)?.map(({ workerId }) => workerId),
    ["w2", "w3"],
  );
  assert.equal(chooseGangWorkers(candidates, gang, 4), undefined);
  assert.equal(candidates[0]!.free.cpuMillis, 8_000);
});

// Guards against a backlog that hides a smaller task which still fits, or a constrained one that says nothing about others.
test("a request without room rules out just those that need at least as much", () => {
  const unplaceable = createUnplaceableRequests();
  unplaceable.record(createRequest({
    taskCount: 1,
    cpuMillis: 4_000,
    memoryMb: 2_000,
  }));
  unplaceable.record(createRequest({
    taskCount: 1,
    cpuMillis: 100,
    requiredLabel: "b",
  }));
  const includes = (cpuMillis: number, memoryMb: number, fills = false) =>
    unplaceable.includes(
      stepSchema.parse({ taskCount: 1, cpuMillis, memoryMb, fills }),
    );
  assert.equal(includes(4_000, 2_000), true);
  assert.equal(includes(5_000, 3_000), true);
  assert.equal(includes(3_999, 9_000), false);
  assert.equal(includes(9_000, 1_999), false);
  assert.equal(includes(9_000, 9_000, true), false);
});

test.run();
