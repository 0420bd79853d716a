import assert from "node:assert/strict";
import { run } from "effection";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { SchedulerCluster } from "../../testing/scheduler_cluster.ts";
import {
  createTestScheduler,
  ended,
  openTasks,
  registrationOf,
  spec,
} from "../../testing/scheduler_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { createPollPacing } from "./poll_pacing.ts";
import { createWorkerLink } from "./worker_link.ts";
import { createWorkerLives } from "./worker_lives.ts";

const test = suite("workers that restart under their ID");
const seed = chooseSeed();

async function withCluster(
  body: (cluster: SchedulerCluster) => Promise<void>,
): Promise<void> {
  const cluster = new SchedulerCluster(createRandom(seed));
  cluster.restartCrashedAfterMs = 100;
  try {
    cluster.startEntry();
    await body(cluster);
    assert.deepEqual(cluster.invariants.violations, [], `seed ${seed}`);
  } finally {
    await cluster.close();
  }
}

/** Returns the process that runs under a worker ID now. */
function currentProcess(cluster: SchedulerCluster, workerId: string) {
  return cluster.workers.workers.get(workerId)!;
}

// Guards against finished tasks that start again: a poll that was sent to a worker's earlier process makes
// the next one forget ends that no owner has read, as each process counts its ends from 1.
test("a poll of a worker's earlier process acknowledges nothing to the next one", async () => {
  await withCluster(async (cluster) => {
    cluster.addWorker(0);
    const { faults } = cluster.workers;
    const first = currentProcess(cluster, "worker-0");
    const before = await cluster.submit([{ taskCount: 6, estimatedMs: 30 }]);
    await cluster.waitForStatus(before, "completed");
    await waitFor("the ends are acknowledged", () => first.ended.length === 0);
    await waitFor("a poll waits", () => first.waiters.size > 0);
    faults.holdsPollsOfCrashed = true;
    cluster.workers.crash(first);
    const next = () => currentProcess(cluster, "worker-0");
    await waitFor(
      "a poll waits at the next process",
      () => next() !== first && next().waiters.size > 0,
    );
    const job = await cluster.submit([{ taskCount: 3, estimatedMs: 300 }]);
    await waitFor("the tasks run", () => next().highestRun.size === 3);
    // The owner reads none of the ends before the poll is executed.
    faults.unreachable.add("worker-0");
    await waitFor("the tasks end", () => next().running.size === 0);
    cluster.workers.executeHeldCalls();
    faults.unreachable.delete("worker-0");
    await cluster.waitForStatus(job, "completed");
    assert.equal(cluster.invariants.starts, 9);
  });
});

// Guards against calls of an earlier process or an earlier owner that a worker still obeys.
test("each process of a worker gets a higher fencing token, and each owner a higher one than all of its predecessor", async () => {
  await withCluster(async (cluster) => {
    cluster.addWorker(0);
    const fences: number[] = [];
    for (const change of ["crash", "crash", "owner", "crash"]) {
      const process = currentProcess(cluster, "worker-0");
      await waitFor(
        "a call with a higher token",
        () => process.fence > (fences.at(-1) ?? 0),
      );
      fences.push(process.fence);
      if (change === "crash") {
        cluster.workers.crash(process);
        await waitFor(
          "the next process",
          () => currentProcess(cluster, "worker-0") !== process,
        );
      } else {
        await cluster.killEntry(cluster.owner()!);
        cluster.startEntry();
      }
    }
    const last = currentProcess(cluster, "worker-0");
    await waitFor("the last call", () => last.fence > fences.at(-1)!);
  });
});

// Guards against an owner that gives up because its own late call is refused by a process that knows a higher token of the same owner.
test("a refusal to a call of a closed link isn't taken for a newer owner", async () => {
  let fenced = 0;
  const outcome = { kind: "refused", reason: "fenced" } as const;
  const link = createWorkerLink({
    registration: registrationOf(1, "w1:1"),
    life: createWorkerLives(3, () => 0).add("w1", 1),
    control: { start: () => Promise.resolve(outcome) } as never,
    clock: systemClock,
    log: silentLogger,
    events: { onFenced: () => fenced++ } as never,
    earlierLeasesEndMs: 0,
    pacing: createPollPacing(() => 0),
  });
  const order = {
    taskId: "a",
    run: 1,
    specification: "",
    checkpoint: "",
    ticket: undefined,
  };
  await link.start(order);
  assert.equal(fenced, 1);
  link.close();
  await link.start(order);
  assert.equal(fenced, 1);
});

