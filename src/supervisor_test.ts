import { type Operation, run, sleep, spawn, suspend, until } from "effection";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { waitFor } from "../testing/wait.ts";
import { InternalError } from "./errors.ts";
import { silentLogger } from "./logger.ts";
import { type Component, createSupervisor } from "./supervisor.ts";

const test = suite("supervisor");

/** Runs components until the condition holds. */
async function supervise(
  components: readonly Component[],
  condition: () => boolean,
  clock = { wallMs: Date.now, monotonicMs: () => performance.now() },
) {
  const supervisor = createSupervisor(silentLogger, clock);
  await run(function* () {
    for (const component of components) yield* supervisor.start(component);
    yield* until(waitFor("the components have run", condition));
  });
  return supervisor;
}

/** Creates a component that records its start times and then calls `fail`. */
function createFailingComponent(fail: () => Operation<void>) {
  const startsMs: number[] = [];
  return {
    startsMs,
    name: "failing",
    *run() {
      startsMs.push(performance.now());
      yield* fail();
    },
  };
}

const failures: Record<string, () => Operation<void>> = {
  throws() {
    throw new InternalError("broken");
  },
  rejects: () => until(Promise.reject(new InternalError("broken"))),
  *"fails in a task that it spawned"() {
    yield* spawn(function* () {
      yield* sleep(1);
      throw new InternalError("broken");
    });
    yield* suspend();
  },
};

for (const [failureMode, fail] of Object.entries(failures)) {
  test(`a component that ${failureMode} is restarted with growing delays while others keep running`, async () => {
    const failing = createFailingComponent(fail);
    let ticks = 0;
    let starts = 0;
    const healthy: Component = {
      name: "steady",
      *run() {
        for (starts++;; ticks++) yield* sleep(5);
      },
    };
    const supervisor = await supervise(
      [failing, healthy],
      () => failing.startsMs.length === 4,
    );
    const gaps = failing.startsMs.slice(1).map((atMs, index) =>
      atMs - failing.startsMs[index]!
    );
    // Timers may fire a few ms early.
    for (const [index, expectedMs] of [100, 200, 400].entries()) {
      assert.ok(gaps[index]! >= expectedMs - 10, `gap ${index}: ${gaps}`);
    }
    assert.is(starts, 1);
    assert.ok(ticks > 10);
    const [failed, other] = supervisor.status();
    assert.ok(failed!.restarts >= 3);
    assert.is(failed!.lastFailure, "broken");
    assert.is(other!.restarts, 0);
  });
}

test("the other tasks of a failed component end before it is restarted", async () => {
  let running = 0;
  const runningAtStart: number[] = [];
  const failing = createFailingComponent(function* () {
    runningAtStart.push(running);
    yield* spawn(function* () {
      running++;
      try {
        yield* suspend();
      } finally {
        running--;
      }
    });
    yield* sleep(1);
    throw new InternalError("broken");
  });
  await supervise([failing], () => runningAtStart.length === 3);
  assert.equal(runningAtStart, [0, 0, 0]);
});

test("the restart delay is reset after a long run", async () => {
  let nowMs = 0;
  const failing = createFailingComponent(() => {
    if (failing.startsMs.length >= 3) nowMs += 60_000;
    throw new InternalError("broken");
  });
  await supervise([failing], () => failing.startsMs.length === 5, {
    wallMs: () => nowMs,
    monotonicMs: () => nowMs,
  });
  const lastGapMs = failing.startsMs[4]! - failing.startsMs[3]!;
  // Expected are 100 ms; without the reset it would be at least 400 ms.
  assert.ok(lastGapMs < 350, `${lastGapMs}`);
});

test.run();
