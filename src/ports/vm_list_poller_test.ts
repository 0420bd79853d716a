import { test } from "uvu";
import * as assert from "uvu/assert";
import { decidePollIntervalMs } from "./vm_list_poller.ts";

/** Maximum time from when a VM is listed as leaving until it gets no new work, in ms. */
const LEAVING_NOTICE_LIMIT_MS = 3_000;

// Guards against an interval that is too long while the list changes or can't be
// read, and against an idle interval so long that leaving VMs still get work
// after the limit.
test("only an unchanged list is polled less often, and half of the limit is left for the response", () => {
  const first = decidePollIntervalMs({ reachable: true, unchangedMs: 0 });
  const idle = decidePollIntervalMs({ reachable: true, unchangedMs: 60_000 });
  const failed = decidePollIntervalMs({
    reachable: false,
    unchangedMs: 60_000,
  });
  assert.ok(idle > first);
  assert.ok(idle <= LEAVING_NOTICE_LIMIT_MS / 2);
  assert.is(failed, first);
});

test.run();
