import { readFileSync } from "node:fs";
import { run } from "effection";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startStoreServer } from "../../testing/store_server.ts";
import { waitFor } from "../../testing/wait.ts";
import { systemClock } from "../clock.ts";
import { CONFIG_KEY } from "../constants.ts";
import { silentLogger } from "../logger.ts";
import { createObservable } from "../observable.ts";
import { createHttpStore } from "../ports/http_store.ts";
import { applyConfig } from "./apply.ts";
import { runConfigFollower } from "./follower.ts";
import type { AppliedConfig } from "./schema.ts";
import type { RevisionBounds } from "./revision_check.ts";
import { createStoreRevisionTracker } from "./store_revision.ts";
import { resolveConfig } from "./validate.ts";

const FILE = "examples/khomas.json";
const BASE = resolveConfig(readFileSync(FILE, "utf8"), FILE);

test("guards against an entry that goes back to an older revision", async () => {
  const server = await startStoreServer();
  const store = createHttpStore(`http://${server.address}`);
  const current = createObservable<AppliedConfig | undefined>(undefined);
  const revisions: number[] = [];
  const warnings: string[] = [];
  const isOlder = (line: string) => line.includes("older revision");
  current.subscribe((applied) => revisions.push(applied?.revision ?? 0));
  const log = {
    ...silentLogger,
    warn: (message: string) => warnings.push(message),
  };
  const apply = (moves: number) =>
    applyConfig(store, { ...BASE, weights: { bufferCost: 1, moves } });
  const revisionTracker = createStoreRevisionTracker(
    () => current.get()?.revision ?? 0,
    systemClock,
  );
  const follower = run(() =>
    runConfigFollower({ store, current, revisionTracker, log })
  );
  try {
    for (let moves = 1; moves <= 3; moves++) {
      await apply(moves);
      await waitFor(
        "the revision is active",
        () => current.get()?.revision === moves,
      );
    }
    server.faults.staleReads = 1;
    server.server.closeAllConnections();
    await waitFor("the older value is ignored", () => warnings.some(isOlder));
    await apply(4);
    await waitFor(
      "revision 4 is active",
      () => current.get()?.revision === 4,
    );
    assert.equal(revisions, [1, 2, 3, 4]);
  } finally {
    await follower.halt();
    await server.close();
  }
});

test("guards against a restored store that goes unreported, and against an outage reported as one", async () => {
  const server = await startStoreServer();
  const store = createHttpStore(`http://${server.address}`);
  const current = createObservable<AppliedConfig | undefined>(undefined);
  const logged: string[] = [];
  const write = (message: string) => logged.push(message);
  const log = { ...silentLogger, error: write, info: write };
  let nowMs = 0;
  const clock = { ...systemClock, monotonicMs: () => nowMs };
  const revisionTracker = createStoreRevisionTracker(
    () => current.get()?.revision ?? 0,
    clock,
  );
  const apply = (moves: number, bounds: RevisionBounds = {}) =>
    applyConfig(
      store,
      { ...BASE, weights: { bufferCost: 1, moves } },
      bounds,
    );
  // Advances the clock past the reporting delay, so that a state counts at its second check.
  const readBehindRevision = () => {
    nowMs += 10_000;
    return revisionTracker.getStoreBehind()?.storeRevision;
  };
  const follower = run(() =>
    runConfigFollower({ store, current, revisionTracker, log })
  );
  try {
    for (const moves of [1, 2]) await apply(moves);
    await waitFor("revision 2 is active", () => current.get()?.revision === 2);
    const latest = server.values.get(CONFIG_KEY)!;
    server.faults.down = true;
    // As if a peer had read revision 3 before the outage and passed it on.
    current.set({ ...current.get()!, revision: 3 });
    assert.is(readBehindRevision(), undefined);
    server.faults.down = false;
    await waitFor(
      "the store is at revision 2",
      () => readBehindRevision() === 2,
    );
    await waitFor(
      "it is logged",
      () => logged.some((line) => line.includes("holds an older revision")),
    );
    server.values.delete(CONFIG_KEY);
    server.server.closeAllConnections();
    await waitFor("the store is empty", () => readBehindRevision() === 0);
    server.values.set(CONFIG_KEY, latest);
    await apply(3, { aboveRevision: 3 });
    await waitFor(
      "revision 4 is active",
      () => current.get()?.revision === 4,
    );
    await waitFor("the report ends", () => readBehindRevision() === undefined);
  } finally {
    await follower.halt();
    await server.close();
  }
});

test.run();
