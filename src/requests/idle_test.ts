import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  call,
  createFakeClock,
  rawResponse,
  startRawBackend,
  startTestEntry,
} from "../../testing/request_entry.ts";
import { createTestFleet } from "../../testing/request_fleet.ts";
import { waitFor } from "../../testing/wait.ts";

// Guards against an entry that becomes idle while requests are in flight, or that stays idle when the next request arrives.
test("an entry becomes idle without requests and active again with the next one", async () => {
  const clock = createFakeClock();
  let activations = 0;
  const backend = await startRawBackend((socket, { path }) => {
    setTimeout(() => socket.write(rawResponse(path)), 100);
  });
  const fleet = createTestFleet([backend.address]);
  const entry = await startTestEntry({
    fleet,
    clock,
    onActive: () => activations++,
  });
  try {
    assert.ok(entry.proxy.isIdle());
    const first = call(entry, "/quoting/first");
    await waitFor(
      "the first request is sent",
      () => backend.requests.length > 0,
    );
    clock.advance(6_000);
    assert.not(entry.proxy.isIdle(), "a request is in flight");
    await first;
    await waitFor("the entry is idle", () => entry.proxy.isIdle());
    assert.is(activations, 1);
    await call(entry, "/quoting/second");
    assert.is(activations, 2);
    assert.not(entry.proxy.isIdle());
  } finally {
    await entry.close();
    backend.close();
  }
});

test.run();