// Guards against ends that get lost without a trace in the log.
test("missing ends of a process that no other owner can have called are logged", async () => {
  const missing: unknown[] = [];
  const lives = createWorkerLives(3, () => 0);
  lives.add("w1", 0);
  const reports = [[1, 2], [3], [6, 7]];
  const link = createWorkerLink({
    registration: registrationOf(1, "w1:1"),
    life: lives.add("w1", 1),
    control: {
      renewAndPoll: () =>
        delay(1, {
          kind: "done",
          clockMs: 1,
          bornAtMs: 1,
          running: [],
          hasMoreEnded: false,
          ended: (reports.shift() ?? []).map((number) =>
            ended(number, 1, "done")
          ),
        }),
    } as never,
    clock: systemClock,
    log: {
      ...silentLogger,
      warn: (_: string, fields: unknown) => missing.push(fields),
    },
    events: {
      onReport() {},
      afterFlush: (callback: () => void) => callback(),
      mayOrder: () => true,
    } as never,
    earlierLeasesEndMs: 0,
    pacing: createPollPacing(() => 0),
  });
  const task = run(() => link.run());
  await waitFor("all reports are read", () => reports.length === 0);
  link.close();
  await task.halt();
  assert.deepEqual(missing, [
    { worker: "w1", bornAtMs: 1, from: 4, to: 5 },
  ]);
});

// Guards against a task that runs twice: its worker's VM is down, and a start without an answer reaches the worker's next process.
test("a task waits for the next process of a worker that a start without an answer may reach", async () => {
  await withCluster(async (cluster) => {
    cluster.restartCrashedAfterMs = undefined;
    const { workers } = cluster;
    const indexes = [0, 1];
    for (const index of indexes) {
      cluster.addWorker(index);
      workers.faults.holdsStarts.add(`worker-${index}`);
    }
    const job = await cluster.submit([{ taskCount: 1, estimatedMs: 6_000 }]);
    await waitFor("both attempts are sent", () => workers.heldCalls === 2);
    const task = `${job}.0.0.0`;
    const owner = cluster.owner()!.election.localOwner()!;
    const index = [...owner.scheduler.workers.instances.values()].find((
        { tasks },
      ) => tasks.size > 0
      )!.workerId === "worker-0"
      ? 0
      : 1;
    workers.faults.holdsStarts.clear();
    const victim = currentProcess(cluster, `worker-${index}`);
    workers.crash(victim);
    // The owner learns from the list that the VM is down.
    await delay(3_000);
    cluster.addWorker(index, 2);
    const next = currentProcess(cluster, `worker-${index}`);
    // Its clock starts anew, so that the lease end in the order lies far ahead.
    Object.assign(next, { clockOffsetMs: victim.clockOffsetMs - 100_000 });
    workers.executeHeldCalls();
    assert.ok(next.running.has(task));
    await cluster.waitForStatus(job, "completed");
  });
});

// Guards against a task that waits for a worker that can't return, or for an order that can't be executed any more.
test("a task with a start without an answer is freed once nothing can execute it", async () => {
  let nowMs = 1_000;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  for (
    const [end, waitMs, phase] of [
      ["vm_unlisted", 0, "waiting"],
      ["vm_reassigned", 0, "waiting"],
      ["vm_down", 0, "placed"],
      ["vm_down", 13_000, "waiting"],
    ] as const
  ) {
    const { scheduler, state, addWorker, flush } = createTestScheduler({
      clock,
    });
    state.onStart = () => ({ kind: "unknown" });
    scheduler.accept(spec([{ taskCount: 2 }]));
    const [sent, unsent] = openTasks(scheduler);
    const worker = addWorker("w1");
    scheduler.place(sent!, worker, { run: 1, ticket: undefined });
    await flush();
    scheduler.place(unsent!, worker, { run: 1, ticket: undefined });
    nowMs += waitMs;
    scheduler.removeInstance(worker, end);
    assert.equal(sent!.phase, phase, `${end} after ${waitMs} ms`);
    assert.equal(unsent!.phase, "waiting", end);
    if (phase === "waiting") continue;
    const held = scheduler.workers.find("w1", 1)!;
    assert.deepEqual([...held.tasks], [sent]);
    assert.equal(held.link, undefined);
    nowMs += 13_000;
    scheduler.removeInstance(held, end);
    assert.equal(sent!.phase, "waiting");
    assert.equal(scheduler.workers.find("w1", 1), undefined);
  }
});

test.run();
