import { readFileSync } from "node:fs";
import { run } from "effection";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startStoreServer } from "../../testing/store_server.ts";
import { waitFor } from "../../testing/wait.ts";
import { silentLogger } from "../logger.ts";
import { createObservable } from "../observable.ts";
import { createHttpStore } from "../platform/http_store.ts";
import { applyConfig } from "./apply.ts";
import { runConfigFollower } from "./follower.ts";
import type { AppliedConfig } from "./schema.ts";
import { resolveConfig } from "./validate.ts";

const FILE = "examples/khomas.json";
const BASE = resolveConfig(readFileSync(FILE, "utf8"), FILE);

test("guards against an entry that goes back to an older revision", async () => {
  const server = await startStoreServer();
  const store = createHttpStore(`http://${server.address}`);
  const current = createObservable<AppliedConfig | undefined>(undefined);
  const revisions: number[] = [];
  const ignored: string[] = [];
  const isOlder = (line: string) => line.includes("older revision");
  current.subscribe((applied) => revisions.push(applied?.revision ?? 0));
  const log = {
    ...silentLogger,
    warn: (message: string) => ignored.push(message),
  };
  const apply = (moves: number) =>
    applyConfig(store, { ...BASE, weights: { bufferCost: 1, moves } });
  const follower = run(() => runConfigFollower({ store, current, log }));
  try {
    for (let moves = 1; moves <= 3; moves++) {
      await apply(moves);
      await waitFor("it is in force", () => current.get()?.revision === moves);
    }
    server.faults.staleReads = 1;
    server.server.closeAllConnections();
    await waitFor("the older value is seen", () => ignored.some(isOlder));
    await apply(4);
    await waitFor(
      "revision 4 is in force",
      () => current.get()?.revision === 4,
    );
    assert.equal(revisions, [1, 2, 3, 4]);
  } finally {
    await follower.halt();
    await server.close();
  }
});

test.run();
