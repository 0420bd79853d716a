import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseSeed, createRandom } from "../random.ts";
import {
  eventLoopLagMs,
  type RawExchange,
  sendRawRequest,
} from "../raw_exchange.ts";
import { createRelays } from "./relays.ts";
import {
  countByName,
  runConcurrently,
  SERVICES,
  withDeployment,
} from "./scenario.ts";

const REQUEST_COUNT = 6_000;
/** Higher than the number of slots, so that requests queue. */
const CONCURRENCY = 900;
/** Time after its deadline within which each request must get its final response, in ms. */
const GRACE_MS = 500;

test("each request gets exactly one final response by its deadline plus 500 ms", async () => {
  // A paused link drops requests without an error.
  const relays = createRelays((id) => /-[12]$/.test(id));
  try {
    await withDeployment({
      workerProcesses: 2,
      adjustVm: relays.adjustVm,
      worker: {
        backend: {
          serviceTimeMs: 60,
          distribution: "exponential",
          journal: false,
          faults: [{ fault: { kind: "slow", extraMs: 3_000 }, rate: 0.01 }],
        },
      },
    }, async ({ entries }) => {
      const random = createRandom(chooseSeed());
      const exchanges: RawExchange[] = [];
      await runConcurrently(
        { count: REQUEST_COUNT, concurrency: CONCURRENCY },
        async (index) => {
          if (index === 500) relays.byVm.get("quoting-1")?.pause();
          if (index === 900) relays.byVm.get("dispatch-1")?.pause();
          if (index === 1_500) relays.byVm.get("quoting-1")?.disconnect();
          if (index === 1_800) relays.byVm.get("dispatch-1")?.restore();
          if (index === 2_000) relays.byVm.get("quoting-1")?.restore();
          const service = random.next() < 0.5 ? "quoting" : SERVICES[index % 5];
          const entry = entries[random.nextInteger(entries.length)]!;
          exchanges.push(
            await sendRawRequest(entry.callerAddress, {
              path: `/${service}/final/${index}`,
              deadlineMs: 200 + random.nextInteger(1_500),
            }),
          );
        },
      );
      console.log(
        `the test process was stalled for ${Math.round(eventLoopLagMs())} ms`,
      );
      console.log(countByName(exchanges, (item) => item.outcome));
      const malformed = exchanges.filter((item) =>
        item.statusLines !== 1 || !item.complete || item.outcome === ""
      );
      assert.equal(
        malformed.slice(0, 5),
        [],
        "not exactly one complete response",
      );
      const late = exchanges.filter((item) =>
        item.elapsedMs > item.deadlineMs + GRACE_MS
      );
      assert.equal(
        late.slice(0, 5),
        [],
        "final response after the deadline plus grace period",
      );
      const withoutRetryAfter = exchanges.filter((item) =>
        item.outcome === "not_run" && !item.retryAfter
      );
      assert.equal(
        withoutRetryAfter.slice(0, 5),
        [],
        "not_run without Retry-After",
      );
    });
  } finally {
    await relays.close();
  }
});

test.run();
