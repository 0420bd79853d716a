import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { run } from "effection";
import { suite } from "uvu";
import {
  createTestRegistry,
  createTestScheduler,
  ended,
  JOB,
  openTasks,
  registrationOf,
  spec,
} from "../../testing/scheduler_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import type { WorkerControl } from "./ports.ts";

const test = suite("worker registry");

// Guards against an instance without tasks that stays in the table for ever and keeps a later process with an earlier start time from being registered.
test("an unregistered successor is removed once it has no tasks", async () => {
  const context = createTestScheduler();
  const { scheduler } = context;
  let registration = registrationOf(5, "w1:1");
  let bornAtMs = 5;
  const control = {
    start: () => Promise.resolve({ kind: "unknown" }),
    stop: () => Promise.resolve({ kind: "unknown" }),
    renewAndPoll: () =>
      delay(20).then(() => ({
        kind: "done",
        clockMs: 1,
        bornAtMs,
        running: [],
        ended: [],
        hasMoreEnded: false,
      })),
    close() {},
  } as unknown as WorkerControl;
  const registry = createTestRegistry(scheduler, control, () => registration);
  const links = run(() => registry.run());
  try {
    registry.syncItem({ key: "servers/w1", value: "", revision: 1 });
    const instance = scheduler.workers.find("w1", 5)!;
    const other = context.addWorker("w2");
    context.state.onStart = () => ({ kind: "done", clockMs: 0 });
    await waitFor("a response", () => instance.link!.hasResponded);
    scheduler.accept(spec([{ taskCount: 2, gang: true }]));
    const [one, two] = openTasks(scheduler);
    scheduler.place(one!, instance, { run: 1, ticket: undefined });
    scheduler.place(two!, other, { run: 1, ticket: undefined });
    await context.flush();
    bornAtMs = 6;
    await waitFor(
      "the successor",
      () => scheduler.workers.find("w1", 6) !== undefined,
    );
    // One member's success represents all of the gang.
    context.report(other, [ended(1, 1, "done", `${JOB}.0.0.1`)]);
    await context.flush();
    registry.checkInstances();
    assert.equal(scheduler.workers.find("w1", 6), undefined);
    registration = registrationOf(4, "w1:1");
    registry.syncItem({ key: "servers/w1", value: "", revision: 2 });
    assert.ok(scheduler.workers.find("w1", 4), "registered");
  } finally {
    await links.halt();
  }
});

// Guards against a worker that gets no tasks any more after its clock was set back.
test("an idle worker that starts again at another address with an earlier start time is registered", async () => {
  const context = createTestScheduler();
  const { scheduler } = context;
  let registration = registrationOf(5, "w1:1");
  const control = {
    renewAndPoll: () => delay(20).then(() => ({ kind: "not_sent" })),
    close() {},
  } as unknown as WorkerControl;
  const registry = createTestRegistry(scheduler, control, () => registration);
  const links = run(() => registry.run());
  try {
    registry.syncItem({ key: "servers/w1", value: "", revision: 1 });
    const instance = scheduler.workers.find("w1", 5)!;
    await waitFor("silence", () => instance.link!.silentMs() > 100);
    registration = registrationOf(4, "w1:2");
    for (let beat = 2; beat < 5; beat++) {
      registry.syncItem({ key: "servers/w1", value: "", revision: beat });
      registry.checkInstances();
    }
    assert.ok(scheduler.workers.find("w1", 4), "registered");
  } finally {
    await links.halt();
  }
});

test.run();
