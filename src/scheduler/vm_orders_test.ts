import assert from "node:assert/strict";
import { suite } from "uvu";
import { waitFor } from "../../testing/wait.ts";
import { silentLogger } from "../logger.ts";
import type { VmApi, VmOrderOutcome } from "./ports.ts";
import { createVmOrders } from "./vm_orders.ts";

const test = suite("VM orders");

const HOLDER_GAP_MS = 3_000;

/** Orders whose records are stored at once; `pauseMs` is the time that only the wall clock has counted, `elapsedMs` what both have. */
function createTestOrders(outcomes: VmOrderOutcome[]) {
  const state = {
    pauseMs: 0,
    elapsedMs: 0,
    /** Duration of the next commit, in ms. */
    commitMs: 0,
    mayOrder: true,
    mayTakeDown: true,
  };
  const events: string[] = [];
  const fleet: VmApi = {
    list: () => Promise.resolve([]),
    move: ({ vmId, pool, fence }) => {
      events.push(`move ${vmId} ${pool} ${fence}`);
      return Promise.resolve(outcomes.shift() ?? { kind: "done" });
    },
    startMaintenance: () => Promise.resolve({ kind: "done" }),
  };
  const orders = createVmOrders({
    fleet,
    journal: {
      put: ({ encode, onStored }) => {
        encode();
        events.push("record");
        state.elapsedMs += state.commitMs;
        state.commitMs = 0;
        onStored?.();
      },
      afterFlush: (callback) => callback(),
      pending: () => 0,
      *run() {},
    },
    holder: "entry-1",
    fence: 4,
    clock: {
      monotonicMs: () => performance.now() + state.elapsedMs,
      wallMs: () => Date.now() + state.elapsedMs + state.pauseMs,
    },
    log: silentLogger,
    mayOrder: () => state.mayOrder,
    holderGapMs: HOLDER_GAP_MS,
    mayTakeDown: () => state.mayTakeDown,
  });
  return { orders, events, state };
}

/** Counts the move orders that the platform received. */
function countMoves(events: readonly string[]): number {
  return events.filter((event) => event.startsWith("move ")).length;
}

// Guards against an owner that was suspended and then repeats an order although another owner may have come meanwhile; the monotonic clock doesn't count the suspension.
test("an order is repeated after a pause only once its record is stored again", async () => {
  const { orders, events, state } = createTestOrders([{ kind: "unknown" }]);
  let result = "";
  orders.send("vm-1", { kind: "move", pool: "p" }, (outcome) => {
    result = outcome;
  });
  state.pauseMs = 5_000;
  await waitFor("the result", () => result !== "");
  assert.deepEqual(events, [
    "record",
    "move vm-1 p 4",
    "record",
    "move vm-1 p 4",
  ]);
});

// Guards against a VM that gets tasks, or whose place in a maintenance wave is given to another VM, while an earlier attempt of its order may still be carried out.
test("an order that is refused as busy after an unanswered attempt is repeated until its result is certain", async () => {
  const busy = { kind: "refused", reason: "busy" } as const;
  const { orders, events } = createTestOrders([
    { kind: "unknown" },
    busy,
    { kind: "unavailable" },
    busy,
  ]);
  const results: string[] = [];
  orders.send(
    "vm-1",
    { kind: "move", pool: "p" },
    (result) => results.push(result),
  );
  await waitFor("the second attempt", () => countMoves(events) === 2);
  assert.equal(orders.isFree("vm-1"), false);
  await waitFor("the result", () => results.length > 0);
  assert.deepEqual(results, ["done"]);
  assert.equal(countMoves(events), 5);
});

// Guards against an order that is repeated for ever because the VM has left or has a newer owner.
test("an order is given up after an unanswered attempt when its refusal is final", async () => {
  for (const reason of ["fenced", "invalid", "wrong_wave"] as const) {
    const { orders } = createTestOrders([
      { kind: "unknown" },
      { kind: "refused", reason },
    ]);
    const results: string[] = [];
    orders.send(
      "vm-1",
      { kind: "move", pool: "p" },
      (result) => results.push(result),
    );
    await waitFor("the result", () => results.length > 0);
    assert.deepEqual(results, [reason === "fenced" ? "fenced" : "refused"]);
  }
});

// Guards against a VM that is kept out of use although its only order was refused.
test("an order that is refused at the first attempt is given up at once", async () => {
  const { orders, events } = createTestOrders([
    { kind: "refused", reason: "busy" },
  ]);
  const results: string[] = [];
  orders.send(
    "vm-1",
    { kind: "move", pool: "p" },
    (result) => results.push(result),
  );
  await waitFor("the result", () => results.length > 0);
  assert.deepEqual(results, ["refused"]);
  assert.equal(countMoves(events), 1);
});

// Guards against an order that an owner repeats after its tenure has ended.
test("an unanswered order isn't repeated once the owner may not order", async () => {
  const { orders, events, state } = createTestOrders([{ kind: "unknown" }]);
  orders.send("vm-1", { kind: "move", pool: "p" }, () => {});
  state.mayOrder = false;
  await new Promise((resolve) => setTimeout(resolve, 500));
  assert.deepEqual(events, ["record", "move vm-1 p 4"]);
  assert.equal(orders.isFree("vm-1"), false);
});

// Guards against a VM that is taken down although tasks of a step on it were lost elsewhere while the order's record was being stored.
test("an order that the budgets no longer allow is withdrawn before it is sent", () => {
  const { orders, events, state } = createTestOrders([]);
  state.mayTakeDown = false;
  let result = "";
  orders.send("vm-1", { kind: "move", pool: "p" }, (outcome) => {
    result = outcome;
  });
  assert.equal(result, "refused");
  assert.equal(countMoves(events), 0);
  assert.ok(orders.isFree("vm-1"));
});

// Guards against two owners that order one VM within the minimum time, as the first one repeats its order until its record is 0.7 s old.
test("a VM isn't free until the last attempt of an earlier owner's order is old enough", () => {
  const { orders, state } = createTestOrders([]);
  orders.recordEarlierOrder("vm-1", { atMs: Date.now() });
  state.elapsedMs += HOLDER_GAP_MS + 600;
  assert.equal(orders.isFree("vm-1"), false);
  state.elapsedMs += 200;
  assert.equal(orders.isFree("vm-1"), true);
});

// Guards against an order that is sent although its record, of which the next owner reads the time, took too long to be stored.
test("an order whose record took long to be stored is recorded again", async () => {
  const { orders, events, state } = createTestOrders([]);
  state.commitMs = 800;
  let result = "";
  orders.send("vm-1", { kind: "move", pool: "p" }, (outcome) => {
    result = outcome;
  });
  await waitFor("the result", () => result !== "");
  assert.deepEqual(events, ["record", "record", "move vm-1 p 4"]);
});

test.run();
