import assert from "node:assert/strict";
import { run } from "effection";
import { suite } from "uvu";
import {
  AFTER_READ_END,
  type DocumentedLimits,
  LateCallsModel,
  type ModelCounts,
} from "../../testing/late_calls_model.ts";
import {
  chooseSeed,
  createRandom,
  deriveSeed,
  type Random,
} from "../../testing/random.ts";
import {
  createTestRegistry,
  createTestScheduler,
  openTasks,
  registrationOf,
  spec,
} from "../../testing/scheduler_helpers.ts";
import {
  createVirtualTime,
  type VirtualTime,
} from "../../testing/virtual_time.ts";
import type { TaskState } from "./job_state.ts";
import type { StoredItem, WorkerRegistration } from "./ports.ts";

const test = suite("model of late calls that a worker's next process executes");
const seed = chooseSeed();

const EVENTS = 60;
const TASKS = 30;
/** Pause between two checks of the instances, in ms. */
const CHECK_INTERVAL_MS = 200;
/** Silence after which a worker gets no tasks, in ms. */
const SILENCE_LIMIT_MS = 300;
/** Time for which an instance must be known before the VM list may show its end, in ms. */
const LIST_LAG_MS = 1_200;
/** Time after which the leases of a worker that is cut off have ended, as a rule, in ms. */
const LEASE_END_MS = 10_000;
/** Time after which a restart, the latest call and the longest lease are over, in ms. */
const SETTLING_MS = 30_000;

/** One owner with its scheduler, the worker `w1` that the events affect, and `w2`, which always answers. */
class ModelFleet {
  readonly model: LateCallsModel;
  readonly #scheduler;
  readonly #registry;
  readonly #tasks: TaskState[];
  readonly #registrations = new Map<string, WorkerRegistration>();
  #isOpen = true;

  constructor(
    readonly time: VirtualTime,
    readonly random: Random,
    limits: DocumentedLimits,
  ) {
    const model = this.model = new LateCallsModel(time, random, limits);
    const { scheduler } = createTestScheduler({
      clock: time.clock,
      journal: {
        put: ({ onStored }) => queueMicrotask(() => onStored?.()),
        afterFlush: (callback) => callback(),
        pending: () => 0,
        *run() {},
      },
    });
    this.#scheduler = scheduler;
    let current: WorkerRegistration;
    this.#registry = createTestRegistry(
      {
        ...scheduler,
        onReport(instance, report, sentAtMs) {
          model.noteRead(instance, report);
          scheduler.onReport(instance, report, sentAtMs);
        },
      },
      model.control,
      () => current,
      {
        clock: time.clock,
        events: {
          onFenced: () =>
            model.violations.push("the owner takes itself for fenced"),
          afterFlush: (callback) => callback(),
          mayOrder: () => this.#isOpen,
        },
      },
    );
    this.register = (workerId) => {
      current = this.#registrations.get(workerId)!;
      model.note(`${workerId} registers as ${current.bornAtMs}`);
      this.#registry.syncItem({} as StoredItem);
    };
    this.#tasks = Array.from({ length: TASKS }, (_, index) => {
      const jobId = `00000000000000${(index + 16).toString(16)}`;
      scheduler.accept({ ...spec(), jobId });
      return openTasks(scheduler, jobId)[0]!;
    });
    for (const workerId of ["w1", "w2"]) {
      model.add(workerId);
      this.boot(workerId, 200_000);
      this.register(workerId);
    }
  }

  /** Registers the latest process of a worker. */
  readonly register: (workerId: string) => void;

  /** Runs the owner and the body. */
  async run(body: () => Promise<void>): Promise<void> {
    const links = run(() => this.#registry.run());
    const check = () => {
      if (!this.#isOpen) return;
      this.#registry.checkInstances();
      this.placeLostTasks();
      this.time.after(CHECK_INTERVAL_MS, check);
    };
    check();
    try {
      await body();
    } finally {
      this.#isOpen = false;
      await links.halt();
    }
  }

  /** Starts the next process of a worker, whose clock shows an age in ms. */
  boot(workerId: string, ageMs: number): void {
    const bornAtMs = this.model.boot(workerId, ageMs);
    this.#registrations.set(workerId, {
      ...registrationOf(bornAtMs, `${workerId}:1`),
      workerId,
      vmId: `vm-${workerId}`,
    });
  }

  /** Lets the VM list show that the VM of `w1` is down. */
  listAsDown(): void {
    const nowMs = this.time.nowMs();
    for (const instance of this.#scheduler.workers.listByWorker("w1")) {
      const { link } = instance;
      const mayRun = link !== undefined &&
        (link.hasResponded
          ? link.silentMs() < SILENCE_LIMIT_MS
          : link.silentMs() === 0);
      if (
        mayRun || nowMs - instance.joinedAtMs < LIST_LAG_MS ||
        nowMs < (instance.heldUntilMs ?? -Infinity)
      ) continue;
      this.model.note(`the VM of ${instance.bornAtMs} is listed as down`);
      this.#registry.removeInstance(instance, "vm_down");
    }
  }

  /** Whether the owner counts a run as placed. */
  isPlaced({ taskId, run }: { taskId: string; run: number }): boolean {
    return this.#tasks.some(({ taskId: id, placement }) =>
      id === taskId && placement?.run === run
    );
  }

  /** Places the next new task on `w1` if that gets tasks. */
  placeNewTask(): void {
    const task = this.#tasks.find(({ phase, run }) =>
      phase === "waiting" && run === 0
    );
    if (task !== undefined) this.#place(task, "w1");
  }

  /** Places each task again whose run is taken as over. */
  placeLostTasks(): void {
    for (const task of this.#tasks) {
      if (
        task.phase !== "waiting" || task.run === 0 ||
        task.job.status !== "active"
      ) continue;
      const workerId = this.random.next() < 0.3 ? "w1" : "w2";
      if (!this.#place(task, workerId)) this.#place(task, "w2");
    }
  }

  #place(task: TaskState, workerId: string): boolean {
    const instance = this.#scheduler.workers.findRegistered(workerId);
    const link = instance?.link;
    if (!this.#scheduler.mayStart(task)) return false;
    if (
      instance === undefined || link === undefined || !link.hasResponded ||
      link.silentMs() >= SILENCE_LIMIT_MS
    ) return false;
    this.model.note(
      `${task.taskId} run ${task.run + 1} is placed on ${workerId}`,
    );
    this.#scheduler.place(task, instance, {
      run: task.run + 1,
      ticket: undefined,
    });
    return true;
  }
}

