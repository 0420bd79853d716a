import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseSeed } from "../../testing/random.ts";
import { attributeFailure, type FailureInput } from "./failure_attribution.ts";
import { jobSpecSchema, type Size } from "./job.ts";
import { type Candidate, placeJobs, type Quota } from "./placement.ts";
import { listAwaitingPreemption, planPreemptions } from "./preemption.ts";
import { mitigateOverload } from "./overload.ts";
import { UsageProfiles } from "./profiles.ts";
import { assignStandings, extendQuarantine } from "./quarantine.ts";
import { addSize, fits, ZERO_SIZE } from "./size.ts";
import { parseTaskId } from "./task_id.ts";
import type { TaskView, WorkerView } from "./worker_view.ts";

const seed = chooseSeed();

function size(cores: number, memoryMb = 1, accelerators = 0): Size {
  return { cores, memoryMb, accelerators };
}

function createTask(
  id: string,
  cores: number,
  extra: Partial<TaskView> & { urgent?: boolean } = {},
): TaskView {
  const priority = extra.urgent ? "urgent" : "normal";
  const taskId = `${id}~1~t~c~${priority}~${cores}~10~0`;
  return {
    taskId,
    identity: parseTaskId(taskId)!,
    usedCores: cores,
    usedMemoryMb: 10,
    ...extra,
  };
}

function createWorker(
  vmId: string,
  overrides: Partial<WorkerView> = {},
): WorkerView {
  return {
    vmId,
    incarnation: "1",
    controlAddress: vmId,
    pool: "a",
    rack: `rack-${vmId.at(-1)}`,
    capacity: size(16, 1_000),
    serving: true,
    standing: "normal",
    rebootIntentId: undefined,
    tasks: [],
    hold: undefined,
    ...overrides,
  };
}

function createCandidate(
  jobId: string,
  needed: Size,
  overrides: Partial<Candidate> & { team?: string; urgent?: boolean } = {},
): Candidate {
  const spec = jobSpecSchema.parse({
    pool: "a",
    team: overrides.team ?? "t",
    jobClass: "c",
    command: "run 1",
    cores: 1,
    memoryMb: 1,
    runTimeMs: 1,
    priority: overrides.urgent ? "urgent" : "normal",
  });
  return { jobId, spec, size: needed, waitedMs: 0, failedOn: [], ...overrides };
}

function summarizePlacements(
  candidates: Candidate[],
  workers: WorkerView[],
  quota: Quota = {},
): Record<string, string> {
  const quotas = new Map([["t", quota]]);
  const decisions = placeJobs({ candidates, workers, quotas });
  return Object.fromEntries(
    decisions.map((decision) => [
      decision.jobId,
      decision.kind === "place" ? decision.vmId : decision.reason,
    ]),
  );
}

