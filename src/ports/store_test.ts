import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createFakeStore } from "../../testing/fake_store.ts";
import {
  createJsonServer,
  type JsonReply,
  listenOnLoopback,
} from "../../testing/http_json_server.ts";
import { startStoreServer } from "../../testing/store_server.ts";
import { type StoreError, type StoreFailure } from "../errors.ts";
import { createHttpStore } from "./http_store.ts";
import type { Store } from "./store.ts";

/** One store implementation and the fault injection that the contract cases need. */
interface Harness {
  readonly store: Store;
  readonly faults: {
    loseAnswers: number;
    dropWrites: number;
    staleReads: number;
  };
  expireLease(name: string): void;
  closeWatches(): void;
  advanceTime(ms: number): Promise<void>;
  makeUnavailable(): Promise<void>;
  close(): Promise<void>;
}

async function createHttpHarness(): Promise<Harness> {
  const server = await startStoreServer();
  return {
    store: createHttpStore(`http://${server.address}`),
    faults: server.faults,
    expireLease: server.expireLease,
    closeWatches: () => server.server.closeAllConnections(),
    advanceTime: (ms) => delay(ms),
    makeUnavailable: server.close,
    close: server.close,
  };
}

function createFakeHarness(): Promise<Harness> {
  const store = createFakeStore();
  return Promise.resolve({
    store,
    faults: store.faults,
    expireLease: store.expireLease,
    closeWatches: store.breakWatches,
    advanceTime: async (ms) => {
      await delay(1);
      store.advance(ms);
    },
    makeUnavailable() {
      store.faults.unavailable = true;
      return Promise.resolve();
    },
    close: () => Promise.resolve(),
  });
}

async function catchFailure(call: Promise<unknown>): Promise<StoreFailure> {
  try {
    await call;
  } catch (error) {
    return (error as StoreError).failure;
  }
  throw new Error("the call was expected to fail");
}

const swap = (store: Store, expectedVersion: number, value: string) =>
  store.compareAndSwap({ key: "a/b", expectedVersion, value });
const acquireLease = (store: Store, holder: string) =>
  store.acquireLease("l/1", { holder, ttlMs: 60_000 });
const grantedLease = (holder: string, fencingToken: number) => ({
  kind: "granted",
  lease: { name: "l/1", holder, ttlMs: 60_000, fencingToken },
});

