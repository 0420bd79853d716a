import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  addArrival,
  createArrivalRate,
  estimateDemandSlots,
} from "./demand.ts";
import {
  decideEjections,
  decideReinstatements,
  ejectionBackoffMs,
  type InstanceHealth,
} from "./ejection.ts";
import { orderOverflowPools } from "./overflow.ts";
import {
  createRetryBudget,
  decideRetry,
  refillRetryBudget,
} from "./retry_budget.ts";
import { addRetryJitter, decideShedding } from "./shedding.ts";

const queueState = {
  ahead: 10,
  slotsHeld: 5,
  meanServiceMs: 20,
  slowServiceMs: 40,
  remainingMs: 1_000,
  queued: 10,
  maximumQueued: 100,
};

test("a request that can't meet its deadline is refused with the time until the queue has drained", () => {
  assert.equal(decideShedding(queueState), { kind: "wait", waitMs: 44 });
  const refused = decideShedding({ ...queueState, ahead: 300 });
  assert.is(refused.kind, "refuse");
  // 301 requests at 4 ms each, minus half of the remaining time less the slow service time.
  assert.is(refused.kind === "refuse" && refused.retryAfterMs, 724);
  const full = decideShedding({ ...queueState, queued: 100 });
  assert.is(full.kind === "refuse" && full.reason, "queue_full");
});

test("jitter spreads the retries of refused callers", () => {
  assert.is(addRetryJitter(100, 0), 100);
  assert.is(addRetryJitter(100, 0.99), 150);
});

test("the demand estimate follows the start and the end of a surge within 500 ms", () => {
  let rate = createArrivalRate(0);
  const demandAt = (nowMs: number) =>
    estimateDemandSlots({
      rate,
      nowMs,
      meanServiceMs: 100,
      inFlight: 0,
      waiting: 0,
    });
  for (let nowMs = 0; nowMs < 500; nowMs++) rate = addArrival(rate, nowMs);
  const surge = demandAt(500);
  assert.ok(surge > 60 && surge < 110, `${surge} slots`);
  assert.ok(demandAt(1_000) < 5);
});

const failedAttempt = {
  sent: true,
  idempotent: true,
  attempts: 1,
  remainingMs: 100,
  otherInstance: true,
  budget: { tokens: 1 },
};

test("a request that may have run is retried only if it is idempotent and within the retry budget", () => {
  assert.equal(decideRetry(failedAttempt), {
    kind: "retry",
    budget: { tokens: 0 },
  });
  const stops = [
    [{ idempotent: false }, "not_idempotent"],
    [{ attempts: 3 }, "attempts_used"],
    [{ remainingMs: 0 }, "deadline"],
    [{ otherInstance: false }, "no_other_instance"],
    [{ budget: { tokens: 0.9 } }, "budget_empty"],
  ] as const;
  for (const [change, reason] of stops) {
    assert.equal(decideRetry({ ...failedAttempt, ...change }), {
      kind: "stop",
      reason,
    });
  }
  const unsent = { ...failedAttempt, sent: false, idempotent: false };
  assert.is(decideRetry(unsent).kind, "retry");
});

test("successful requests refill the retry budget up to its capacity", () => {
  let budget = createRetryBudget(10);
  for (let count = 0; count < 10_000; count++) {
    budget = refillRetryBudget(budget, 10);
  }
  assert.is(budget.tokens, 20);
  assert.is(createRetryBudget(0).tokens, 0);
});

function createHealth(vmId: string, change: Partial<InstanceHealth> = {}) {
  return {
    vmId,
    consecutiveFailures: 0,
    latencyMs: 10,
    samples: 100,
    silentMs: 0,
    ejectedUntilMs: undefined,
    ...change,
  };
}

test("failing, slow and silent instances are ejected", () => {
  const ejections = decideEjections({
    minimumServingVms: 1,
    instances: [
      createHealth("a", { consecutiveFailures: 3 }),
      createHealth("b", { latencyMs: 80 }),
      createHealth("c", { silentMs: 1_500 }),
      ...["d", "e", "f"].map((vmId) => createHealth(vmId)),
    ],
  });
  assert.equal(
    ejections.map(({ vmId, reason }) => `${vmId} ${reason}`).sort(),
    ["a failures", "b latency", "c silent"],
  );
});

test("a service that is slow on most instances ejects none", () => {
  const instances = ["a", "b", "c"].map((vmId, index) =>
    createHealth(vmId, { silentMs: index === 0 ? 0 : 5_000, samples: 0 })
  );
  assert.equal(decideEjections({ instances, minimumServingVms: 0 }), []);
});

// Guards against healthy instances of a slow service being ejected, which halves
// an entry's slots until it refuses requests whose deadline could be met.
test("an instance of a slow service isn't silent before it has had time to respond", () => {
  const eject = (...instances: InstanceHealth[]) =>
    decideEjections({ instances, minimumServingVms: 1 })
      .map(({ vmId, reason }) => `${vmId} ${reason}`);
  const slow = { latencyMs: 6_000, samples: 5 };
  assert.equal(
    eject(
      createHealth("a", { ...slow, silentMs: 1_500 }),
      createHealth("b", { ...slow, silentMs: 200 }),
    ),
    [],
  );
  // A reinstated instance has no samples, but its last response time is still known.
  assert.equal(
    eject(
      createHealth("a", { ...slow, samples: 0, silentMs: 1_500 }),
      createHealth("b", { ...slow, samples: 0 }),
    ),
    [],
  );
  const unused = { latencyMs: 0, samples: 0 };
  assert.equal(
    eject(
      createHealth("a", { ...unused, silentMs: 1_500 }),
      createHealth("b", { ...unused, silentMs: 900 }),
    ),
    [],
  );
  // An instance that never responds is ejected as soon as another one has.
  assert.equal(
    eject(
      createHealth("a", { ...unused, silentMs: 1_500 }),
      createHealth("b", { latencyMs: 5, samples: 1 }),
    ),
    ["a silent"],
  );
});

test("ejections keep the minimum of serving VMs", () => {
  const instances = ["a", "b", "c", "d"].map((vmId) =>
    createHealth(vmId, { consecutiveFailures: 5 })
  );
  const count = (minimumServingVms: number) =>
    decideEjections({ instances, minimumServingVms }).length;
  assert.equal([0, 3, 4, 9].map(count), [3, 1, 0, 0]);
  const ejected = [
    createHealth("a", { ejectedUntilMs: 200 }),
    createHealth("b", { ejectedUntilMs: 100 }),
    createHealth("c"),
  ];
  assert.equal(
    decideReinstatements({ instances: ejected, minimumServingVms: 2 }),
    ["b"],
  );
});

test("the ejection backoff grows exponentially up to a limit", () => {
  assert.equal([1, 2, 3, 20].map(ejectionBackoffMs), [
    500,
    1_000,
    2_000,
    30_000,
  ]);
});

test("overflow prefers spare pools and skips pools with queued requests of their own service", () => {
  const pool = (name: string, change = {}) => ({
    pool: name,
    spare: false,
    freeSlots: 4,
    ownQueueWaiting: false,
    ...change,
  });
  const ordered = orderOverflowPools([
    pool("small", { freeSlots: 1 }),
    pool("large"),
    pool("spare", { spare: true, freeSlots: 1 }),
    pool("busy", { ownQueueWaiting: true }),
    pool("empty", { freeSlots: 0 }),
  ]);
  assert.equal(ordered.map((item) => item.pool), ["spare", "large", "small"]);
});

test.run();