// Guards against overcommitted workers, exceeded quotas and tasks on workers
// that must not get any.
test("placements fit workers and quotas", () => {
  const worker = fc.record({
    serving: fc.boolean(),
    standing: fc.constantFrom("normal", "quarantined", "probing", "suspect"),
    cores: fc.integer({ min: 1, max: 32 }),
    memoryMb: fc.integer({ min: 1, max: 100 }),
    accelerators: fc.integer({ min: 0, max: 2 }),
    used: fc.integer({ min: 0, max: 8 }),
  });
  const job = fc.record({
    team: fc.constantFrom("t", "u"),
    cores: fc.integer({ min: 1, max: 20 }),
    memoryMb: fc.integer({ min: 1, max: 60 }),
    accelerators: fc.integer({ min: 0, max: 1 }),
    urgent: fc.boolean(),
    waitedMs: fc.integer({ min: 0, max: 100_000 }),
  });
  const property = fc.property(
    fc.array(worker, { maxLength: 8 }),
    fc.array(job, { maxLength: 40 }),
    fc.integer({ min: 1, max: 60 }),
    (workerDraws, jobDraws, quotaCores) => {
      const workers = workerDraws.map((draw, index) =>
        createWorker(`w${index}`, {
          serving: draw.serving,
          standing: draw.standing as WorkerView["standing"],
          capacity: size(draw.cores, draw.memoryMb + 10, draw.accelerators),
          tasks: draw.used > 0 && draw.used <= draw.cores
            ? [createTask("x", draw.used)]
            : [],
        })
      );
      const candidates = jobDraws.map((draw, index) =>
        createCandidate(
          `j${index}`,
          size(draw.cores, draw.memoryMb, draw.accelerators),
          draw,
        )
      );
      const quotas = new Map([["t", { cores: quotaCores }]]);
      const decisions = placeJobs({ candidates, workers, quotas });
      assert.is(decisions.length, candidates.length);
      const existing = workers.flatMap(({ tasks }) => tasks);
      const existingCores = existing.reduce(
        (sum, task) => sum + task.identity.size.cores,
        0,
      );
      let placedCores = 0;
      for (const view of workers) {
        const placed = decisions.flatMap((decision) =>
          decision.kind === "place" && decision.vmId === view.vmId
            ? [decision]
            : []
        );
        const used = [
          ...view.tasks.map((task) => task.identity.size),
          ...placed
            .map((decision) => decision.size),
        ].reduce(
          (sum, one) => addSize(sum, one),
          ZERO_SIZE,
        );
        assert.ok(fits(used, view.capacity));
        if (placed.length === 0) continue;
        assert.ok(view.serving && view.standing !== "quarantined");
        if (view.standing === "probing") {
          assert.is(placed.length + view.tasks.length, 1);
        }
        for (const { jobId, size: { cores } } of placed) {
          const { spec } = candidates.find((one) => one.jobId === jobId)!;
          if (spec.team === "t") placedCores += cores;
        }
      }
      assert.ok(placedCores === 0 || placedCores + existingCores <= quotaCores);
    },
  );
  fc.assert(property, { seed, numRuns: 500 });
});

// Guards against regressions of the individual placement rules.
test("placement: spreading, order, holds, retries and quotas", () => {
  const [w0, w1] = [createWorker("w0"), createWorker("w1")];
  const spread = summarizePlacements(
    [createCandidate("a", size(1)), createCandidate("b", size(1))],
    [w0, w1],
  );
  assert.is.not(spread.a, spread.b, "spread over racks");
  const urgentFirst = summarizePlacements([
    createCandidate("old", size(16), { waitedMs: 9 }),
    createCandidate("urgent", size(16), { urgent: true }),
  ], [w0]);
  assert.equal(urgentFirst, { urgent: "w0", old: "no_capacity" });
  const quota = summarizePlacements(
    [createCandidate("a", size(4)), createCandidate("b", size(9))],
    [w0],
    { cores: 8 },
  );
  assert.equal(quota, { a: "w0", b: "exceeds_quota" });
  const small = createCandidate("small", size(1));
  const starved = createCandidate("big", size(16), { waitedMs: 60_000 });
  const busy = createWorker("w0", { tasks: [createTask("x", 2)] });
  assert.is(summarizePlacements([starved, small], [busy]).small, "no_capacity");
  const overQuota = summarizePlacements([starved, small], [busy, w1], {
    cores: 17,
  });
  assert.equal(overQuota, { big: "quota", small: "quota" });
  const failed = createCandidate("a", size(1), { failedOn: ["w0"] });
  assert.is(
    summarizePlacements([failed], [w0]).a,
    "w0",
    "no other worker exists",
  );
  const fullOther = createWorker("w1", { tasks: [createTask("x", 16)] });
  assert.is(summarizePlacements([failed], [w0, fullOther]).a, "no_capacity");
  const heldWorker = createWorker("w0", {
    hold: {
      jobId: "urgent",
      team: "t",
      size: size(16),
      freedBy: [],
      freesQuota: false,
    },
  });
  assert.is(summarizePlacements([small], [heldWorker]).small, "no_capacity");
  assert.is(
    summarizePlacements([createCandidate("urgent", size(16))], [heldWorker])
      .urgent,
    "w0",
  );
  const atQuota = (jobId: string) =>
    summarizePlacements([createCandidate(jobId, size(1))], [heldWorker, w1], {
      cores: 16,
    })[jobId];
  assert.is(atQuota("small"), "quota", "the hold counts towards the quota");
  assert.is(atQuota("urgent"), "w0", "its own hold doesn't count twice");
  // Guards against an urgent job that waits because another entry has used the
  // quota freed for it.
  const otherTask = createTask("x", 16);
  const placeUrgent = (freedBy: string[], freesQuota = true) => {
    const demand = { jobId: "u", team: "t", size: size(4) };
    const hold = { ...demand, freedBy, freesQuota };
    const workers = [
      createWorker("w0", { hold }),
      createWorker("w1", { tasks: [otherTask] }),
    ];
    const urgent = createCandidate("u", size(4), { urgent: true });
    return summarizePlacements([urgent], workers, { cores: 16 }).u;
  };
  assert.is(placeUrgent(["a checkpointed task"]), "w0");
  assert.is(
    placeUrgent([otherTask.taskId]),
    "quota",
    "the task hasn't been checkpointed yet",
  );
  assert.is(
    placeUrgent(["a checkpointed task"], false),
    "quota",
    "no quota was freed for it",
  );
  assert.is(
    summarizePlacements([small], []).small,
    "no_worker",
    "no worker is known yet",
  );
  const gpu = createWorker("w1", { capacity: size(16, 1_000, 4) });
  assert.is(
    summarizePlacements([small], [gpu, w0]).small,
    "w0",
    "workers with accelerators are kept free",
  );
});

