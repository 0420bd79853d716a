import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createFakeStore,
  type FakeStore,
  type FakeStoreOptions,
} from "../../testing/fake_store.ts";
import { startStoreServer } from "../../testing/store_server.ts";
import { CONFIG_KEY } from "../constants.ts";
import { StoreError } from "../errors.ts";
import { createHttpStore } from "../ports/http_store.ts";
import type { Store } from "../ports/store.ts";
import { applyConfig, UnreadableConfigError } from "./apply.ts";
import { parseAppliedConfig } from "./follower.ts";
import { type RevisionBounds, StoreBehindError } from "./revision_check.ts";
import { resolveConfig } from "./validate.ts";

const FILE = "examples/khomas.json";
const BASE = resolveConfig(readFileSync(FILE, "utf8"), FILE);

/** Applies a configuration that is identified by its buffer cost. */
function apply(
  store: Store,
  bufferCost: number,
  expectedRevision?: number,
  bounds: RevisionBounds = {},
) {
  const config = { ...BASE, weights: { bufferCost, moves: 1 } };
  const resolveDelaysMs = [0, 1, 2];
  return applyConfig(store, config, {
    resolveDelaysMs,
    ...(expectedRevision !== undefined && { expectedRevision }),
    ...bounds,
  });
}

async function readCurrent(store: Store) {
  const applied = parseAppliedConfig(
    (await store.get(CONFIG_KEY))?.value ?? "",
  );
  return {
    revision: applied.revision,
    cost: applied.config.weights.bufferCost,
  };
}

/** Creates a fake store that calls `interfere` before its second read, the first one after a lost response. */
function createInterruptedStore(
  interfere: (store: FakeStore) => Promise<unknown> | void,
) {
  let reads = 0;
  const options: FakeStoreOptions = {
    async beforeCall({ method }) {
      if (method === "get" && ++reads === 2) await interfere(store);
    },
  };
  const store = createFakeStore(options);
  return store;
}

for (const operators of [2, 8]) {
  test(`guards against two of ${operators} operators winning one revision`, async () => {
    const server = await startStoreServer();
    try {
      const store = createHttpStore(`http://${server.address}`);
      for (let round = 1; round <= 5; round++) {
        server.faults.loseAnswers = round % 3;
        const results = await Promise.all(
          Array.from(
            { length: operators },
            (_, index) => apply(store, round * 100 + index),
          ),
        );
        // Operators that read later may build on the winner's revision.
        const won = results.flatMap((result) =>
          result.kind === "accepted" || result.kind === "superseded"
            ? [result.applied.revision]
            : []
        );
        const lost = results.filter((result) => result.kind === "conflict");
        assert.is(new Set(won).size, won.length);
        assert.is(won.length + lost.length, operators);
        assert.is((await readCurrent(store)).revision, Math.max(...won));
        assert.ok(lost.every((conflict) => conflict.changes.length > 0));
      }
    } finally {
      await server.close();
    }
  });

  test(`guards against more than one winner among ${operators} that read the same revision`, async () => {
    let release = () => {};
    const allRead = new Promise<void>((resolve) => release = resolve);
    let waiting = 0;
    const store = createFakeStore({
      beforeCall({ method }) {
        if (method !== "compareAndSwap") return;
        if (++waiting === operators) release();
        return allRead;
      },
    });
    const results = await Promise.all(
      Array.from({ length: operators }, (_, index) => apply(store, index)),
    );
    const kinds = results.map((result) => result.kind).sort();
    assert.equal(kinds, [
      "accepted",
      ...Array.from({ length: operators - 1 }, () => "conflict"),
    ]);
    assert.is((await readCurrent(store)).revision, 1);
  });
}

/** Fault of the write, event before its outcome is resolved, expected result, and buffer cost that is active then. */
const LOST_RESPONSES: [
  "loseAnswers" | "dropWrites",
  string,
  (store: FakeStore) => Promise<unknown> | void,
  string,
  number,
][] = [
  ["loseAnswers", "nothing happens", () => {}, "accepted", 1],
  ["dropWrites", "nothing happens", () => {}, "accepted", 1],
  ["loseAnswers", "another applies", (s) => apply(s, 99), "superseded", 99],
  ["dropWrites", "another applies", (s) => apply(s, 99), "conflict", 99],
  [
    "loseAnswers",
    "more apply than are listed",
    async (store) => {
      for (let cost = 60; cost < 100; cost++) await apply(store, cost);
    },
    "undetermined",
    99,
  ],
  [
    "loseAnswers",
    "the store stays unavailable",
    (store) => {
      store.faults.unavailable = true;
    },
    "undetermined",
    1,
  ],
];

for (const [fault, event, interfere, kind, cost] of LOST_RESPONSES) {
  test(`guards against a result other than ${kind} after ${fault} when ${event}`, async () => {
    const store = createInterruptedStore(interfere);
    store.faults[fault] = 1;
    assert.is((await apply(store, 1)).kind, kind);
    store.faults.unavailable = false;
    assert.is((await readCurrent(store)).cost, cost);
  });
}

