import { suite } from "uvu";
import * as assert from "uvu/assert";
import { classifyDigestChange } from "./digest_change.ts";
import type { EntryDigest } from "./messages.ts";

const test = suite("digest change");

const base: EntryDigest = {
  entryId: "entry-1",
  incarnation: "1",
  sequence: 1,
  region: "khomas",
  peerAddress: "",
  callerAddress: "",
  ready: true,
  stopping: false,
  configRevision: 1,
  fleetRevision: 1,
  services: { quoting: { inFlight: 1, waiting: 0, demandSlots: 20 } },
  drainingInFlight: { "vm-1": 1 },
  leavingVms: [],
};
const withDemand = (demandSlots: number, waiting = 0) => ({
  services: { quoting: { inFlight: 1, waiting, demandSlots } },
});

test("revisions, flags and drains count as a change of state, small load changes don't", () => {
  const cases: [Partial<EntryDigest>, string][] = [
    [{ sequence: 2 }, "none"],
    [{ configRevision: 2 }, "state"],
    [{ fleetRevision: 2 }, "state"],
    [{ stopping: true }, "state"],
    [{ ready: false }, "state"],
    [{ drainingInFlight: {} }, "state"],
    [{ drainingInFlight: { "vm-1": 2 } }, "load"],
    [{ leavingVms: ["vm-2"] }, "state"],
    [withDemand(25), "load"],
    [withDemand(30), "demand"],
    [withDemand(10), "demand"],
    [withDemand(20, 1), "demand"],
    [{ services: {} }, "demand"],
  ];
  for (const [change, expected] of cases) {
    assert.is(
      classifyDigestChange(base, { ...base, ...change }),
      expected,
      JSON.stringify(change),
    );
  }
});

test.run();
