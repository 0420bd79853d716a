import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobSimulation } from "../../testing/job_simulation.ts";
import { createFakeStore } from "../../testing/fake_store.ts";
import { REGION } from "../../testing/fleet_simulation.ts";
import { fencingKey } from "./fencing.ts";
import { shardKey } from "./shard.ts";

// Guards against a separate read of the token for each shard, and against
// commands that workers reject because another entry has taken a newer token.
test("an entry reads the fencing token once for all of its shards and adopts newer ones", async () => {
  const store = createFakeStore();
  const jobs = new JobSimulation({ store, workerCount: 2 });
  const first = jobs.createEntryDispatchers("first", [0, 1, 2]);
  const [second] = jobs.createEntryDispatchers("second", [0]);
  const stepFirst = async (ms: number) => {
    jobs.tick(ms);
    await Promise.all(first.map((dispatcher) => dispatcher.step()));
  };
  const reads = () =>
    store.calls.filter(({ method, key }) =>
      method === "get" && key === fencingKey(REGION)
    ).length;
  await stepFirst(500);
  const before = reads();
  for (let count = 0; count < 4; count++) await stepFirst(500);
  assert.is(reads() - before, 1);

  store.expireLease(shardKey(REGION, 0));
  await second!.step();
  const token = second!.writer.record!.fencingToken;
  assert.ok(token > first[1]!.writer.record!.fencingToken);
  for (let count = 0; count < 4; count++) await stepFirst(500);
  for (const { writer } of first.slice(1)) {
    assert.is(writer.record!.fencingToken, token);
  }
});

test.run();