/** Ends a run on `w1` as done, if there is one. */
function endRun({ model }: ModelFleet): void {
  const { process } = model.workers.get("w1")!;
  const taskId = process && [...process.running.keys()][0];
  if (taskId === undefined) return;
  model.note(`w1 ends ${taskId}`);
  process!.end(taskId, "done");
}

/** Crashes `w1` and lets its next process start and register later. */
function crash(
  fleet: ModelFleet,
  random: Random,
): void {
  const { model, time } = fleet;
  const worker = model.workers.get("w1")!;
  if (worker.process === undefined || worker.unbreakableCalls > 0) return;
  model.note("w1 crashes");
  model.crash(worker, (order) => fleet.isPlaced(order));
  const isCutOff = random.next() < 0.6;
  time.after(50 + random.exponential(700), () => {
    worker.faults.isCutOff = isCutOff;
    fleet.boot("w1", random.next() * 300);
    const { process } = worker;
    time.after(20 + random.exponential(600), () => {
      if (worker.process === process) fleet.register("w1");
    });
  });
}

/** Plays one event. */
async function playEvent(
  fleet: ModelFleet,
  random: Random,
): Promise<void> {
  const { model, time } = fleet;
  const { faults, process } = model.workers.get("w1")!;
  const choice = random.nextInteger(21);
  if (choice < 7) return fleet.placeNewTask();
  if (choice < 12) return endRun(fleet);
  switch (choice) {
    case 12:
      faults.isCutOff = !faults.isCutOff;
      return model.note(`w1 ${faults.isCutOff ? "is cut off" : "is back"}`);
    case 13:
    case 14:
      faults.unansweredOrderRate = random.next() < 0.7 ? 0 : 0.8;
      return model.note(`w1 loses orders: ${faults.unansweredOrderRate}`);
    case 15:
      faults.unansweredPollRate = random.next() < 0.7 ? 0 : 0.6;
      return model.note(`w1 loses polls: ${faults.unansweredPollRate}`);
    case 16:
      return process === undefined ? fleet.listAsDown() : undefined;
    case 17:
      return crash(fleet, random);
    case 18:
      // A cut soon after a start that lasts until the leases have ended.
      faults.isCutOff = false;
      await time.advance(random.next() * 800);
      fleet.placeNewTask();
      await time.advance(random.next() * 300);
      faults.isCutOff = true;
      model.note("w1 is cut off for long");
      return await time.advance(LEASE_END_MS * (0.5 + random.next()));
    default: {
      // A crash soon after an end and starts without an answer, in any order.
      const rate = faults.unansweredOrderRate;
      for (let count = 0; count < 4; count++) {
        faults.unansweredOrderRate = 0.8;
        if (random.next() < 0.5) endRun(fleet);
        else fleet.placeNewTask();
        await time.advance(random.next() * 120);
      }
      faults.unansweredOrderRate = rate;
      crash(fleet, random);
    }
  }
}

