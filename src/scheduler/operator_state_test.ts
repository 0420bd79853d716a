import assert from "node:assert/strict";
import { run } from "effection";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { createRandom } from "../../testing/random.ts";
import { waitFor } from "../../testing/wait.ts";
import { createRecordCodec } from "../../platform/record_codec.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { createOperatorState } from "./operator_state.ts";

const test = suite("operator state");

const createWave = (wave: number) =>
  JSON.stringify({
    wave,
    machines: ["vm-1"],
    "deadline-s": 20,
    "upper-bound": 1,
  });
const createConfig = (version: number) =>
  JSON.stringify({ version, routes: [], services: [] });

// Guards against VMs that are taken down for a wave that operators have withdrawn, and against a configuration that reverts.
test("a withdrawn wave is forgotten, also when the store has compacted its history", async () => {
  const store = new FakeRecordStore(createRandom(3));
  store.write("op/config", createConfig(5));
  store.write("op/wave/1", createWave(1));
  store.write("op/wave/2", createWave(2));
  const operator = createOperatorState({
    store: store.client("entry-1"),
    records: createRecordCodec(silentLogger),
    clock: systemClock,
    log: silentLogger,
    readFromPeer: () => Promise.resolve(undefined),
  });
  const task = run(() => operator.run());
  const listWaves = () => [...operator.waves().keys()].join();
  try {
    await waitFor("both waves", () => listWaves() === "1,2");
    store.remove("op/wave/1");
    await waitFor("the deletion", () => listWaves() === "2");
    store.faults.down = true;
    await waitFor(
      "the outage",
      () =>
        store.client("entry-1").get("op/config").then(() => false, () => true),
    );
    store.remove("op/wave/2");
    store.write("op/wave/3", createWave(3));
    store.write("op/config", createConfig(4));
    store.compactHistory();
    store.faults.down = false;
    await waitFor("the new list", () => listWaves() === "3", {
      timeoutMs: 8_000,
    });
    assert.equal(operator.config()?.version, 5);
    store.remove("op/config");
    store.write("op/wave/4", "{");
    store.write("op/wave/5", createWave(5));
    await waitFor("the next wave", () => listWaves() === "3,5");
    assert.equal(operator.config()?.version, 5);
  } finally {
    await task.halt();
  }
});

test.run();
