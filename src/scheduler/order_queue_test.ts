import assert from "node:assert/strict";
import { suite } from "uvu";
import {
  createTestScheduler,
  openTasks,
  spec,
} from "../../testing/scheduler_helpers.ts";
import { createOrderQueue } from "./order_queue.ts";

const test = suite("order queue");

// Guards against an owner that runs out of memory because it sends thousands of stop orders at once when a large job is cancelled.
test("the stops of a cancelled job are sent a few hundred at a time, each once", async () => {
  const { scheduler, addWorker, flush } = createTestScheduler();
  const worker = addWorker("w1");
  const answers: (() => void)[] = [];
  let open = 0;
  let mostOpen = 0;
  const stopped = new Set<string>();
  Object.assign(worker.link!, {
    async stop(taskId: string) {
      assert.ok(!stopped.has(taskId), taskId);
      stopped.add(taskId);
      mostOpen = Math.max(mostOpen, ++open);
      await new Promise<void>((resolve) => answers.push(resolve));
      open--;
      return { kind: "done", clockMs: 0 };
    },
  });
  const job = spec([{ taskCount: 3_000, cpuMillis: 1 }]);
  scheduler.accept(job);
  for (const task of openTasks(scheduler)) {
    scheduler.place(task, worker, { run: 1, ticket: undefined });
  }
  await flush();
  scheduler.cancel(job.jobId);
  while (answers.length > 0) {
    for (const answer of answers.splice(0)) answer();
    await flush();
  }
  assert.equal(stopped.size, 3_000);
  assert.ok(mostOpen <= 500, `${mostOpen} stops at once`);
});

// Guards against a queue that fills with repetitions of an order that waits.
test("an order that waits or is in progress isn't added again", async () => {
  const queue = createOrderQueue<string>(1);
  const sent: string[] = [];
  let answer = () => {};
  const add = (key: string) =>
    queue.add(key, () => {
      sent.push(key);
      return new Promise<void>((resolve) => answer = resolve);
    });
  for (const key of ["a", "b", "a", "b", "c"]) add(key);
  assert.deepEqual(sent, ["a"]);
  for (let index = 0; index < 3; index++) {
    answer();
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  assert.deepEqual(sent, ["a", "b", "c"]);
  add("a");
  assert.equal(sent.length, 4);
});

test.run();
