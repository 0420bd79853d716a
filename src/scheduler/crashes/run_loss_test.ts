import assert from "node:assert/strict";
import { suite } from "uvu";
import { judgeTask, MAXIMUM_LOSSES, type RunLoss } from "./run_loss.ts";

const test = suite("run losses");

function loss(run: number, flags: Partial<RunLoss> = {}): RunLoss {
  return {
    run,
    worker: `w${run}`,
    born: 1,
    vm: "",
    young: false,
    confirmed: true,
    alone: false,
    proven: true,
    ...flags,
  };
}

const young = { young: true };
const alone = { young: true, alone: true };

// Guards against innocent tasks that are given up, and against tasks at fault that are started too often.
test("the verdict follows from the circumstances of the losses", () => {
  const cases: [string, RunLoss[], string][] = [
    ["none", [], "none"],
    ["after running for a while", [loss(1)], "none"],
    ["just started", [loss(1, young)], "suspect"],
    ["twice after running for a while", [loss(1), loss(2)], "suspect"],
    ["twice beside others", [loss(1, young), loss(2, young)], "suspect"],
    ["alone only once", [loss(1, alone)], "suspect"],
    ["the second time alone", [loss(1, young), loss(2, alone)], "give_up"],
    ["alone, but ran before", [loss(1), loss(2, alone)], "suspect"],
    [
      "alone, but never confirmed",
      [loss(1, young), loss(2, { ...alone, confirmed: false })],
      "suspect",
    ],
    [
      "alone, after a start that may never have reached its worker",
      [loss(1, { young: true, confirmed: false }), loss(2, alone)],
      "suspect",
    ],
    [
      "alone, but maybe only cut off",
      [loss(1, young), loss(2, { ...alone, proven: false })],
      "suspect",
    ],
    [
      "just started three times",
      [loss(1, young), loss(2, young), loss(3, young)],
      "give_up",
    ],
  ];
  for (const [name, losses, verdict] of cases) {
    assert.equal(judgeTask(losses), verdict, name);
  }
});

// Guards against a healthy job that is shown as failed because its workers crashed one after the other.
test("a task isn't given up for losses of runs that had lasted", () => {
  const losses = [1, 2, 3, 4, 5].map((run) => loss(run));
  assert.equal(judgeTask(losses), "suspect");
  assert.equal(judgeTask([...losses, loss(6, young)]), "suspect");
  assert.equal(
    judgeTask([loss(1, young), ...losses, loss(6, young)]),
    "suspect",
  );
});

// Guards against a BUDGET: whatever the circumstances, a task isn't started three times more after three crashes.
test("a task is given up after four losses of any kind", () => {
  const losses = [1, 2, 3, 4].map((run) => loss(run, { confirmed: false }));
  assert.equal(losses.length, MAXIMUM_LOSSES);
  assert.equal(judgeTask(losses.slice(0, 3)), "suspect");
  assert.equal(judgeTask(losses), "give_up");
});

test.run();
