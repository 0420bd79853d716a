import { test } from "uvu";
import * as assert from "uvu/assert";
import { decidePollIntervalMs } from "./vm_list_poller.ts";

/** Time after which a leaving VM must get no new work, in ms. */
const LEAVING_NOTICE_LIMIT_MS = 3_000;

// Guards against a list that is polled seldom while it changes, or so seldom that a leaving VM is noticed too late.
test("only a quiet list is polled less often, and half of the limit is left for the answer", () => {
  const first = decidePollIntervalMs({ reachable: true, unchangedMs: 0 });
  const quiet = decidePollIntervalMs({ reachable: true, unchangedMs: 60_000 });
  const failed = decidePollIntervalMs({
    reachable: false,
    unchangedMs: 60_000,
  });
  assert.ok(quiet > first);
  assert.ok(quiet <= LEAVING_NOTICE_LIMIT_MS / 2);
  assert.is(failed, first);
});

test.run();
