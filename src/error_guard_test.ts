import { run, sleep } from "effection";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { useErrorGuard } from "./error_guard.ts";

// Guards against a process that ends because of one unexpected error in a callback or in a promise that nobody awaits.
test("unhandled errors reach the guard and the process goes on", async () => {
  const messages: string[] = [];
  await run(function* () {
    yield* useErrorGuard((error) => messages.push((error as Error).message));
    void Promise.reject(new Error("rejected"));
    setTimeout(() => {
      throw new Error("thrown");
    }, 1);
    for (
      let waitedMs = 0;
      messages.length < 2 && waitedMs < 5_000;
      waitedMs += 10
    ) {
      yield* sleep(10);
    }
  });
  assert.equal(messages.sort(), ["rejected", "thrown"]);
});

test.run();