/**
 * Which rules are checked: all of the model, or those of the users' pages, which
 * count an end from its acknowledgement on.
 */
type CheckedRules = "all" | "pages";

/** Returns what breaks the rules in a sequence. */
function listViolations(
  { violations, startsAfterAcknowledged }: LateCallsModel,
  rules: CheckedRules,
): string[] {
  if (rules === "all") return violations;
  const isRead = (violation: string) => violation.endsWith(AFTER_READ_END);
  return [
    ...violations.filter((violation) => !isRead(violation)),
    ...startsAfterAcknowledged,
  ];
}

/** Plays a sequence of events; returns its model. */
async function playSequence(
  random: Random,
  limits: DocumentedLimits,
  rules: CheckedRules,
): Promise<LateCallsModel> {
  const time = createVirtualTime();
  try {
    const fleet = new ModelFleet(time, random, limits);
    await fleet.run(async () => {
      await time.advance(1_000);
      for (let event = 0; event < EVENTS; event++) {
        await playEvent(fleet, random);
        await time.advance(5 * 700 ** random.next());
        if (listViolations(fleet.model, rules).length > 0) return;
      }
      await time.advance(SETTLING_MS);
    });
    return fleet.model;
  } finally {
    time.close();
  }
}

/** Plays sequences; prints the first that breaks a rule. Returns what has happened in all. */
async function playSequences(
  sequences: number,
  limits: DocumentedLimits,
  rules: CheckedRules = "all",
): Promise<ModelCounts> {
  const failures: string[] = [];
  let totals: ModelCounts | undefined;
  for (let sequence = 0; sequence < sequences; sequence++) {
    const model = await playSequence(
      createRandom(deriveSeed(seed, `sequence ${sequence}`)),
      limits,
      rules,
    );
    const { counts, trace } = model;
    const violations = listViolations(model, rules);
    totals = totals === undefined ? counts : addCounts(totals, counts);
    if (violations.length === 0) continue;
    if (failures.length === 0) console.log(trace.join("\n"));
    failures.push(`sequence ${sequence}: ${violations.join("; ")}`);
  }
  console.log(JSON.stringify(totals));
  assert.deepEqual(failures, [], `seed ${seed}`);
  return totals!;
}

function addCounts(first: ModelCounts, second: ModelCounts): ModelCounts {
  return {
    starts: first.starts + second.starts,
    lateStarts: first.lateStarts + second.lateStarts,
    lateExtensions: first.lateExtensions + second.lateExtensions,
    refusedLateCalls: first.refusedLateCalls + second.refusedLateCalls,
    acknowledgements: first.acknowledgements + second.acknowledgements,
    repeatedRuns: first.repeatedRuns + second.repeatedRuns,
  };
}

// Guards against ends that a process forgets unread, and starts beside another run of the task or after its end.
test("no order of late calls, crashes and cuts breaks a rule of runs", async () => {
  const counts = await playSequences(600, "left_out");
  for (const [name, count] of Object.entries(counts)) {
    assert.ok(count >= 100, `${name}: ${count}`);
  }
});

// Guards against the same where the owner's limits are documented: a next process executes a start that was
// settled before, or forgets an end because 3 s have passed since the start.
test("no such order breaks a rule where the limits are documented", async () => {
  await playSequences(100, "included");
});

// Guards against the same as far as the users' pages count it: an end that was read may be lost with its process, but not one that was acknowledged.
test("no such order makes a task start beside another run, or after its end was acknowledged", async () => {
  const counts = await playSequences(400, "included", "pages");
  assert.ok(counts.lateStarts >= 100, `${counts.lateStarts} late starts`);
});

test.run();
