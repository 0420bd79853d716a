import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryVm } from "../../testing/operator_platform.ts";
import { systemClock } from "../clock.ts";
import type { Vm } from "../ports/vm_list.ts";
import { type RolloutResult, waitForRollout } from "./rollout.ts";

const entry = (id: string, incarnation: string, state: Vm["state"] = "live") =>
  createEntryVm(id, `${id}/${incarnation}`, { incarnation, state });

const TIMEOUT_MS = 2_000;

function simulateRollout(
  vmLists: readonly (readonly Vm[])[],
  revisions: Record<string, number>,
): Promise<RolloutResult> {
  let reads = 0;
  return waitForRollout({
    vmList: { list: () => Promise.resolve(vmLists[reads++] ?? []) },
    readDump(address) {
      const revision = revisions[address];
      return revision === undefined
        ? Promise.reject(new Error("no answer"))
        : Promise.resolve({ config: { revision } });
    },
    revision: 3,
    timeoutMs: TIMEOUT_MS,
    // The wait ends with the last list, regardless of the speed of this process.
    clock: {
      ...systemClock,
      monotonicMs: () => reads < vmLists.length ? 0 : TIMEOUT_MS,
    },
  });
}

test("guards against a replaced entry counted by what its predecessor reported", async () => {
  const vmLists = [
    [entry("a", "1"), entry("b", "1")],
    [entry("a", "2"), entry("b", "2")],
  ];
  const result = await simulateRollout(vmLists, {
    "a/1": 3,
    "b/1": 2,
    "a/2": 1,
    "b/2": 3,
  });
  assert.is(result.kind, "timed_out");
  assert.equal(result.kind === "timed_out" && result.pending, [
    { entryId: "a", revision: 1 },
  ]);
});

test("guards against an entry that is down or has no configuration counted as done", async () => {
  const result = await simulateRollout([[entry("a", "1"), entry("b", "1")]], {
    "a/1": 4,
  });
  assert.equal(result.kind === "timed_out" && result.pending, [
    { entryId: "b", revision: undefined, failure: "no answer" },
  ]);
});

test("guards against a report that is lost because the end of the wait cuts the last poll short", async () => {
  let reads = 0;
  const result = await waitForRollout({
    vmList: { list: () => Promise.resolve([entry("a", "1")]) },
    readDump: (_, signal) =>
      ++reads === 1
        ? Promise.resolve({ config: { revision: 1 } })
        : delay(10_000, undefined, { signal }),
    revision: 3,
    timeoutMs: 200,
    clock: systemClock,
  });
  assert.equal(result.kind === "timed_out" && result.pending, [
    { entryId: "a", revision: 1 },
  ]);
});

test("guards against waiting for a leaving entry, and against an empty list counted as done", async () => {
  const leaving = [entry("a", "1"), entry("b", "1", "leaving")];
  assert.is((await simulateRollout([leaving], { "a/1": 3 })).kind, "in_force");
  const empty = await simulateRollout([[]], {});
  assert.is(
    empty.kind === "timed_out" && empty.failure,
    "the VM list shows no live entry",
  );
});

test.run();
