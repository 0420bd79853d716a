import assert from "node:assert/strict";
import fc from "fast-check";
import { suite } from "uvu";
import {
  decideDisruption,
  isAway,
  type StepTask,
} from "./disruption_budget.ts";

const test = suite("disruption budget");

const TIMES = { nowMs: 20_000, noticeMs: 4_500 };

function taskOf(
  taskId: string,
  fields: Partial<StepTask> = {},
): StepTask {
  return {
    taskId,
    atWorkSinceMs: 0,
    isEnding: false,
    mayBeAtWork: true,
    ...fields,
  };
}

function allows(
  tasks: readonly StepTask[],
  taskIds: readonly string[],
  mayMiss: number,
  gang = false,
): boolean {
  return decideDisruption({ mayMiss, gang, tasks }, new Set(taskIds), TIMES)
    .allowed;
}

// Guards against ending tasks while others, lost with crashed workers, have only just started again (crashes of a fifth of the workers every 5 s).
test("a task counts as away until it has been at work for the notice period", () => {
  const back = (ageMs: number) =>
    taskOf("b", { atWorkSinceMs: TIMES.nowMs - ageMs });
  assert.equal(allows([taskOf("a"), back(4_499)], ["a"], 1), false);
  assert.equal(allows([taskOf("a"), back(4_500)], ["a"], 1), true);
  assert.equal(allows([taskOf("a"), back(100)], ["a"], 2), true);
  // The order costs nothing if it ends the task that is away already.
  assert.equal(allows([taskOf("a"), back(100)], ["b"], 1), true);
});

// Guards against several orders of one round that each find the budget unused.
test("tasks that an earlier order ends count as away", () => {
  const ending = taskOf("b", { isEnding: true });
  assert.equal(allows([taskOf("a"), ending], ["a"], 1), false);
  assert.equal(allows([taskOf("a"), taskOf("b")], ["a", "b"], 1), false);
  assert.equal(allows([taskOf("a"), taskOf("b")], ["a", "b"], 2), true);
});

// Guards against a task that stays on its worker for good although it isn't at work there.
test("a task that isn't at work may be ended whatever the budget", () => {
  const idle = taskOf("a", { atWorkSinceMs: undefined, mayBeAtWork: false });
  assert.equal(allows([idle, taskOf("b")], ["a"], 0), true);
  assert.equal(allows([idle, taskOf("b")], ["a", "b"], 1), false);
});

// Guards against a gang of which one member is stopped, which ends the others.
test("ending a member of a gang ends all of it", () => {
  const tasks = [taskOf("a"), taskOf("b"), taskOf("c")];
  assert.equal(allows(tasks, ["a"], 2, true), false);
  assert.equal(allows(tasks, ["a"], 3, true), true);
});

// Guards against a sequence of allowed orders that together exceed the budget.
test("orders one after the other never leave more tasks away than the budget, unless crashes did", () => {
  const task = fc.record({
    atWorkSinceMs: fc.option(fc.integer({ min: 0, max: 20_000 }), {
      nil: undefined,
    }),
    isEnding: fc.boolean(),
  });
  fc.assert(fc.property(
    fc.array(task, { minLength: 1, maxLength: 8 }),
    fc.integer({ min: 0, max: 8 }),
    (states, mayMiss) => {
      let tasks = states.map((state, index) => taskOf(String(index), state));
      const countAway = () => tasks.filter((one) => isAway(one, TIMES)).length;
      const before = countAway();
      for (const { taskId } of tasks) {
        if (!allows(tasks, [taskId], mayMiss)) continue;
        tasks = tasks.map((one) =>
          one.taskId === taskId ? { ...one, isEnding: true } : one
        );
      }
      assert.ok(countAway() <= Math.max(before, mayMiss));
    },
  ));
});

test.run();
