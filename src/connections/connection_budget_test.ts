import type { ConnectionLimits } from "./connection_limits.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type BudgetedConnection,
  ConnectionBudget,
} from "./connection_budget.ts";

const LIMITS = {
  memoryBytes: 1_000_000,
  maximumConnections: 3,
  maximumUnaccepted: 3,
  maximumPeerConnections: 3,
  maximumWaiting: 3,
};

function createBudget(limits: Partial<ConnectionLimits> = {}) {
  const budget = new ConnectionBudget({ ...LIMITS, ...limits });
  const closed: string[] = [];
  function open(name: string): BudgetedConnection {
    const connection: BudgetedConnection = {
      refuse: () => close(`${name} refused`),
      destroy: () => close(name),
    };
    function close(event: string): void {
      closed.push(event);
      budget.remove(connection);
    }
    budget.add(connection);
    budget.setWaiting(connection, true);
    return connection;
  }
  return { budget, closed, open };
}

// Guards against refusing the ordinary caller that comes next instead of the one that occupies the memory.
test("when the memory is used up, the costliest connection is refused", () => {
  const { budget, closed, open } = createBudget();
  const [small, large, other] = [open("small"), open("large"), open("other")];
  budget.setCost(small, 100_000);
  budget.setCost(large, 700_000);
  budget.setCost(other, 150_000);
  assert.equal(closed, []);
  budget.setCost(small, 200_000);
  assert.equal(closed, ["large refused"]);
  assert.is(budget.usedBytes, 350_000);
});

test("memory for a complete request is taken from costlier connections only", () => {
  const { budget, closed, open } = createBudget();
  budget.setCost(open("large"), 900_000);
  const release = budget.reserve(400_000);
  assert.equal(closed, ["large refused"]);
  budget.setCost(open("small"), 500_000);
  assert.is(budget.reserve(600_000), undefined);
  assert.equal(closed, ["large refused"]);
  release!();
  release!();
  assert.is(budget.usedBytes, 500_000);
});

test("ordinary connections that are being served outlive those that wait for their caller", () => {
  const { budget, closed, open } = createBudget();
  const served = open("served");
  const idle = open("idle");
  budget.setWaiting(served, false);
  budget.setCost(served, 60_000);
  budget.setCost(idle, 10_000);
  budget.reserve(928_000);
  budget.setCost(served, 65_000);
  assert.equal(closed, ["idle refused"]);
});

// Guards against callers with unfinished requests that keep every descriptor.
test("a new connection replaces the one that has waited for its caller the longest", () => {
  const { budget, closed, open } = createBudget();
  const first = open("first");
  const second = open("second");
  open("third");
  budget.setWaiting(first, false);
  open("fourth");
  assert.equal(closed, ["second"]);
  budget.setWaiting(second, true);
  budget.setWaiting(first, true);
  open("fifth");
  open("sixth");
  assert.equal(closed, ["second", "third", "fourth"]);
  assert.is(budget.connections, 3);
});

test("a new connection is closed while all others are being served", () => {
  const { budget, closed, open } = createBudget();
  for (const name of ["first", "second", "third"]) {
    budget.setWaiting(open(name), false);
  }
  open("fourth");
  assert.equal(closed, ["fourth"]);
});

// Guards against the bytes that the system receives on many connections before they are read.
test("fewer connections may wait for their caller than may be open", () => {
  const { budget, closed, open } = createBudget({ maximumWaiting: 1 });
  budget.setWaiting(open("served"), false);
  open("idle");
  open("new");
  assert.equal(closed, ["idle"]);
});

test.run();
