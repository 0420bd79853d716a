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
  countBy,
  runConcurrently,
  SERVICES,
  withDeployment,
} from "./scenario.ts";

const REQUESTS = 6_000;
/** More callers than slots, so that queues form. */
const CONCURRENCY = 900;
const GRACE_MS = 500;

test("each request gets exactly one final response by its deadline plus 500 ms", async () => {
  // A held link swallows requests without any error.
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
        { count: REQUESTS, concurrency: CONCURRENCY },
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
        `this process was held up for ${Math.round(eventLoopLagMs())} ms`,
      );
      console.log(countBy(exchanges, (item) => item.outcome));
      const wrong = exchanges.filter((item) =>
        item.statusLines !== 1 || !item.complete || item.outcome === ""
      );
      assert.equal(wrong.slice(0, 5), [], "not exactly one complete response");
      const late = exchanges.filter((item) =>
        item.elapsedMs > item.deadlineMs + GRACE_MS
      );
      assert.equal(late.slice(0, 5), [], "late");
      const silent = exchanges.filter((item) =>
        item.outcome === "not_run" && !item.retryAfter
      );
      assert.equal(silent.slice(0, 5), [], "not_run without Retry-After");
    });
  } finally {
    await relays.close();
  }
});

test.run();
