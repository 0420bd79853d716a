import assert from "node:assert/strict";
import { suite } from "uvu";
import { createRandom } from "../../../testing/random.ts";
import { createAdmission } from "./admission.ts";

const test = suite("admission");

const WEIGHT = 10;

/** Callers of a workspace that return up to four times, at the whole seconds of their `Retry-After`. */
function simulate(
  rates: Record<string, number>,
  { seconds, isFull, seed }: {
    seconds: number;
    isFull: boolean;
    seed: number;
  },
) {
  const random = createRandom(seed);
  let nowMs = 0;
  let nextId = 0;
  const admission = createAdmission({ nowMs: () => nowMs });
  const results = Object.fromEntries(
    Object.keys(rates).map((name) => [name, {
      sent: 0,
      admittedAtMs: [] as number[],
      excess: 0,
      /** Refusals of callers that had returned at a slot. */
      broken: 0,
    }]),
  );
  let waiting: { atMs: number; name: string; jobId: string; slot: boolean }[] =
    [];
  for (; nowMs < seconds * 1_000; nowMs += 10) {
    const calls = waiting.filter(({ atMs }) => atMs <= nowMs);
    waiting = waiting.filter(({ atMs }) => atMs > nowMs);
    for (const [name, rate] of Object.entries(rates)) {
      if (random.next() < rate / 100) {
        results[name]!.sent++;
        calls.push({ atMs: nowMs, name, jobId: `${nextId++}`, slot: false });
      }
    }
    for (const { name, jobId, slot } of calls) {
      const decision = admission.decide({
        workspace: name,
        weight: WEIGHT,
        jobId,
        isFull,
      });
      const result = results[name]!;
      if (decision.kind === "admitted") {
        result.admittedAtMs.push(nowMs);
        if (decision.excess) result.excess++;
        continue;
      }
      if (slot) result.broken++;
      waiting.push({
        atMs: nowMs + Math.ceil(decision.retryAfterMs / 1_000) * 1_000,
        name,
        jobId,
        // At the horizon no slot is assigned.
        slot: decision.retryAfterMs < 30_000,
      });
    }
  }
  return { results, slots: admission.slotCount() };
}

// Guards against a workspace that takes the entitlement of others, and against a `Retry-After` that doesn't hold.
test("one workspace at eight times its usual: it gets its entitlement, its callers' slots hold, and the others notice nothing", () => {
  for (const seed of [1, 2, 3]) {
    const { results, slots } = simulate({ heavy: 80, a: 8, b: 8 }, {
      seconds: 60,
      isFull: true,
      seed,
    });
    for (const name of ["a", "b"]) {
      const { sent, admittedAtMs } = results[name]!;
      assert.ok(admittedAtMs.length >= sent * 0.99, `${name} ${seed}`);
    }
    const { admittedAtMs, broken } = results.heavy!;
    assert.equal(broken, 0);
    const limit = WEIGHT * 60 + 2 * WEIGHT;
    assert.ok(admittedAtMs.length <= limit, `${admittedAtMs.length}`);
    assert.ok(admittedAtMs.length >= limit * 0.9, `${admittedAtMs.length}`);
    assert.ok(slots <= 35 * WEIGHT, `${slots}`);
  }
});

// Guards against callers that return all at the same time and overload the pool once more.
test("returns spread over slots: a hundred callers that came at once return at the rate of the weight", () => {
  let nowMs = 0;
  const admission = createAdmission({ nowMs: () => nowMs });
  const decide = (index: number, isFull = true) =>
    admission.decide({
      workspace: "a",
      weight: WEIGHT,
      jobId: `${index}`,
      isFull,
    });
  const retryAfterMs = Array.from({ length: 120 }, (_, index) => {
    const decision = decide(index);
    return decision.kind === "refused" ? decision.retryAfterMs : 0;
  });
  assert.equal(retryAfterMs.filter((ms) => ms === 0).length, 20, "burst");
  assert.deepEqual(
    retryAfterMs.slice(20),
    Array.from({ length: 100 }, (_, index) => (index + 1) * 100),
  );
  nowMs = 500;
  assert.deepEqual(decide(30), {
    kind: "refused",
    reason: "share",
    retryAfterMs: 600,
  });
  assert.deepEqual(decide(31, false), { kind: "admitted", excess: true });
  nowMs = 2_000;
  for (const index of [20, 20, 39]) {
    assert.deepEqual(decide(index), { kind: "admitted", excess: false });
  }
  // All slots but two have expired unused, so the burst is available again.
  nowMs = 20_000;
  assert.equal(decide(200).kind, "admitted");
  assert.equal(admission.slotCount(), 0);
});

// Guards against refusals while there is room, and against unbounded memory.
test("all at once: while there is room everything is admitted, and slots are bounded", () => {
  const { results, slots } = simulate({ heavy: 80 }, {
    seconds: 10,
    isFull: false,
    seed: 1,
  });
  const { sent, admittedAtMs, excess } = results.heavy!;
  assert.equal(admittedAtMs.length, sent);
  assert.ok(excess > sent / 2);
  assert.equal(slots, 0);
  const admission = createAdmission({ nowMs: () => 0 });
  for (let index = 0; index < 60_000; index++) {
    admission.decide({
      workspace: `${index % 300}`,
      weight: 100,
      jobId: `${index}`,
      isFull: true,
    });
  }
  assert.equal(admission.slotCount(), 0, "within the bursts");
  for (let index = 0; index < 60_000; index++) {
    admission.decide({
      workspace: `${index % 300}`,
      weight: 100,
      jobId: `x${index}`,
      isFull: true,
    });
  }
  assert.equal(admission.slotCount(), 20_000);
});

test.run();