// Guards against preempted urgent tasks and against unnecessary checkpoints.
test("preemption checkpoints as few normal tasks as possible", () => {
  const many = createWorker("w0", {
    tasks: [1, 2, 3, 4].map((id) => createTask(`m${id}`, 4)),
  });
  const few = createWorker("w1", {
    tasks: [createTask("f1", 12), createTask("f2", 4, { urgent: true })],
  });
  const demand = {
    jobId: "u",
    pool: "a",
    team: "t",
    size: size(8),
    exceedsQuota: false,
  };
  const [plan] = planPreemptions([demand], [many, few]);
  assert.is(plan?.worker.vmId, "w1");
  const ids = (victims = plan?.victims) =>
    victims?.map(({ task }) => task.identity.jobId);
  assert.equal(ids(), ["f1"]);
  const empty = createWorker("w3");
  const [quota] = planPreemptions([{ ...demand, exceedsQuota: true }], [
    many,
    empty,
  ]);
  assert.is(
    quota?.worker.vmId,
    "w3",
    "capacity is free, but the quota is used up",
  );
  assert.equal(ids(quota?.victims), ["m1", "m2"]);
  const urgentOnly = createWorker("w2", {
    tasks: [createTask("u1", 16, { urgent: true })],
  });
  assert.equal(planPreemptions([demand], [urgentOnly]), []);
});

// Guards against urgent jobs that wait forever for a hold on a worker that was
// quarantined, or whose freed capacity was used by others.
test("capacity is freed again if a hold has become useless", () => {
  const task = createTask("x", 8);
  const demand = { jobId: "u", team: "t", size: size(8), freesQuota: false };
  const hold = { ...demand, freedBy: [task.taskId] };
  const awaits = (worker: Partial<WorkerView>) =>
    listAwaitingPreemption([createWorker("w0", { hold, ...worker })]).has("u");
  assert.ok(awaits({ tasks: [task] }));
  assert.not(awaits({ tasks: [task], standing: "quarantined" }));
  assert.not(awaits({ tasks: [task], serving: false }));
  assert.not(awaits({ tasks: [createTask("other", 16)] }));
});

// Guards against failures of a job that are attributed to the worker and vice
// versa.
test("failures are attributed to the worker or to the job", () => {
  const event = (vmId: string, jobClass: string, succeeded: boolean) => ({
    vmId,
    jobClass,
    succeeded,
    atMs: 0,
  });
  const base: FailureInput = {
    vmId: "bad",
    jobClass: "c",
    failedOn: ["bad"],
    inTransition: false,
    lostWorkersInRack: 0,
    recentResults: [event("bad", "d", false), event("ok", "c", true)],
    isQuarantined: () => false,
  };
  const kind = (overrides: Partial<FailureInput>) =>
    attributeFailure({ ...base, ...overrides }).kind;
  assert.is(kind({}), "worker");
  assert.is(kind({ inTransition: true }), "neither");
  assert.is(kind({ lostWorkersInRack: 2 }), "neither");
  assert.is(kind({ lostWorkersInRack: 1 }), "worker");
  assert.is(kind({ recentResults: [event("bad", "d", false)] }), "undecided");
  const three = ["x", "y", "z"];
  const healthy = three.map((vmId) => event(vmId, "d", true));
  const job = { vmId: "z", failedOn: three, recentResults: healthy };
  assert.is(kind(job), "job");
  assert.is(kind({ ...job, failedOn: ["x", "y"] }), "undecided");
  assert.is(kind({ ...job, recentResults: healthy.slice(1) }), "undecided");
  const isQuarantined = (vmId: string) => vmId === "x";
  assert.is(kind({ ...job, isQuarantined }), "undecided");
});

