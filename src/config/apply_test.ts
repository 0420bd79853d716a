import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFakeStore } from "../../testing/fake_store.ts";
import { startStoreServer } from "../../testing/store_server.ts";
import { CONFIG_KEY } from "../constants.ts";
import { StoreError } from "../errors.ts";
import { createHttpStore } from "../platform/http_store.ts";
import type { Store } from "../platform/store.ts";
import {
  applyConfig,
  type ApplyResult,
  UnreadableConfigError,
} from "./apply.ts";
import { parseAppliedConfig } from "./follower.ts";
import { resolveConfig } from "./validate.ts";

const BASE = resolveConfig(
  readFileSync("examples/khomas.json", "utf8"),
  "khomas.json",
);
const OPTIONS = { resolveDelaysMs: [0, 1, 2] };

function configWith(bufferCost: number) {
  return { ...BASE, weights: { ...BASE.weights, bufferCost } };
}

async function apply(store: Store, bufferCost: number) {
  return await applyConfig(store, configWith(bufferCost), OPTIONS);
}

async function readInForce(store: Store) {
  return parseAppliedConfig((await store.get(CONFIG_KEY))?.value ?? "");
}

function revisionOf(result: ApplyResult): number | undefined {
  return result.kind === "accepted" ? result.applied.revision : undefined;
}

for (const operators of [2, 8]) {
  test(`guards against two of ${operators} operators winning one revision`, async () => {
    const server = await startStoreServer();
    try {
      const stores = Array.from(
        { length: operators },
        () => createHttpStore(`http://${server.address}`),
      );
      for (let round = 1; round <= 5; round++) {
        const results = await Promise.all(
          stores.map((store, index) => apply(store, round * 100 + index)),
        );
        const revisions = results.map(revisionOf).filter((item) => item);
        const conflicts = results.filter((item) => item.kind === "conflict");
        // Operators that started later may build on the winner's revision.
        assert.is(new Set(revisions).size, revisions.length);
        assert.is(revisions.length + conflicts.length, operators);
        const stored = await readInForce(stores[0] as Store);
        assert.is(stored.revision, Math.max(...revisions as number[]));
        for (const conflict of conflicts) {
          assert.is(conflict.changes[0]?.kind, "general");
        }
      }
    } finally {
      await server.close();
    }
  });

  test(`guards against a winner other than one among ${operators} that read the same revision`, async () => {
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
    assert.is(results.filter((item) => item.kind === "accepted").length, 1);
    assert.is(
      results.filter((item) => item.kind === "conflict").length,
      operators - 1,
    );
    assert.is((await readInForce(store)).revision, 1);
  });
}

test("guards against a lost answer reported as a conflict", async () => {
  const store = createFakeStore();
  store.faults.loseAnswers = 1;
  assert.is(revisionOf(await apply(store, 1)), 1);
  assert.is(store.history(CONFIG_KEY).length, 1);
});

test("guards against a write that was lost on its way reported as accepted", async () => {
  const store = createFakeStore();
  store.faults.dropWrites = 1;
  assert.is(revisionOf(await apply(store, 1)), 1);
  assert.is((await readInForce(store)).config.weights.bufferCost, 1);
});

test("guards against an untrue result when another operator applies after a lost answer", async () => {
  for (
    const [fault, expected] of [
      ["loseAnswers", "superseded"],
      ["dropWrites", "conflict"],
    ] as const
  ) {
    let reads = 0;
    const store = createFakeStore({
      async beforeCall({ method }) {
        if (method === "get" && ++reads === 2) await apply(store, 99);
      },
    });
    store.faults[fault] = 1;
    const result = await apply(store, 1);
    assert.is(result.kind, expected);
    assert.is((await readInForce(store)).config.weights.bufferCost, 99);
  }
});

test("guards against a guess when the apply is no longer listed", async () => {
  let reads = 0;
  const store = createFakeStore({
    async beforeCall({ method }) {
      if (method !== "get" || ++reads !== 2) return;
      for (let index = 0; index < 40; index++) await apply(store, 100 + index);
    },
  });
  store.faults.loseAnswers = 1;
  const result = await apply(store, 1);
  assert.is(result.kind, "undetermined");
});

