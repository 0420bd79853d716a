import assert from "node:assert/strict";
import { run } from "effection";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { createRandom } from "../../testing/random.ts";
import { silentLogger } from "../logger.ts";
import { STORE_KEYS } from "./ownership.ts";
import { handOverWhenSlow } from "./slow_handover.ts";

const test = suite("hand-over of a slow owner");

// Guards against a pool without an owner because the only entry gave up its ownership.
test("a slow owner stays the owner until another entry responds", async () => {
  let nowMs = 0;
  const store = new FakeRecordStore(createRandom(1));
  const client = store.client("entry-1");
  let checks = 0;
  const resignations: string[] = [];
  await run(() =>
    handOverWhenSlow({
      store: client,
      // Each sample reads the clock before and after its timer of 50 ms.
      clock: { wallMs: () => 100_000, monotonicMs: () => nowMs += 250 },
      log: silentLogger,
      epoch: 1,
      hasSuccessor() {
        assert.deepEqual(resignations, []);
        checks++;
        return Promise.resolve(checks === 3);
      },
      resign: (reason) => resignations.push(reason),
    })
  );
  assert.equal(checks, 3);
  assert.deepEqual(resignations, ["this entry is too slow"]);
  assert.ok(await client.get(STORE_KEYS.slowHandover));
});

test.run();
