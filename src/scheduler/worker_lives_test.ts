import assert from "node:assert/strict";
import { run } from "effection";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { ended, registrationOf } from "../../testing/scheduler_helpers.ts";
import { waitFor } from "../../testing/wait.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { createPollPacing } from "./poll_pacing.ts";
import { createWorkerLink } from "./worker_link.ts";
import type { EndedRunReport } from "./ports.ts";
import { createWorkerLives, LATE_CALL_LIMIT_MS } from "./worker_lives.ts";

const test = suite("fencing tokens of a worker's processes");

// Guards against ends that a late acknowledgement makes the next process forget.
test("a start has a higher token than each earlier acknowledgement", () => {
  const lives = createWorkerLives(2, () => 0);
  const life = lives.add("w1", 1);
  const first = life.beginStart();
  assert.equal(first.fence, life.fence);
  first.end(true);
  const acknowledgedWith = life.fence;
  life.beginAcknowledgement();
  assert.equal(life.fence, acknowledgedWith);
  const second = life.beginStart();
  assert.ok(second.fence > acknowledgedWith);
  assert.equal(life.beginStart().fence, second.fence);
  const next = lives.add("w1", 2);
  assert.ok(next.fence > second.fence);
  life.beginAcknowledgement();
  assert.ok(life.beginStart().fence < next.fence);
  assert.ok(createWorkerLives(3, () => 0).add("w1", 1).fence > next.fence);
});

// Guards against a start of the next process with the token of its own earlier acknowledgement.
test("an acknowledgement of a closed link doesn't lower the token that starts must exceed", () => {
  const lives = createWorkerLives(1, () => 0);
  const first = lives.add("w1", 1);
  const next = lives.add("w1", 2);
  next.beginAcknowledgement();
  const acknowledgedWith = next.fence;
  first.beginAcknowledgement();
  assert.ok(next.beginStart().fence > acknowledgedWith);
});

// Guards against ends that an acknowledgement makes the next process forget after it has executed an earlier start.
test("ends aren't acknowledged while a start at any process of the worker has no answer", () => {
  let nowMs = 10_000;
  const lives = createWorkerLives(1, () => nowMs);
  const life = lives.add("w1", 1);
  const start = life.beginStart();
  assert.equal(life.mayAcknowledge(), false);
  start.end(true);
  assert.equal(life.mayAcknowledge(), true);
  const unanswered = life.beginStart();
  const next = lives.add("w1", 2);
  assert.equal(next.mayAcknowledge(), false);
  unanswered.end(false);
  nowMs += 2_000;
  next.beginStart().end(false);
  nowMs += LATE_CALL_LIMIT_MS;
  assert.equal(next.mayAcknowledge(), false);
  nowMs++;
  assert.equal(next.mayAcknowledge(), true);
});

// Guards against ends that are never acknowledged, of which a worker lists only so many.
test("an acknowledgement waits for a start until many ends wait, and doesn't wait at the worker after that", async () => {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const life = createWorkerLives(1, () => nowMs).add("w1", 1);
  life.beginStart();
  const polls: { acknowledged: number; waitMs: number }[] = [];
  const list: EndedRunReport[] = [];
  const link = createWorkerLink({
    registration: registrationOf(1, "w1:1"),
    life,
    control: {
      renewAndPoll(
        _: unknown,
        order: { acknowledged: number; waitMs: number },
      ) {
        polls.push(order);
        nowMs += 800;
        for (let count = 0; count < 50; count++) {
          list.push(ended(list.length + 1, 1, "done"));
        }
        return delay(1, {
          kind: "done",
          clockMs: nowMs,
          bornAtMs: 1,
          running: [],
          hasMoreEnded: false,
          ended: [...list],
        });
      },
    } as never,
    clock,
    log: silentLogger,
    events: {
      onReport() {},
      afterFlush: (callback: () => void) => callback(),
      mayOrder: () => true,
    } as never,
    earlierLeasesEndMs: 0,
    pacing: createPollPacing(() => 0),
  });
  const task = run(() => link.run());
  const acknowledging = () => polls.find((poll) => poll.acknowledged > 0);
  await waitFor(
    "the ends are acknowledged",
    () => acknowledging() !== undefined,
  );
  link.close();
  await task.halt();
  // The worker lists 500 at a time.
  assert.equal(acknowledging()!.acknowledged, 300);
  assert.equal(acknowledging()!.waitMs, 0);
  assert.ok(polls.slice(1, 4).every(({ waitMs }) => waitMs > 0));
});

// Guards against a memory that grows with each move of a VM.
test("workers that weren't called for a long time are forgotten once there are many", () => {
  let nowMs = 0;
  const lives = createWorkerLives(1, () => nowMs);
  lives.add("called", 1);
  const { fence } = lives.add("gone", 1);
  lives.add("gone", 2).beginExtension();
  nowMs = 600_000;
  lives.add("called", 2).beginExtension();
  for (let index = 2; index < 20_000; index++) lives.add(`w${index}`, 1);
  nowMs++;
  lives.add("new", 1);
  assert.equal(lives.extensionsEndMs("gone"), -Infinity);
  // The process may be alive after all, and has seen the earlier tokens.
  assert.ok(lives.add("gone", 2).fence > fence + 1);
  assert.equal(lives.extensionsEndMs("called"), 612_500);
});

// Guards against an owner that gives up, or loses an order, because its own later call was executed first.
test("a call that a later one overtakes is repeated and isn't taken for a newer owner's work", async () => {
  let fenced = 0;
  const stops: number[] = [];
  const life = createWorkerLives(1, () => 0).add("w1", 1);
  const refused = { kind: "refused", reason: "fenced" } as const;
  const acknowledged: number[] = [];
  const link = createWorkerLink({
    registration: registrationOf(1, "w1:1"),
    life,
    control: {
      start: () => Promise.resolve({ kind: "done", clockMs: 1 }),
      async stop(_: unknown, { fence }: { fence: number }) {
        stops.push(fence);
        if (stops.length > 1) return { kind: "done", clockMs: 1 };
        life.beginAcknowledgement();
        await link.start({
          taskId: "b",
          run: 1,
          specification: "",
          checkpoint: "",
          ticket: undefined,
        });
        return refused;
      },
      renewAndPoll: (_: unknown, order: { acknowledged: number }) => {
        acknowledged.push(order.acknowledged);
        if (acknowledged.length === 2) {
          life.beginStart().end(true);
          return delay(1, refused);
        }
        return delay(1, {
          kind: "done",
          clockMs: 1,
          bornAtMs: 1,
          running: [],
          hasMoreEnded: false,
          ended: [{
            number: 4,
            taskId: "a",
            run: 1,
            ending: "done",
            checkpoint: "",
          }],
        });
      },
    } as never,
    clock: systemClock,
    log: silentLogger,
    events: {
      onFenced: () => fenced++,
      onReport() {},
      afterFlush: (callback: () => void) => callback(),
      mayOrder: () => true,
    } as never,
    earlierLeasesEndMs: 0,
    pacing: createPollPacing(() => 0),
  });
  assert.equal((await link.stop("a", 1)).kind, "done");
  assert.equal(stops.length, 2);
  assert.ok(stops[1]! > stops[0]!);
  const polls = run(() => link.run());
  await waitFor("the poll is repeated", () => acknowledged.length >= 4);
  link.close();
  await polls.halt();
  // The end is acknowledged again after the refusal, and not once that has an answer.
  assert.deepEqual(acknowledged.slice(0, 4), [0, 4, 4, 0]);
  assert.equal(link.silentMs(), 0);
  assert.equal(fenced, 0);
});

test.run();
