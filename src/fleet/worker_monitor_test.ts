import { test } from "uvu";
import * as assert from "uvu/assert";
import { createVm, REGION } from "../../testing/fleet_simulation.ts";
import { UNREACHABLE_AFTER_MS } from "../constants.ts";
import { PlatformError } from "../errors.ts";
import type { WorkerAgent } from "../ports/worker_agent.ts";
import { createFleetRecord } from "./record.ts";
import { createWorkerMonitor } from "./worker_monitor.ts";

const STEP_MS = 1_000;
const record = createFleetRecord(REGION);
const unresponsiveAgent = {
  report: () => Promise.reject(new PlatformError("worker_agent", "No answer")),
} as unknown as WorkerAgent;

function createTestMonitor(workers: number) {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const monitor = createWorkerMonitor(unresponsiveAgent, {
    clock,
    unreachableAfterMs: UNREACHABLE_AFTER_MS,
  });
  const vms = Array.from(
    { length: workers },
    (_, index) => createVm(`worker-${index}`, index, "pool"),
  );
  return {
    monitor,
    advanceClock: (ms: number) => nowMs += ms,
    /** Counts the workers that are still reachable once the monitor is warmed up. */
    async countReachableWhenWarmedUp() {
      await monitor.refresh(record, vms);
      while (!monitor.isWarmedUp()) {
        nowMs += STEP_MS;
        await monitor.refresh(record, vms);
      }
      const views = [...monitor.views(record).values()];
      assert.is(views.length, workers);
      return views.filter(({ reachable }) => reachable).length;
    },
  };
}

// Guards against new drains by a controller that got the lease or its first configuration late and doesn't know the
// unreachable workers yet.
test("time before the first reports doesn't count as monitored", async () => {
  const { monitor, advanceClock, countReachableWhenWarmedUp } =
    createTestMonitor(3);
  advanceClock(2 * UNREACHABLE_AFTER_MS);
  assert.is(await countReachableWhenWarmedUp(), 0);
  monitor.reset();
  advanceClock(2 * UNREACHABLE_AFTER_MS);
  assert.is(await countReachableWhenWarmedUp(), 0);
});

// Guards against new drains before all workers were monitored, in a region with more workers than are queried in one
// step.
test("every worker is monitored before new drains may start", async () => {
  assert.is(await createTestMonitor(400).countReachableWhenWarmedUp(), 0);
});

test.run();