test("guards against a stored value that no apply can replace", async () => {
  const store = createFakeStore();
  await apply(store, 1);
  const stored = JSON.parse(store.history(CONFIG_KEY)[0]?.value ?? "");
  stored.config.fieldOfANewerVersion = true;
  const value = JSON.stringify(stored);
  await store.compareAndSwap({ key: CONFIG_KEY, expectedVersion: 1, value });
  const failure = await apply(store, 2).catch((error) => error);
  assert.instance(failure, UnreadableConfigError);
  assert.is((await apply(store, 2, 1)).kind, "accepted");
  assert.equal(await readCurrent(store), { revision: 2, cost: 2 });
});

/** Applies from 40 operators under random faults; returns each reported result and every value written. */
async function runRandomApplies(seed: number) {
  const random = {
    seed,
    unavailablePercent: 5,
    lostAnswerPercent: 15,
    droppedWritePercent: 15,
    staleReadPercent: 10,
  };
  const store = createFakeStore({ random });
  const reported = await Promise.all(
    Array.from({ length: 40 }, async (_, cost) => {
      await delay(cost % 5);
      const result = await apply(store, cost).catch((error) => {
        assert.instance(error, StoreError);
        return { kind: "failed" } as const;
      });
      return { cost, kind: result.kind };
    }),
  );
  const written = store.history(CONFIG_KEY)
    .map((entry) => parseAppliedConfig(entry.value));
  return { reported, written };
}

test("guards against wrong results under random faults and concurrent operators", async () => {
  const kinds = new Set<string>();
  for (let seed = 1; seed <= 60; seed++) {
    const { reported, written } = await runRandomApplies(seed);
    const revisions = written.map((applied) => applied.revision);
    assert.equal(revisions, revisions.map((_, index) => index + 1));
    const costs = written.map((applied) => applied.config.weights.bufferCost);
    for (const { cost, kind } of reported) {
      kinds.add(kind);
      if (kind === "undetermined") continue;
      const claimed = kind === "accepted" || kind === "superseded";
      const message = `seed ${seed}, operator ${cost}: ${kind}`;
      assert.is(costs.includes(cost), claimed, message);
    }
  }
  for (const kind of ["accepted", "superseded", "conflict", "failed"]) {
    assert.ok(kinds.has(kind), kind);
  }
});

test("guards against a new revision for an unchanged file, and against trusting a stale read", async () => {
  const store = createFakeStore();
  await apply(store, 1);
  assert.is((await apply(store, 1)).kind, "unchanged");
  assert.equal(await readCurrent(store), { revision: 1, cost: 1 });
  await apply(store, 2);
  store.faults.staleReads = 1;
  assert.is((await apply(store, 1)).kind, "conflict");
  assert.equal(await readCurrent(store), { revision: 2, cost: 2 });
});

test("guards against a revision that entries ignore because the store was restored", async () => {
  const store = createFakeStore();
  for (const cost of [1, 2, 3]) await apply(store, cost);
  const [first] = store.history(CONFIG_KEY);
  await store.compareAndSwap({
    key: CONFIG_KEY,
    expectedVersion: 3,
    value: first?.value ?? "",
  });
  const known = { revision: 3, entryId: "entry-1" };
  const applyAbove = (cost: number, aboveRevision?: number, revision = 3) =>
    apply(store, cost, undefined, {
      highestKnown: { ...known, revision },
      ...(aboveRevision !== undefined && { aboveRevision }),
    });
  // The file of the restored revision must not count as active either.
  for (const [cost, aboveRevision] of [[1], [4], [4, 2]] as const) {
    const error = await applyAbove(cost, aboveRevision).catch((reason) =>
      reason
    );
    assert.instance(error, StoreBehindError);
    const { storeRevision, entryRevision } = error.toJSON();
    assert.equal([storeRevision, entryRevision], [1, 3]);
    assert.match(error.message, "--above-revision 3");
  }
  assert.equal(await readCurrent(store), { revision: 1, cost: 1 });
  assert.is((await applyAbove(1, 3)).kind, "accepted");
  assert.equal(await readCurrent(store), { revision: 4, cost: 1 });
  assert.is((await applyAbove(1, 3, 4)).kind, "unchanged");
  assert.is((await applyAbove(5, 3, 4)).kind, "conflict");
  assert.is((await applyAbove(5, undefined, 4)).kind, "accepted");
  store.faults.staleReads = 1;
  assert.is((await applyAbove(6, undefined, 5)).kind, "conflict");
  const emptied = createFakeStore();
  const error = await apply(emptied, 1, undefined, { highestKnown: known })
    .catch((e) => e);
  assert.instance(error, StoreBehindError);
});

test("guards against applying over a revision that the operator did not review", async () => {
  const store = createFakeStore();
  await apply(store, 1);
  const { kind, ...rest } = await apply(store, 2, 0);
  const field = { path: "weights.bufferCost", before: 1, after: 2 };
  assert.is(kind, "conflict");
  assert.equal(rest, {
    reason: "unexpected_revision",
    baseRevision: 0,
    currentRevision: 1,
    changes: [{ kind: "general", fields: [field] }],
  });
  assert.is((await apply(store, 2, 1)).kind, "accepted");
});

test.run();