// Guards against quarantines that violate a pool's budget, and against probes
// without backoff.
test("quarantines respect the budget and back off", () => {
  const property = fc.property(
    fc.array(fc.integer({ min: 1, max: 5 }), { maxLength: 10 }),
    fc.integer({ min: 0, max: 12 }),
    (failures, minimumServingVms) => {
      const quarantines = new Map(
        failures.map((count, index) =>
          [`w${index}`, { failures: count, probeAtMs: index * 10 }] as const
        ),
      );
      const budget = { servingVms: 12, minimumServingVms };
      const standings = [...assignStandings(quarantines, budget, 50).values()];
      const excludedCount =
        standings.filter((standing) => standing !== "suspect").length;
      assert.is(standings.length, failures.length);
      assert.ok(12 - excludedCount >= minimumServingVms);
    },
  );
  fc.assert(property, { seed });
  const first = extendQuarantine(undefined, 0);
  assert.equal(
    extendQuarantine(first, 10),
    first,
    "the failed task was started before the quarantine",
  );
  const second = extendQuarantine(first, first.probeAtMs);
  assert.is(second.probeAtMs - first.probeAtMs, 2 * first.probeAtMs);
});

// Guards against stopped tasks where throttling or a checkpoint would have been
// enough.
test("overload: throttle, then checkpoint, then stop", () => {
  const tasks = [createTask("a", 4, { usedCores: 18 }), createTask("b", 4)];
  const worker = createWorker("w0", { tasks });
  const actionsAfter = (last?: "throttle" | "checkpoint", nowMs = 60_000) => {
    const mitigation = last && { action: last, atMs: 0 };
    return mitigateOverload(worker, mitigation, nowMs).map((command) =>
      `${command.action} ${command.task.identity.jobId}`
    );
  };
  assert.equal(actionsAfter(), ["throttle a"]);
  assert.equal(actionsAfter("throttle", 1_000), [], "reports lag");
  assert.equal(actionsAfter("throttle"), ["checkpoint a"]);
  assert.equal(actionsAfter("checkpoint"), ["stop a"]);
  const full = createTask("a", 4, { usedMemoryMb: 2_000 });
  const [memory] = mitigateOverload(
    createWorker("w0", { tasks: [full] }),
    undefined,
    0,
  );
  assert.is(memory?.action, "checkpoint", "throttling frees no memory");
  assert.equal(mitigateOverload(createWorker("w0"), undefined, 0), []);
});

// Guards against reservations based on wrong declarations, and against jobs
// rejected because of a declared size that they don't use.
test("measured usage replaces the declared size after 5 runs", () => {
  const profiles = new UsageProfiles();
  const { spec } = createCandidate("a", size(1));
  const declared = { ...spec, cores: 64, memoryMb: 500 };
  const workerSizes = [size(16, 1_000)];
  const use = { cores: 2, memoryMb: 40, runTimeMs: 100 };
  for (let run = 0; run < 4; run++) profiles.add(spec, use);
  assert.is(profiles.reservationFor(declared, workerSizes).cores, 64);
  for (let run = 0; run < 96; run++) profiles.add(spec, use);
  profiles.add(spec, { ...use, cores: 16 });
  const measured = profiles.reservationFor(declared, workerSizes);
  assert.ok(Math.abs(measured.cores - 2) < 0.1 && measured.memoryMb < 42);
  for (let run = 0; run < 100; run++) {
    profiles.add(spec, { ...use, cores: 16 });
  }
  assert.ok(
    fits(profiles.reservationFor(declared, workerSizes), workerSizes[0]!),
  );
});

test.run();