test("guards against a guess when the store stays away after a lost answer", async () => {
  let reads = 0;
  const store = createFakeStore({
    beforeCall({ method }) {
      if (method === "get" && ++reads === 2) store.faults.unavailable = true;
    },
  });
  store.faults.loseAnswers = 1;
  const result = await apply(store, 1);
  assert.is(result.kind, "undetermined");
});

test("guards against untrue results under random faults and concurrent operators", async () => {
  const kinds: Record<string, number> = {};
  for (let seed = 1; seed <= 60; seed++) {
    const store = createFakeStore({
      random: {
        seed,
        unavailablePercent: 5,
        lostAnswerPercent: 15,
        droppedWritePercent: 15,
        staleReadPercent: 10,
      },
    });
    const outcomes = await Promise.all(
      Array.from({ length: 40 }, async (_, index) => {
        await delay(index % 5);
        const result = await apply(store, index).catch((error) => {
          assert.instance(error, StoreError);
          return { kind: "failed" } as const;
        });
        return { cost: index, result };
      }),
    );
    const written = store.history(CONFIG_KEY)
      .map((entry) => parseAppliedConfig(entry.value));
    assert.equal(
      written.map((applied) => applied.revision),
      written.map((_, index) => index + 1),
      `seed ${seed}`,
    );
    for (const { cost, result } of outcomes) {
      kinds[result.kind] = (kinds[result.kind] ?? 0) + 1;
      const took = written.some((applied) =>
        applied.config.weights.bufferCost === cost
      );
      if (result.kind === "undetermined") continue;
      const claimed = result.kind === "accepted" ||
        result.kind === "superseded";
      assert.is(
        took,
        claimed,
        `seed ${seed}, operator ${cost}: ${result.kind}`,
      );
    }
  }
  for (const kind of ["accepted", "superseded", "conflict", "failed"]) {
    assert.ok((kinds[kind] ?? 0) > 0, `${kind}: ${JSON.stringify(kinds)}`);
  }
});

test("guards against a stored value that no apply can replace", async () => {
  const store = createFakeStore();
  await apply(store, 1);
  const stored = JSON.parse(store.history(CONFIG_KEY)[0]?.value ?? "");
  stored.config.fieldOfANewerVersion = true;
  await store.compareAndSwap({
    key: CONFIG_KEY,
    expectedVersion: 1,
    value: JSON.stringify(stored),
  });
  let failure: unknown;
  await apply(store, 2).catch((error) => failure = error);
  assert.instance(failure, UnreadableConfigError);
  const result = await applyConfig(store, configWith(2), {
    expectedRevision: 1,
  });
  assert.is(revisionOf(result), 2);
});

test("guards against an outage reported as a refusal", async () => {
  const store = createFakeStore();
  store.faults.unavailable = true;
  try {
    await apply(store, 1);
    assert.unreachable();
  } catch (error) {
    assert.instance(error, StoreError);
  }
});

test("guards against a new revision for an unchanged file, and against trusting a stale read", async () => {
  const store = createFakeStore();
  await apply(store, 1);
  assert.is((await apply(store, 1)).kind, "unchanged");
  assert.is((await readInForce(store)).revision, 1);
  await apply(store, 2);
  store.faults.staleReads = 1;
  assert.is((await apply(store, 1)).kind, "conflict");
  assert.is((await readInForce(store)).config.weights.bufferCost, 2);
});

test("guards against applying over a revision that the operator did not review", async () => {
  const store = createFakeStore();
  await apply(store, 1);
  const options = { ...OPTIONS, expectedRevision: 0 };
  const result = await applyConfig(store, configWith(2), options);
  assert.equal(
    result.kind === "conflict" && result.reason,
    "unexpected_revision",
  );
  assert.equal(result.kind === "conflict" && result.changes, [{
    kind: "general",
    fields: [{ path: "weights.bufferCost", before: 1, after: 2 }],
  }]);
  const accepted = await applyConfig(store, configWith(2), {
    expectedRevision: 1,
  });
  assert.is(revisionOf(accepted), 2);
});

test.run();