/** Cases that every store implementation must pass; each is named after the failure that it guards against. */
const CONTRACT_CASES: Record<string, (harness: Harness) => Promise<void>> = {
  async "a swap that writes on a wrong version"({ store }) {
    assert.is(await store.get("a/b"), undefined);
    assert.equal(await swap(store, 0, "x"), { kind: "swapped", version: 1 });
    assert.equal(await swap(store, 0, "y"), { kind: "conflict", version: 1 });
    assert.equal(await store.get("a/b"), { value: "x", version: 1 });
  },
  async "two winners of one version"({ store }) {
    const results = await Promise.all(
      Array.from({ length: 8 }, (_, index) => swap(store, 0, `${index}`)),
    );
    const winners = results.filter((result) => result.kind === "swapped");
    assert.is(winners.length, 1);
  },
  async "a lost response taken for a failed write"({ store, faults }) {
    faults.loseAnswers = 1;
    assert.is(await catchFailure(swap(store, 0, "x")), "unknown_outcome");
    assert.equal(await store.get("a/b"), { value: "x", version: 1 });
    assert.equal(await swap(store, 0, "x"), { kind: "conflict", version: 1 });
  },
  async "a dropped write taken for a success"({ store, faults }) {
    faults.dropWrites = 1;
    assert.is(await catchFailure(swap(store, 0, "x")), "unknown_outcome");
    assert.is(await store.get("a/b"), undefined);
    assert.equal(await swap(store, 0, "x"), { kind: "swapped", version: 1 });
  },
  async "a value above the limit that is stored"({ store }) {
    const value = "x".repeat(1_000_001);
    assert.is(await catchFailure(swap(store, 0, value)), "rejected");
    assert.is(await store.get("a/b"), undefined);
  },
  async "a watch that misses a change"({ store }) {
    const pending = store.watch("a/b", { afterVersion: 0, waitMs: 10_000 });
    await swap(store, 0, "x");
    assert.equal(await pending, { value: "x", version: 1 });
    const late = await store.watch("a/b", { afterVersion: 0, waitMs: 10_000 });
    assert.equal(late, { value: "x", version: 1 });
  },
  async "a watch of an absent key that never resolves"({ store }) {
    const absentValue = await store.watch("a/b", {
      afterVersion: -1,
      waitMs: 10_000,
    });
    assert.equal(absentValue, { value: "", version: 0 });
  },
  async "a watch that outlasts its wait time"({ store, advanceTime }) {
    const pending = store.watch("a/b", { afterVersion: 0, waitMs: 30 });
    await advanceTime(30);
    assert.is(await pending, undefined);
  },
  async "a watch that ignores its abort signal"({ store }) {
    const abort = new AbortController();
    const pending = catchFailure(store.watch("a/b", {
      afterVersion: 0,
      waitMs: 10_000,
      signal: abort.signal,
    }));
    await delay(5);
    abort.abort();
    assert.is(await pending, "unavailable");
  },
  async "a broken watch that looks like an unchanged value"(
    { store, closeWatches },
  ) {
    const pending = catchFailure(
      store.watch("a/b", { afterVersion: 0, waitMs: 10_000 }),
    );
    await delay(50);
    closeWatches();
    assert.is(await pending, "unavailable");
  },
  async "a lease with two holders or a repeated token"({ store }) {
    assert.equal(await acquireLease(store, "p"), grantedLease("p", 1));
    assert.equal(await acquireLease(store, "p"), grantedLease("p", 1));
    assert.equal(await acquireLease(store, "q"), { kind: "held", holder: "p" });
    await store.releaseLease("l/1", "q");
    assert.equal(await acquireLease(store, "q"), { kind: "held", holder: "p" });
    await store.releaseLease("l/1", "p");
    assert.equal(await acquireLease(store, "q"), grantedLease("q", 2));
  },
  async "an expired lease that its former holder keeps"(
    { store, expireLease },
  ) {
    await acquireLease(store, "p");
    expireLease("l/1");
    assert.equal(await acquireLease(store, "q"), grantedLease("q", 2));
    assert.equal(await acquireLease(store, "p"), { kind: "held", holder: "q" });
  },
  async "a lease lost together with a response"({ store, faults }) {
    faults.loseAnswers = 1;
    assert.is(await catchFailure(acquireLease(store, "p")), "unknown_outcome");
    assert.equal(await acquireLease(store, "p"), grantedLease("p", 1));
  },
  async "a write based on a stale read"({ store, faults }) {
    await swap(store, 0, "x");
    await swap(store, 1, "y");
    faults.staleReads = 1;
    assert.equal(await store.get("a/b"), { value: "x", version: 1 });
    assert.equal(await swap(store, 1, "z"), { kind: "conflict", version: 2 });
  },
  async "an outage reported as an unknown outcome"({ store, makeUnavailable }) {
    await makeUnavailable();
    assert.is(await catchFailure(store.get("a/b")), "unavailable");
    assert.is(await catchFailure(swap(store, 0, "x")), "unavailable");
    assert.is(await catchFailure(acquireLease(store, "p")), "unavailable");
  },
};

const httpTest = suite("http replies");

/** A reply of the server and the failure that the client must report for a read and for a write. */
const HTTP_REPLIES: [JsonReply | undefined, StoreFailure, StoreFailure][] = [
  [undefined, "unavailable", "unknown_outcome"],
  [{ status: 503, body: {} }, "unavailable", "unknown_outcome"],
  [{ status: 200, body: { other: 1 } }, "unavailable", "unknown_outcome"],
  [{ status: 200 }, "unavailable", "unknown_outcome"],
  [{ status: 429, body: {} }, "unavailable", "unavailable"],
  [{ status: 400, body: {} }, "rejected", "rejected"],
  [{ status: 403, body: {} }, "rejected", "rejected"],
];

for (const [reply, read, write] of HTTP_REPLIES) {
  const text = JSON.stringify(reply) ?? "a connection closed without a reply";
  httpTest(`guards against a wrong failure kind for ${text}`, async () => {
    const server = await listenOnLoopback(createJsonServer(() => reply));
    try {
      const store = createHttpStore(`http://${server.address}`);
      assert.is(await catchFailure(store.get("a/b")), read);
      assert.is(await catchFailure(swap(store, 0, "x")), write);
      assert.is(await catchFailure(acquireLease(store, "p")), write);
    } finally {
      await server.close();
    }
  });
}

httpTest("guards against a store call that doesn't time out", async () => {
  const server = await startStoreServer();
  server.faults.delayMs = 2_500;
  try {
    const store = createHttpStore(`http://${server.address}`);
    const failures = await Promise.all([
      catchFailure(store.get("a/b")),
      catchFailure(swap(store, 0, "x")),
    ]);
    assert.equal(failures, ["unavailable", "unknown_outcome"]);
  } finally {
    await server.close();
  }
});

httpTest.run();

for (
  const [name, create] of Object.entries({
    "http store": createHttpHarness,
    "fake store": createFakeHarness,
  })
) {
  const test = suite(name);
  for (const [guardsAgainst, run] of Object.entries(CONTRACT_CASES)) {
    test(`${name} guards against ${guardsAgainst}`, async () => {
      const harness = await create();
      try {
        await run(harness);
      } finally {
        await harness.close();
      }
    });
  }
  test.run();
}
